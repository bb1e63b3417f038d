"""The decision log: JSON lines on standard output that never hold the program up."""

import asyncio
import os
import time
from collections import Counter, deque
from collections.abc import Callable

import msgspec

from rackswitch.telemetry.events import Event, LinesFolded

__all__ = ["DecisionLog", "LineHead"]

MAX_WAITING_LINES = 4000
"""Lines kept while nobody reads; some 1 MB. Later ones are dropped and counted."""

MAX_WAITING_ROUTINE_LINES = 2000
"""Lines beyond which routine ones are folded: half is kept for failures and changes."""

ROUTINE_LINES_PER_SECOND = 200.0
"""Routine lines written one by one. Counting and writing one takes some 40 us
(benchmarks/bench_log.py), so this is 0.8 % of a core; a gateway of the largest expected fleet
serves some 5 calls a second."""

ROUTINE_BURST_LINES = 400.0
"""Two seconds' worth, so that a burst after a quiet time is told whole."""

PUMP_SECONDS = 0.1
"""Between two looks at what waits to be written: soon enough for a person who follows."""

FOLD_SECONDS = 1.0
"""Between two lines that tell what was folded."""

WRITE_BYTES = 32_768
"""Half of a pipe's usual buffer, so that a write is seldom partial."""


class LineHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """What every line carries before its event.

    Attributes
    ----------
    time : float
        The VM's time of day, Unix seconds; it may jump.
    up : float
        Seconds since the process began to log, on the steady clock.
    lines_dropped_before : int
        Lines that found the queue full before this one.
    """

    time: float
    up: float
    daemon: str
    lines_dropped_before: int = 0


class DecisionLog:
    """Writes one line for each decision.

    Lines wait in a bounded queue and are written without blocking; `pump` is to be called
    regularly. A line that finds the queue full is dropped, and the next line that fits
    tells how many were. Routine lines beyond a rate are folded into counts; failures and
    changes of belief are not.

    Parameters
    ----------
    daemon : str
        Name on each line.
    descriptor : int or None
        Where to write; 1 is standard output, None is nowhere (events are still counted).
    count : callable, optional
        Told of every event, written or not (for metrics).
    steady_seconds : callable, optional
        The steady clock.
    """

    __slots__ = (
        "_began_seconds",
        "_count",
        "_daemon",
        "_descriptor",
        "_earned_at_seconds",
        "_folded",
        "_folded_at_seconds",
        "_is_read",
        "_lines",
        "_partial",
        "_routine_credit",
        "_steady_seconds",
        "dropped",
        "dropped_total",
        "folded_total",
    )

    def __init__(
        self,
        daemon: str,
        descriptor: int | None = 1,
        count: Callable[[Event], None] | None = None,
        steady_seconds: Callable[[], float] = time.monotonic,
    ):
        self._daemon = daemon
        self._descriptor = descriptor
        self._count = count
        self._steady_seconds = steady_seconds
        self._began_seconds = steady_seconds()
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._is_read = descriptor is not None
        self._routine_credit = ROUTINE_BURST_LINES
        self._earned_at_seconds = self._began_seconds
        self._folded: Counter[str] = Counter()
        self._folded_at_seconds = self._began_seconds
        self.dropped = 0
        self.dropped_total = 0
        self.folded_total = 0
        if descriptor is not None:
            os.set_blocking(descriptor, False)

    def write(self, event: Event) -> None:
        """Queue an event's line, or fold it into a count."""
        if self._count is not None:
            self._count(event)
        if self._descriptor is None:
            return
        if event.is_routine and not self._may_write_routine():
            self._folded[str(event.__struct_config__.tag)] += 1
            self.folded_total += 1
            return
        self._queue(event)

    def pump(self) -> bool:
        """Write what fits now; return whether lines are left."""
        if self._descriptor is None:
            return False
        self._tell_folded()
        while self._partial or self._lines:
            if not self._partial:
                self._partial = self._next_block()
            try:
                count = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return True
            except OSError:
                # Nobody will read any more; the program goes on, and counts what is lost.
                self._is_read = False
                self._drop(self._partial.count(b"\n") + len(self._lines))
                self._lines.clear()
                self._partial = b""
                return False
            self._partial = self._partial[count:]
        return False

    async def run(self) -> None:
        """Write lines as they come until cancelled."""
        while True:
            self.pump()
            await asyncio.sleep(PUMP_SECONDS)

    def _queue(self, event: Event) -> None:
        if not self._is_read or len(self._lines) >= MAX_WAITING_LINES:
            self._drop(1)
            return
        head = LineHead(
            round(time.time(), 4),
            round(self._steady_seconds() - self._began_seconds, 4),
            self._daemon,
            self.dropped,
        )
        self.dropped = 0
        # Both are JSON objects; their fields become those of one.
        line = msgspec.json.encode(head)[:-1] + b"," + msgspec.json.encode(event)[1:]
        self._lines.append(line + b"\n")

    def _drop(self, count: int) -> None:
        self.dropped += count
        self.dropped_total += count

    def _may_write_routine(self) -> bool:
        """Return whether a routine line may be written now, and count it as written."""
        now_seconds = self._steady_seconds()
        earned = (now_seconds - self._earned_at_seconds) * ROUTINE_LINES_PER_SECOND
        self._earned_at_seconds = now_seconds
        self._routine_credit = min(ROUTINE_BURST_LINES, self._routine_credit + earned)
        if self._routine_credit < 1.0 or len(self._lines) >= MAX_WAITING_ROUTINE_LINES:
            return False
        self._routine_credit -= 1.0
        return True

    def _tell_folded(self) -> None:
        now_seconds = self._steady_seconds()
        if self._folded and now_seconds >= self._folded_at_seconds + FOLD_SECONDS:
            self._folded_at_seconds = now_seconds
            counts = dict(self._folded)
            self._folded.clear()
            self._queue(LinesFolded(counts=counts))

    def _next_block(self) -> bytes:
        block: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line)
            block.append(line)
        return b"".join(block)
