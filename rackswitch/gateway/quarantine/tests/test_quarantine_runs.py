"""Long seeded runs of a fleet under which targets end."""

from contextvars import ContextVar
from dataclasses import replace
from typing import ClassVar

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.quarantine.tests.quarantine_run import QuarantineRun
from rackswitch.quarantine.verdicts import ENDS_TO_HOLD, MAX_TRIALS

SECONDS = 90.0


class Forgetful(QuarantineManager):
    """Keeps what it knows of ends and of trials to itself."""

    async def run(self):
        return

    def trial_put(self, entry):
        return

    async def _claim(self, fingerprint, due):
        return True


class Harsh(QuarantineManager):
    """Holds back whatever was present at one end, and sends it on no trial."""

    def _suspicion(self, fingerprint):
        known = super()._suspicion(fingerprint)
        return replace(known, ends=known.ends * ENDS_TO_HOLD)

    async def _claim(self, fingerprint, due):
        return False


IS_ASKED_FIRST = ContextVar("is_asked_first", default=False)


class AskedTwice(QuarantineManager):
    """Asked without a claim first, as for calls that still have to find room.

    Attributes
    ----------
    claims : list of bool
        Of each claim whether it was made by the first question.
    """

    claims: ClassVar[list[bool]] = []

    async def admit(self, fingerprint_of, deadline_seconds, may_claim=True):
        before = IS_ASKED_FIRST.set(True)
        held = await super().admit(fingerprint_of, deadline_seconds, may_claim=False)
        IS_ASKED_FIRST.reset(before)
        return held or await super().admit(fingerprint_of, deadline_seconds)

    async def _claim(self, fingerprint, due):
        self.claims.append(IS_ASKED_FIRST.get())
        return await super()._claim(fingerprint, due)


def played(seed, kind=QuarantineManager):
    run = QuarantineRun(seed, kind)
    run_virtual(run.play(SECONDS))
    return run


@pytest.mark.parametrize("seed", range(12))
def test_what_ends_targets_is_held_back_and_all_else_is_served(seed):
    run = played(seed)
    assert len(run.ends_under_it) >= 3
    assert run.late_sends() <= MAX_TRIALS
    assert run.served > 100
    assert run.unserved == []


def test_asking_first_whether_a_request_is_held_claims_nothing():
    AskedTwice.claims.clear()
    for seed in range(3):
        run = played(seed, AskedTwice)
        assert run.late_sends() <= MAX_TRIALS
        assert run.unserved == []
    assert AskedTwice.claims
    assert not any(AskedTwice.claims)


def test_daemons_that_tell_each_other_nothing_are_found_out():
    assert any(played(seed, Forgetful).late_sends() > MAX_TRIALS for seed in range(3))


def test_holding_back_whatever_was_present_is_found_out():
    assert any(played(seed, Harsh).unserved for seed in range(3))
