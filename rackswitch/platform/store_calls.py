"""One call to the platform's key-value service, and the direct way of making it.

A call is a value, so that it can be made here, or be passed to another daemon and made there.
"""

import asyncio
from dataclasses import dataclass
from typing import Protocol

import aiohttp
import msgspec

from rackswitch.clients.http import NOT_SENT_ERRORS, HttpSessions
from rackswitch.clients.kv import KvUnavailable
from rackswitch.platform.store_messages import StoreAnswer

__all__ = [
    "HttpTransport",
    "MalformedCall",
    "StoreCall",
    "StoreTransport",
    "decode_call",
    "encode_call",
]

METHODS = ("GET", "POST", "DELETE")
"""The service's calls use these."""

TARGET_PREFIX = "/rackswitch/kv-"
"""All calls to the service begin so; nothing else is passed on."""

MAX_TARGET_CHARACTERS = 2000
"""A key has at most 200 bytes; escaped, and with the other fields, it stays below this."""

MAX_CONTENT_BYTES = 4_000_000
"""A value may have 1 MiB, some 1.4 MB in base64; a job of several chunks has more of them."""

MAX_LIMIT_SECONDS = 5.0
"""More than any call of ours is given."""


class StoreCall(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A call to the service.

    Attributes
    ----------
    target : str
        Path and query.
    content : bytes
        The body; empty for none.
    limit_seconds : float
        How long the answer may take.
    repeatable : bool
        Whether making the call twice does no harm.
    held : bool
        Whether the service keeps the call open until there is news.
    """

    method: str
    target: str
    content: bytes
    limit_seconds: float
    repeatable: bool
    held: bool = False


@dataclass(frozen=True, slots=True)
class MalformedCall:
    """Why bytes are no call that may be passed on; names the field."""

    detail: str


class StoreTransport(Protocol):
    """A way of making calls."""

    async def send(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a call; an answer of any status is an answer."""
        ...


def encode_call(call: StoreCall) -> bytes:
    """Return a call as it is passed to another daemon."""
    return msgspec.msgpack.encode(call)


def decode_call(data: bytes) -> StoreCall | MalformedCall:
    """Return a call that another daemon passed, if it is one that this service may get."""
    try:
        call = msgspec.msgpack.decode(data, type=StoreCall)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return MalformedCall(f"`call`: {error}")
    if call.method not in METHODS:
        return MalformedCall(f"`method` {call.method!r} is none of {METHODS}")
    if not call.target.startswith(TARGET_PREFIX) or not call.target.isprintable():
        return MalformedCall(f"`target` does not begin with {TARGET_PREFIX}")
    if len(call.target) > MAX_TARGET_CHARACTERS:
        return MalformedCall(f"`target` has more than {MAX_TARGET_CHARACTERS} characters")
    if len(call.content) > MAX_CONTENT_BYTES:
        return MalformedCall(f"`content` has more than {MAX_CONTENT_BYTES} bytes")
    if not 0 < call.limit_seconds <= MAX_LIMIT_SECONDS:
        return MalformedCall(f"`limit_seconds` is not in (0, {MAX_LIMIT_SECONDS}]")
    return call


class HttpTransport:
    """Makes calls directly.

    Parameters
    ----------
    url : str
        The service's address, which may change while the daemon runs.
    sessions : HttpSessions
        Connections to use.
    """

    __slots__ = ("_sessions", "url")

    def __init__(self, url: str, sessions: HttpSessions):
        self.url = url
        self._sessions = sessions

    async def send(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a call."""
        headers = {"Content-Type": "application/json"} if call.content else None
        request = self._sessions.pooled.request(
            call.method, self.url + call.target, data=call.content or None, headers=headers
        )
        try:
            async with asyncio.timeout(call.limit_seconds), request as answer:
                content = await answer.read()
        except NOT_SENT_ERRORS as error:
            return KvUnavailable(type(error).__name__, effect_unknown=False)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return KvUnavailable(type(error).__name__, effect_unknown=True)
        return StoreAnswer(answer.status, content)
