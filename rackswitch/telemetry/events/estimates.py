"""The estimate of a target's load when the target was chosen."""

import msgspec

__all__ = ["EstimateLogged"]


class EstimateLogged(msgspec.Struct, frozen=True, kw_only=True):
    """The estimated load of a chosen target whose service reports a pace.

    Attributes
    ----------
    slots : int
        Requests that the target can process at once.
    running, waiting : float
        Estimated requests in process and in the target's queue.
    pace : float
        Estimated processing time as a multiple of the typical one.
    wait_seconds : float
        Estimated wait for a slot.
    word_age_seconds : float
        Age of the target's last load report; -1 if there was none.
    path : str
        How far the target is, in a deployment with several regions; empty in others.
    """

    slots: int
    running: float
    waiting: float
    pace: float
    wait_seconds: float
    word_age_seconds: float
    path: str = ""
