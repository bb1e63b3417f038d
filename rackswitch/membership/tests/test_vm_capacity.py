"""Guards against decisions by memory or link where these are unknown or equal."""

import random

import pytest

from rackswitch.membership import VmCapacity, constrained_members, counted_capacities


def fleet(*limits: tuple[float, float]) -> dict[str, VmCapacity]:
    return {f"d{n}": VmCapacity(0.5, memory, link) for n, (memory, link) in enumerate(limits)}


@pytest.mark.parametrize("limits", [(0.0, 0.0), (300.0, 50.0), (0.0, 50.0), (300.0, 0.0)])
def test_equal_or_unknown_limits_do_not_count(limits):
    """Guards against a fleet of equal VMs that is ordered by link or memory."""
    members = fleet(*[limits] * 5)
    assert constrained_members(members) == frozenset()
    assert set(counted_capacities(members).values()) == {VmCapacity(0.5)}


def test_each_limit_counts_only_if_it_differs():
    members = fleet((200.0, 50.0), (400.0, 50.0))
    assert counted_capacities(members)["d0"] == VmCapacity(0.5, 200.0, 0.0)
    members = fleet((200.0, 30.0), (200.0, 50.0))
    assert counted_capacities(members)["d0"] == VmCapacity(0.5, 0.0, 30.0)


def test_smallest_third_by_either_limit_is_constrained():
    members = fleet(*[(100.0 + n, 60.0 - n) for n in range(9)])
    assert constrained_members(members) == {"d0", "d1", "d2", "d6", "d7", "d8"}


def test_an_unknown_limit_is_not_a_small_one():
    """Guards against daemons of an earlier version that are kept away from the root."""
    members = fleet((0.0, 0.0), (0.0, 30.0), (0.0, 200.0))
    assert constrained_members(members) == {"d1"}


@pytest.mark.parametrize(
    ("links", "count"),
    [([30.0, 200.0], 1), ([30.0] * 5 + [200.0], 5), ([30.0, 100.0, 100.0, 100.0, 200.0], 1)],
)
def test_equal_values_are_constrained_together(links, count):
    """Guards against a choice among equal VMs, and a fleet in which nearly all are constrained."""
    assert len(constrained_members(fleet(*[(0.0, link) for link in links]))) == count


def test_the_largest_value_is_never_constrained():
    rng = random.Random(3)
    for _ in range(200):
        links = [rng.choice([0.0, 30.0, 60.0, 200.0]) for _ in range(rng.randint(1, 12))]
        constrained = constrained_members(fleet(*[(0.0, link) for link in links]))
        assert all(links[int(name[1:])] < max(links) for name in constrained)
