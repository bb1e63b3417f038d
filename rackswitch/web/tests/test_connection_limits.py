"""Header and idle timeouts, tested on raw connections."""

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


async def exchange_raw(
    limits: ConnectionLimits, *sent: bytes, changed_limits: ConnectionLimits | None = None
):
    """Send bytes, then return everything received until the connection closes."""
    server = WebServer(answer_ok, "127.0.0.1", 0, limits=limits)
    await server.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    received = b""
    for data in sent:
        writer.write(data)
        if data.endswith(b"\r\n\r\n"):
            received += await reader.readuntil(b"ok")
        if changed_limits is not None:
            limits.header_timeout_seconds = changed_limits.header_timeout_seconds
            limits.idle_timeout_seconds = changed_limits.idle_timeout_seconds
    async with asyncio.timeout(TIMEOUT_SECONDS):
        received += await reader.read()
    writer.close()
    await server.stop()
    return received


def test_incomplete_headers_are_refused_and_the_connection_closed():
    limits = ConnectionLimits(0.1, 60.0)
    received = asyncio.run(exchange_raw(limits, b"GET /a HTTP/1.1\r\nHost: h\r\n"))
    assert received.startswith(b"HTTP/1.1 408 ")
    head, _, body = received.partition(b"\r\n\r\n")
    assert f"content-length: {len(body)}".encode() in head


def test_idle_connection_is_closed_without_a_response():
    limits = ConnectionLimits(60.0, 0.1)
    assert asyncio.run(exchange_raw(limits)) == b""
    received = asyncio.run(exchange_raw(limits, REQUEST, REQUEST))
    assert received.count(b"HTTP/1.1") == 2


def test_changed_limit_applies_to_open_connections():
    received = asyncio.run(
        exchange_raw(
            ConnectionLimits(60.0, 60.0),
            REQUEST,
            REQUEST,
            changed_limits=ConnectionLimits(60.0, 0.1),
        )
    )
    assert received.count(b"HTTP/1.1 200") == 2


def test_late_headers_after_a_complete_request_are_refused_after_its_response():
    limits = ConnectionLimits(0.1, 60.0)
    received = asyncio.run(exchange_raw(limits, REQUEST, b"GET /b HTTP/1.1\r\n"))
    assert received.count(b"HTTP/1.1 200") == 1
    assert received.count(b"HTTP/1.1 408") == 1
