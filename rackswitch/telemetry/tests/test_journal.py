import json
import os
import time

from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.journal import MOST_WAITING_LINES


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


def test_a_line_tells_who_when_and_what():
    reader, writer = os.pipe()
    log = DecisionLog("d", writer)
    log.write("decided", request="r1", age_seconds=0.5)
    assert not log.pump()
    [line] = parse(read_bytes(reader))
    assert line["daemon"] == "d"
    assert line["event"] == "decided"
    assert line["request"] == "r1"
    assert abs(line["time"] - time.time()) < 60


def test_a_reader_that_stalls_holds_nothing_up_and_what_was_dropped_is_counted():
    reader, writer = os.pipe()
    log = DecisionLog("d", writer)
    began = time.monotonic()
    for number in range(3 * MOST_WAITING_LINES):
        log.write("decided", number=number)
        if number % 1000 == 0:
            log.pump()
    assert time.monotonic() - began < 5.0
    assert log.dropped > 0
    content = b""
    while log.pump():
        content += read_bytes(reader)
    log.write("after")
    log.pump()
    lines = parse(content + read_bytes(reader))
    assert [line.get("number") for line in lines[:100]] == list(range(100))
    dropped = sum(line.get("lines_dropped_before", 0) for line in lines)
    assert len(lines) + dropped == 3 * MOST_WAITING_LINES + 1


def test_a_reader_that_has_gone_is_no_fault():
    reader, writer = os.pipe()
    os.close(reader)
    log = DecisionLog("d", writer)
    log.write("decided")
    assert not log.pump()
