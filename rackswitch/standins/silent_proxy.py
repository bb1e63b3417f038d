"""A TCP proxy whose open connections can go silent while new ones work."""

import asyncio
import contextlib

__all__ = ["SilentProxy"]

CHUNK_BYTES = 65_536


class SilentProxy:
    """Forwards connections to a port of this machine.

    Parameters
    ----------
    target_port : int
        Port on the loopback address to which connections are forwarded.

    Attributes
    ----------
    connections : int
        Connections accepted so far.
    """

    __slots__ = ("_is_open", "_server", "_tasks", "_target_port", "connections")

    def __init__(self, target_port: int):
        self._target_port = target_port
        self._is_open = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0

    async def start(self) -> int:
        """Listen; return the port."""
        self._is_open.set()
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    def silence_open_connections(self) -> None:
        """Forward nothing more on the open connections, without closing them."""
        self._is_open.clear()
        self._is_open = asyncio.Event()
        self._is_open.set()

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        is_open = self._is_open
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._copy(source, sink, is_open))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_open: asyncio.Event
    ) -> None:
        try:
            with contextlib.suppress(OSError):
                while data := await source.read(CHUNK_BYTES):
                    await is_open.wait()
                    sink.write(data)
                    await sink.drain()
        finally:
            sink.close()
