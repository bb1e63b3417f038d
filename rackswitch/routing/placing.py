"""The choice among places for a piece of work.

Many daemons choose by the same words (targets' statements about their own load). If each took the
best place, all would take the same one until its target's next word. So a daemon looks at a random
sample of the targets and draws among the nearly best of these, with more weight on those with room.

A place's finish is how long until one more request there would be through (`finish_seconds`).
"""

import math
import random
from collections.abc import Sequence

from rackswitch.routing.target_estimates import TargetEstimate

__all__ = ["choose_target"]

MIN_SPREAD = 0.05
"""Width of the draw while words are fresh, as a share of the best finish: places whose finishes
differ by much more are hardly drawn."""

MIN_SPREAD_SECONDS = 1e-4
"""Keeps the draw defined where nothing is known of the work's time."""

RUNS_SPREAD = 0.8
"""Most that old words add to the draw's width, in times of a usual request: by so many a queue may
have changed once all that a word counted have ended."""

MAX_TIMES_BEST = 2.0
"""Places with a finish of more than so many times the best are never drawn, however old the words
are and however wide the draw is."""

NEAR_SHARE = 0.15
"""Places with an open connection go first if their finish is later than the best by at most this
share of it."""

NEAR_SECONDS = 0.004
"""Added to that bound, for short calls: about what a new connection takes."""

SAMPLE_SHARE = 0.5
"""Part of the targets that a decision looks at."""

MIN_SAMPLE = 3
"""Targets that a decision looks at, at least: half of a few would often be no choice."""

MIN_WEIGHT = 0.25
"""Weight of a place without a free slot; each free slot of another counts 1."""


def choose_target(
    places: Sequence[TargetEstimate], units: float, run_seconds: float, rng: random.Random
) -> TargetEstimate:
    """Return where a piece of work goes.

    Parameters
    ----------
    places : sequence of TargetEstimate
        Where it may go; not empty.
    units, run_seconds : float
        The work, and how long the requests before it usually take at pace 1.
    rng : random.Random
        Differs from daemon to daemon.
    """
    sample = _sample(places, rng)
    finishes = [place.finish_seconds(units, run_seconds) for place in sample]
    best_seconds = min(finishes)
    near = [
        place
        for place, finish_seconds in zip(sample, finishes, strict=True)
        if place.is_at_hand and finish_seconds <= best_seconds * (1 + NEAR_SHARE) + NEAR_SECONDS
    ]
    if near:
        return rng.choices(near, [_room(place) for place in near])[0]
    spread_seconds = MIN_SPREAD * best_seconds + _unknown_seconds(sample, run_seconds)
    spread_seconds = max(MIN_SPREAD_SECONDS, spread_seconds)
    weights = [
        _room(place) * math.exp((best_seconds - finish_seconds) / spread_seconds)
        if finish_seconds <= MAX_TIMES_BEST * best_seconds
        else 0.0
        for place, finish_seconds in zip(sample, finishes, strict=True)
    ]
    return rng.choices(sample, weights)[0]


def _room(place: TargetEstimate) -> float:
    """Return how much work a place may draw to itself."""
    return max(MIN_WEIGHT, place.free_slots) / place.pace


def _unknown_seconds(places: Sequence[TargetEstimate], run_seconds: float) -> float:
    """Return by how long a wait may differ from words: the longer, the more has changed since."""
    age_seconds = min(place.word_age_seconds for place in places)
    if math.isinf(age_seconds) or run_seconds <= 0.0:
        return RUNS_SPREAD * run_seconds
    changed_share = age_seconds / (age_seconds + run_seconds)
    return RUNS_SPREAD * run_seconds * changed_share


def _sample(places: Sequence[TargetEstimate], rng: random.Random) -> Sequence[TargetEstimate]:
    size = max(MIN_SAMPLE, math.ceil(SAMPLE_SHARE * len(places)))
    return places if size >= len(places) else rng.sample(places, size)
