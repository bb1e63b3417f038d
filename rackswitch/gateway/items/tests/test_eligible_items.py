"""Items whose engine is excluded after it was chosen, or whose route's regions change."""

import asyncio
from dataclasses import replace

import msgspec

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items.tests.test_item_starter import (
    ON,
    SLOTS,
    Owner,
    SharedEngines,
    check_complete_texts,
    lengths_of,
    make_step,
)
from rackswitch.gateway.tests.support import NoQuarantine
from rackswitch.jobs import SpareCapacity
from rackswitch.jobs.stragglers import PieceIntervals
from rackswitch.routing import Eligibility, ListedTarget, RegionMap, Target
from rackswitch.telemetry.events import JobExcluded

REGIONS = RegionMap("n1", {"n1": "north", "n2": "north", "s1": "south"})


class WaitingQuarantine(NoQuarantine):
    """Runs `meanwhile` once while it is asked whether an item may be sent."""

    def __init__(self):
        self.meanwhile = None
        self.not_run = 0

    async def admit_item(self, fingerprint_of, deadline_seconds):
        if self.meanwhile is not None:
            await asyncio.sleep(0.02)
            meanwhile, self.meanwhile = self.meanwhile, None
            if meanwhile is not None:
                meanwhile()

    def record_not_run(self, fingerprint_of):
        self.not_run += 1


class EventList:
    """A log that keeps its events."""

    def __init__(self):
        self.events: list = []

    def write(self, event) -> None:
        self.events.append(event)


def make_owner(engines: SharedEngines, *zones: str) -> Owner:
    """Return an owner with one engine in each zone, named after it."""
    owner = Owner("a", engines, 0, ON)
    owner.context.directory.eligibility = Eligibility(REGIONS)
    for zone in zones:
        listed = ListedTarget(zone, "s", "h", 1, zone, SLOTS, versions={"m": 1})
        owner.context.directory.put(listed)
        owner.context.targets[zone] = Target(zone, listed.url, zone)
    return owner


def allow_regions(owner: Owner, *regions: str) -> None:
    """Put a table in force whose first route allows these regions."""
    owner.change_first_route(allowed_regions=regions)


def evacuate(owner: Owner, zone: str) -> None:
    owner.context.directory.eligibility.evacuate(zone, 1, owner.context.now_seconds())


def engines_called(engines: SharedEngines) -> list[str]:
    return [name for name, _ in engines.requests]


def test_an_item_held_over_the_moment_of_evacuation_waits_without_a_failure():
    """Its engine was planned before; without a second check the zone would get the item."""

    async def scenario():
        step = make_step("j", [20])
        engines = SharedEngines(lengths_of(step))
        owner = make_owner(engines, "n1")
        quarantine = owner.runner._quarantine = WaitingQuarantine()
        quarantine.meanwhile = lambda: evacuate(owner, "n1")
        owner.add_job(step)
        await owner.run_for(0.5)
        progress = owner.owned["j"].ledger.items["j-0"]
        assert engines.requests == []
        assert (progress.failures, progress.avoided_instance) == (0, "")
        assert quarantine.not_run == 1
        assert owner.owned["j"].runs == {}
        owner.context.directory.eligibility.end_evacuation("n1")
        await owner.run_for(5.0)
        check_complete_texts(owner, engines)

    run_on_virtual_clock(scenario())


def test_an_item_held_over_the_moment_of_evacuation_starts_elsewhere_at_once():
    async def scenario():
        step = make_step("j", [20])
        engines = SharedEngines(lengths_of(step))
        owner = make_owner(engines, "n1")
        quarantine = owner.runner._quarantine = WaitingQuarantine()

        def replace_zone():
            evacuate(owner, "n1")
            listed = ListedTarget("s1", "s", "h", 1, "s1", SLOTS, versions={"m": 1})
            owner.context.directory.put(listed)
            owner.context.targets["s1"] = Target("s1", listed.url, "s1")

        quarantine.meanwhile = replace_zone
        owner.add_job(step)
        await owner.run_for(0.03)
        assert engines_called(engines) == ["s1"]

    run_on_virtual_clock(scenario())


