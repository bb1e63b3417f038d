"""A web server inside the running event loop."""

import asyncio
import contextlib
import functools
from collections.abc import Iterator
from typing import Any

import uvicorn

from rackswitch.web.connection_limits import BoundedHttpProtocol, ConnectionLimits

__all__ = ["WebServer"]

HEADER_TIMEOUT_SECONDS = 10.0
"""Unless limits are given; heads are a few kilobytes, and a slow one holds a descriptor."""

LAST_REQUESTS_SECONDS = 0.2
"""From where nothing new is listened to until open connections are closed: a request that is on its
way to them, or not read yet, is answered instead of being cut."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Unless limits are given; peers and tools keep a connection for less than that."""


class _LoopServer(uvicorn.Server):
    """A server that leaves signals to the program it runs in."""

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
        Where to listen; port 0 takes a free one.
    most_connections : int, optional
        Connections beyond this number get 503.
    limits : ConnectionLimits, optional
        How long connections may rest and heads may take; may change while the server runs.
    """

    __slots__ = ("_config", "_host", "_port", "_server", "_task")

    def __init__(
        self,
        application: Any,
        host: str,
        port: int,
        most_connections: int | None = None,
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
            limit_concurrency=most_connections,
        )
        self._server = _LoopServer(self._config)
        self._task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """The address as a URL."""
        return f"http://{self._host}:{self._port}"

    @property
    def port(self) -> int:
        """The port listened on, once started."""
        return self._port

    async def start(self) -> None:
        """Listen; return once connections are taken.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                raise OSError(f"cannot listen on {self._host}:{self._port}")
            await asyncio.sleep(0.005)
        self._port = self._server.servers[0].sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and return when the requests in progress are done."""
        for server in self._server.servers:
            server.close()
        await asyncio.sleep(LAST_REQUESTS_SECONDS)
        await self._end()

    async def _end(self) -> None:
        self._server.should_exit = True
        if self._task is not None:
            await self._task

    async def crash(self) -> None:
        """Drop the address and all connections at once, as a killed process would."""
        for server in self._server.servers:
            server.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._server.force_exit = True
        await self._end()
