"""The HTTP client sessions that the platform's modules share.

Two sessions are kept. The pooled one re-uses connections. The single-use one
opens a connection for each call: a re-used connection may be closed by the
peer while a request is being written, which leaves it unknown whether the
request arrived, and a client library may then repeat it by itself. A request
that must run at most once therefore goes over a new connection.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
import msgspec

__all__ = ["NOT_SENT_ERRORS", "CallFailed", "HttpSessions", "call_json"]

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors after which no byte of the request can have reached the peer."""

CONNECT_TIMEOUT_SECONDS = 1.0
POOL_SIZE = 512


class HttpSessions:
    """Client sessions of one process."""

    __slots__ = ("pooled", "single_use")

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
        self.pooled = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=POOL_SIZE), timeout=timeout, auto_decompress=False
        )
        self.single_use = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self.pooled.close(), self.single_use.close())


T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call that has no effect of its own brought no usable answer."""

    detail: str


async def call_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    kind: type[T],
    timeout_seconds: float,
    body: Any = None,
) -> T | CallFailed:
    """Make a call that may be repeated, and read its answer as a message.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections to use.
    method, url : str
        The call.
    kind : type
        The message expected with status 200.
    timeout_seconds : float
        Limit on the whole call.
    body : object, optional
        Sent as JSON.

    Returns
    -------
    object or CallFailed
        The message, or why there is none.
    """
    try:
        async with (
            asyncio.timeout(timeout_seconds),
            session.request(method, url, json=body) as answer,
        ):
            content = await answer.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        return CallFailed(type(error).__name__)
    if answer.status != 200:
        return CallFailed(f"status {answer.status}")
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.DecodeError as error:
        return CallFailed(f"cannot read the answer: {error}")
