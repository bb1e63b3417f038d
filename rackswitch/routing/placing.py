"""The choice among places for a piece of work.

The load it answers: many daemons choose by words of nearly the same age, and uneven targets share
their machines with others. Would each take the best place, all would take the same one until its
next word. So a daemon looks at a sample of its own, and draws among the nearly best of it, by room.
"""

import math
import random
from collections.abc import Sequence

from rackswitch.routing.places import Place

__all__ = ["choose_place"]

LEAST_SPREAD = 0.05
"""Share of the best place's finish that tells places apart by words just said."""

LEAST_SPREAD_SECONDS = 1e-4
"""Keeps the draw defined where nothing is known of the work's time."""

RUNS_SPREAD = 0.8
"""Usual requests by which a queue may differ from words whose requests have all ended since."""

MOST_TIMES_BEST = 2.0
"""Nothing goes where it would take longer, however old the words: slow places stand out."""

NEAR_SHARE = 0.15
"""An open connection decides between places whose finishes differ by no more than that."""

NEAR_SECONDS = 0.004
"""The same for short calls: about what a new connection takes."""

SAMPLE_SHARE = 0.5
"""Part of the targets that a decision looks at."""

LEAST_SAMPLE = 3
"""Targets; of fewer, a draw of half of them would often be no choice."""

LEAST_WEIGHT = 0.25
"""Of a place without a free slot, against one with a whole free slot."""


def choose_place(
    places: Sequence[Place], units: float, run_seconds: float, rng: random.Random
) -> Place:
    """Return where a piece of work goes.

    Parameters
    ----------
    places : sequence of Place
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
    spread_seconds = LEAST_SPREAD * best_seconds + _unknown_seconds(sample, run_seconds)
    spread_seconds = max(LEAST_SPREAD_SECONDS, spread_seconds)
    weights = [
        _room(place) * math.exp((best_seconds - finish_seconds) / spread_seconds)
        if finish_seconds <= MOST_TIMES_BEST * best_seconds
        else 0.0
        for place, finish_seconds in zip(sample, finishes, strict=True)
    ]
    return rng.choices(sample, weights)[0]


def _room(place: Place) -> float:
    """Return how much work a place may draw to itself."""
    return max(LEAST_WEIGHT, place.free_slots) / place.pace


def _unknown_seconds(places: Sequence[Place], run_seconds: float) -> float:
    """Return by how long a wait may differ from words: the longer, the more has changed since."""
    age_seconds = min(place.word_age_seconds for place in places)
    if math.isinf(age_seconds) or run_seconds <= 0.0:
        return RUNS_SPREAD * run_seconds
    changed_share = age_seconds / (age_seconds + run_seconds)
    return RUNS_SPREAD * run_seconds * changed_share


def _sample(places: Sequence[Place], rng: random.Random) -> Sequence[Place]:
    size = max(LEAST_SAMPLE, math.ceil(SAMPLE_SHARE * len(places)))
    return places if size >= len(places) else rng.sample(places, size)
