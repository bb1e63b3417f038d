"""Which targets a call may use: those of the caller's region, or all."""

from collections.abc import Sequence

from rackswitch.routing.regions import PathClass
from rackswitch.routing.target_estimates import TargetEstimate

__all__ = ["call_candidates", "is_in_own_region"]

LATENCY_TARGET_SHARE = 0.5
"""A call stays in its region while it is estimated to finish there within this share of its latency
target. The rest covers what the estimate does not know, such as other daemons' latest calls."""

OTHER_REGION_MARGIN = 0.25
"""Beyond that, a call leaves its region only if it would finish earlier by this share. With less,
estimates that vary by some 10 % from call to call would send calls back and forth."""


def is_in_own_region(estimate: TargetEstimate) -> bool:
    """Return whether a target is in this daemon's region."""
    return estimate.path_class is not PathClass.OTHER_REGION


def call_candidates(
    estimates: Sequence[TargetEstimate], units: float, run_seconds: float, goal_seconds: float
) -> Sequence[TargetEstimate]:
    """Return the estimates of the targets among which a call's target is drawn.

    If the call leaves its region, these are all targets and not the best one: the draw then spreads
    the calls of a region whose targets are lost or full.

    Parameters
    ----------
    estimates : sequence of TargetEstimate
        All usable targets; not empty.
    units, run_seconds : float
        The work, and the typical time of the requests ahead of it at pace 1.
    goal_seconds : float
        The call's latency target; 0 if it has none.
    """
    own = [estimate for estimate in estimates if is_in_own_region(estimate)]
    if not own or len(own) == len(estimates):
        return estimates
    best_own_seconds = min(estimate.finish_seconds(units, run_seconds) for estimate in own)
    if best_own_seconds <= LATENCY_TARGET_SHARE * goal_seconds:
        return own
    best_seconds = min(estimate.finish_seconds(units, run_seconds) for estimate in estimates)
    return own if best_seconds > (1 - OTHER_REGION_MARGIN) * best_own_seconds else estimates
