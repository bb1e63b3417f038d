"""Seeded simulations of the quarantine."""

from contextvars import ContextVar
from dataclasses import replace
from typing import ClassVar

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.quarantine.tests.quarantine_run import QuarantineRun
from rackswitch.quarantine.verdicts import ENDS_TO_HOLD, MAX_TRIALS

SIMULATED_SECONDS = 90.0


class UnsharedQuarantine(QuarantineManager):
    """Shares neither ends nor trials with other daemons."""

    async def run(self):
        return

    def trial_put(self, entry):
        return

    async def _claim(self, fingerprint, due):
        return True


class OverstrictQuarantine(QuarantineManager):
    """Holds back every request that was present at one end, and grants no trial."""

    def _suspicion(self, fingerprint):
        suspicion = super()._suspicion(fingerprint)
        return replace(suspicion, ends=suspicion.ends * ENDS_TO_HOLD)

    async def _claim(self, fingerprint, due):
        return False


IS_FIRST_CHECK = ContextVar("is_asked_first", default=False)


class TwoStageQuarantine(QuarantineManager):
    """Checks each request without a claim first, as calls do before admission.

    Attributes
    ----------
    claims : list of bool
        For each claim, whether it was made by the first check.
    """

    claims: ClassVar[list[bool]] = []

    async def admit(self, fingerprint_of, deadline_seconds, may_claim=True):
        token = IS_FIRST_CHECK.set(True)
        hold = await super().admit(fingerprint_of, deadline_seconds, may_claim=False)
        IS_FIRST_CHECK.reset(token)
        return hold or await super().admit(fingerprint_of, deadline_seconds)

    async def _claim(self, fingerprint, due):
        self.claims.append(IS_FIRST_CHECK.get())
        return await super()._claim(fingerprint, due)


def simulate(seed, manager_class=QuarantineManager):
    run = QuarantineRun(seed, manager_class)
    run_on_virtual_clock(run.simulate(SIMULATED_SECONDS))
    return run


@pytest.mark.parametrize("seed", range(12))
def test_holds_back_the_lethal_request_and_serves_all_others(seed):
    run = simulate(seed)
    assert len(run.lethal_ends) >= 3
    assert run.late_sends() <= MAX_TRIALS
    assert run.served > 100
    assert run.unserved == []


def test_check_without_claim_claims_no_trial():
    TwoStageQuarantine.claims.clear()
    for seed in range(3):
        run = simulate(seed, TwoStageQuarantine)
        assert run.late_sends() <= MAX_TRIALS
        assert run.unserved == []
    assert TwoStageQuarantine.claims
    assert not any(TwoStageQuarantine.claims)


def test_simulation_detects_daemons_that_do_not_share_ends():
    assert any(simulate(seed, UnsharedQuarantine).late_sends() > MAX_TRIALS for seed in range(3))


def test_simulation_detects_holding_back_healthy_requests():
    assert any(simulate(seed, OverstrictQuarantine).unserved for seed in range(3))
