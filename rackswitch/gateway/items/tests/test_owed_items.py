"""Items that are owed start again within a bound, whatever delayed them."""

from collections import Counter

import msgspec

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.tests.test_item_starter import (
    ON,
    Owner,
    SharedEngines,
    check_complete_texts,
    lengths_of,
    make_step,
)
from rackswitch.gateway.quarantine.quarantine_manager import HeldRequest
from rackswitch.gateway.tests.support import NoQuarantine
from rackswitch.jobs import RewardCall
from rackswitch.jobs.progress import OVERDUE_RETRY_SECONDS

MAX_IDLE_SECONDS = 5.0
"""How long an item may be at no engine while engines have room."""


def test_an_item_runs_again_after_an_unexpected_error_in_its_run(monkeypatch):
    """Guards against an item that stays at no engine as the task of its run has ended."""
    run = ItemRunner.run
    errors: Counter[str] = Counter()

    async def fail_twice(runner, ledger, progress, target, urgency):
        if errors[progress.item.item_id] < 2:
            errors[progress.item.item_id] += 1
            raise RuntimeError("unexpected")
        return await run(runner, ledger, progress, target, urgency)

    monkeypatch.setattr(ItemRunner, "run", fail_twice)

    async def scenario():
        step = make_step("j", [10] * 3)
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.add_job(step)
        await owner.run_for(MAX_IDLE_SECONDS)
        check_complete_texts(owner, engines)
        return owner.owned["j"].runs

    assert run_on_virtual_clock(scenario()) == {}
    assert set(errors.values()) == {2}


def test_a_reward_call_is_sent_again_after_an_unexpected_error(monkeypatch):
    """Guards against a complete text that is never listed as the task of its call has ended."""
    calls: list[float] = []

    async def fail_twice(runner, ledger, progress):
        calls.append(runner._context.now_seconds())
        if len(calls) <= 2:
            raise RuntimeError("unexpected")
        ledger.record_score(progress, "score")

    monkeypatch.setattr(ItemRunner, "score", fail_twice)

    async def scenario():
        step = make_step("j", [10])
        reward = RewardCall(request_id="r", host="h", path="/s", body=b"")
        item = msgspec.structs.replace(step.items[0], reward=reward)
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.add_job(msgspec.structs.replace(step, items=(item,)))
        await owner.run_for(MAX_IDLE_SECONDS)
        check_complete_texts(owner, engines)

    run_on_virtual_clock(scenario())
    assert len(calls) == 3


def test_items_run_where_all_circuit_breakers_are_open():
    """Guards against items that wait for a circuit breaker while all engines are sound."""

    async def scenario():
        step = make_step("j", [10] * 3)
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 2, ON)
        for target in owner.context.targets.values():
            target.open_until_seconds = owner.context.now_seconds() + 30.0
        owner.add_job(step)
        await owner.run_for(MAX_IDLE_SECONDS)
        check_complete_texts(owner, engines)

    run_on_virtual_clock(scenario())


def test_an_overdue_item_runs_where_memory_seems_full():
    """Guards against items that wait for memory while their engine is less than half full."""

    async def scenario():
        step = make_step("j", [200, 200])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        listed = owner.context.directory.entries["e0"]
        for item in step.items:
            owner.runner.memory.record_usage(listed.start, 0, item.tokens // 100, 0.0, 0.0)
        owner.add_job(step)
        await owner.run_for(0.2)
        running_before = len(engines.engine_by_item)
        await owner.run_for(MAX_IDLE_SECONDS)
        return running_before, [item for _, item in runs_of(engines)]

    running_before, items = run_on_virtual_clock(scenario())
    assert running_before == 1
    assert sorted(items) == ["j-0", "j-1"]


class HoldingQuarantine(NoQuarantine):
    """Holds all items for a long time."""

    async def admit_item(self, fingerprint_of, deadline_seconds):
        return HeldRequest("held", self.now_seconds() + 300.0)

    def __init__(self, now_seconds):
        self.now_seconds = now_seconds


def test_an_item_is_held_back_until_it_is_overdue_at_most():
    """Guards against holds that another daemon's clock or record makes long."""

    async def scenario():
        step = make_step("j", [10])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.runner._quarantine = HoldingQuarantine(owner.context.now_seconds)
        owner.add_job(step)
        await owner.run_for(MAX_IDLE_SECONDS)
        check_complete_texts(owner, engines)

    run_on_virtual_clock(scenario())


def test_starts_of_an_overdue_item_that_reach_no_engine_are_spaced():
    """Guards against a start of each overdue item at each planning while engines are down."""

    async def scenario():
        step = make_step("j", [10])
        engines = SharedEngines(lengths_of(step), ended_engines={"e0", "e1"})
        owner = Owner("a", engines, 2, ON)
        owner.add_job(step)
        await owner.run_for(20.0)
        attempts = len(engines.requests)
        engines.ended_engines.clear()
        ended_seconds = owner.context.now_seconds()
        await owner.run_for(MAX_IDLE_SECONDS)
        check_complete_texts(owner, engines)
        return attempts, owner.context.now_seconds() - ended_seconds

    attempts, recovery_seconds = run_on_virtual_clock(scenario())
    assert attempts <= 40
    assert recovery_seconds < OVERDUE_RETRY_SECONDS + 1.0


def runs_of(engines: SharedEngines) -> list[tuple[str, str]]:
    return [(name, request.item.item_id) for name, request in engines.requests]
