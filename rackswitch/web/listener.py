"""A listening socket that accepts its whole backlog before it closes."""

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable

from rackswitch.listening import BACKLOG, EarlyConnection, open_listening_socket
from rackswitch.web.connection_limits import BoundedHttpProtocol

__all__ = ["Listener"]

ACCEPT_RETRY_SECONDS = 1.0
"""Delay before accepting again after the process ran out of a resource."""

EXHAUSTED_RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Listener:
    """Accepts connections on one address.

    Closing a listening socket resets the connections in its backlog, and an asyncio server that
    closes drops those it has accepted but not set up yet. This listener serves both.

    Parameters
    ----------
    make_protocol : callable
        Returns the protocol of a new connection.

    Attributes
    ----------
    port : int
        The port; known once the listener is open.
    """

    __slots__ = ("_make_protocol", "_pending_connections", "_retry_timer", "_socket", "port")

    def __init__(self, make_protocol: Callable[[], BoundedHttpProtocol]):
        self.port = 0
        self._make_protocol = make_protocol
        self._socket: socket.socket | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._pending_connections: set[asyncio.Task[None]] = set()

    def open(
        self,
        host: str,
        port: int,
        opened_socket: socket.socket | None = None,
        early_connections: Iterable[EarlyConnection] = (),
    ) -> None:
        """Start listening; port 0 selects a free port.

        Parameters
        ----------
        host, port : str, int
            Address to listen on.
        opened_socket : socket, optional
            A non-blocking socket that already listens on the address. The listener accepts its
            backlog and closes it at the end.
        early_connections : iterable of EarlyConnection, optional
            Connections of the address that have been accepted already.

        Raises
        ------
        OSError
            If listening on the address fails.
        """
        if opened_socket is None:
            opened_socket = open_listening_socket(host, port)
        self._socket = opened_socket
        self.port = self._socket.getsockname()[1]
        for early in early_connections:
            self._set_up(early.connection, early)
        self._start_accepting()

    @property
    def is_open(self) -> bool:
        """Whether the listener accepts connections."""
        return self._socket is not None

    def close(self) -> int:
        """Accept the backlog and stop listening.

        Returns
        -------
        int
            Number of connections that were still in the backlog.
        """
        if self._socket is None:
            return 0
        self._stop_accepting()
        accepted_count = self._accept_backlog()
        self._close_socket()
        return accepted_count

    def abort(self) -> None:
        """Stop listening and reset the connections in the backlog."""
        if self._socket is not None:
            self._stop_accepting()
            self._close_socket()
        for connection in self._pending_connections:
            connection.cancel()

    def _start_accepting(self) -> None:
        self._retry_timer = None
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_backlog)

    def _stop_accepting(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _accept_backlog(self) -> int:
        """Accept all connections in the backlog; return their number."""
        accepted_count = 0
        while self._socket is not None and accepted_count < BACKLOG:
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                break
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in EXHAUSTED_RESOURCE_ERRORS:
                    raise
                self._retry_later()
                break
            accepted_count += 1
            self._set_up(connection)
        return accepted_count

    def _retry_later(self) -> None:
        # The socket stays readable, so accepting again at once would busy-loop.
        self._stop_accepting()
        self._retry_timer = asyncio.get_running_loop().call_later(
            ACCEPT_RETRY_SECONDS, self._start_accepting
        )

    def _set_up(self, connection: socket.socket, early: EarlyConnection | None = None) -> None:
        connection.setblocking(False)
        task = asyncio.create_task(self._connect(connection, early))
        self._pending_connections.add(task)
        task.add_done_callback(self._pending_connections.discard)

    async def _connect(self, connection: socket.socket, early: EarlyConnection | None) -> None:
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.connect_accepted_socket(self._make_protocol, connection)
        if early is not None and early.received and not transport.is_closing():
            # The loop resumes this task before it reads from the connection for the first time.
            protocol.received_at_seconds = early.received_at_seconds
            protocol.data_received(bytes(early.received))
