"""Whether a call stays in its region."""

import random
from collections import Counter

import pytest

from rackswitch.routing import PathClass, TargetEstimate, call_candidates, choose_target

RUN_SECONDS = 0.1
GOAL_SECONDS = 1.0


def estimate(name: str, path_class: PathClass, running=0.0, waiting=0.0) -> TargetEstimate:
    round_trip_seconds = 0.06 if path_class is PathClass.OTHER_REGION else 0.001
    return TargetEstimate(
        name, 6, running, waiting, 1.0, RUN_SECONDS, 0.05, round_trip_seconds, False, path_class
    )


def targets(own_waiting: float, own_count: int = 3, far_waiting: float = 0.0):
    running = 6 if own_waiting else 2
    own = [
        estimate(f"own{n}", PathClass.SAME_REGION, running, own_waiting) for n in range(own_count)
    ]
    far_running = 6 if far_waiting else 2
    far = [estimate(f"far{n}", PathClass.OTHER_REGION, far_running, far_waiting) for n in range(4)]
    return [*own, *far]


def draw(estimates, goal_seconds=GOAL_SECONDS, times=600) -> Counter:
    rng = random.Random(2)
    counts: Counter = Counter()
    for _ in range(times):
        candidates = call_candidates(estimates, 1.0, RUN_SECONDS, goal_seconds)
        counts[choose_target(candidates, 1.0, RUN_SECONDS, rng).instance] += 1
    return counts


@pytest.mark.parametrize(
    ("own_waiting", "far_waiting", "goal_seconds", "stays"),
    [
        (0, 0, GOAL_SECONDS, True),
        # A queue that still serves the call well within its latency target.
        (10, 0, GOAL_SECONDS, True),
        (40, 0, GOAL_SECONDS, False),
        # Both regions are full: leaving gains too little.
        (40, 40, GOAL_SECONDS, True),
        (0, 0, 0.0, True),
        # No latency target: only a clearly earlier finish counts.
        (10, 0, 0.0, False),
    ],
)
def test_a_call_leaves_its_region_only_if_that_serves_it_better(
    own_waiting, far_waiting, goal_seconds, stays
):
    """Guards against calls over the link that gain nothing, and against calls that wait for one."""
    counts = draw(targets(own_waiting, far_waiting=far_waiting), goal_seconds)
    assert all(name.startswith("own") for name in counts) is stays


@pytest.mark.parametrize("own_count", [0, 3])
def test_the_calls_of_a_lost_or_full_region_spread_over_the_other(own_count):
    """Guards against a herd at one target when all targets of a region are lost or full."""
    counts = draw(targets(40, own_count))
    far_counts = [count for name, count in counts.items() if name.startswith("far")]
    assert len(far_counts) == 4
    assert max(far_counts) < 2 * min(far_counts)
    # Back: as soon as the own region has room, its targets are used again.
    assert all(name.startswith("own") for name in draw(targets(0)))


def test_small_changes_of_the_load_do_not_move_calls_back_and_forth():
    """Guards against flapping between regions whose finish times are about equal."""
    for own_waiting in range(25, 41):
        estimates = targets(own_waiting, far_waiting=own_waiting - 3)
        assert call_candidates(estimates, 1.0, RUN_SECONDS, GOAL_SECONDS) == estimates[:3]


def test_items_prefer_the_own_region_between_equal_finishes():
    """Guards against bytes over the link between regions that gain nothing."""
    own = estimate("own", PathClass.SAME_REGION)
    far = TargetEstimate(
        "far", 6, 0, 0, 1.0, RUN_SECONDS, 0.05, 0.001, False, PathClass.OTHER_REGION
    )
    rng = random.Random(5)
    counts = Counter(choose_target([own, far], 1.0, 1.0, rng).instance for _ in range(400))
    assert counts["own"] > 2 * counts["far"]


def test_a_target_in_an_unknown_zone_counts_as_far():
    """Guards against a daemon whose zone is unknown and that has no own region: all are alike."""
    estimates = [estimate(f"far{n}", PathClass.OTHER_REGION) for n in range(3)]
    assert call_candidates(estimates, 1.0, RUN_SECONDS, GOAL_SECONDS) == estimates
