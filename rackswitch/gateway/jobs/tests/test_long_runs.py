"""Long seeded runs with concurrent faults: results keep their positions and are listed once."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.tests.fault_injection_run import (
    FAULTS,
    FAULTS_WITH_STOPS,
    FaultInjectionRun,
    UnfencedJobStore,
)

RUN_SECONDS = 60.0
SEEDS = range(8)
UNFENCED_SEEDS = range(6)


def run_with_faults(
    seed: int, store_class: type[JobStore] = JobStore, faults=FAULTS
) -> FaultInjectionRun:
    async def scenario() -> FaultInjectionRun:
        run = FaultInjectionRun(seed, store_class, faults)
        await run.run(RUN_SECONDS)
        await asyncio.sleep(0)
        return run

    return run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", SEEDS)
def test_positions_never_change_and_every_item_is_listed_once(seed):
    run = run_with_faults(seed)
    assert run.history.violations == []
    assert run.accepted == {job.job_id for job in run.jobs}


@pytest.mark.parametrize("seed", SEEDS)
def test_positions_never_change_with_planned_stops_among_the_faults(seed):
    run = run_with_faults(seed, faults=FAULTS_WITH_STOPS)
    assert run.history.violations == []
    assert run.accepted == {job.job_id for job in run.jobs}


def test_the_run_detects_owners_that_append_without_a_fencing_number():
    assert any(
        run_with_faults(seed, UnfencedJobStore).history.violations for seed in UNFENCED_SEEDS
    )
