"""Usage is reported by one holder at a time and with one content per window, despite faults."""

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.duties.tests.usage_run import RegatheringReporter, UsageRun

RUN_SECONDS = 240.0


def run_simulation(seed: int, **options) -> UsageRun:
    async def scenario():
        run = UsageRun(seed, **options)
        await run.run(RUN_SECONDS)
        return run

    return run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", range(12))
def test_one_holder_reports_at_a_time_and_content_never_changes(seed):
    run = run_simulation(seed)
    assert run.violations() == []
    # All windows of the final fault-free phase were reported.
    newest_window = max(run.accepted_windows())
    assert set(range(newest_window - 3, newest_window + 1)) <= run.accepted_windows()


def test_detects_a_holder_that_does_not_wait_for_its_predecessors_turn():
    assert any(run_simulation(seed, skip_turns=True).violations() for seed in range(6))


def test_detects_a_holder_that_gathers_again_what_it_may_have_sent():
    found = [
        line
        for seed in range(6)
        for line in run_simulation(seed, reporter_kind=RegatheringReporter).violations()
    ]
    assert any("contents" in line for line in found)
