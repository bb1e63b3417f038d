"""How much longer something that is missing will probably be missing.

A refused caller is told when to come back. That should be about when what it needs is there
again: sooner only costs a second refusal, later costs its time.
"""

from dataclasses import dataclass

__all__ = ["OutageTracker", "retry_delay_seconds"]

MIN_RETRY_AFTER_SECONDS = 0.1
"""A caller's way here and back takes some milliseconds; nothing returns faster than it can be
noticed."""

MAX_RETRY_AFTER_SECONDS = 2.0
"""Outages end without warning; nobody should be away for long after one has."""

BEYOND_USUAL_SHARE = 0.15
"""Part of its length so far that an outage is taken to last on, once it is longer than known
ones: a caller comes back at most so much later than the end."""

OUTAGE_SMOOTHING = 0.5
"""Weight of the last outage against those before: they are few and differ much."""

SPREAD_SHARE = 0.25
"""By how much the times of callers who were refused together differ, so that they do not come
back together; the same again lies between the most and the least urgent ones."""

LEAST_URGENT_CLASS = 9


@dataclass(slots=True)
class OutageTracker:
    """The outages of one service that were seen, and the present one.

    Attributes
    ----------
    since_seconds : float or None
        When the present outage was first seen (monotonic); None while there is none.
    usual_seconds : float or None
        Smoothed length of past outages; None before the first has ended.
    """

    since_seconds: float | None = None
    usual_seconds: float | None = None

    def missing(self, now_seconds: float) -> None:
        """Note that the service is not to be had."""
        if self.since_seconds is None:
            self.since_seconds = now_seconds

    def there(self, now_seconds: float) -> None:
        """Note that the service is there."""
        if self.since_seconds is None:
            return
        lasted_seconds = now_seconds - self.since_seconds
        self.since_seconds = None
        before_seconds = self.usual_seconds if self.usual_seconds is not None else lasted_seconds
        self.usual_seconds = before_seconds + OUTAGE_SMOOTHING * (lasted_seconds - before_seconds)

    def remaining_seconds(self, now_seconds: float) -> float:
        """Return how much longer the present outage will probably last."""
        elapsed_seconds = now_seconds - (self.since_seconds or now_seconds)
        usual_seconds = self.usual_seconds or 0.0
        if elapsed_seconds < usual_seconds:
            left_seconds = usual_seconds - elapsed_seconds
        else:
            left_seconds = elapsed_seconds * BEYOND_USUAL_SHARE
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, left_seconds))


def retry_delay_seconds(base_seconds: float, caller_class: int, draw: float) -> float:
    """Return when a refused caller should come back, counted from now.

    Parameters
    ----------
    base_seconds : float
        When it can probably be served.
    caller_class : int
        Rank of its requests, 0 first: more urgent ones come back first.
    draw : float
        Random, in [0, 1): callers of one class come back one after the other.
    """
    rank = min(caller_class, LEAST_URGENT_CLASS) / LEAST_URGENT_CLASS
    return base_seconds * (1 + SPREAD_SHARE * (rank + draw))
