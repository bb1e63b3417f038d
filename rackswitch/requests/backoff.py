"""Exponential backoff between retries."""

__all__ = ["backoff_seconds"]

MAX_DOUBLINGS = 32
"""Keeps the power within a float's range: `2.0 * 2**1024` raises an OverflowError. Uncounted, 2,177
refused connections overflowed it, and the daemon failed instead of the call."""


def backoff_seconds(initial_seconds: float, max_seconds: float, doublings: int) -> float:
    """Return a delay that doubles with each failure, up to a maximum.

    Parameters
    ----------
    initial_seconds, max_seconds : float
        The shortest and the longest delay.
    doublings : int
        Failures after the first; any number.
    """
    return min(max_seconds, initial_seconds * 2 ** min(doublings, MAX_DOUBLINGS))
