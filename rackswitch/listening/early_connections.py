"""Connections that are accepted and read before a server can serve them."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EarlyConnection", "EarlyConnections"]

MAX_CONNECTIONS = 64
"""Maximum number of connections that are accepted early; the others wait in the backlog."""

MAX_BYTES = 65_536
"""Maximum number of bytes that are read early from a connection; the rest waits in its buffer."""


@dataclass(slots=True)
class EarlyConnection:
    """An accepted connection and what has been read from it.

    Attributes
    ----------
    connection : socket
        The non-blocking socket.
    received : bytearray
        The bytes read so far; the server has to handle them before any others.
    """

    connection: socket.socket
    received: bytearray


class EarlyConnections:
    """Accepts and reads connections of one listening socket, without an event loop.

    A caller gives a request up that is not read within a second or a third of its remaining time,
    and a start may take longer than that.

    Parameters
    ----------
    listening_socket : socket
        The non-blocking listening socket.
    """

    __slots__ = ("_connections", "_listening_socket")

    def __init__(self, listening_socket: socket.socket):
        self._listening_socket = listening_socket
        self._connections: list[EarlyConnection] = []

    def poll(self) -> None:
        """Accept the connections and read the bytes that have arrived, without blocking."""
        while len(self._connections) < MAX_CONNECTIONS and self._accept_one():
            pass
        self._connections = [early for early in self._connections if _read(early)]

    def take(self) -> list[EarlyConnection]:
        """Return the connections, which the caller owns from then on."""
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


def _read(early: EarlyConnection) -> bool:
    """Read what has arrived; return whether the connection is still open."""
    try:
        for block in _blocks(early):
            early.received += block
    except (OSError, EOFError):
        early.connection.close()
        return False
    return True


def _blocks(early: EarlyConnection) -> Iterator[bytes]:
    """Yield the blocks that have arrived, up to `MAX_BYTES` in total.

    Raises
    ------
    EOFError
        If the peer has closed the connection.
    OSError
        If the connection failed.
    """
    while len(early.received) < MAX_BYTES:
        try:
            block = early.connection.recv(MAX_BYTES - len(early.received))
        except (BlockingIOError, InterruptedError):
            return
        if not block:
            raise EOFError
        yield block
