import random

import pytest

from rackswitch.jobs import OwnerCandidate, OwnerSelector
from rackswitch.jobs.placement import AVOID_SECONDS, ITEMS_A_SHARE, MIN_ITEMS, WARM_SECONDS


def candidates(**open_items: int) -> list[OwnerCandidate]:
    return [OwnerCandidate(name, 0.5, items) for name, items in open_items.items()]


def test_a_job_goes_to_the_daemon_that_owns_most_and_else_stays():
    choice = OwnerSelector("a")
    assert choice.owner(candidates(a=0, b=0, c=0), 100, 0.0) == "a"
    assert choice.owner(candidates(a=0, b=100, c=300), 100, 0.0) == "c"
    # Both sides of a tie choose alike.
    assert OwnerSelector("b").owner(candidates(b=100, c=100), 100, 0.0) == "c"
    assert OwnerSelector("c").owner(candidates(b=100, c=100), 100, 0.0) == "c"


def test_nobody_gets_more_than_it_has_room_for():
    choice = OwnerSelector("a")
    most = int(0.5 * ITEMS_A_SHARE)
    assert choice.owner(candidates(a=0, b=most - 100), 100, 0.0) == "b"
    assert choice.owner(candidates(a=0, b=most - 99), 100, 0.0) == "a"
    unknown = OwnerCandidate("b", 0.0, int(MIN_ITEMS))
    assert choice.owner([unknown], 1, 0.0) == "a"


def test_a_daemon_that_took_no_job_is_left_alone_for_a_while():
    choice = OwnerSelector("a")
    choice.failed("b", 10.0)
    assert choice.owner(candidates(a=0, b=100), 10, 10.0) == "a"
    assert choice.owner(candidates(a=0, b=100), 10, 10.0 + AVOID_SECONDS) == "b"


@pytest.mark.parametrize(("daemons", "trainers"), [(3, 2), (30, 2), (165, 12), (330, 60)])
def test_steps_that_come_anywhere_gather_at_few_owners_that_all_have_room(daemons, trainers):
    """Each trainer has two open steps of 130 items, which reach any daemon of a zone."""
    rng = random.Random(1)
    names = [f"d{number}" for number in range(daemons)]
    choices = {name: OwnerSelector(name) for name in names}
    owners: dict[tuple[int, int], str] = {}
    naive: dict[tuple[int, int], str] = {}
    for step in range(12):
        for trainer in range(trainers):
            owners.pop((trainer, step - 2), None)
            naive.pop((trainer, step - 2), None)
            accepting = rng.choice(names)
            held = list(owners.values())
            known = [OwnerCandidate(name, 0.5, 130 * held.count(name)) for name in names]
            owners[trainer, step] = choices[accepting].owner(known, 130, float(step))
            naive[trainer, step] = accepting
    held = list(owners.values())
    assert max(held.count(name) for name in set(held)) * 130 <= 0.5 * ITEMS_A_SHARE
    # Four steps fit; an owner more than needed may be there after jobs came together.
    assert len(set(held)) <= -(-2 * trainers // 4) + 1
    if daemons > 3:
        assert len(set(naive.values())) > len(set(held))


def test_a_job_that_comes_when_none_is_open_goes_to_the_last_owner_while_that_is_warm():
    known = [
        OwnerCandidate("a", 0.5, 0),
        OwnerCandidate("b", 0.5, 0, idle_seconds=8.0),
        OwnerCandidate("c", 0.5, 0, idle_seconds=4.0),
    ]
    assert OwnerSelector("a").owner(known, 100, 0.0) == "c"
    busy = OwnerCandidate("d", 0.5, 10, idle_seconds=8.0)
    assert OwnerSelector("a").owner([*known, busy], 100, 0.0) == "d"
    assert OwnerSelector("a").owner([OwnerCandidate("b", 0.5, 0, WARM_SECONDS)], 1, 0.0) == "a"


@pytest.mark.parametrize("warm", [True, False])
def test_a_trainer_with_short_steps_keeps_its_owner(warm):
    """Its step is over after 3 s, and the next comes a second later, to any of 17 daemons."""
    rng = random.Random(2)
    names = [f"d{number}" for number in range(17)]
    choices = {name: OwnerSelector(name) for name in names}
    owned_at: dict[str, float] = {}
    owners = []
    for step in range(16):
        now = 4.0 * step
        known = [
            OwnerCandidate(name, 0.5, 0, now - owned_at.get(name, float("-inf")) if warm else 99.0)
            for name in names
        ]
        owner = choices[rng.choice(names)].owner(known, 80, now)
        owned_at[owner] = now
        owners.append(owner)
    assert (len(set(owners)) == 1) is warm


def test_while_daemons_are_stopped_in_turn_a_job_goes_to_one_that_is_not_stopped_next():
    choice = OwnerSelector("a")
    others = candidates(a=0, b=300)
    renewed = OwnerCandidate("c", 0.5, 0, is_renewed=True)
    assert choice.owner([*others, renewed], 100, 0.0) == "c"
    fuller = OwnerCandidate("d", 0.5, 100, is_renewed=True)
    assert choice.owner([*others, renewed, fuller], 100, 0.0) == "d"
    # None of them has room: as if none was known.
    full = OwnerCandidate("c", 0.5, int(MIN_ITEMS), is_renewed=True)
    assert choice.owner([*others, full], 100, 0.0) == "b"
    # It did not take a job just now.
    choice.failed("c", 0.0)
    assert choice.owner([*others, renewed], 100, 0.0) == "b"
