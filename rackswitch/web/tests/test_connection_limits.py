"""Limits on heads and resting connections, on raw connections."""

import asyncio
from typing import Any

from rackswitch.web import WebServer
from rackswitch.web.connection_limits import ConnectionLimits
from rackswitch.web.exchange import Exchange

TIMEOUT_SECONDS = 5.0
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer_ok(scope: dict[str, Any], receive: Any, send: Any) -> None:
    if scope["type"] == "http":
        await Exchange(scope, receive, send).respond(200, (), b"ok")


async def talk(limits: ConnectionLimits, *sent: bytes, later: ConnectionLimits | None = None):
    """Send bytes, then read to the end of the connection; return what came."""
    server = WebServer(answer_ok, "127.0.0.1", 0, limits=limits)
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    received = b""
    for data in sent:
        writer.write(data)
        if data.endswith(b"\r\n\r\n"):
            received += await reader.readuntil(b"ok")
        if later is not None:
            limits.header_timeout_seconds = later.header_timeout_seconds
            limits.idle_timeout_seconds = later.idle_timeout_seconds
    async with asyncio.timeout(TIMEOUT_SECONDS):
        received += await reader.read()
    writer.close()
    await server.stop()
    return received


def test_a_head_that_does_not_end_is_refused_and_its_connection_closed():
    limits = ConnectionLimits(0.1, 60.0)
    received = asyncio.run(talk(limits, b"GET /a HTTP/1.1\r\nHost: h\r\n"))
    assert received.startswith(b"HTTP/1.1 408 ")
    head, _, body = received.partition(b"\r\n\r\n")
    assert f"content-length: {len(body)}".encode() in head


def test_a_connection_that_rests_is_closed_without_an_answer():
    limits = ConnectionLimits(60.0, 0.1)
    assert asyncio.run(talk(limits)) == b""
    received = asyncio.run(talk(limits, REQUEST, REQUEST))
    assert received.count(b"HTTP/1.1") == 2


def test_a_changed_limit_holds_for_connections_that_are_open():
    received = asyncio.run(
        talk(ConnectionLimits(60.0, 60.0), REQUEST, REQUEST, later=ConnectionLimits(60.0, 0.1))
    )
    assert received.count(b"HTTP/1.1 200") == 2


def test_a_late_head_behind_a_whole_request_is_refused_after_its_answer():
    limits = ConnectionLimits(0.1, 60.0)
    received = asyncio.run(talk(limits, REQUEST, b"GET /b HTTP/1.1\r\n"))
    assert received.count(b"HTTP/1.1 200") == 1
    assert received.count(b"HTTP/1.1 408") == 1
