"""Engines that do not check fencing numbers never get orders of two holders within a turn."""

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.versions.tests.order_run import OrderRun

RUN_SECONDS = 150.0
SEEDS = range(6)
SKIP_TURNS_SEEDS = range(6)


def run_simulation(seed: int, skip_turns: bool = False) -> OrderRun:
    async def scenario() -> OrderRun:
        run = OrderRun(seed, skip_turns)
        await run.run(RUN_SECONDS)
        return run

    return run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", SEEDS)
def test_holders_take_turns_and_all_engines_get_the_newest_version(seed):
    run = run_simulation(seed)
    assert run.violations() == []
    assert sum(len(engine.arrivals) for engine in run.engines.values()) > 20
    holders = {arrival.holder for engine in run.engines.values() for arrival in engine.arrivals}
    assert len(holders) > 1
    assert {engine.version for engine in run.engines.values()} == {run.newest_version}


def test_detects_holders_that_do_not_wait_for_their_turn():
    assert any(run_simulation(seed, skip_turns=True).violations() for seed in SKIP_TURNS_SEEDS)
