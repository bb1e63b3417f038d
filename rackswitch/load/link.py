"""A proxy on loopback in front of one address, which shows the faults of a network on order."""

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
"""Value of SO_LINGER by which a close sends a reset in place of an orderly end."""


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """What a link does from now on.

    Attributes
    ----------
    held : frozenset of str
        Directions in which nothing passes; what was sent meanwhile passes afterwards, as TCP
        sends again what a cut network lost.
    delay_seconds : float
        Added to all that passes.
    """

    held: frozenset[str] = frozenset()
    delay_seconds: float = 0.0


class Link:
    """Passes connections on to one address.

    Parameters
    ----------
    port : int
        Where to listen on loopback; 0 takes a free port.
    """

    __slots__ = (
        "_changed",
        "_faults",
        "_host",
        "_own_host",
        "_pairs",
        "_server",
        "_upstream",
        "port",
    )

    def __init__(self, upstream: str = "", port: int = 0):
        self.port = port
        self._own_host = own_loopback_host()
        self._host, self._upstream = "", 0
        if upstream:
            self.lead_to(upstream)
        self._faults = LinkFaults()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._pairs: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens, as HOST:PORT."""
        return f"{self._own_host}:{self.port}"

    def lead_to(self, upstream: str) -> None:
        """Pass new connections on to an address (HOST:PORT)."""
        self._host, _, port = upstream.rpartition(":")
        self._upstream = int(port)

    def set(self, faults: LinkFaults) -> None:
        """Change what goes wrong, for present connections too."""
        self._faults = faults
        self._changed.set()
        self._changed = asyncio.Event()

    async def open(self) -> None:
        """Listen; after `close` at the same port as before."""
        self._server = await asyncio.start_server(self._serve, self._own_host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Refuse connections, and reset the present ones."""
        if self._server is not None:
            self._server.close()
        await self.reset()

    async def reset(self) -> None:
        """Reset all present connections."""
        pairs = list(self._pairs)
        for pair in pairs:
            pair.cancel()
        await asyncio.gather(*pairs, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pair = asyncio.current_task()
        assert pair is not None
        self._pairs.add(pair)
        writers = [writer]
        try:
            server_reader, server_writer = await asyncio.open_connection(self._host, self._upstream)
            writers.append(server_writer)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pass_on(FORWARD, reader, server_writer))
                both.create_task(self._pass_on(BACKWARD, server_reader, writer))
        except* (OSError, asyncio.CancelledError):
            # The one side learns of the other's end by the reset below.
            pass
        finally:
            self._pairs.discard(pair)
            for each in writers:
                _reset(each)

    async def _pass_on(
        self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self._faults.delay_seconds)
            await self._wait_open(direction)
            writer.write(data)
            await writer.drain()
        await self._wait_open(direction)
        if direction == BACKWARD:
            # What the server ended in order ends so for the client, who then ends its own side.
            writer.write_eof()
        else:
            # A client that left wants no answer: the server is told at once.
            raise ConnectionError("the client has left")

    async def _wait_open(self, direction: str) -> None:
        while direction in self._faults.held:
            await self._changed.wait()


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw is not None and not writer.transport.is_closing():
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
