"""The HTTP client sessions that the platform's modules share.

Two sessions are kept. The pooled one re-uses connections. The single-use one
opens a connection for each call: a re-used connection may be closed by the
peer while a request is being written, which leaves it unknown whether the
request arrived, and a client library may then repeat it by itself. A request
that must run at most once therefore goes over a new connection.
"""

import asyncio

import aiohttp

__all__ = ["NOT_SENT_ERRORS", "HttpSessions"]

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
