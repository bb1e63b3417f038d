"""A web server that runs in the current event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import uvicorn

from rackswitch.listening import EarlyConnection
from rackswitch.web.connection_limits import BoundedHttpProtocol, ConnectionLimits
from rackswitch.web.listener import Listener

__all__ = ["StopReport", "WebServer"]

HEADER_TIMEOUT_SECONDS = 10.0
"""Default header timeout, which bounds how long a slow request holds a connection."""

CLOSE_DELAY_SECONDS = 0.2
"""Delay between closing the listener and closing open connections, so that requests already sent on
them are answered."""

IDLE_TIMEOUT_SECONDS = 30.0
"""Default idle timeout; longer than the keep-alive time of peers and tools."""

CANCEL_TIMEOUT_SECONDS = 0.5
"""Maximum time for which cancelled requests may still send their response."""


@dataclass(frozen=True, slots=True)
class StopReport:
    """What a server found on its connections when it stopped.

    Attributes
    ----------
    open_count : int
        Connections that were open when the server began to close them.
    idle_count : int
        Those of them that were closed at once because no request was on them.
    cancelled_count : int
        Requests that had not ended by the deadline.
    """

    open_count: int
    idle_count: int
    cancelled_count: int = 0


class _EmbeddedServer(uvicorn.Server):
    """A server that installs no signal handlers and accepts connections with a `Listener`.

    Attributes
    ----------
    announces_stop : bool
        Whether new connections close after their first response.
    early_connections : list of EarlyConnection
        Accepted connections that are served from the start on.
    has_started : asyncio.Event
        Set once the server accepts connections.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        limits: ConnectionLimits,
        opened_socket: socket.socket | None,
    ):
        super().__init__(config)
        self._opened_socket = opened_socket
        self.early_connections: list[EarlyConnection] = []
        self.announces_stop = False
        self.has_started = asyncio.Event()
        self.listener = Listener(self._make_protocol)
        self._limits = limits

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start listening."""
        await self.lifespan.startup()
        self.servers = []
        self.listener.open(
            self.config.host, self.config.port, self._opened_socket, self.early_connections
        )
        self._opened_socket = None
        self.early_connections = []
        self.started = True
        self.has_started.set()

    def open_connections(self) -> list[BoundedHttpProtocol]:
        """Return the open connections."""
        return [
            connection
            for connection in self.server_state.connections
            if isinstance(connection, BoundedHttpProtocol)
        ]

    def _make_protocol(self) -> BoundedHttpProtocol:
        protocol = BoundedHttpProtocol(
            self._limits,
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        if self.announces_stop:
            protocol.close_after_response()
        return protocol


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
    opened_socket : socket, optional
        A non-blocking socket that already listens on the address; the server owns it from its
        start on.
    """

    __slots__ = ("_host", "_port", "_server", "_task")

    def __init__(
        self,
        application: Any,
        host: str,
        port: int,
        max_connections: int | None = None,
        limits: ConnectionLimits | None = None,
        opened_socket: socket.socket | None = None,
    ):
        self._host = host
        self._port = port
        if limits is None:
            limits = ConnectionLimits(HEADER_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS)
        config = uvicorn.Config(
            application,
            host=host,
            port=port,
            http=BoundedHttpProtocol,
            log_config=None,
            log_level="critical",
            access_log=False,
            server_header=False,
            interface="asgi3",
            ws="none",
            lifespan="auto",
            limit_concurrency=max_connections,
        )
        self._server = _EmbeddedServer(config, limits, opened_socket)
        self._task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """The address as a URL."""
        return f"http://{self._host}:{self._port}"

    @property
    def port(self) -> int:
        """The port, which is known once the server has started."""
        return self._port

    async def start(self, early_connections: Iterable[EarlyConnection] = ()) -> None:
        """Start the server; return once it accepts connections.

        Parameters
        ----------
        early_connections : iterable of EarlyConnection, optional
            Connections of its address that have been accepted already; the server owns them.

        Raises
        ------
        OSError
            If listening on the address fails.
        """
        self._server.early_connections = list(early_connections)
        self._task = asyncio.create_task(self._server.serve())
        has_started = asyncio.create_task(self._server.has_started.wait())
        await asyncio.wait((self._task, has_started), return_when=asyncio.FIRST_COMPLETED)
        has_started.cancel()
        if not self._server.started:
            error = self._task.exception()
            raise OSError(f"failed to listen on {self._host}:{self._port}: {error}") from error
        self._port = self._server.listener.port

    def announce_stop(self) -> None:
        """Make callers reconnect elsewhere: connections close after their next response."""
        self._server.announces_stop = True
        for connection in self._server.open_connections():
            connection.close_after_response()

    @property
    def is_listening(self) -> bool:
        """Whether the server accepts connections."""
        return self._server.listener.is_open

    def close_listener(self) -> int:
        """Stop accepting connections; return how many were still in the backlog."""
        return self._server.listener.close()

    async def close_idle_connections(self) -> int:
        """Close the connections without a request, so that their callers use others from now on.

        Returns
        -------
        int
            How many were closed. Connections that were opened within the last `CLOSE_DELAY_SECONDS`
            are kept, as their first requests may be on their way.
        """
        connections = self._server.open_connections()
        await asyncio.sleep(CLOSE_DELAY_SECONDS)
        return sum(connection.close_if_idle() for connection in connections)

    async def stop(self, deadline_seconds: float | None = None) -> StopReport:
        """Stop accepting connections and finish the requests in progress.

        Parameters
        ----------
        deadline_seconds : float or None
            When the remaining requests are cancelled (event loop time); never by default.
        """
        self.announce_stop()
        self.close_listener()
        remaining_seconds = _remaining_seconds(deadline_seconds)
        if remaining_seconds is None or remaining_seconds > CLOSE_DELAY_SECONDS:
            await asyncio.sleep(CLOSE_DELAY_SECONDS)
        connections = self._server.open_connections()
        idle_count = sum(not connection.has_request() for connection in connections)
        self._server.should_exit = True
        cancelled_count = await self._wait_until_stopped(deadline_seconds)
        return StopReport(len(connections), idle_count, cancelled_count)

    async def _wait_until_stopped(self, deadline_seconds: float | None) -> int:
        """Wait until all requests have ended; return how many were cancelled at the deadline."""
        if self._task is None:
            return 0
        await asyncio.wait((self._task,), timeout=_remaining_seconds(deadline_seconds))
        cancelled_count = 0
        if not self._task.done():
            cancelled_count = await self._cancel_requests()
        await self._task
        return cancelled_count

    async def _cancel_requests(self) -> int:
        """Cancel the requests in progress and close all connections."""
        tasks = list(self._server.server_state.tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_SECONDS)
        for connection in self._server.open_connections():
            connection.transport.close()
        self._server.force_exit = True
        return len(tasks)

    async def crash(self) -> None:
        """Close the listener and abort all connections at once, as if the process were killed."""
        self._server.listener.abort()
        for connection in self._server.open_connections():
            connection.transport.abort()
        self._server.force_exit = True
        self._server.should_exit = True
        if self._task is not None:
            await self._task


def _remaining_seconds(deadline_seconds: float | None) -> float | None:
    """Return the time until a deadline, or None without one."""
    if deadline_seconds is None:
        return None
    return max(0.0, deadline_seconds - asyncio.get_running_loop().time())
