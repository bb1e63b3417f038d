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
    FOLD_SECONDS,
    MAX_WAITING_LINES,
    ROUTINE_BURST_LINES,
    ROUTINE_LINES_PER_SECOND,
)

LOST = DependencyLost(dependency="key-value", detail="TimeoutError")


class SteadyClock:
    def __init__(self) -> None:
        self.now_seconds = 100.0

    def __call__(self) -> float:
        return self.now_seconds


def served(number: int, outcome: str = "200") -> RequestEnded:
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


def parse(content: bytes) -> list[dict]:
    return [json.loads(line) for line in content.splitlines()]


def read_all(log: DecisionLog, reader: int) -> list[dict]:
    """Pump until nothing is left; return the lines."""
    content = b""
    while log.pump():
        content += read_bytes(reader)
    return parse(content + read_bytes(reader))


def test_a_line_tells_who_when_and_what():
    reader, writer = os.pipe()
    clock = SteadyClock()
    log = DecisionLog("d", writer, steady_seconds=clock)
    clock.now_seconds += 2.5
    log.write(served(1))
    [line] = read_all(log, reader)
    assert line["daemon"] == "d"
    assert line["event"] == "request ended"
    assert line["request"] == "r1"
    assert line["up"] == 2.5
    assert abs(line["time"] - time.time()) < 60


@pytest.mark.parametrize("name", EVENTS.names())
def test_each_event_says_what_it_is_about_in_plain_fields(name):
    kind = EVENTS.get(name)
    assert issubclass(kind, Event)
    assert kind.__doc__
    assert not {"time", "up", "daemon", "lines_dropped_before"} & set(kind.__struct_fields__)


def test_a_reader_that_stalls_holds_nothing_up_and_what_was_dropped_is_counted():
    reader, writer = os.pipe()
    counted: list[Event] = []
    log = DecisionLog("d", writer, counted.append)
    for number in range(3 * MAX_WAITING_LINES):
        log.write(TargetGone(target=f"i{number}", still_used=False))
        if number % 1000 == 0:
            log.pump()
    assert log.dropped_total > 0
    # Metrics see every event, written or not.
    assert len(counted) == 3 * MAX_WAITING_LINES
    lines = read_all(log, reader)
    log.write(LOST)
    lines += read_all(log, reader)
    assert [line["target"] for line in lines[:100]] == [f"i{number}" for number in range(100)]
    dropped = sum(line.get("lines_dropped_before", 0) for line in lines)
    assert dropped == log.dropped_total
    assert len(lines) + dropped == 3 * MAX_WAITING_LINES + 1


def test_routine_lines_beyond_a_rate_are_folded_and_failures_are_not():
    reader, writer = os.pipe()
    clock = SteadyClock()
    log = DecisionLog("d", writer, steady_seconds=clock)
    count = 5 * int(ROUTINE_BURST_LINES)
    for number in range(count):
        log.write(served(number))
        if number % 100 == 0:
            log.write(served(number, "503"))
    clock.now_seconds += FOLD_SECONDS
    lines = read_all(log, reader)
    folded = sum(sum(line["counts"].values()) for line in lines if line["event"] == "lines folded")
    told = [line for line in lines if line["event"] == "request ended"]
    assert [line["outcome"] for line in told].count("503") == count // 100
    assert len(told) + folded == count + count // 100
    assert folded == log.folded_total > 0


def test_routine_lines_are_told_one_by_one_again_once_the_rate_has_fallen():
    reader, writer = os.pipe()
    clock = SteadyClock()
    log = DecisionLog("d", writer, steady_seconds=clock)
    for number in range(2 * int(ROUTINE_BURST_LINES)):
        log.write(served(number))
    clock.now_seconds += 10 / ROUTINE_LINES_PER_SECOND
    read_all(log, reader)
    log.write(served(9))
    assert [line["request"] for line in read_all(log, reader)] == ["r9"]


def test_a_reader_that_has_gone_is_no_fault_and_its_lines_count_as_dropped():
    reader, writer = os.pipe()
    os.close(reader)
    log = DecisionLog("d", writer)
    log.write(LOST)
    assert not log.pump()
    log.write(LOST)
    assert not log.pump()
    assert log.dropped_total == 2


def test_without_a_descriptor_events_are_counted_only():
    counted: list[Event] = []
    log = DecisionLog("d", None, counted.append)
    log.write(Stopped(whole=True))
    assert not log.pump()
    assert counted == [Stopped(whole=True)]


def test_a_count_of_folded_lines_is_a_line_of_its_own():
    assert not LinesFolded(counts={"results read": 3}).is_routine
