"""Fake targets that answer requests with given bytes."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

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
