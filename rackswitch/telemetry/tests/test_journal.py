import json
import os
import time

import pytest

from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import (
    EVENTS,
    DependencyLost,
    Event,
    LinesFolded,
    RequestEnded,
    Stopped,
    TargetGone,
)
from rackswitch.telemetry.journal import (
    FOLDED_REPORT_INTERVAL_SECONDS,
    MAX_QUEUED_LINES,
    ROUTINE_BURST_LINES,
    ROUTINE_LINES_PER_SECOND,
)

DEPENDENCY_LOST = DependencyLost(dependency="key-value", detail="TimeoutError")


class ManualClock:
    def __init__(self) -> None:
        self.now_seconds = 100.0

    def __call__(self) -> float:
        return self.now_seconds


def make_request_ended(number: int, outcome: str = "200") -> RequestEnded:
    return RequestEnded(
        request=f"r{number}",
        route="lookup",
        caller_class=2,
        table_revision=7,
        list_age_seconds=0.2,
        targets_known=4,
        target="i-1",
        attempts=1,
        elapsed_seconds=0.03,
        outcome=outcome,
    )


def read_bytes(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    content = b""
    while True:
        try:
            content += os.read(descriptor, 1 << 16)
        except BlockingIOError:
            return content


def parse_lines(content: bytes) -> list[dict]:
    return [json.loads(line) for line in content.splitlines()]


def flush_and_read(log: DecisionLog, reader: int) -> list[dict]:
    """Flush the log until its queue is empty; return the lines."""
    content = b""
    while log.flush():
        content += read_bytes(reader)
    return parse_lines(content + read_bytes(reader))


def test_line_has_daemon_clocks_and_event_fields():
    reader, writer = os.pipe()
    clock = ManualClock()
    log = DecisionLog("d", writer, monotonic_seconds=clock)
    clock.now_seconds += 2.5
    log.write(make_request_ended(1))
    [line] = flush_and_read(log, reader)
    assert line["daemon"] == "d"
    assert line["event"] == "request ended"
    assert line["request"] == "r1"
    assert line["up"] == 2.5
    assert abs(line["time"] - time.time()) < 60


@pytest.mark.parametrize("name", EVENTS.names())
def test_event_fields_do_not_collide_with_header_fields(name):
    event_class = EVENTS.get(name)
    assert issubclass(event_class, Event)
    assert event_class.__doc__
    assert not {"time", "up", "daemon", "lines_dropped_before"} & set(event_class.__struct_fields__)


def test_stalled_reader_does_not_block_and_dropped_lines_are_counted():
    reader, writer = os.pipe()
    counted: list[Event] = []
    log = DecisionLog("d", writer, counted.append)
    for number in range(3 * MAX_QUEUED_LINES):
        log.write(TargetGone(target=f"i{number}", still_used=False))
        if number % 1000 == 0:
            log.flush()
    assert log.dropped_total > 0
    # Dropped events are passed to `on_event` too.
    assert len(counted) == 3 * MAX_QUEUED_LINES
    lines = flush_and_read(log, reader)
    log.write(DEPENDENCY_LOST)
    lines += flush_and_read(log, reader)
    assert [line["target"] for line in lines[:100]] == [f"i{number}" for number in range(100)]
    dropped = sum(line.get("lines_dropped_before", 0) for line in lines)
    assert dropped == log.dropped_total
    assert len(lines) + dropped == 3 * MAX_QUEUED_LINES + 1


def test_routine_lines_beyond_the_rate_are_folded_and_failures_are_not():
    reader, writer = os.pipe()
    clock = ManualClock()
    log = DecisionLog("d", writer, monotonic_seconds=clock)
    count = 5 * int(ROUTINE_BURST_LINES)
    for number in range(count):
        log.write(make_request_ended(number))
        if number % 100 == 0:
            log.write(make_request_ended(number, "503"))
    clock.now_seconds += FOLDED_REPORT_INTERVAL_SECONDS
    lines = flush_and_read(log, reader)
    folded = sum(sum(line["counts"].values()) for line in lines if line["event"] == "lines folded")
    request_lines = [line for line in lines if line["event"] == "request ended"]
    assert [line["outcome"] for line in request_lines].count("503") == count // 100
    assert len(request_lines) + folded == count + count // 100
    assert folded == log.folded_total > 0


def test_routine_lines_are_written_individually_again_once_the_rate_falls():
    reader, writer = os.pipe()
    clock = ManualClock()
    log = DecisionLog("d", writer, monotonic_seconds=clock)
    for number in range(2 * int(ROUTINE_BURST_LINES)):
        log.write(make_request_ended(number))
    clock.now_seconds += 10 / ROUTINE_LINES_PER_SECOND
    flush_and_read(log, reader)
    log.write(make_request_ended(9))
    assert [line["request"] for line in flush_and_read(log, reader)] == ["r9"]


def test_lines_count_as_dropped_once_the_reader_has_closed_the_pipe():
    reader, writer = os.pipe()
    os.close(reader)
    log = DecisionLog("d", writer)
    log.write(DEPENDENCY_LOST)
    assert not log.flush()
    log.write(DEPENDENCY_LOST)
    assert not log.flush()
    assert log.dropped_total == 2


def test_without_a_descriptor_events_are_only_passed_to_on_event():
    counted: list[Event] = []
    log = DecisionLog("d", None, counted.append)
    log.write(Stopped(whole=True))
    assert not log.flush()
    assert counted == [Stopped(whole=True)]


def test_folded_counts_event_is_not_folded_itself():
    assert not LinesFolded(counts={"results read": 3}).is_routine
