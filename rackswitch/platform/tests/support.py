"""Fake targets that answer requests with given bytes."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from rackswitch.routing import ListedTarget

RESET_AFTER_SECONDS = 0.05


class RawTarget:
    """Answers one request per connection with fixed bytes, then closes or resets the connection."""

    def __init__(self, answer: bytes, reset: bool):
        self.requests: list[bytes] = []
        self._answer = answer
        self._reset = reset

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.requests.append(await reader.read(10_000))
        writer.write(self._answer)
        await writer.drain()
        if self._reset:
            await asyncio.sleep(RESET_AFTER_SECONDS)
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return
        writer.close()


class KeepAliveTarget:
    """Answers all requests with the same bytes, and counts the connections."""

    def __init__(self, answer: bytes):
        self.connections = 0
        self._answer = answer

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while await reader.read(10_000):
            writer.write(self._answer)
        writer.close()


class EndlessTarget:
    """Answers with a prefix, then repeats bytes without end until the caller closes.

    Attributes
    ----------
    connections, sent_bytes : int
        Connections so far, and bytes sent on all of them.
    """

    def __init__(self, prefix: bytes, repeated: bytes, interval_seconds: float):
        self.connections = 0
        self.sent_bytes = 0
        self._prefix = prefix
        self._repeated = repeated
        self._interval_seconds = interval_seconds
        self._writers: set[asyncio.StreamWriter] = set()

    def close(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        await reader.read(10_000)
        data = self._prefix
        with suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(data)
                await writer.drain()
                self.sent_bytes += len(data)
                data = self._repeated
                await asyncio.sleep(self._interval_seconds)
        writer.close()


@asynccontextmanager
async def endless_target(
    prefix: bytes, repeated: bytes, interval_seconds: float = 0.0
) -> AsyncIterator[tuple[ListedTarget, EndlessTarget]]:
    fake_target = EndlessTarget(prefix, repeated, interval_seconds)
    server = await asyncio.start_server(fake_target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield ListedTarget("i-1", "s", "127.0.0.1", port, "z"), fake_target
    finally:
        fake_target.close()
        server.close()


@asynccontextmanager
async def keep_alive_target(answer: bytes) -> AsyncIterator[tuple[ListedTarget, KeepAliveTarget]]:
    fake_target = KeepAliveTarget(answer)
    server = await asyncio.start_server(fake_target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield ListedTarget("i-1", "s", "127.0.0.1", port, "z"), fake_target
    finally:
        server.close()


@asynccontextmanager
async def raw_target(
    answer: bytes, reset: bool = False
) -> AsyncIterator[tuple[ListedTarget, RawTarget]]:
    fake_target = RawTarget(answer, reset)
    server = await asyncio.start_server(fake_target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield ListedTarget("i-1", "s", "127.0.0.1", port, "z"), fake_target
    finally:
        server.close()
