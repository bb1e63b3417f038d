import hypothesis.strategies as st
from hypothesis import given

from rackswitch.jobs import TextPiece
from rackswitch.platform.events import EventParser, EventSplitter

STREAM = (
    b"id: 1\ndata: a\n\n"
    b"x-rackswitch-weight-versions: 7\nid: 2\ndata: b\ndata: c\n\n"
    b"id: 3\r\ndata:d\r\n\r\n"
)
PIECES = [TextPiece(1, "a", 6), TextPiece(2, "b\nc", 7), TextPiece(3, "d", 7)]


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in zip(edges, edges[1:], strict=False)]


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_events_and_versions_are_read_alike_however_the_bytes_come(places):
    parser = EventParser(6)
    pieces = [piece for data in cut(STREAM, places) for piece in parser.feed(data)]
    assert pieces == PIECES
    assert not parser.fault


@given(st.integers(0, len(STREAM) - 1))
def test_what_is_not_closed_by_an_empty_line_is_never_an_event(end):
    parser = EventParser(6)
    pieces = list(parser.feed(STREAM[:end]))
    assert pieces == PIECES[: len(pieces)]
    assert len(pieces) < 3


@given(st.integers(0, len(STREAM)))
def test_a_stream_that_ends_inside_an_event_shows_it(end):
    parser = EventParser(6)
    list(parser.feed(STREAM[:end]))
    ends = [0] + [STREAM.find(mark) + len(mark) for mark in (b"a\n\n", b"c\n\n")] + [len(STREAM)]
    assert parser.is_between_events == (end in ends)


def test_bytes_that_are_no_stream_are_a_fault():
    parser = EventParser(1)
    assert list(parser.feed(b"data: no number\n\n")) == []
    assert parser.fault


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_cut_events_are_the_streams_own_bytes(places):
    cutter = EventSplitter()
    events = [event for data in cut(STREAM, places) for event in cutter.feed(data)]
    assert b"".join(events) == STREAM
    assert len(events) == 3
    assert cutter.last_number == "3"
    assert cutter.is_between_events


def test_a_part_of_an_event_is_kept_back():
    cutter = EventSplitter()
    assert list(cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")) == [b"id: 1\ndata: a\n\n"]
    assert not cutter.is_between_events
    assert cutter.last_number == "1"
