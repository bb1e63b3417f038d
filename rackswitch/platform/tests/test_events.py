import hypothesis.strategies as st
from hypothesis import given

from rackswitch.jobs import TextPiece
from rackswitch.platform.events import EventParser, EventSplitter

STREAM = (
    b"id: 1\ndata: a\n\n"
    b"x-rackswitch-weight-versions: 7\nid: 2\ndata: b\ndata: c\n\n"
    b"id: 3\r\ndata:d\r\n\r\n"
)
EXPECTED_PIECES = [TextPiece(1, "a", 6), TextPiece(2, "b\nc", 7), TextPiece(3, "d", 7)]


def split_at(data: bytes, offsets: list[int]) -> list[bytes]:
    bounds = sorted({offset % (len(data) + 1) for offset in offsets} | {0, len(data)})
    return [data[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_parses_events_and_versions_independently_of_the_chunks(offsets):
    parser = EventParser(6)
    pieces = [piece for data in split_at(STREAM, offsets) for piece in parser.feed(data)]
    assert pieces == EXPECTED_PIECES
    assert not parser.fault


@given(st.integers(0, len(STREAM) - 1))
def test_yields_no_event_before_its_empty_line(end):
    parser = EventParser(6)
    pieces = list(parser.feed(STREAM[:end]))
    assert pieces == EXPECTED_PIECES[: len(pieces)]
    assert len(pieces) < 3


@given(st.integers(0, len(STREAM)))
def test_reports_a_stream_that_ends_inside_an_event(end):
    parser = EventParser(6)
    list(parser.feed(STREAM[:end]))
    ends = (
        [0]
        + [STREAM.find(terminator) + len(terminator) for terminator in (b"a\n\n", b"c\n\n")]
        + [len(STREAM)]
    )
    assert parser.is_between_events == (end in ends)


def test_reports_an_event_without_a_number_as_a_fault():
    parser = EventParser(1)
    assert list(parser.feed(b"data: no number\n\n")) == []
    assert parser.fault


@given(st.lists(st.integers(0, 1000), max_size=8))
def test_splits_events_without_changing_bytes(offsets):
    splitter = EventSplitter()
    events = [event for data in split_at(STREAM, offsets) for event in splitter.feed(data)]
    assert b"".join(events) == STREAM
    assert len(events) == 3
    assert splitter.last_event_id == "3"
    assert splitter.is_between_events


def test_holds_back_a_partial_event():
    splitter = EventSplitter()
    assert list(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")) == [b"id: 1\ndata: a\n\n"]
    assert not splitter.is_between_events
    assert splitter.last_event_id == "1"
