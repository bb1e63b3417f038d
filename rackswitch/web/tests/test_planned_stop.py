"""A planned stop answers requests that are already sent; tested on raw connections."""

import asyncio
import socket
from unittest.mock import patch

import pytest

from rackswitch.web import WebServer
from rackswitch.web.connection_limits import BoundedHttpProtocol
from rackswitch.web.exchange import Exchange
from rackswitch.web.tests.test_connection_limits import REQUEST, TIMEOUT_SECONDS, answer_ok

SEND_DELAY_SECONDS = 0.15


@pytest.mark.parametrize("used_before", [False, True])
def test_request_in_transit_during_a_planned_stop_is_answered(used_before):
    async def scenario():
        server = WebServer(answer_ok, "127.0.0.1", 0)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        if used_before:
            writer.write(REQUEST)
            await reader.readuntil(b"ok")
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(SEND_DELAY_SECONDS)
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answer = await reader.read()
            await stopping
        assert answer.startswith(b"HTTP/1.1 200 ")
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", server.port)
        writer.close()

    asyncio.run(scenario())


def connect_and_send(port: int, data: bytes = REQUEST) -> socket.socket:
    """Send data on a new connection without running the event loop."""
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall(data)
    return connection


async def read_answer(connection: socket.socket) -> bytes:
    reader, writer = await asyncio.open_connection(sock=connection)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize("loop_iterations", [0, 1, 2, 3])
def test_request_on_a_connection_that_is_not_accepted_yet_is_answered(loop_iterations):
    # Guards against resetting connections of the backlog when the listener closes, and against
    # dropping those that are accepted in the same iteration of the event loop.
    async def scenario():
        server = WebServer(answer_ok, "127.0.0.1", 0)
        await server.start()
        connection = connect_and_send(server.port)
        for _ in range(loop_iterations):
            await asyncio.sleep(0)
        stopping = asyncio.create_task(server.stop())
        assert (await read_answer(connection)).startswith(b"HTTP/1.1 200 ")
        await stopping

    asyncio.run(scenario())


async def serve_once(server: WebServer) -> socket.socket:
    """Return an idle connection that has served a request."""
    connection = connect_and_send(server.port)
    connection.setblocking(False)
    received = b""
    while not received.endswith(b"ok"):
        received += await asyncio.get_running_loop().sock_recv(connection, 1000)
    return connection


async def check_answered(sent_before: bytes, at_shutdown) -> None:
    """Check that a request on an idle connection is answered during a planned stop.

    `sent_before` is the part of it that is sent before the stop. `at_shutdown` takes the
    connection and the original shutdown of the server's side, which it has to call.
    """
    server = WebServer(answer_ok, "127.0.0.1", 0)
    await server.start()
    connection = await serve_once(server)
    connection.sendall(sent_before)
    original_shutdown = BoundedHttpProtocol.shutdown

    def shut_down(protocol):
        at_shutdown(connection, lambda: original_shutdown(protocol))

    with patch.object(BoundedHttpProtocol, "shutdown", shut_down):
        stopping = asyncio.create_task(server.stop())
        assert (await read_answer(connection)).startswith(b"HTTP/1.1 200 ")
        await stopping


def test_request_that_waits_unread_as_connections_close_is_answered():
    # Guards against resetting an idle connection on which a request has arrived.
    def send_and_shut_down(connection, shut_down):
        connection.sendall(REQUEST)
        shut_down()

    asyncio.run(check_answered(b"", send_and_shut_down))


def test_request_of_which_a_part_is_received_as_connections_close_is_answered():
    # Guards against closing a connection whose request's headers are still arriving.
    def shut_down_and_send(connection, shut_down):
        shut_down()
        connection.sendall(REQUEST[10:])

    asyncio.run(check_answered(REQUEST[:10], shut_down_and_send))


def test_response_to_a_request_from_before_the_stop_announces_the_close():
    # Guards against callers that send their next request on a connection about to be closed.
    async def scenario():
        stopping_has_begun = asyncio.Event()

        async def answer_late(scope, receive, send):
            if scope["type"] == "http":
                await stopping_has_begun.wait()
                await Exchange(scope, receive, send).respond(200, (), b"ok")

        server = WebServer(answer_late, "127.0.0.1", 0)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST)
        while not server._server.server_state.tasks:
            await asyncio.sleep(0)
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(0)
        stopping_has_begun.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answer = await reader.read()
            await stopping
        assert b"connection: close" in answer
        writer.close()

    asyncio.run(scenario())


def test_requests_that_outlast_the_deadline_are_cancelled_and_counted():
    async def scenario():
        async def answer_never(scope, receive, send):
            if scope["type"] == "http":
                await asyncio.Event().wait()

        server = WebServer(answer_never, "127.0.0.1", 0)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST)
        while not server._server.server_state.tasks:
            await asyncio.sleep(0)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            report = await server.stop(asyncio.get_running_loop().time())
            await reader.read()
        assert report.cancelled_count == 1
        writer.close()

    asyncio.run(scenario())
