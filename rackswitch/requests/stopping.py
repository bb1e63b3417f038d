"""Which requests a stopping daemon still serves."""

import math

__all__ = ["may_end_before_stop"]

TYPICAL_TIME_FACTOR = 10.0
"""Ratio to the typical time of a call up to which a call is expected to end."""

END_MARGIN_SECONDS = 0.2
"""Time for the response to a request that ends at its deadline."""


def may_end_before_stop(
    stop_deadline_seconds: float,
    now_seconds: float,
    deadline_seconds: float,
    typical_seconds: float = math.inf,
) -> bool:
    """Return whether a stopping daemon may send a request to a target.

    A request that the stop cuts off may have run, so its caller does not know whether to send it
    again. A request that is refused at once has certainly not run.

    Parameters
    ----------
    stop_deadline_seconds : float
        When the daemon cuts off the requests in flight; infinite while it is not stopping.
    now_seconds, deadline_seconds : float
        The current time, and the request's own deadline (same clock).
    typical_seconds : float, optional
        Typical time of a call that its caller may repeat, which need not end for certain. Infinite
        if it is unknown, and for all other requests.
    """
    latest_end_seconds = min(deadline_seconds, now_seconds + TYPICAL_TIME_FACTOR * typical_seconds)
    return latest_end_seconds + END_MARGIN_SECONDS <= stop_deadline_seconds
