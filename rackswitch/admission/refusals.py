"""When a refused caller should come back."""

from rackswitch.admission.decisions import LEAST_URGENT_RANK, AdmissionRequest, RefuseCall
from rackswitch.requests import retry_delay_seconds

__all__ = ["next_retry_at_seconds"]

MIN_RETRY_AFTER_SECONDS = 0.1
"""Room does not change in less: some calls have to end first."""

RETURN_SHARE = 0.25
"""Part of the time that a caller has left in which it comes back, so that it can be served then."""


def next_retry_at_seconds(
    want: AdmissionRequest, refusal: RefuseCall, draw: float, now_seconds: float
) -> float:
    """Return when a refused caller should come back (monotonic).

    That is when it would probably have gone had it waited; callers of one rank come back one after
    the other, more urgent ones first.

    Parameters
    ----------
    want : AdmissionRequest
        What it asked for.
    refusal : RefuseCall
        How it was refused.
    draw : float
        Random, in [0, 1).
    now_seconds : float
        Monotonic clock.
    """
    left_seconds = max(0.0, want.deadline_seconds - now_seconds)
    max_seconds = max(MIN_RETRY_AFTER_SECONDS, RETURN_SHARE * left_seconds)
    base_seconds = min(max_seconds, max(MIN_RETRY_AFTER_SECONDS, refusal.wait_seconds))
    rank = min(want.rank, LEAST_URGENT_RANK)
    return now_seconds + retry_delay_seconds(base_seconds, rank, draw)
