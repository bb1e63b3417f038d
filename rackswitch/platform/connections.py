"""Connections to the platform's engines and plain services."""

import asyncio
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

__all__ = ["TargetSessions"]

CONNECT_TIMEOUT_SECONDS = 0.5
"""A new connection takes 1 ms and two network delays; an engine whose queue of new
connections is full drops the first packet, which is sent again after a second."""

KEPT_CONNECTION_SECONDS = 4.0
"""How long an unused connection to an engine is kept. Engines close theirs after a time
of their own, and a request on a connection that is just being closed is lost."""

SKIPPED_DEFAULTS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that the client library would add by itself."""


class _CheckedResponseHandler(ResponseHandler):
    """Tells a body that ends with its connection from one that was reset.

    The library takes both for the body's end.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


class TargetSessions:
    """Connections to targets: kept ones, and single-use ones for what must run once."""

    __slots__ = ("kept", "single_use")

    def __init__(self) -> None:
        self.kept = _session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=KEPT_CONNECTION_SECONDS)
        )
        self.single_use = _session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self.kept.close(), self.single_use.close())


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    loop = asyncio.get_running_loop()
    # The library has no public way to choose the handler.
    connector._factory = functools.partial(_CheckedResponseHandler, loop=loop)  # type: ignore[assignment]
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_DEFAULTS,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
