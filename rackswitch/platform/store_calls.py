"""Calls to the platform's key-value service, and the transport that sends them directly.

A call is a message, so that it can be sent from here or be forwarded to another daemon.
"""

import asyncio
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import msgspec

from rackswitch.clients.bodies import MAX_BODY_BYTES, read_body
from rackswitch.clients.http import (
    NOT_SENT_ERRORS,
    ConnectionBrokenError,
    HttpSessions,
    error_name,
)
from rackswitch.clients.kv import KvUnavailable
from rackswitch.decoding import DECODE_ERRORS, error_detail
from rackswitch.platform.store_messages import StoreAnswer

__all__ = [
    "DirectTransport",
    "HttpTransport",
    "MalformedCall",
    "StoreCall",
    "StoreTransport",
    "decode_call",
    "encode_call",
    "probe_call",
]

METHODS = ("GET", "POST", "DELETE")
"""Methods of the service's calls."""

TARGET_PREFIX = "/rackswitch/kv-"
"""Prefix of the paths of the service; calls to other paths are not forwarded."""

MAX_TARGET_CHARACTERS = 2000
"""Enough for an escaped key of 200 bytes with the other fields."""

MAX_CONTENT_BYTES = 4_000_000
"""Enough for two values of 1 MiB, each some 1.4 MB in base64; a transaction may contain several."""

MAX_TIMEOUT_SECONDS = 5.0
"""Above the timeout of any call of this system."""


class StoreCall(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A call to the service.

    Attributes
    ----------
    target : str
        Path and query.
    content : bytes
        The body; empty if there is none.
    timeout_seconds : float
        Timeout of the call.
    repeatable : bool
        Whether the call may be sent again.
    is_long_poll : bool
        Whether the call is a long poll, which the service answers on a change.
    """

    method: str
    target: str
    content: bytes
    timeout_seconds: float
    repeatable: bool
    is_long_poll: bool = False


@dataclass(frozen=True, slots=True)
class MalformedCall:
    """Why a call must not be forwarded; the detail names the field."""

    detail: str


class StoreTransport(Protocol):
    """Sends calls to the service."""

    async def send(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Send a call; an answer with any status is returned."""
        ...


class DirectTransport(StoreTransport, Protocol):
    """Sends calls to the service over pooled connections."""

    def discard_idle_connections(self) -> None:
        """Close the idle connections, so that the next call opens a new one."""
        ...


def probe_call(timeout_seconds: float) -> StoreCall:
    """Return a cheap call that only shows whether the service answers."""
    target = TARGET_PREFIX + "key?key=control/probe&stale_ok=1"
    return StoreCall(
        method="GET", target=target, content=b"", timeout_seconds=timeout_seconds, repeatable=True
    )


def encode_call(call: StoreCall) -> bytes:
    """Return an encoded call, to be forwarded to another daemon."""
    return msgspec.msgpack.encode(call)


def decode_call(data: bytes) -> StoreCall | MalformedCall:
    """Decode a call from another daemon and check that it may be sent to the service."""
    try:
        call = msgspec.msgpack.decode(data, type=StoreCall)
    except DECODE_ERRORS as error:
        return MalformedCall(f"`call`: {error_detail(error)}")
    if call.method not in METHODS:
        return MalformedCall(f"`method` {call.method!r} must be one of {METHODS}")
    if not call.target.startswith(TARGET_PREFIX) or not call.target.isprintable():
        return MalformedCall(f"`target` must be printable and begin with {TARGET_PREFIX}")
    if len(call.target) > MAX_TARGET_CHARACTERS:
        return MalformedCall(f"`target` must have at most {MAX_TARGET_CHARACTERS} characters")
    if len(call.content) > MAX_CONTENT_BYTES:
        return MalformedCall(f"`content` must have at most {MAX_CONTENT_BYTES} bytes")
    if not 0 < call.timeout_seconds <= MAX_TIMEOUT_SECONDS:
        return MalformedCall(f"`limit_seconds` must be in (0, {MAX_TIMEOUT_SECONDS}]")
    return call


class HttpTransport:
    """Sends calls directly to the service.

    Parameters
    ----------
    url : str
        The service's address, which may change while the daemon runs.
    sessions : HttpSessions
        Connections to use.

    Attributes
    ----------
    repeat_count : int
        Calls that were sent again as their connection broke.
    """

    __slots__ = ("_sessions", "repeat_count", "url")

    def __init__(self, url: str, sessions: HttpSessions):
        self.url = url
        self.repeat_count = 0
        self._sessions = sessions

    async def send(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Send a call; a repeatable one again if its connection broke.

        The service may close an idle connection just as a call is sent on it, which says nothing of
        the path to it.
        """
        is_repeat = False
        try:
            async with asyncio.timeout(call.timeout_seconds):
                try:
                    return await self._send_once(call)
                except ConnectionBrokenError:
                    if not call.repeatable:
                        raise
                is_repeat = True
                self.repeat_count += 1
                return await self._send_once(call)
        except NOT_SENT_ERRORS as error:
            return KvUnavailable(error_name(error), effect_unknown=is_repeat)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return KvUnavailable(error_name(error), effect_unknown=True)

    async def _send_once(self, call: StoreCall) -> StoreAnswer:
        headers = {"Content-Type": "application/json"} if call.content else None
        request = self._sessions.pooled.request(
            call.method, self.url + call.target, data=call.content or None, headers=headers
        )
        async with request as answer:
            return StoreAnswer(answer.status, await read_body(answer, MAX_BODY_BYTES))

    def discard_idle_connections(self) -> None:
        """Close the idle connections, so that the next call opens a new one."""
        self._sessions.close_idle_connections()