def test_runs_in_an_evacuated_zone_finish_there_and_new_ones_go_elsewhere():
    async def scenario():
        step, later = make_step("j", [60]), make_step("k", [10])
        engines = SharedEngines(lengths_of(step, later))
        owner = make_owner(engines, "n1", "s1")
        owner.add_job(step)
        await owner.run_for(0.2)
        (used,) = engines_called(engines)
        evacuate(owner, used)
        owner.add_job(later)
        await owner.run_for(8.0)
        check_complete_texts(owner, engines)
        assert [name == used for name in engines_called(engines)] == [True, False]

    run_on_virtual_clock(scenario())


def test_no_run_moves_to_a_spare_engine_that_was_excluded_since_the_planning():
    async def scenario():
        step = make_step("j", [100])
        engines = SharedEngines(lengths_of(step))
        owner = make_owner(engines, "n1", "n2")
        owner.context.policy = msgspec.structs.replace(ON, runs_move=True)
        owner.add_job(step)
        ledger = owner.owned["j"].ledger
        progress = ledger.items["j-0"]
        target = owner.context.directory.entries["n1"]
        intervals = PieceIntervals()
        for number in range(20):
            intervals.record_piece(0.5 * number)
        spare = SpareCapacity("n2", 0.001, 4, {"m": 1})

        def claims() -> bool:
            owner.runner.spare = {"s": replace(spare)}
            progress.moves = 0
            return owner.runner._claim_move(ledger, progress, target, intervals)

        assert claims()
        evacuate(owner, "n2")
        assert not claims()
        owner.context.directory.eligibility.end_evacuation("n2")
        ledger.allowed_regions = frozenset({"south"})
        assert not claims()

    run_on_virtual_clock(scenario())


def test_runs_in_a_region_that_is_no_longer_allowed_continue_elsewhere():
    """A single-version text starts again, as no run may stay in such a region."""

    async def scenario(single_version: bool):
        step = make_step("j", [100, 5])
        engines = SharedEngines(lengths_of(step))
        owner = make_owner(engines, "n1")
        owner.change_first_route(single_version=single_version)
        owner.add_job(step)
        await owner.run_for(1.0)
        listed = ListedTarget("s1", "s", "h", 1, "s1", SLOTS, versions={"m": 1})
        owner.context.directory.put(listed)
        owner.context.targets["s1"] = Target("s1", listed.url, "s1")
        allow_regions(owner, "south")
        await owner.run_for(0.3)
        assert engines.engine_by_item == {"j-0": "s1"}
        await owner.run_for(8.0)
        check_complete_texts(owner, engines)
        progress = owner.owned["j"].ledger.items["j-0"]
        assert progress.failures == 0
        assert engines_called(engines)[-1] == "s1"
        return engines.requests[-1][1].after_piece

    assert run_on_virtual_clock(scenario(False)) > 0
    assert run_on_virtual_clock(scenario(True)) == 0


def test_items_without_an_engine_in_their_regions_wait_and_hold_up_no_others():
    async def scenario():
        step, other = make_step("j", [10]), make_step("k", [10], path="/second")
        engines = SharedEngines(lengths_of(step, other))
        owner = make_owner(engines, "n1")
        allow_regions(owner, "south")
        log = owner.context.daemon.log = EventList()
        owner.add_job(step)
        owner.add_job(other)
        await owner.run_for(2.0)
        (excluded,) = [event for event in log.events if isinstance(event, JobExcluded)]
        assert (excluded.job, excluded.reasons) == ("j", {"region not allowed": 1})
        assert [request.item.item_id for _, request in engines.requests] == ["k-0"]
        assert owner.runner.spare
        allow_regions(owner, "north")
        await owner.run_for(3.0)
        check_complete_texts(owner, engines)

    run_on_virtual_clock(scenario())
