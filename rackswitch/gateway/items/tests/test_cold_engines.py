"""Items at engines that are cold, on the path from the plan to the engine."""

import asyncio
from bisect import bisect_right
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items import item_runner
from rackswitch.gateway.items.tests.test_item_starter import (
    ON,
    SLOTS,
    TABLE,
    Owner,
    SharedEngines,
    check_complete_texts,
    lengths_of,
    make_step,
)
from rackswitch.platform.item_runs import ItemRunEnd, ItemRunEnded
from rackswitch.table import ServiceRow, StoredRow, TableDocument
from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import EVENTS

BOUND = 17.0 * 1.5 + 5.0
COLD_SECONDS = 6.0
SETTLED_SECONDS = 2.2
COLD_ROW = ServiceRow(
    name="s", slots=SLOTS, models=("m",), cold_seconds=3.0, cold_requests_per_second=17.0
)
COLD_TABLE = TableDocument(2, {**TABLE.rows, "service/s": StoredRow(2, COLD_ROW)})


class ColdOwner(Owner):
    """An owner of jobs with a table by which engines can be cold."""

    def __init__(self, name, engines, all_owners, count=0, has_cold_terms=True):
        super().__init__(name, engines, count, ON)
        self.context.settings = replace(
            self.context.settings, daemon=name, cold_rate_factor=1.5, cold_rate_slack=5.0
        )
        if has_cold_terms:
            self.context.daemon.view.replace_if_newer(COLD_TABLE)
        self.context.cold_sends.job_owners = lambda: all_owners
        self.context.daemon.spawn(self.context.cold_sends.run())

    def list_cold_engine(self, name, left_seconds, revision=10):
        self.list_engine(name)
        listed = replace(self.context.directory.entries[name], cold_left_seconds=left_seconds)
        self.context.directory.put(listed)
        self.context.cold_sends.record_entry(listed, revision)


class ArrivalTimes(SharedEngines):
    """Engines that record when each run arrives."""

    async def run(self, target, request, first_piece_timeout_seconds, next_piece_timeout_seconds):
        self.arrivals.append((asyncio.get_running_loop().time(), target.instance))
        runs = super().run(target, request, first_piece_timeout_seconds, next_piece_timeout_seconds)
        async for piece in runs:
            yield piece


def make_engines(*jobs) -> ArrivalTimes:
    engines = ArrivalTimes(lengths_of(*jobs))
    engines.arrivals = []
    return engines


async def start_fleet(names, has_cold_terms=True):
    """Return owners with a large job each and one cold engine, once their views have settled."""
    jobs = {name: make_step(name, [8] * 60) for name in names}
    engines = make_engines(*jobs.values())
    owners = [ColdOwner(name, engines, names, has_cold_terms=has_cold_terms) for name in names]
    await asyncio.sleep(SETTLED_SECONDS)
    for owner in owners:
        owner.list_cold_engine("e0", COLD_SECONDS)
        owner.add_job(jobs[owner.context.settings.daemon])
    began_seconds = asyncio.get_running_loop().time()
    await asyncio.gather(*(owner.run_for(COLD_SECONDS) for owner in owners))
    arrivals_seconds = [at for at, _ in engines.arrivals if at < began_seconds + COLD_SECONDS]
    for owner in owners:
        await owner.context.daemon.cancel_all()
    return owners, arrivals_seconds


def max_within_a_second(arrivals_seconds):
    return max(
        bisect_right(arrivals_seconds, at + 1.0) - position
        for position, at in enumerate(arrivals_seconds)
    )


@pytest.mark.parametrize("owner_count", [6, 12])
def test_owners_keep_the_bound_of_a_started_engine_and_use_its_rate(owner_count):
    """Guards against each owner filling all slots of an engine without load reports."""
    names = [f"d{number}" for number in range(owner_count)]
    _, arrivals_seconds = run_on_virtual_clock(start_fleet(names))
    assert max_within_a_second(arrivals_seconds) <= BOUND / 2
    assert len(arrivals_seconds) / COLD_SECONDS >= 0.8 * 17.0


def test_without_cold_terms_all_slots_are_used_at_once():
    """Guards against a limit on engines of services whose row has no cold time."""
    names = [f"d{number}" for number in range(6)]
    _, arrivals_seconds = run_on_virtual_clock(start_fleet(names, has_cold_terms=False))
    assert sum(at - arrivals_seconds[0] < 0.01 for at in arrivals_seconds) == 6 * SLOTS


