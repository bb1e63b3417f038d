"""Errors while listening and accepting, on loopback."""

import asyncio
import errno
import socket

import pytest

from rackswitch.listening import open_listening_socket
from rackswitch.web import WebServer, listener
from rackswitch.web.tests.test_connection_limits import REQUEST, TIMEOUT_SECONDS, answer_ok


def test_accepts_again_after_the_process_ran_out_of_descriptors(monkeypatch):
    # Guards against a server that no longer accepts, or busy-loops, after a shortage.
    original_accept = socket.socket.accept
    failures = []

    def accept_later(self):
        if len(failures) < 2:
            failures.append(errno.EMFILE)
            raise OSError(errno.EMFILE, "too many open files")
        return original_accept(self)

    async def scenario():
        server = WebServer(answer_ok, "127.0.0.1", 0)
        await server.start()
        monkeypatch.setattr(socket.socket, "accept", accept_later)
        monkeypatch.setattr(listener, "ACCEPT_RETRY_SECONDS", 0.01)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await reader.readuntil(b"ok")
        writer.close()
        await server.stop()

    asyncio.run(scenario())
    assert len(failures) == 2


def test_an_address_in_use_is_named_in_the_error():
    async def scenario():
        first = WebServer(answer_ok, "127.0.0.1", 0)
        await first.start()
        second = WebServer(answer_ok, "127.0.0.1", first.port)
        with pytest.raises(OSError, match=f"127.0.0.1:{first.port}"):
            await second.start()
        await first.stop()

    asyncio.run(scenario())


def test_closes_a_socket_that_it_took_over():
    # Guards against an open socket whose backlog accepts connections that nothing serves.
    async def scenario():
        for end in (WebServer.stop, WebServer.crash):
            opened_socket = open_listening_socket("127.0.0.1", 0)
            server = WebServer(answer_ok, "127.0.0.1", 0, opened_socket=opened_socket)
            reader, writer = await asyncio.open_connection(*opened_socket.getsockname())
            writer.write(REQUEST)
            await server.start()
            assert server.port == opened_socket.getsockname()[1]
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await reader.readuntil(b"ok")
            writer.close()
            await end(server)
            assert opened_socket.fileno() == -1

    asyncio.run(scenario())
