"""Estimate of an outage's remaining time, and the time when a refused caller should retry."""

from dataclasses import dataclass

__all__ = ["OutageTracker", "retry_delay_seconds"]

MIN_RETRY_AFTER_SECONDS = 0.1
"""Shortest time after which a caller is told to retry."""

MAX_RETRY_AFTER_SECONDS = 2.0
"""Longest time after which a caller is told to retry, as outages end without notice."""

OVERDUE_OUTAGE_SHARE = 0.15
"""Expected remaining time of an outage that is longer than typical ones, as a share of its duration
so far."""

OUTAGE_SMOOTHING = 0.5
"""Weight of the last outage in the typical duration."""

RETRY_SPREAD_SHARE = 0.25
"""Random spread of the retry times of callers that are refused together, as a share of the delay;
the least urgent ones are delayed by the same share again."""

LEAST_URGENT_CLASS = 9


@dataclass(slots=True)
class OutageTracker:
    """The outages of one service, and the current one.

    Attributes
    ----------
    since_seconds : float or None
        When the current outage was first seen (monotonic); None while there is none.
    typical_seconds : float or None
        Smoothed duration of past outages; None before the first has ended.
    """

    since_seconds: float | None = None
    typical_seconds: float | None = None

    def record_unavailable(self, now_seconds: float) -> None:
        """Record that the service is unavailable."""
        if self.since_seconds is None:
            self.since_seconds = now_seconds

    def record_available(self, now_seconds: float) -> None:
        """Record that the service is available."""
        if self.since_seconds is None:
            return
        duration_seconds = now_seconds - self.since_seconds
        self.since_seconds = None
        previous_seconds = (
            self.typical_seconds if self.typical_seconds is not None else duration_seconds
        )
        self.typical_seconds = previous_seconds + OUTAGE_SMOOTHING * (
            duration_seconds - previous_seconds
        )

    def remaining_seconds(self, now_seconds: float) -> float:
        """Return the expected remaining time of the current outage, within the bounds."""
        elapsed_seconds = now_seconds - (self.since_seconds or now_seconds)
        typical_seconds = self.typical_seconds or 0.0
        if elapsed_seconds < typical_seconds:
            expected_seconds = typical_seconds - elapsed_seconds
        else:
            expected_seconds = elapsed_seconds * OVERDUE_OUTAGE_SHARE
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, expected_seconds))


def retry_delay_seconds(base_seconds: float, caller_class: int, draw: float) -> float:
    """Return after how long a refused caller should retry.

    Parameters
    ----------
    base_seconds : float
        Expected time until it can be served.
    caller_class : int
        Rank of its requests; 0 is the most urgent and retries first.
    draw : float
        Random number in [0, 1), which spreads the callers of one class.
    """
    rank = min(caller_class, LEAST_URGENT_CLASS) / LEAST_URGENT_CLASS
    return base_seconds * (1 + RETRY_SPREAD_SHARE * (rank + draw))
