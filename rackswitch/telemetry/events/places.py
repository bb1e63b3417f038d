"""What was believed of a target as it was chosen."""

import msgspec

__all__ = ["PlaceSeen"]


class PlaceSeen(msgspec.Struct, frozen=True, kw_only=True):
    """The inputs of a choice of a target that tells its pace.

    Attributes
    ----------
    slots : int
        Requests that it works on at once.
    running, waiting : float
        Requests believed to be worked on and queued there.
    pace : float
        How many times longer than usual work was believed to take.
    wait_seconds : float
        Believed wait for a slot.
    word_age_seconds : float
        Age of the target's last word; -1 if there was none.
    """

    slots: int
    running: float
    waiting: float
    pace: float
    wait_seconds: float
    word_age_seconds: float
