"""Long seeded runs: positions and ownership of jobs, orders to engines, two faults at once."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.tests.long_run import FAULTS, STOPS, FaultInjectionRun, NaiveJobStore

RUN_SECONDS = 60.0
SEEDS = range(8)
NAIVE_SEEDS = range(6)


def play(seed: int, store_kind: type[JobStore] = JobStore, faults=FAULTS) -> FaultInjectionRun:
    async def scenario() -> FaultInjectionRun:
        run = FaultInjectionRun(seed, store_kind, faults)
        await run.run(RUN_SECONDS)
        await asyncio.sleep(0)
        return run

    return run_virtual(scenario())


@pytest.mark.parametrize("seed", SEEDS)
def test_positions_never_change_and_every_item_is_listed_once(seed):
    run = play(seed)
    assert run.history.violations == []
    assert run.accepted == {job.job_id for job in run.jobs}


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_changes_where_daemons_are_stopped_as_planned_among_the_faults(seed):
    run = play(seed, faults=STOPS)
    assert run.history.violations == []
    assert run.accepted == {job.job_id for job in run.jobs}


def test_owners_that_append_without_a_fence_are_found_out():
    assert any(play(seed, NaiveJobStore).history.violations for seed in NAIVE_SEEDS)
