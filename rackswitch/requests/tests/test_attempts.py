"""The truth about attempts, and a retry budget that causes no storm."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.outcomes import BrokenInvariant, MayHaveRun, NotRun
from rackswitch.requests import AttemptEnd, AttemptLog, RetryBudget


@given(st.lists(st.booleans(), max_size=6), st.booleans())
def test_not_run_is_said_only_if_no_attempt_may_have_begun(may_have_run, repeatable):
    log = AttemptLog(repeatable)
    for index, began in enumerate(may_have_run):
        if not log.may_begin():
            break
        log.begin()
        log.note(AttemptEnd(f"t{index}", began, ""))
    outcome = log.give_up(0.0)
    assert isinstance(outcome, MayHaveRun) == any(end.may_have_run for end in log.ends)
    assert isinstance(outcome, NotRun | MayHaveRun)
    if not repeatable:
        assert sum(end.may_have_run for end in log.ends) <= 1


def test_repeating_what_may_have_run_stops_the_process():
    log = AttemptLog(repeatable=False)
    log.note(AttemptEnd("t", True, ""))
    with pytest.raises(BrokenInvariant):
        log.begin()


def test_retries_stay_a_share_of_requests():
    budget = RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.note_request()
        while budget.try_spend():
            spent += 1
    assert spent <= 1000 * 0.2 + 10
