"""Ends of item runs for complete, interrupted and malformed answers of engines."""

import asyncio

import pytest

from rackswitch.jobs import EngineLoad, JobItem, TextPiece
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.item_runs import ItemClient, ItemRequest, ItemRunEnd, ItemRunEnded
from rackswitch.platform.tests.support import raw_target

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Rackswitch-Request-Id: i1\r\nX-Rackswitch-Server-Stamp: s\r\n"
    b"X-Rackswitch-Weight-Versions: 4\r\n"
)
EVENT = b"id: 1\ndata: a\n\n"
ITEM = JobItem(item_id="i1", path="/p", headers=(), body=b"b", tokens=1)


HEAD_WITHOUT_VERSION = HEAD.replace(b"X-Rackswitch-Weight-Versions: 4\r\n", b"")


async def run_item(
    answer: bytes, reset: bool = False, after_piece: int = 0
) -> tuple[list[TextPiece], ItemRunEnded, bytes]:
    """Run an item at a target that answers with the given bytes."""
    sessions = TargetSessions()
    request = ItemRequest("h.example", ITEM, after_piece, 5)
    pieces: list[TextPiece] = []
    ended = None
    async with raw_target(answer, reset) as (target, raw):
        async for piece in ItemClient(sessions).run(target, request, 2.0, 2.0):
            if isinstance(piece, ItemRunEnded):
                ended = piece
            else:
                pieces.append(piece)
    await sessions.close()
    assert ended is not None
    return pieces, ended, raw.requests[0]


def chunked(*parts: bytes) -> bytes:
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks


@pytest.mark.parametrize(
    ("answer", "reset", "end", "count"),
    [
        (chunked(EVENT) + b"0\r\n\r\n", False, ItemRunEnd.COMPLETE, 1),
        (HEAD + b"\r\n" + EVENT, False, ItemRunEnd.COMPLETE, 1),
        # The answer ends correctly, but inside an event.
        (chunked(EVENT, b"id: 2\nda") + b"0\r\n\r\n", False, ItemRunEnd.INTERRUPTED, 1),
        (chunked(EVENT, b"id: 2\n") + b"0\r\n\r\n", False, ItemRunEnd.INTERRUPTED, 1),
        (HEAD + b"\r\n" + EVENT + b"id: 2\ndata: b\n", False, ItemRunEnd.INTERRUPTED, 1),
        (chunked(EVENT), False, ItemRunEnd.INTERRUPTED, 1),
        (HEAD + b"\r\n" + EVENT, True, ItemRunEnd.INTERRUPTED, 1),
        (chunked(b"data: no number\n\n") + b"0\r\n\r\n", False, ItemRunEnd.INTERRUPTED, 0),
        (HEAD.replace(b"i1", b"i2") + b"\r\n" + EVENT, False, ItemRunEnd.INTERRUPTED, 0),
        (b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", False, ItemRunEnd.MISDIRECTED, 0),
        (
            b"HTTP/1.1 503 X\r\nX-Rackswitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            False,
            ItemRunEnd.NOT_RUN,
            0,
        ),
        (HEAD.replace(b"200 OK", b"422 X") + b"\r\n", False, ItemRunEnd.IMPOSSIBLE, 0),
        (HEAD.replace(b"200 OK", b"500 X") + b"\r\n", False, ItemRunEnd.FAILED, 0),
        (b"", False, ItemRunEnd.INTERRUPTED, 0),
    ],
)
def test_a_stream_is_complete_only_if_it_ends_between_events(answer, reset, end, count):
    pieces, ended, _ = asyncio.run(run_item(answer, reset))
    assert ended.end is end, ended
    assert [piece.number for piece in pieces] == list(range(1, count + 1))


@pytest.mark.parametrize("number", ["1" + "0" * 30, "9" * 5000, "-1", "1.5", "\u00b2", ""])
def test_a_number_out_of_range_ends_the_run(number):
    """Guards against numbers of an engine that no result can hold."""
    value = number.encode()
    answers = (
        HEAD.replace(b": 4", b": " + value) + b"\r\n" + EVENT,
        HEAD + b"\r\nx-rackswitch-weight-versions: " + value + b"\n" + EVENT,
        HEAD + b"\r\n" + EVENT.replace(b"1", value),
    )
    for answer in answers:
        pieces, ended, _ = asyncio.run(run_item(answer))
        assert ended.end is ItemRunEnd.INTERRUPTED
        assert pieces == []


@pytest.mark.parametrize(
    ("answer", "after_piece", "end"),
    [
        # An answer after the last event names no version.
        (
            HEAD_WITHOUT_VERSION + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            7,
            ItemRunEnd.COMPLETE,
        ),
        (HEAD_WITHOUT_VERSION + b"Content-Length: 0\r\n\r\n", 7, ItemRunEnd.COMPLETE),
        # A run from the beginning always yields events.
        (HEAD_WITHOUT_VERSION + b"Content-Length: 0\r\n\r\n", 0, ItemRunEnd.INTERRUPTED),
        (HEAD_WITHOUT_VERSION + b"Transfer-Encoding: chunked\r\n\r\n", 7, ItemRunEnd.INTERRUPTED),
        # An event without a version is invalid.
        (HEAD_WITHOUT_VERSION + b"\r\n" + EVENT, 0, ItemRunEnd.INTERRUPTED),
        # The version announces events; without any, the engine stopped early.
        (HEAD + b"Content-Length: 0\r\n\r\n", 7, ItemRunEnd.INTERRUPTED),
        # Without a declared length, a closed connection does not show that the text is complete.
        (HEAD_WITHOUT_VERSION + b"\r\n", 7, ItemRunEnd.INTERRUPTED),
    ],
)
def test_resuming_after_the_last_event_completes_the_text(answer, after_piece, end):
    pieces, ended, _ = asyncio.run(run_item(answer, after_piece=after_piece))
    assert ended.end is end, ended
    assert pieces == []


@pytest.mark.parametrize(
    ("header", "load"),
    [
        (b"X-Rackswitch-Server-Load: 3,1,8\r\n", EngineLoad(3, 1)),
        (b"X-Rackswitch-Server-Load: 3, 1, 8\r\n", EngineLoad(3, 1)),
        (b"X-Rackswitch-Server-Load: 3,1,8,120\r\n", EngineLoad(3, 1)),
        (b"X-Rackswitch-Server-Load: 3,1\r\n", None),
        (b"X-Rackswitch-Server-Load: a,b,c\r\n", None),
        (b"", None),
    ],
)
def test_yields_the_load_in_an_engines_answer(header, load):
    answer = HEAD + header + b"\r\n" + EVENT
    pieces, _, _ = asyncio.run(run_item(answer))
    assert [piece for piece in pieces if isinstance(piece, EngineLoad)] == ([load] if load else [])
