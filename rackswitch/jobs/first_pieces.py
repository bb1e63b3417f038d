"""When a run without a first piece is moved to another engine."""

from collections import deque
from dataclasses import dataclass, field
from statistics import quantiles

__all__ = ["FirstPieceTimes"]

LATE_FACTOR = 3.0
"""A run is late after this many times the 90th percentile of the times to a first piece."""

MIN_LATE_SECONDS = 0.4
"""Shorter delays would move runs that only wait for a short time in their engine's queue."""

MIN_SAMPLE_COUNT = 20
"""Number of runs from which the percentile is derived; before, the maximum applies."""

MAX_SAMPLE_COUNT = 200


@dataclass(slots=True)
class FirstPieceTimes:
    """Times to the first piece of a service's latest runs.

    Parameters
    ----------
    max_late_seconds : float
        Upper bound of the delay, after which a run is interrupted anyway.
    """

    max_late_seconds: float
    _seconds: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLE_COUNT))
    _late_seconds: float | None = None

    def record(self, first_piece_seconds: float) -> None:
        """Add the time from the start of a run to its first piece."""
        self._seconds.append(first_piece_seconds)
        self._late_seconds = None

    def late_seconds(self) -> float:
        """Return the time without a piece after which a run is late."""
        if len(self._seconds) < MIN_SAMPLE_COUNT:
            return self.max_late_seconds
        if self._late_seconds is None:
            late_seconds = LATE_FACTOR * quantiles(self._seconds, n=10)[-1]
            self._late_seconds = min(self.max_late_seconds, max(MIN_LATE_SECONDS, late_seconds))
        return self._late_seconds