def test_warm_engines_come_first_and_no_run_moves_to_a_cold_one():
    """Guards against items that wait at a cold engine while a warm one has free slots."""

    async def scenario():
        step = make_step("j", [100] * 3)
        engines = make_engines(step)
        owner = ColdOwner("a", engines, ["a"], count=1)
        owner.list_cold_engine("e9", 30.0)
        await asyncio.sleep(SETTLED_SECONDS)
        owner.add_job(step)
        await owner.run_for(0.5)
        owner.list_engine("e0", draining=True)
        await owner.run_for(0.5)
        spare = dict(owner.runner.spare)
        await owner.context.daemon.cancel_all()
        return engines.arrivals, spare

    arrivals, spare = run_on_virtual_clock(scenario())
    assert [name for _, name in arrivals] == ["e0"] * 3
    assert spare == {}


def test_a_held_item_starts_elsewhere_without_a_failure(monkeypatch):
    """Guards against an item that counts as refused, or waits, as the budget was used up."""

    async def scenario():
        step = make_step("j", [10])
        engines = make_engines(step)
        owner = ColdOwner("a", engines, ["a"])
        owner.list_cold_engine("e9", 30.0)
        await asyncio.sleep(SETTLED_SECONDS)
        owner.add_job(step)
        cold_sends = owner.context.cold_sends
        monkeypatch.setattr(type(cold_sends), "try_send", lambda self, target, *_: False)
        owner.starter.start_items(owner.owned)
        await asyncio.sleep(0.001)
        progress = owner.owned["j"].ledger.items["j-0"]
        held = (progress.phase.name, progress.failures, progress.avoided_instance)
        monkeypatch.undo()
        owner.list_engine("e0")
        await owner.run_for(5.0)
        await owner.context.daemon.cancel_all()
        check_complete_texts(owner, engines)
        return held, [name for _, name in engines.arrivals]

    held, arrivals = run_on_virtual_clock(scenario())
    assert held == ("WAITING", 0, "")
    assert arrivals == ["e0"]


@pytest.mark.parametrize("is_cold", [True, False])
def test_a_silent_cold_engine_opens_no_breaker_and_changes_no_pace(monkeypatch, is_cold):
    """Guards against an engine that is avoided, once it is warm, for its slowness while cold."""
    monkeypatch.setattr(item_runner, "FIRST_PIECE_TIMEOUT_SECONDS", 0.2)

    class SilentEngine:
        async def run(self, target, request, *timeouts):
            await asyncio.sleep(timeouts[0])
            yield ItemRunEnded(ItemRunEnd.SILENT, "no piece")

    async def scenario():
        step = make_step("j", [10])
        owner = ColdOwner("a", SilentEngine(), ["a"])
        owner.list_cold_engine("e9", 30.0 if is_cold else 0.0)
        await asyncio.sleep(SETTLED_SECONDS)
        owner.add_job(step)
        await owner.run_for(0.3)
        await owner.context.daemon.cancel_all()
        return owner.context.targets["e9"].open_until_seconds

    assert (run_on_virtual_clock(scenario()) == 0.0) is is_cold


def test_cold_and_warm_are_logged_once(monkeypatch):
    """Guards against operators who cannot see since when and until when an engine is cold."""

    async def scenario():
        owner = ColdOwner("a", make_engines(make_step("j", [10])), ["a"])
        written = []
        monkeypatch.setattr(DecisionLog, "write", lambda log, event: written.append(event))
        for revision, left_seconds in ((1, 2.0), (2, 1.0), (2, 9.0)):
            owner.list_cold_engine("e9", left_seconds, revision)
        left = owner.context.cold_sends.cold_left_seconds()
        await asyncio.sleep(3.0)
        owner.context.cold_sends.mark_zone_cold("other zone")
        owner.context.cold_sends.mark_zone_cold("z")
        await owner.context.daemon.cancel_all()
        return left, [(type(event).__name__, getattr(event, "source", "")) for event in written]

    left, written = run_on_virtual_clock(scenario())
    assert left == {"e9": 1.0}
    assert written == [
        ("TargetCold", "entry"),
        ("TargetWarm", ""),
        ("TargetCold", "evacuation ended"),
    ]
    assert "target cold, budget used" in EVENTS.names()


def test_a_cold_engine_is_logged_once_the_table_is_known(monkeypatch):
    """Guards against cold engines that are not shown if their entry was read before the table."""

    async def scenario():
        owner = ColdOwner("a", make_engines(make_step("j", [10])), ["a"], has_cold_terms=False)
        written = []
        monkeypatch.setattr(DecisionLog, "write", lambda log, event: written.append(event))
        owner.list_cold_engine("e9", 9.0)
        await asyncio.sleep(1.0)
        before = [type(event).__name__ for event in written]
        owner.context.daemon.view.replace_if_newer(COLD_TABLE)
        await asyncio.sleep(1.0)
        await owner.context.daemon.cancel_all()
        return before, [type(event).__name__ for event in written]

    assert run_on_virtual_clock(scenario()) == ([], ["TargetCold"])
