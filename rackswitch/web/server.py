"""A web server that runs in the current event loop."""

import asyncio
import contextlib
import functools
from collections.abc import Iterator
from typing import Any

import uvicorn

from rackswitch.web.connection_limits import BoundedHttpProtocol, ConnectionLimits

__all__ = ["WebServer"]

HEADER_TIMEOUT_SECONDS = 10.0
"""Default header timeout, which bounds how long a slow request holds a connection."""

CLOSE_DELAY_SECONDS = 0.2
"""Delay between closing the listener and closing open connections, so that requests already sent on
them are answered."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Default idle timeout; longer than the keep-alive time of peers and tools."""


class _EmbeddedServer(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class WebServer:
    """Serves an ASGI application on one address.

    Parameters
    ----------
    application : callable
        The ASGI application.
    host, port : str, int
        Address to listen on; port 0 selects a free port.
    max_connections : int, optional
        Maximum number of connections; further ones get status 503.
    limits : ConnectionLimits, optional
        Header and idle timeouts; they may change while the server runs.
    """

    __slots__ = ("_config", "_host", "_port", "_server", "_task")

    def __init__(
        self,
        application: Any,
        host: str,
        port: int,
        max_connections: int | None = None,
        limits: ConnectionLimits | None = None,
    ):
        self._host = host
        self._port = port
        if limits is None:
            limits = ConnectionLimits(HEADER_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS)
        self._config = uvicorn.Config(
            application,
            host=host,
            port=port,
            log_config=None,
            log_level="critical",
            access_log=False,
            server_header=False,
            interface="asgi3",
            http=functools.partial(BoundedHttpProtocol, limits),  # type: ignore[arg-type]
            ws="none",
            lifespan="auto",
            limit_concurrency=max_connections,
        )
        self._server = _EmbeddedServer(self._config)
        self._task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """The address as a URL."""
        return f"http://{self._host}:{self._port}"

    @property
    def port(self) -> int:
        """The port, which is known once the server has started."""
        return self._port

    async def start(self) -> None:
        """Start the server; return once it accepts connections.

        Raises
        ------
        OSError
            If listening on the address fails.
        """
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                raise OSError(f"failed to listen on {self._host}:{self._port}")
            await asyncio.sleep(0.005)
        self._port = self._server.servers[0].sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop accepting connections; return when the requests in progress have ended."""
        for server in self._server.servers:
            server.close()
        await asyncio.sleep(CLOSE_DELAY_SECONDS)
        await self._shut_down()

    async def _shut_down(self) -> None:
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def crash(self) -> None:
        """Close the listener and abort all connections at once, as if the process were killed."""
        for server in self._server.servers:
            server.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._server.force_exit = True
        await self._shut_down()
