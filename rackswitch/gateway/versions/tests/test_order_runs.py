"""Long seeded runs: an engine that checks no fences never sees two holders within a turn."""

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.versions.tests.order_run import OrderRun

RUN_SECONDS = 150.0
SEEDS = range(6)
NAIVE_SEEDS = range(6)


def play(seed: int, naive: bool = False) -> OrderRun:
    async def scenario() -> OrderRun:
        run = OrderRun(seed, naive)
        await run.run(RUN_SECONDS)
        return run

    return run_virtual(scenario())


@pytest.mark.parametrize("seed", SEEDS)
def test_holders_take_turns_and_the_newest_version_arrives_in_the_end(seed):
    run = play(seed)
    assert run.violations() == []
    assert sum(len(engine.arrivals) for engine in run.engines.values()) > 20
    holders = {arrival.holder for engine in run.engines.values() for arrival in engine.arrivals}
    assert len(holders) > 1
    assert {engine.version for engine in run.engines.values()} == {run.newest}


def test_holders_that_trust_their_role_alone_are_found_out():
    assert any(play(seed, naive=True).violations() for seed in NAIVE_SEEDS)
