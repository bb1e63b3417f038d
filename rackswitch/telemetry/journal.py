"""The decision log: JSON lines written to standard output without blocking."""

import asyncio
import os
import time
from collections import Counter, deque
from collections.abc import Callable

import msgspec

from rackswitch.telemetry.events import Event, LinesFolded

__all__ = ["DecisionLog", "LineHeader"]

MAX_QUEUED_LINES = 4000
"""Lines queued while the reader is stalled, some 1 MB; further ones are dropped and counted."""

ROUTINE_FOLDING_QUEUE_LINES = 2000
"""Queue length from which routine lines are folded; the rest is for failures and state changes."""

ROUTINE_LINES_PER_SECOND = 200.0
"""Rate up to which routine lines are written individually. A line takes some 40 us
(`benchmarks/bench_log.py`), so this is 0.8 % of a core."""

ROUTINE_BURST_LINES = 400.0
"""Routine lines that may be written individually in a burst after an idle time."""

FLUSH_INTERVAL_SECONDS = 0.1
FOLDED_REPORT_INTERVAL_SECONDS = 1.0
WRITE_BLOCK_BYTES = 32_768
"""Half of a typical pipe buffer, so that partial writes are rare."""


class LineHeader(msgspec.Struct, frozen=True, omit_defaults=True):
    """The fields of a line that precede those of its event.

    Attributes
    ----------
    time : float
        The VM's wall clock, Unix seconds; it may jump.
    up : float
        Seconds since the process began to log, on the monotonic clock.
    lines_dropped_before : int
        Lines dropped since the previous one, as the queue was full or the pipe closed.
    """

    time: float
    up: float
    daemon: str
    lines_dropped_before: int = 0


class DecisionLog:
    """Writes one line for each decision.

    Lines are put into a bounded queue and written without blocking by `flush`, which has to be
    called regularly. Lines are dropped while the queue is full, and the next line says how many
    were. Routine lines beyond a rate are folded into counts; failures and state changes are not.

    Parameters
    ----------
    daemon : str
        The daemon's name, on each line.
    descriptor : int or None
        File descriptor to write to; with None, nothing is written, but `on_event` is still called.
    on_event : callable, optional
        Called with every event, written or not (for metrics).
    monotonic_seconds : callable, optional
        The monotonic clock.
    """

    __slots__ = (
        "_started_at_seconds",
        "_on_event",
        "_daemon",
        "_descriptor",
        "_credit_updated_at_seconds",
        "_folded_counts",
        "_folded_reported_at_seconds",
        "_has_reader",
        "_queued_lines",
        "_unwritten",
        "_routine_credit",
        "_monotonic_seconds",
        "dropped",
        "dropped_total",
        "folded_total",
    )

    def __init__(
        self,
        daemon: str,
        descriptor: int | None = 1,
        on_event: Callable[[Event], None] | None = None,
        monotonic_seconds: Callable[[], float] = time.monotonic,
    ):
        self._daemon = daemon
        self._descriptor = descriptor
        self._on_event = on_event
        self._monotonic_seconds = monotonic_seconds
        self._started_at_seconds = monotonic_seconds()
        self._queued_lines: deque[bytes] = deque()
        self._unwritten = b""
        self._has_reader = descriptor is not None
        self._routine_credit = ROUTINE_BURST_LINES
        self._credit_updated_at_seconds = self._started_at_seconds
        self._folded_counts: Counter[str] = Counter()
        self._folded_reported_at_seconds = self._started_at_seconds
        self.dropped = 0
        self.dropped_total = 0
        self.folded_total = 0
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def write(self, event: Event) -> None:
        """Queue an event's line, or only count the event if routine lines are folded."""
        if self._on_event is not None:
            self._on_event(event)
        if self._descriptor is None:
            return
        if event.is_routine and not self._take_routine_credit():
            self._folded_counts[str(event.__struct_config__.tag)] += 1
            self.folded_total += 1
            return
        self._enqueue(event)

    def flush(self) -> bool:
        """Write lines until the descriptor would block; return whether any are left."""
        if self._descriptor is None:
            return False
        self._report_folded()
        while self._unwritten or self._queued_lines:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                bytes_written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return True
            except OSError:
                # The reader has closed the pipe; the daemon goes on and counts the lost lines.
                self._has_reader = False
                self._count_dropped(self._unwritten.count(b"\n") + len(self._queued_lines))
                self._queued_lines.clear()
                self._unwritten = b""
                return False
            self._unwritten = self._unwritten[bytes_written:]
        return False

    async def run(self) -> None:
        """Write queued lines periodically until cancelled."""
        while True:
            self.flush()
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)

    def _enqueue(self, event: Event) -> None:
        if not self._has_reader or len(self._queued_lines) >= MAX_QUEUED_LINES:
            self._count_dropped(1)
            return
        header = LineHeader(
            round(time.time(), 4),
            round(self._monotonic_seconds() - self._started_at_seconds, 4),
            self._daemon,
            self.dropped,
        )
        self.dropped = 0
        # Merge the two JSON objects into one.
        line = msgspec.json.encode(header)[:-1] + b"," + msgspec.json.encode(event)[1:]
        self._queued_lines.append(line + b"\n")

    def _count_dropped(self, count: int) -> None:
        self.dropped += count
        self.dropped_total += count

    def _take_routine_credit(self) -> bool:
        """Return whether a routine line may be written now; if so, use up its credit."""
        now_seconds = self._monotonic_seconds()
        earned_credit = (now_seconds - self._credit_updated_at_seconds) * ROUTINE_LINES_PER_SECOND
        self._credit_updated_at_seconds = now_seconds
        self._routine_credit = min(ROUTINE_BURST_LINES, self._routine_credit + earned_credit)
        if self._routine_credit < 1.0 or len(self._queued_lines) >= ROUTINE_FOLDING_QUEUE_LINES:
            return False
        self._routine_credit -= 1.0
        return True

    def _report_folded(self) -> None:
        now_seconds = self._monotonic_seconds()
        if (
            self._folded_counts
            and now_seconds >= self._folded_reported_at_seconds + FOLDED_REPORT_INTERVAL_SECONDS
        ):
            self._folded_reported_at_seconds = now_seconds
            counts = dict(self._folded_counts)
            self._folded_counts.clear()
            self._enqueue(LinesFolded(counts=counts))

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        size_bytes = 0
        while self._queued_lines and size_bytes < WRITE_BLOCK_BYTES:
            line = self._queued_lines.popleft()
            size_bytes += len(line)
            block.append(line)
        return b"".join(block)
