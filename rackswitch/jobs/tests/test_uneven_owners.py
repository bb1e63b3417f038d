"""Ownership of jobs by daemons whose VMs differ in memory and link."""

import random

import pytest

from rackswitch.jobs import OwnerCandidate, OwnerSelector, SuccessorCandidate, order_successors
from rackswitch.jobs.item_limits import LINK_SHARE_FOR_ITEMS
from rackswitch.jobs.tests.ownership_load import play, select_by_processor, select_owner
from rackswitch.membership import VmCapacity, counted_capacities

SEEDS = 20
SMALL = VmCapacity(2.0, 200.0, 30.0)
LARGE = VmCapacity(0.6, 552.0, 200.0)


@pytest.mark.parametrize("limits", [(0.0, 0.0), (200.0, 30.0)])
def test_without_different_memory_or_link_owners_are_chosen_as_before(limits):
    """Guards against another choice in fleets that state no memory or link, or equal ones."""
    rng = random.Random(4)
    for _ in range(500):
        names = [f"d{number}" for number in range(rng.randint(1, 8))]
        fleet = {name: VmCapacity(rng.choice([0.0, 0.5, 1.0]), *limits) for name in names}
        candidates = [
            OwnerCandidate(
                name,
                capacity,
                rng.choice([0, 64, 590, 1190]),
                rng.choice([1.0, 8.0, 60.0]),
                rng.random() < 0.1,
                is_overloaded=rng.random() < 0.3,
            )
            for name, capacity in counted_capacities(fleet).items()
        ]
        arguments = (rng.choice(names), candidates, rng.choice([1, 64, 700]), 0.0)
        assert select_owner(*arguments) == select_by_processor(*arguments)


def test_a_small_vm_passes_a_large_job_to_a_larger_one():
    """Guards against a job that fills the link of the daemon that happened to accept it."""
    known = [OwnerCandidate("a", SMALL, 0), OwnerCandidate("b", LARGE, 0)]
    assert OwnerSelector("a").select_owner(known, 64, 0.0) == "b"
    assert OwnerSelector("a").select_owner(known, 10, 0.0) == "a"
    assert OwnerSelector("a").select_owner(known[:1], 64, 0.0) == "a"


def test_connections_of_a_small_vm_do_not_attract_large_jobs():
    known = [OwnerCandidate("a", LARGE, 0), OwnerCandidate("b", SMALL, 10, 1.0)]
    assert OwnerSelector("a").select_owner(known, 64, 0.0) == "a"
    assert OwnerSelector("a").select_owner(known, 10, 0.0) == "b"


def test_a_job_that_exceeds_all_limits_goes_where_most_is_left():
    known = [OwnerCandidate("a", SMALL, 0), OwnerCandidate("b", LARGE, 0)]
    assert OwnerSelector("a").select_owner(known, 5000, 0.0) == "b"
    full = [OwnerCandidate("a", SMALL, 0), OwnerCandidate("b", LARGE, 700)]
    assert OwnerSelector("a").select_owner(full, 5000, 0.0) == "a"


def test_a_larger_daemon_that_refused_is_not_asked_again_during_the_cooldown():
    known = [OwnerCandidate("a", SMALL, 0), OwnerCandidate("b", LARGE, 0)]
    selector = OwnerSelector("a")
    selector.record_refusal("b", 0.0)
    assert selector.select_owner(known, 64, 1.0) == "a"


def test_an_overloaded_daemon_passes_new_jobs_on():
    own = OwnerCandidate("a", LARGE, 64, 1.0, is_overloaded=True)
    assert OwnerSelector("a").select_owner([own, OwnerCandidate("b", LARGE, 0)], 10, 0.0) == "b"
    assert OwnerSelector("a").select_owner([own], 10, 0.0) == "a"


def test_successors_with_room_for_a_large_job_come_first():
    """Guards against a hand-over of a large job to the VM with the smallest link."""
    successors = [
        SuccessorCandidate(OwnerCandidate(name, capacity, items, 1.0), in_zone=True)
        for name, capacity, items in (("a", SMALL, 100), ("b", SMALL, 0), ("c", LARGE, 0))
    ]
    for number in range(20):
        assert order_successors(f"j{number}", 64, successors) == ["c", "b", "a"]


@pytest.mark.parametrize("trainers_per_zone", [1, 4])
def test_no_link_is_overfilled_and_the_smallest_vm_carries_less(trainers_per_zone):
    """Guards against owners on narrow links while daemons with wide ones are idle."""
    before = [play(select_by_processor, 60, trainers_per_zone, seed) for seed in range(SEEDS)]
    after = [play(select_owner, 60, trainers_per_zone, seed) for seed in range(SEEDS)]
    assert max(figures.fullest_link for figures in before) > LINK_SHARE_FOR_ITEMS
    assert max(figures.fullest_link for figures in after) <= LINK_SHARE_FOR_ITEMS
    # Owners gather at daemons that accepted a job by chance, so single seeds say little.
    before_links = sum(figures.fullest_link for figures in before)
    assert sum(figures.fullest_link for figures in after) < before_links
    before_items = sum(figures.smallest_vm_items for figures in before)
    assert sum(figures.smallest_vm_items for figures in after) < before_items
