"""HTTP client sessions shared by the clients.

The pooled session reuses connections. The single-use session opens a connection
for each call, for requests that must run at most once: the peer may close a
reused connection while a request is being written, and the library may then
repeat a request that has already arrived.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
import msgspec

__all__ = ["NOT_SENT_ERRORS", "CallFailed", "HttpSessions", "call_json", "close_idle_connections"]

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised before any byte of the request is sent."""

CONNECT_TIMEOUT_SECONDS = 1.0
POOL_SIZE = 512


def close_idle_connections(connector: aiohttp.BaseConnector) -> None:
    """Close the unused connections of a pool."""
    # The library has no public way to close idle connections only.
    for connections in connector._conns.values():
        for protocol, _ in connections:
            protocol.close()


class HttpSessions:
    """Client sessions of one process."""

    __slots__ = ("_pooled_connector", "pooled", "single_use")

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
        self._pooled_connector = aiohttp.TCPConnector(limit=POOL_SIZE)
        self.pooled = aiohttp.ClientSession(
            connector=self._pooled_connector, timeout=timeout, auto_decompress=False
        )
        self.single_use = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            auto_decompress=False,
        )

    def close_idle_connections(self) -> None:
        """Close the unused connections of the pooled session."""
        close_idle_connections(self._pooled_connector)

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self.pooled.close(), self.single_use.close())


T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without side effects got no usable response."""

    detail: str


async def call_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    kind: type[T],
    timeout_seconds: float,
    body: Any = None,
) -> T | CallFailed:
    """Make a call that is safe to repeat, and decode its JSON response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to use.
    method, url : str
        HTTP method and URL.
    kind : type
        Type of the response body for status 200.
    timeout_seconds : float
        Timeout of the complete call.
    body : object, optional
        Request body, sent as JSON.

    Returns
    -------
    object or CallFailed
        The decoded response, or the reason for the failure.
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
        return CallFailed(f"invalid response body: {error}")
