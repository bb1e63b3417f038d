"""Connections that are accepted and read before a server can serve them."""

import contextlib
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

__all__ = ["EarlyConnection", "EarlyConnections", "boot_seconds"]

MAX_CONNECTIONS = 256
"""Maximum number of connections that are accepted early; the others wait in the backlog."""

MAX_BYTES = 65_536
"""Maximum number of bytes that are read early from a connection; the rest waits in its buffer."""

MAX_TOTAL_BYTES = 64 * MAX_BYTES
"""Maximum number of bytes that are read early from all connections together."""


def boot_seconds() -> float:
    """Return the time of the event loop's clock (`rackswitch.clocks`)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class EarlyConnection:
    """An accepted connection and what has been read from it.

    Attributes
    ----------
    connection : socket
        The non-blocking socket.
    received : bytearray
        The bytes read so far; the server has to handle them before any others.
    received_at_seconds : float or None
        When the first bytes were read (boot clock).
    """

    connection: socket.socket
    received: bytearray
    received_at_seconds: float | None = None


class EarlyConnections:
    """Accepts and reads connections of one listening socket, without an event loop.

    A caller gives a request up that is not read within a second or a third of its remaining time,
    and a start may take longer than that.

    Parameters
    ----------
    listening_socket : socket
        The non-blocking listening socket.
    now_seconds : callable, optional
        The clock.
    """

    __slots__ = ("_answered", "_connections", "_listening_socket", "_now_seconds")

    def __init__(
        self, listening_socket: socket.socket, now_seconds: Callable[[], float] = boot_seconds
    ):
        self._listening_socket = listening_socket
        self._now_seconds = now_seconds
        self._connections: list[EarlyConnection] = []
        self._answered: list[socket.socket] = []

    @property
    def open_connections(self) -> tuple[EarlyConnection, ...]:
        """The connections that have not been answered."""
        return tuple(self._connections)

    def poll(self) -> None:
        """Accept the connections and read the bytes that have arrived, without blocking."""
        while len(self._connections) + len(self._answered) < MAX_CONNECTIONS:
            if not self._accept_one():
                break
        free_bytes = MAX_TOTAL_BYTES - sum(len(early.received) for early in self._connections)
        open_connections = []
        for early in self._connections:
            known_bytes = len(early.received)
            if self._read(early, min(MAX_BYTES - known_bytes, free_bytes)):
                open_connections.append(early)
                free_bytes -= len(early.received) - known_bytes
        self._connections = open_connections
        self._answered = [connection for connection in self._answered if _drain(connection)]

    def answer(self, early: EarlyConnection, response: bytes) -> None:
        """Send a response that ends its connection.

        The connection stays open until the caller closes it, because closing it with unread bytes
        would reset it and might discard the response.
        """
        self._connections.remove(early)
        try:
            early.connection.sendall(response)
            early.connection.shutdown(socket.SHUT_WR)
        except OSError:
            # The caller has closed the connection.
            early.connection.close()
            return
        self._answered.append(early.connection)

    def take(self) -> list[EarlyConnection]:
        """Return the unanswered connections, which the caller owns from then on."""
        for connection in self._answered:
            if _drain(connection):
                connection.close()
        self._answered = []
        connections, self._connections = self._connections, []
        return connections

    def _accept_one(self) -> bool:
        """Accept a connection; return whether there was one."""
        try:
            connection, _ = self._listening_socket.accept()
        except OSError:
            # None is waiting, or the process lacks a resource; the server's listener tries again.
            return False
        connection.setblocking(False)
        self._connections.append(EarlyConnection(connection, bytearray()))
        return True

    def _read(self, early: EarlyConnection, max_bytes: int) -> bool:
        """Read what has arrived; return whether the connection is still open."""
        try:
            for block in _blocks(early.connection, max_bytes):
                early.received += block
        except (OSError, EOFError):
            early.connection.close()
            return False
        if early.received and early.received_at_seconds is None:
            early.received_at_seconds = self._now_seconds()
        return True


def _drain(connection: socket.socket) -> bool:
    """Discard what has arrived; return whether the connection is still open."""
    with contextlib.suppress(OSError, EOFError):
        for _ in _blocks(connection, MAX_BYTES):
            pass
        return True
    connection.close()
    return False


def _blocks(connection: socket.socket, max_bytes: int) -> Iterator[bytes]:
    """Yield the blocks that have arrived, up to a total size.

    Raises
    ------
    EOFError
        If the peer has closed the connection.
    OSError
        If the connection failed.
    """
    remaining_bytes = max_bytes
    while remaining_bytes > 0:
        try:
            block = connection.recv(remaining_bytes)
        except (BlockingIOError, InterruptedError):
            return
        if not block:
            raise EOFError
        remaining_bytes -= len(block)
        yield block
