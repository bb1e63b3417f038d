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
from rackswitch.jobs import RewardCall

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
