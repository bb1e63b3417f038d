"""CPU time per line of the decision log, at several rates and with a stalled reader.

    python benchmarks/bench_log.py

A request writes one routine line. At the peak rate a daemon serves about 5 requests per second;
routine lines above 200 per second are counted instead of written.
"""

import json
import os
import threading
import time
from pathlib import Path

from rackswitch.telemetry import DecisionLog, Telemetry
from rackswitch.telemetry.events import AttemptFailed, Event, RequestEnded

RESULTS = Path(__file__).parent / "results"
LINES = 50_000
RATES_PER_SECOND = (5.0, 200.0, 5000.0)


class RateClock:
    """A simulated clock on which lines are written at a fixed rate."""

    def __init__(self, rate_per_second: float):
        self.now_seconds = 0.0
        self._step_seconds = 1.0 / rate_per_second

    def __call__(self) -> float:
        return self.now_seconds

    def advance(self) -> None:
        self.now_seconds += self._step_seconds


def request_ended_event(number: int) -> RequestEnded:
    return RequestEnded(
        request=f"9c41d07be2a3{number:06d}",
        route="lookup",
        caller_class=2,
        table_revision=7,
        list_age_seconds=0.2,
        targets_known=4,
        target="i-7f3a91c2",
        attempts=1,
        elapsed_seconds=0.031,
        outcome="200",
    )


def attempt_failed_event(number: int) -> AttemptFailed:
    return AttemptFailed(
        request=f"9c41d07be2a3{number:06d}",
        service="desk",
        target="i-7f3a91c2",
        attempt=1,
        may_have_run=True,
        detail="no whole answer: TimeoutError",
        attempt_seconds=0.2,
        list_age_seconds=0.2,
    )


def read_until_stopped(descriptor: int, stop: threading.Event) -> None:
    while not stop.is_set():
        if not os.read(descriptor, 1 << 16):
            return


def measure_log(
    make_event: type[Event] | object, rate_per_second: float, reader_reads: bool
) -> dict:
    """Return the CPU time per line and the number of folded and dropped lines."""
    reader, writer = os.pipe()
    stop = threading.Event()
    if reader_reads:
        threading.Thread(target=read_until_stopped, args=(reader, stop), daemon=True).start()
    clock = RateClock(rate_per_second)
    telemetry = Telemetry("d")
    log = DecisionLog("d", writer, telemetry.events.count, clock)
    events = [make_event(number) for number in range(LINES)]  # type: ignore[operator]
    max_write_seconds = 0.0
    cpu_began_seconds = time.thread_time()
    for number, event in enumerate(events):
        write_began_seconds = time.perf_counter()
        log.write(event)
        max_write_seconds = max(max_write_seconds, time.perf_counter() - write_began_seconds)
        clock.advance()
        if number % 50 == 0:
            log.flush()
    cpu_seconds = time.thread_time() - cpu_began_seconds
    stop.set()
    result = {
        "rate_per_second": rate_per_second,
        "reader": "reads" if reader_reads else "stalls",
        "us_a_line": round(cpu_seconds / LINES * 1e6, 2),
        "worst_write_ms": round(max_write_seconds * 1e3, 2),
        "folded": log.folded_total,
        "dropped": log.dropped_total,
    }
    telemetry.close()
    return result


def measure_counting_only() -> float:
    """Return the CPU time of counting an event without writing it."""
    telemetry = Telemetry("d")
    log = DecisionLog("d", None, telemetry.events.count)
    events = [request_ended_event(number) for number in range(LINES)]
    cpu_began_seconds = time.thread_time()
    for event in events:
        log.write(event)
    cpu_seconds = time.thread_time() - cpu_began_seconds
    telemetry.close()
    return round(cpu_seconds / LINES * 1e6, 2)


def main() -> None:
    result = {
        "lines": LINES,
        "counted_only_us": measure_counting_only(),
        "routine": [
            measure_log(request_ended_event, rate, reader_reads)
            for rate in RATES_PER_SECOND
            for reader_reads in (1, 0)
        ],
        "failures": [
            measure_log(attempt_failed_event, 5000.0, reader_reads) for reader_reads in (1, 0)
        ],
    }
    text = json.dumps(result, indent=1)
    (RESULTS / "log.json").write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
