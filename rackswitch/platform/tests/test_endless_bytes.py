"""Engines that send bytes without end, in a head or a body."""

import asyncio
from contextlib import aclosing

import pytest

from rackswitch.clients.bodies import MAX_BODY_BYTES, MAX_CONTROL_BODY_BYTES
from rackswitch.jobs import JobItem, TextPiece
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.events import MAX_EVENT_BYTES, EventParser, EventSplitter
from rackswitch.platform.item_runs import ItemClient, ItemRequest, ItemRunEnd, ItemRunEnded
from rackswitch.platform.orders import NoReport, OrderAnswer, OrderClient, VersionOrder
from rackswitch.platform.target_calls import TargetClient
from rackswitch.platform.tests.support import endless_target
from rackswitch.requests import Call, TargetFailed
from rackswitch.routing import ListedTarget

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Rackswitch-Request-Id: i1\r\nX-Rackswitch-Server-Stamp: s\r\n"
    b"X-Rackswitch-Weight-Versions: 4\r\n"
)
EVENT = b"id: 1\ndata: a\n\n"
ITEM = JobItem(item_id="i1", path="/p", headers=(), body=b"b", tokens=1)
FIRST_PIECE_SECONDS = 0.5
NEXT_PIECE_SECONDS = 0.3
TIMEOUT_SECONDS = 5.0
CHUNK_BYTES = 65_536


async def run_item(
    target: ListedTarget,
) -> tuple[list[TextPiece], ItemRunEnded, float]:
    """Run an item; return its pieces, its end and how long it took."""
    sessions = TargetSessions()
    request = ItemRequest("h.example", ITEM, 0, 5)
    pieces: list[TextPiece] = []
    ended: ItemRunEnded | None = None
    started_seconds = asyncio.get_running_loop().time()
    run = ItemClient(sessions).run(target, request, FIRST_PIECE_SECONDS, NEXT_PIECE_SECONDS)
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS), aclosing(run):
            async for piece in run:
                if isinstance(piece, ItemRunEnded):
                    ended = piece
                elif isinstance(piece, TextPiece):
                    pieces.append(piece)
    finally:
        await sessions.close()
    assert ended is not None
    return pieces, ended, asyncio.get_running_loop().time() - started_seconds


@pytest.mark.parametrize("prefix", [HEAD + b"\r\n", HEAD + b"\r\n" + EVENT])
@pytest.mark.parametrize("repeated", [b": keep\n", b": keep\n\n", b"\n"])
def test_a_run_whose_bytes_are_no_pieces_ends_in_time(prefix, repeated):
    """Guards against an item that stays at an engine that sends comments without end."""

    async def scenario():
        async with endless_target(prefix, repeated, 0.02) as (target, _):
            return await run_item(target)

    pieces, ended, took_seconds = asyncio.run(scenario())
    assert ended.end is ItemRunEnd.SILENT
    assert len(pieces) == (EVENT in prefix)
    assert took_seconds < FIRST_PIECE_SECONDS + NEXT_PIECE_SECONDS


@pytest.mark.parametrize("prefix", [b"", EVENT])
@pytest.mark.parametrize(
    "repeated",
    [b"x" * CHUNK_BYTES, b"data: " + b"x" * CHUNK_BYTES + b"\n", b": " + b"x" * 1000 + b"\n"],
    ids=["line", "event", "comments"],
)
def test_an_event_without_an_end_is_not_kept(prefix, repeated):
    """Guards against a stream whose unfinished event takes a daemon's memory and processor."""
    parser, splitter = EventParser(4), EventSplitter()
    fed_bytes = 0
    events = [*parser.feed(prefix), *splitter.feed(prefix)]
    while not (parser.fault and splitter.fault) and fed_bytes < 2 * MAX_EVENT_BYTES:
        events += [*parser.feed(repeated), *splitter.feed(repeated)]
        fed_bytes += len(repeated)
    assert "longer than 1048576 bytes" in parser.fault
    assert "longer than 1048576 bytes" in splitter.fault
    assert len(events) == 2 * bool(prefix)
    assert fed_bytes <= MAX_EVENT_BYTES + 2 * CHUNK_BYTES


def test_a_long_event_is_complete():
    """Guards against a limit on the length of a stream instead of one event."""
    text = "x" * (MAX_EVENT_BYTES // 2)
    parser = EventParser(4)
    pieces = [
        piece
        for number in range(1, 5)
        for piece in parser.feed(f"id: {number}\ndata: {text}\n\n".encode())
    ]
    assert [piece.text for piece in pieces] == [text] * 4
    assert parser.fault == ""


CALL = Call("i1", "h.example", "POST", "/a", (), b"body")
ENDLESS_BODY = b"x" * 100_000


async def forward(target: ListedTarget, sessions: TargetSessions) -> object:
    deadline_seconds = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
    return await TargetClient(sessions).forward(target, CALL, deadline_seconds, False)


async def report(target: ListedTarget, sessions: TargetSessions) -> object:
    return await OrderClient(sessions).report(target)


async def order(target: ListedTarget, sessions: TargetSessions) -> object:
    return await OrderClient(sessions).order_version(
        target, VersionOrder("m", 2, "d0", 1, 0, False)
    )


@pytest.mark.parametrize(
    ("call", "status", "expected", "max_bytes"),
    [
        (forward, b"200 OK", TargetFailed, MAX_BODY_BYTES),
        (forward, b"503 Busy\r\nX-Rackswitch-Not-Run: 1", TargetFailed, MAX_CONTROL_BODY_BYTES),
        (report, b"200 OK", NoReport, MAX_CONTROL_BODY_BYTES),
        (order, b"200 OK", OrderAnswer, MAX_CONTROL_BODY_BYTES),
    ],
)
def test_a_call_gives_up_a_body_without_an_end(call, status, expected, max_bytes):
    """Guards against calls that read all that an engine sends until their deadline."""

    async def scenario():
        sessions = TargetSessions()
        head = HEAD.replace(b"200 OK", status) + b"\r\n"
        async with endless_target(head, ENDLESS_BODY) as (target, raw):
            result = await call(target, sessions)
            await sessions.close()
            return result, raw.sent_bytes

    result, sent_bytes = asyncio.run(scenario())
    assert isinstance(result, expected)
    # Bytes in the sockets' buffers are sent but not read.
    assert sent_bytes < max_bytes + 20_000_000
