"""One holder, one content a window: through crashes, cuts, lost answers and late effects."""

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.duties.tests.usage_run import ForgetfulKeeper, UsageRun

RUN_SECONDS = 240.0


def played(seed: int, **kinds) -> UsageRun:
    async def scenario():
        run = UsageRun(seed, **kinds)
        await run.run(RUN_SECONDS)
        return run

    return run_virtual(scenario())


@pytest.mark.parametrize("seed", range(12))
def test_reports_have_one_holder_at_a_time_and_one_content_for_ever(seed):
    run = played(seed)
    assert run.violations() == []
    # The last windows, undisturbed, have all come.
    newest = max(run.windows_taken())
    assert set(range(newest - 3, newest + 1)) <= run.windows_taken()


def test_a_holder_that_does_not_wait_for_its_predecessors_turn_is_caught():
    assert any(played(seed, naive_turns=True).violations() for seed in range(6))


def test_a_holder_that_gathers_again_what_it_may_have_sent_is_caught():
    found = [line for s in range(6) for line in played(s, keeper=ForgetfulKeeper).violations()]
    assert any("contents" in line for line in found)
