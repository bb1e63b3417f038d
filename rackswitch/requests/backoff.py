"""How long to leave something alone that fails again and again."""

__all__ = ["backoff_seconds"]

MAX_DOUBLINGS = 32
"""Far past any bound that is used, and far below what a float holds: 2.0 * 2**1024 raises."""


def backoff_seconds(first_seconds: float, max_seconds: float, doublings: int) -> float:
    """Return a pause that doubles with each failure up to a bound.

    Counted on without an end, failures every few milliseconds for seconds, or every half second
    for minutes, are past what a float holds, and whoever pauses fails in place of what it calls: an
    owner's jobs stood still for 9 s of a day with 2,177 refused connections.

    Parameters
    ----------
    first_seconds, max_seconds : float
        The shortest pause, and the bound.
    doublings : int
        Failures after the first; any number.
    """
    return min(max_seconds, first_seconds * 2 ** min(doublings, MAX_DOUBLINGS))
