"""A request is sent as often as its caller decides, whatever its method."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

import rackswitch
from rackswitch.clients.http import (
    NOT_SENT_ERRORS,
    CallFailed,
    ConnectionBrokenError,
    HttpSessions,
    call_json,
    error_name,
)
from rackswitch.clients.kv import KvUnavailable
from rackswitch.clients.plain_service import PlainFailed, PlainRequest, PlainServiceClient
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.store_calls import HttpTransport, StoreCall
from rackswitch.platform.target_calls import TargetClient
from rackswitch.requests import Call, TargetFailed
from rackswitch.routing import ListedTarget

METHODS = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE", "POST", "PATCH"]
ENDS = ["close", "reset", "gone"]
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
REDIRECT = b"HTTP/1.1 307 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
TOOLS = ("load", "standins", "demo")
"""Packages that play callers, trainers and targets, which are not the product's own clients."""


class BreakingServer:
    """Ends the connection of the first requests without an answer, and answers the later ones.

    Parameters
    ----------
    end : str
        ``close`` or ``reset`` the connection, or also close the listener (``gone``).
    breaks : int
        How many requests get no answer.
    """

    def __init__(self, end: str, breaks: int = 1, answer: bytes = ANSWER):
        self.requests: list[bytes] = []
        self.end = end
        self.breaks = breaks
        self.answer = answer
        self.server: asyncio.Server | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(10_000):
            self.requests.append(data)
            if len(self.requests) > self.breaks:
                writer.write(self.answer)
                continue
            if self.end == "gone" and self.server is not None:
                self.server.close()
            if self.end != "close":
                raw_socket = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort() if self.end != "close" else writer.close()
            return
        writer.close()


@asynccontextmanager
async def breaking_server(
    end: str, breaks: int = 1, answer: bytes = ANSWER
) -> AsyncIterator[tuple[BreakingServer, int]]:
    breaking = BreakingServer(end, breaks, answer)
    breaking.server = await asyncio.start_server(breaking.serve, "127.0.0.1", 0)
    port = breaking.server.sockets[0].getsockname()[1]
    try:
        yield breaking, port
    finally:
        breaking.server.close()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("kind", [HttpSessions, TargetSessions])
def test_a_session_sends_each_request_once(kind, method, end):
    # Guards against the repeat of a request by the client library, also after its next upgrade.
    async def scenario():
        sessions = kind()
        for session in (sessions.pooled, sessions.single_use):
            async with breaking_server(end) as (server, port):
                with pytest.raises(ConnectionBrokenError) as failure:
                    async with session.request(method, f"http://127.0.0.1:{port}/x"):
                        pass
                assert not isinstance(failure.value, NOT_SENT_ERRORS)
                assert error_name(failure.value) in ("ServerDisconnectedError", "ClientOSError")
                assert len(server.requests) == 1
        await sessions.close()

    asyncio.run(scenario())


def test_a_refused_connection_is_an_error_of_a_request_that_was_not_sent():
    # Guards against a call that never left being taken for one that may have run.
    async def scenario():
        sessions = HttpSessions()
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            with pytest.raises(NOT_SENT_ERRORS):
                async with sessions.single_use.request("PUT", f"http://127.0.0.1:{port}/"):
                    pass
        await sessions.close()

    asyncio.run(scenario())


def test_a_session_follows_no_redirect():
    # Guards against a request that is sent again to the address that an answer names.
    async def scenario():
        sessions = HttpSessions()
        async with (
            breaking_server("close", breaks=0, answer=REDIRECT) as (server, port),
            sessions.pooled.post(f"http://127.0.0.1:{port}/x", data=b"1") as answer,
        ):
            assert answer.status == 307
            assert len(server.requests) == 1
        await sessions.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("method", METHODS)
def test_a_call_that_must_not_be_repeated_reaches_one_target_once(method, end):
    # Guards against unsafe calls that run twice, and are told not to have run, after a crash.
    async def scenario():
        sessions = TargetSessions()
        call = Call("r1", "h.example", method, "/x", (), b"body")
        deadline_seconds = asyncio.get_running_loop().time() + 2.0
        async with breaking_server(end) as (server, port):
            target = ListedTarget("i-1", "s", "127.0.0.1", port, "z")
            client = TargetClient(sessions)
            for send in (client.forward, client.open_stream):
                if server.requests and end == "gone":
                    continue
                server.requests.clear()
                result = await send(target, call, deadline_seconds, True)
                assert isinstance(result, TargetFailed)
                assert result.may_have_run
                assert len(server.requests) == 1
        await sessions.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_the_plain_service_client_sends_a_call_once(method, end):
    # Guards against the same in the stand-alone deployment.
    async def scenario():
        sessions = HttpSessions()
        deadline_seconds = asyncio.get_running_loop().time() + 2.0
        request = PlainRequest("r1", method, "x", b"", "text/plain", False, deadline_seconds)
        async with breaking_server(end) as (server, port):
            url = f"http://127.0.0.1:{port}"
            result = await PlainServiceClient(sessions).call(url, request)
            assert isinstance(result, PlainFailed)
            assert result.may_have_run
            assert len(server.requests) == 1
        await sessions.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("method", ["GET", "DELETE", "POST"])
def test_a_call_to_the_service_is_sent_again_only_if_it_is_repeatable(method, is_repeatable, end):
    # Guards against writes that take effect twice, or are told to have had no effect.
    async def scenario():
        sessions = HttpSessions()
        async with breaking_server(end) as (server, port):
            transport = HttpTransport(f"http://127.0.0.1:{port}", sessions)
            result = await transport.send(
                StoreCall(
                    method=method,
                    target="/x",
                    content=b"",
                    timeout_seconds=2.0,
                    repeatable=is_repeatable,
                )
            )
            is_answered = is_repeatable and end != "gone"
            assert len(server.requests) == 1 + is_answered
            assert transport.repeat_count == is_repeatable
            assert isinstance(result, KvUnavailable) is not is_answered
            assert is_answered or result.effect_unknown
        await sessions.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("breaks", [1, 2])
def test_a_safe_json_call_is_sent_again_once(breaks):
    # Guards against reads that fail as the peer closes an idle connection.
    async def scenario():
        sessions = HttpSessions()
        async with breaking_server("close", breaks) as (server, port):
            url = f"http://127.0.0.1:{port}/"
            result = await call_json(sessions.pooled, "GET", url, dict, 2.0)
            assert isinstance(result, CallFailed) is (breaks == 2)
            assert len(server.requests) == 2
        await sessions.close()

    asyncio.run(scenario())


def test_only_one_module_creates_client_sessions():
    # Guards against a client whose requests the library repeats.
    root = Path(rackswitch.__file__).parent
    creators = {
        str(path.relative_to(root))
        for path in root.rglob("*.py")
        if "aiohttp.ClientSession(" in path.read_text()
        and "tests" not in path.parts
        and path.relative_to(root).parts[0] not in TOOLS
    }
    assert creators == {"clients/http.py"}
