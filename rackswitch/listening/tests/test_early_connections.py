import asyncio
import errno
import socket
import struct

import pytest

from rackswitch.listening import EarlyConnection, EarlyConnections, open_listening_socket
from rackswitch.listening.early_connections import MAX_BYTES, MAX_CONNECTIONS
from rackswitch.standins.loopback import own_loopback_host
from rackswitch.web import WebServer
from rackswitch.web.exchange import Exchange

REQUEST = b"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabcdef"


@pytest.fixture
def listening_socket():
    with open_listening_socket(own_loopback_host(), 0) as opened:
        yield opened


def connect(listening_socket: socket.socket) -> socket.socket:
    return socket.create_connection(listening_socket.getsockname())


def test_reads_what_arrives_before_a_server_exists(listening_socket):
    """Guards against callers that give an unread request up while the daemon starts."""
    early = EarlyConnections(listening_socket)
    with connect(listening_socket) as caller:
        caller.sendall(b"abc")
        early.poll()
        caller.sendall(b"def")
        early.poll()
        (taken,) = early.take()
        assert bytes(taken.received) == b"abcdef"
        taken.connection.close()
    assert early.take() == []


def test_drops_connections_that_the_caller_has_closed(listening_socket):
    """Guards against serving a caller that is gone."""
    early = EarlyConnections(listening_socket)
    connect(listening_socket).close()
    early.poll()
    assert early.take() == []


@pytest.mark.parametrize("error", [TimeoutError(), OSError(errno.EHOSTUNREACH, "no route")])
def test_drops_connections_that_fail(listening_socket, error):
    """Guards against an unreachable caller that ends the starting daemon."""

    class FailingConnection:
        closed = False

        def recv(self, size: int) -> bytes:
            raise error

        def close(self) -> None:
            self.closed = True

    early = EarlyConnections(listening_socket)
    connection = FailingConnection()
    early._connections.append(EarlyConnection(connection, bytearray()))
    early.poll()
    assert early.take() == []
    assert connection.closed


def test_bounds_connections_and_bytes(listening_socket):
    """Guards against a start that fills its memory or descriptors."""
    early = EarlyConnections(listening_socket)
    callers = [connect(listening_socket) for _ in range(MAX_CONNECTIONS + 1)]
    callers[0].sendall(bytes(MAX_BYTES + 1))
    early.poll()
    taken = early.take()
    assert len(taken) == MAX_CONNECTIONS
    assert max(len(one.received) for one in taken) <= MAX_BYTES
    for connection in [*callers, *(one.connection for one in taken)]:
        connection.close()


async def echo(scope, receive, send):
    if scope["type"] == "lifespan":
        return
    body = b""
    while True:
        message = await receive()
        body += message["body"]
        if not message["more_body"]:
            break
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": body})


@pytest.mark.parametrize("read_early", range(0, len(REQUEST) + 1, 7))
def test_a_server_serves_early_connections_in_the_order_of_their_bytes(
    listening_socket, read_early
):
    """Guards against bytes that arrive after the early ones and are handled before them."""

    async def scenario() -> bytes:
        early = EarlyConnections(listening_socket)
        caller = connect(listening_socket)
        caller.sendall(REQUEST[:read_early])
        early.poll()
        caller.sendall(REQUEST[read_early:])
        host, port = listening_socket.getsockname()
        server = WebServer(echo, host, port, opened_socket=listening_socket.dup())
        await server.start(early.take())
        caller.setblocking(False)
        response = b""
        async with asyncio.timeout(5.0):
            while b"abcdef" not in response:
                response += await asyncio.get_running_loop().sock_recv(caller, 4096)
        caller.close()
        await server.stop()
        return response

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")


def test_an_answered_caller_reads_the_whole_response(listening_socket):
    """Guards against a reset, by bytes that the caller sends later, that discards the response."""
    early = EarlyConnections(listening_socket)
    with connect(listening_socket) as caller:
        caller.sendall(REQUEST)
        early.poll()
        (connection,) = early.open_connections
        early.answer(connection, b"HTTP/1.1 503 x\r\n\r\n")
        caller.sendall(bytes(MAX_BYTES))
        early.poll()
        assert early.take() == []
        caller.settimeout(5.0)
        assert caller.recv(100) == b"HTTP/1.1 503 x\r\n\r\n"
        assert caller.recv(100) == b""


def test_answers_a_caller_that_has_left(listening_socket):
    """Guards against a caller's reset that ends the starting daemon."""
    early = EarlyConnections(listening_socket)
    caller = connect(listening_socket)
    caller.sendall(REQUEST)
    early.poll()
    (connection,) = early.open_connections
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()
    early.answer(connection, b"HTTP/1.1 503 x\r\n\r\n")
    assert early.take() == []


def test_a_request_keeps_the_time_of_its_arrival(listening_socket):
    """Guards against targets that get more time than the caller has left."""

    async def scenario() -> list[float | None]:
        arrivals = []

        async def record(scope, receive, send):
            if scope["type"] == "http":
                arrivals.append(Exchange(scope, receive, send).received_at_seconds)
                await echo(scope, receive, send)

        early = EarlyConnections(listening_socket, now_seconds=lambda: 12.5)
        host, port = listening_socket.getsockname()
        with connect(listening_socket) as caller:
            caller.sendall(REQUEST)
            early.poll()
            server = WebServer(record, host, port, opened_socket=listening_socket.dup())
            await server.start(early.take())
            caller.setblocking(False)
            for _ in range(2):
                response = b""
                async with asyncio.timeout(5.0):
                    while b"abcdef" not in response:
                        response += await asyncio.get_running_loop().sock_recv(caller, 4096)
                await asyncio.get_running_loop().sock_sendall(caller, REQUEST)
        await server.stop()
        return arrivals

    assert asyncio.run(scenario())[:2] == [12.5, None]
