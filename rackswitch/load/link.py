"""A TCP proxy on loopback that injects network faults in front of one address."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

from rackswitch.standins.loopback import own_loopback_host

__all__ = ["BACKWARD", "BOTH", "FORWARD", "Link", "LinkFaults"]

FORWARD = "forward"
"""From the client to the server."""

BACKWARD = "backward"
BOTH = frozenset((FORWARD, BACKWARD))

CHUNK_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close sends RST instead of FIN."""


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """Network faults that a link injects.

    Attributes
    ----------
    blocked_directions : frozenset of str
        Directions in which no data is forwarded. Data sent meanwhile is forwarded once the
        direction is unblocked, as TCP retransmits after a network partition.
    delay_seconds : float
        Delay added to each chunk of data, in both directions.
    """

    blocked_directions: frozenset[str] = frozenset()
    delay_seconds: float = 0.0


class Link:
    """Forwards TCP connections to one address.

    Parameters
    ----------
    upstream : str
        Address that connections are forwarded to (HOST:PORT).
    port : int
        Port to listen on; 0 takes a free port.
    """

    __slots__ = (
        "_changed",
        "_faults",
        "_generation",
        "_upstream_host",
        "_listen_host",
        "_connections",
        "_server",
        "_upstream_port",
        "port",
    )

    def __init__(self, upstream: str = "", port: int = 0):
        self.port = port
        self._listen_host = own_loopback_host()
        self._upstream_host, self._upstream_port = "", 0
        if upstream:
            self.set_upstream(upstream)
        self._faults = LinkFaults()
        self._generation = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The listening address as HOST:PORT."""
        return f"{self._listen_host}:{self.port}"

    def set_upstream(self, upstream: str) -> None:
        """Forward new connections to an address (HOST:PORT)."""
        self._upstream_host, _, port = upstream.rpartition(":")
        self._upstream_port = int(port)

    def set_faults(self, faults: LinkFaults) -> None:
        """Set the faults for new and open connections."""
        self._faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    def silence_open_connections(self) -> None:
        """Forward nothing more on the open connections, without closing them; new ones work."""
        self._generation += 1

    async def open(self) -> None:
        """Start listening; a closed link listens on its previous port."""
        self._server = await asyncio.start_server(self._serve, self._listen_host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        await self.reset()

    async def reset(self) -> None:
        """Reset all open connections."""
        connections = list(self._connections)
        for connection in connections:
            connection.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        assert connection is not None
        self._connections.add(connection)
        generation = self._generation
        writers = [writer]
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self._upstream_host, self._upstream_port
            )
            writers.append(server_writer)
            async with asyncio.TaskGroup() as task_group:
                task_group.create_task(self._forward(FORWARD, reader, server_writer, generation))
                task_group.create_task(self._forward(BACKWARD, server_reader, writer, generation))
        except* (OSError, asyncio.CancelledError):
            # The reset below ends the connection on both sides.
            pass
        finally:
            self._connections.discard(connection)
            for open_writer in writers:
                _reset(open_writer)

    async def _forward(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self._faults.delay_seconds)
            await self._wait_unblocked(direction, generation)
            writer.write(data)
            await writer.drain()
        await self._wait_unblocked(direction, generation)
        if direction == BACKWARD:
            # Passes the server's FIN on, so that the client can close its own side.
            writer.write_eof()
        else:
            # Resets the server's connection, since the client no longer reads responses.
            raise ConnectionError("the client closed the connection")

    async def _wait_unblocked(self, direction: str, generation: int) -> None:
        while direction in self._faults.blocked_directions or generation < self._generation:
            await self._changed.wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    raw_socket = writer.get_extra_info("socket")
    if raw_socket is not None and not writer.transport.is_closing():
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
