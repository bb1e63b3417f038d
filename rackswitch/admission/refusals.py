"""When a refused caller should retry."""

from rackswitch.admission.decisions import LEAST_URGENT_RANK, AdmissionRequest, RefuseCall
from rackswitch.requests import retry_delay_seconds

__all__ = ["next_retry_at_seconds"]

MIN_RETRY_AFTER_SECONDS = 0.1
"""Lower bound: some calls have to end before there is capacity."""

RETRY_TIME_SHARE = 0.25
"""Part of a caller's remaining time within which it is told to retry, so that it can still be
served."""


def next_retry_at_seconds(
    request: AdmissionRequest, refusal: RefuseCall, draw: float, now_seconds: float
) -> float:
    """Return when a refused caller should retry (monotonic).

    That is when the request would probably have been sent had it waited. The times of callers are
    spread, higher ranks first.

    Parameters
    ----------
    request : AdmissionRequest
        The request.
    refusal : RefuseCall
        Its refusal.
    draw : float
        Random number in [0, 1).
    now_seconds : float
        Monotonic clock.
    """
    remaining_seconds = max(0.0, request.deadline_seconds - now_seconds)
    max_seconds = max(MIN_RETRY_AFTER_SECONDS, RETRY_TIME_SHARE * remaining_seconds)
    base_seconds = min(max_seconds, max(MIN_RETRY_AFTER_SECONDS, refusal.wait_seconds))
    rank = min(request.rank, LEAST_URGENT_RANK)
    return now_seconds + retry_delay_seconds(base_seconds, rank, draw)
