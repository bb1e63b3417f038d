"""Chooses a target for a request among the targets' estimates.

Many daemons decide by the same load reports. If each chose the best target, all would choose the
same one until its next report. A daemon therefore takes a random sample of the targets and draws
among the nearly best of these, weighted by their free slots.

A target's finish is how long until one more request there would be finished (`finish_seconds`).
"""

import math
import random
from collections.abc import Sequence

from rackswitch.routing.regions import PathClass
from rackswitch.routing.target_estimates import TargetEstimate

__all__ = ["choose_target"]

MIN_SPREAD = 0.05
"""Width of the draw while reports are fresh, as a share of the best finish. Targets whose finishes
differ by much more are rarely drawn."""

MIN_SPREAD_SECONDS = 1e-4
"""Avoids a division by zero where the work's time is unknown."""

MAX_STALE_SPREAD_RUNS = 0.8
"""Maximum that stale reports add to the draw's width, in times of a typical request: a queue may
have changed by so much once all requests that a report counted have ended."""

MAX_FINISH_RATIO = 2.0
"""Targets whose finish exceeds the best by more than this factor are never drawn."""

CONNECTED_TOLERANCE = 0.15
"""Targets with an idle open connection are preferred if their finish exceeds the best by at most
this share."""

CONNECTED_TOLERANCE_SECONDS = 0.004
"""Added to that tolerance, for short calls: about the time that a new connection takes."""

SAMPLE_SHARE = 0.5
"""Share of the targets that a decision considers."""

MIN_SAMPLE_SIZE = 3
"""Minimum number of targets that a decision considers."""

MIN_FREE_SLOTS_WEIGHT = 0.25
"""Weight of a target without a free slot; each free slot of another counts 1."""

OTHER_REGION_WEIGHT = 0.25
"""Weight of a target in another region between equal finishes, relative to one in this region: the
bytes to it cost four times as much."""


def choose_target(
    estimates: Sequence[TargetEstimate], units: float, run_seconds: float, rng: random.Random
) -> TargetEstimate:
    """Return the estimate of the target that the work is sent to.

    Parameters
    ----------
    estimates : sequence of TargetEstimate
        The candidates; not empty.
    units, run_seconds : float
        The work, and the typical time of the requests ahead of it at pace 1.
    rng : random.Random
        Seeded differently in each daemon.
    """
    sample = _sample(estimates, rng)
    finishes = [estimate.finish_seconds(units, run_seconds) for estimate in sample]
    best_seconds = min(finishes)
    connected = [
        estimate
        for estimate, finish_seconds in zip(sample, finishes, strict=True)
        if estimate.has_idle_connection
        and finish_seconds <= best_seconds * (1 + CONNECTED_TOLERANCE) + CONNECTED_TOLERANCE_SECONDS
    ]
    if connected:
        return rng.choices(connected, [_weight(estimate) for estimate in connected])[0]
    spread_seconds = MIN_SPREAD * best_seconds + _stale_spread_seconds(sample, run_seconds)
    spread_seconds = max(MIN_SPREAD_SECONDS, spread_seconds)
    weights = [
        _weight(estimate) * math.exp((best_seconds - finish_seconds) / spread_seconds)
        if finish_seconds <= MAX_FINISH_RATIO * best_seconds
        else 0.0
        for estimate, finish_seconds in zip(sample, finishes, strict=True)
    ]
    return rng.choices(sample, weights)[0]


def _weight(estimate: TargetEstimate) -> float:
    """Return a target's weight in the draw, by its free slots and pace."""
    weight = max(MIN_FREE_SLOTS_WEIGHT, estimate.free_slots) / estimate.pace
    is_far = estimate.path_class is PathClass.OTHER_REGION
    return weight * OTHER_REGION_WEIGHT if is_far else weight


def _stale_spread_seconds(estimates: Sequence[TargetEstimate], run_seconds: float) -> float:
    """Return by how long waits may differ from the reports; it grows with the reports' age."""
    age_seconds = min(estimate.report_age_seconds for estimate in estimates)
    if math.isinf(age_seconds) or run_seconds <= 0.0:
        return MAX_STALE_SPREAD_RUNS * run_seconds
    changed_share = age_seconds / (age_seconds + run_seconds)
    return MAX_STALE_SPREAD_RUNS * run_seconds * changed_share


def _sample(estimates: Sequence[TargetEstimate], rng: random.Random) -> Sequence[TargetEstimate]:
    size = max(MIN_SAMPLE_SIZE, math.ceil(SAMPLE_SHARE * len(estimates)))
    return estimates if size >= len(estimates) else rng.sample(estimates, size)
