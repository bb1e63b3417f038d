"""What the decision log costs: a line, a request at the peak rate, and a reader that stalls.

    python benchmarks/bench_log.py

A request writes one routine line; at the peak 1,700 a second reach 330 daemons, some 5 a
second each, so the rates here are far beyond: 200 a second is what is written one by one.
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
    """A steady clock by which lines come at a rate."""

    def __init__(self, rate_per_second: float):
        self.now_seconds = 0.0
        self._step_seconds = 1.0 / rate_per_second

    def __call__(self) -> float:
        return self.now_seconds

    def step(self) -> None:
        self.now_seconds += self._step_seconds


def served(number: int) -> RequestEnded:
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


def failed(number: int) -> AttemptFailed:
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


def drain(descriptor: int, stop: threading.Event) -> None:
    while not stop.is_set():
        if not os.read(descriptor, 1 << 16):
            return


def seconds_a_line(make: type[Event] | object, rate_per_second: float, reads: bool) -> dict:
    """Return the processor time of a line, and what became of all lines."""
    reader, writer = os.pipe()
    stop = threading.Event()
    if reads:
        threading.Thread(target=drain, args=(reader, stop), daemon=True).start()
    clock = RateClock(rate_per_second)
    telemetry = Telemetry("d")
    log = DecisionLog("d", writer, telemetry.events.count, clock)
    events = [make(number) for number in range(LINES)]  # type: ignore[operator]
    worst = 0.0
    began = time.thread_time()
    for number, event in enumerate(events):
        one = time.perf_counter()
        log.write(event)
        worst = max(worst, time.perf_counter() - one)
        clock.step()
        if number % 50 == 0:
            log.pump()
    spent = time.thread_time() - began
    stop.set()
    result = {
        "rate_per_second": rate_per_second,
        "reader": "reads" if reads else "stalls",
        "us_a_line": round(spent / LINES * 1e6, 2),
        "worst_write_ms": round(worst * 1e3, 2),
        "folded": log.folded_total,
        "dropped": log.dropped_total,
    }
    telemetry.close()
    return result


def without_a_log() -> float:
    """Return the processor time of making and counting an event that is written nowhere."""
    telemetry = Telemetry("d")
    log = DecisionLog("d", None, telemetry.events.count)
    events = [served(number) for number in range(LINES)]
    began = time.thread_time()
    for event in events:
        log.write(event)
    spent = time.thread_time() - began
    telemetry.close()
    return round(spent / LINES * 1e6, 2)


def main() -> None:
    result = {
        "lines": LINES,
        "counted_only_us": without_a_log(),
        "routine": [
            seconds_a_line(served, rate, reads) for rate in RATES_PER_SECOND for reads in (1, 0)
        ],
        "failures": [seconds_a_line(failed, 5000.0, reads) for reads in (1, 0)],
    }
    text = json.dumps(result, indent=1)
    (RESULTS / "log.json").write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
