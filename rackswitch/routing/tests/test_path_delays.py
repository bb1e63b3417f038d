"""Delays of network paths, from measured round trips."""

import random

import pytest

from rackswitch.routing import PathDelays, RegionMap
from rackswitch.routing.path_delays import INITIAL_ONE_WAY_SECONDS
from rackswitch.routing.regions import PathClass

REGIONS = RegionMap("a", {"a": "r", "b": "r", "c": "q"})


def measure(
    delays: PathDelays, one_way_seconds: float, begin_seconds: float, end_seconds: float
) -> list[float]:
    """Record five round trips a second, some delayed by other work; return the estimates."""
    rng = random.Random(4)
    estimates = []
    now_seconds = begin_seconds
    while now_seconds < end_seconds:
        work_seconds = rng.expovariate(1 / 0.02)
        delays.record_round_trip("c", 2 * one_way_seconds + work_seconds, now_seconds)
        estimates.append(delays.one_way_seconds("c", now_seconds))
        now_seconds += 0.2
    return estimates


def test_a_step_of_the_delay_and_back_is_followed_within_seconds():
    """Guards against work that goes over a link that became slow, or avoids one that recovered."""
    delays = PathDelays(REGIONS)
    before = measure(delays, 0.001, 0.0, 5.0)
    slow = measure(delays, 0.2, 5.0, 15.0)
    after = measure(delays, 0.001, 15.0, 20.0)
    assert before[-1] < 0.005
    assert slow[round(3.5 / 0.2)] == pytest.approx(0.2, rel=0.1)
    assert max(slow) < 0.22
    # A faster path counts at once, as work never makes a measurement too short.
    assert after[round(1.0 / 0.2)] < 0.01


def test_single_delayed_measurements_do_not_count():
    """Guards against a pause of this daemon that makes all paths look slow."""
    delays = PathDelays(REGIONS)
    measure(delays, 0.001, 0.0, 5.0)
    delays.record_round_trip("c", 1.0, 5.0)
    assert delays.one_way_seconds("c", 5.0) < 0.005


def test_a_path_without_measurements_returns_to_the_initial_value():
    """Guards against a path that is never tried again because it was slow once."""
    delays = PathDelays(REGIONS)
    measure(delays, 0.2, 0.0, 5.0)
    initial_seconds = INITIAL_ONE_WAY_SECONDS[PathClass.OTHER_REGION]
    assert delays.one_way_seconds("c", 10.0) == pytest.approx(0.2, rel=0.1)
    assert delays.one_way_seconds("c", 120.0) == pytest.approx(initial_seconds, rel=0.1)


@pytest.mark.parametrize(
    ("zone", "path_class"),
    [
        ("a", PathClass.SAME_ZONE),
        ("b", PathClass.SAME_REGION),
        ("c", PathClass.OTHER_REGION),
        ("unknown", PathClass.OTHER_REGION),
    ],
)
def test_initial_delays_follow_the_distance(zone, path_class):
    """Guards against a target in an unknown zone that counts as near."""
    delays = PathDelays(REGIONS)
    assert delays.one_way_seconds(zone, 0.0) == INITIAL_ONE_WAY_SECONDS[path_class]
