import random

import pytest

from rackswitch.jobs import OwnerCandidate, OwnerSelector
from rackswitch.jobs.item_limits import DEFAULT_MAX_ITEMS, ITEMS_PER_PROCESSOR
from rackswitch.jobs.placement import CONNECTION_KEEP_ALIVE_SECONDS, REFUSAL_COOLDOWN_SECONDS
from rackswitch.membership import VmCapacity


def candidates(**open_items: int) -> list[OwnerCandidate]:
    return [OwnerCandidate(name, VmCapacity(0.5), items) for name, items in open_items.items()]


def test_job_goes_to_the_daemon_with_most_open_items_or_stays():
    selector = OwnerSelector("a")
    assert selector.select_owner(candidates(a=0, b=0, c=0), 100, 0.0) == "a"
    assert selector.select_owner(candidates(a=0, b=100, c=300), 100, 0.0) == "c"
    # Every daemon resolves a tie in the same way.
    assert OwnerSelector("b").select_owner(candidates(b=100, c=100), 100, 0.0) == "c"
    assert OwnerSelector("c").select_owner(candidates(b=100, c=100), 100, 0.0) == "c"


def test_no_daemon_gets_more_items_than_its_capacity():
    selector = OwnerSelector("a")
    max_items = int(0.5 * ITEMS_PER_PROCESSOR)
    assert selector.select_owner(candidates(a=0, b=max_items - 100), 100, 0.0) == "b"
    assert selector.select_owner(candidates(a=0, b=max_items - 99), 100, 0.0) == "a"
    unknown = OwnerCandidate("b", VmCapacity(0.0), int(DEFAULT_MAX_ITEMS))
    assert selector.select_owner([unknown], 1, 0.0) == "a"


def test_daemon_that_did_not_accept_a_job_is_skipped_during_the_cooldown():
    selector = OwnerSelector("a")
    selector.record_refusal("b", 10.0)
    assert selector.select_owner(candidates(a=0, b=100), 10, 10.0) == "a"
    assert selector.select_owner(candidates(a=0, b=100), 10, 10.0 + REFUSAL_COOLDOWN_SECONDS) == "b"


@pytest.mark.parametrize(("daemons", "trainers"), [(3, 2), (30, 2), (165, 12), (330, 60)])
def test_jobs_accepted_by_any_daemon_gather_at_few_owners_within_capacity(daemons, trainers):
    """Each trainer has two open steps of 130 items, accepted by any daemon of a zone."""
    rng = random.Random(1)
    names = [f"d{number}" for number in range(daemons)]
    selectors = {name: OwnerSelector(name) for name in names}
    owners: dict[tuple[int, int], str] = {}
    accepting_owners: dict[tuple[int, int], str] = {}
    for step in range(12):
        for trainer in range(trainers):
            owners.pop((trainer, step - 2), None)
            accepting_owners.pop((trainer, step - 2), None)
            accepting = rng.choice(names)
            owner_names = list(owners.values())
            known = [
                OwnerCandidate(name, VmCapacity(0.5), 130 * owner_names.count(name))
                for name in names
            ]
            owners[trainer, step] = selectors[accepting].select_owner(known, 130, float(step))
            accepting_owners[trainer, step] = accepting
    owner_names = list(owners.values())
    assert (
        max(owner_names.count(name) for name in set(owner_names)) * 130 <= 0.5 * ITEMS_PER_PROCESSOR
    )
    # Four steps fit per owner; one owner more is allowed for jobs accepted at the same time.
    assert len(set(owner_names)) <= -(-2 * trainers // 4) + 1
    if daemons > 3:
        assert len(set(accepting_owners.values())) > len(set(owner_names))


def test_job_goes_to_the_last_owner_while_that_has_connections():
    known = [
        OwnerCandidate("a", VmCapacity(0.5), 0),
        OwnerCandidate("b", VmCapacity(0.5), 0, idle_seconds=8.0),
        OwnerCandidate("c", VmCapacity(0.5), 0, idle_seconds=4.0),
    ]
    assert OwnerSelector("a").select_owner(known, 100, 0.0) == "c"
    busy = OwnerCandidate("d", VmCapacity(0.5), 10, idle_seconds=8.0)
    assert OwnerSelector("a").select_owner([*known, busy], 100, 0.0) == "d"
    assert (
        OwnerSelector("a").select_owner(
            [OwnerCandidate("b", VmCapacity(0.5), 0, CONNECTION_KEEP_ALIVE_SECONDS)], 1, 0.0
        )
        == "a"
    )


@pytest.mark.parametrize("connected", [True, False])
def test_trainer_with_short_steps_keeps_its_owner_while_connections_are_open(connected):
    """A step ends after 3 s, and the next one arrives a second later at any of 17 daemons."""
    rng = random.Random(2)
    names = [f"d{number}" for number in range(17)]
    selectors = {name: OwnerSelector(name) for name in names}
    owned_at_seconds: dict[str, float] = {}
    owners = []
    for step in range(16):
        now_seconds = 4.0 * step
        known = [
            OwnerCandidate(
                name,
                VmCapacity(0.5),
                0,
                now_seconds - owned_at_seconds.get(name, float("-inf")) if connected else 99.0,
            )
            for name in names
        ]
        owner = selectors[rng.choice(names)].select_owner(known, 80, now_seconds)
        owned_at_seconds[owner] = now_seconds
        owners.append(owner)
    assert (len(set(owners)) == 1) is connected


def test_job_goes_to_a_restarted_daemon_while_daemons_are_stopped_in_turn():
    selector = OwnerSelector("a")
    others = candidates(a=0, b=300)
    renewed = OwnerCandidate("c", VmCapacity(0.5), 0, is_restarted=True)
    assert selector.select_owner([*others, renewed], 100, 0.0) == "c"
    fuller = OwnerCandidate("d", VmCapacity(0.5), 100, is_restarted=True)
    assert selector.select_owner([*others, renewed, fuller], 100, 0.0) == "d"
    # Restarted daemons without capacity are ignored.
    full = OwnerCandidate("c", VmCapacity(0.5), int(DEFAULT_MAX_ITEMS), is_restarted=True)
    assert selector.select_owner([*others, full], 100, 0.0) == "b"
    # A restarted daemon that has just not accepted a job is skipped.
    selector.record_refusal("c", 0.0)
    assert selector.select_owner([*others, renewed], 100, 0.0) == "b"
