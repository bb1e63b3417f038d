"""Outcomes reported after attempts, and the retry budget."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.outcomes import BrokenInvariant, MayHaveRun, NotRun
from rackswitch.requests import AttemptEnd, AttemptLog, RetryBudget, attempt_deadline_seconds


@given(st.lists(st.booleans(), max_size=6), st.booleans())
def test_reports_not_run_only_if_no_attempt_may_have_begun(may_have_run, repeatable):
    log = AttemptLog(repeatable)
    for index, may_have_begun in enumerate(may_have_run):
        if not log.may_begin():
            break
        log.check_may_begin()
        log.record_end(AttemptEnd(f"t{index}", may_have_begun, ""))
    outcome = log.give_up(0.0)
    assert isinstance(outcome, MayHaveRun) == any(end.may_have_run for end in log.ends)
    assert isinstance(outcome, NotRun | MayHaveRun)
    if not repeatable:
        assert sum(end.may_have_run for end in log.ends) <= 1


def test_repeating_a_request_that_may_have_run_breaks_an_invariant():
    log = AttemptLog(repeatable=False)
    log.record_end(AttemptEnd("t", True, ""))
    with pytest.raises(BrokenInvariant):
        log.check_may_begin()


def test_retries_are_limited_to_a_share_of_requests():
    budget = RetryBudget()
    spent_count = 0
    for _ in range(1000):
        budget.record_request()
        while budget.try_spend():
            spent_count += 1
    assert spent_count <= 1000 * 0.2 + 10


def with_ends(log: AttemptLog, count: int, may_have_run: bool) -> AttemptLog:
    for number in range(count):
        log.record_end(AttemptEnd(f"t{number}", may_have_run, ""))
    return log


def test_allows_attempts_up_to_the_maximum():
    assert with_ends(AttemptLog(True, max_attempts=2), 1, True).may_begin()
    assert not with_ends(AttemptLog(True, max_attempts=2), 2, True).may_begin()


def test_refusals_are_counted_apart_from_runs():
    log = AttemptLog(True, max_attempts=2, max_refusals=3)
    assert with_ends(log, 4, False).may_begin()
    assert not with_ends(log, 1, False).may_begin()


def test_spends_only_complete_retries_and_bounds_the_balance():
    budget = RetryBudget(balance=0.9)
    assert not budget.try_spend()
    budget.record_request()
    assert budget.try_spend()
    full_budget = RetryBudget()
    for _ in range(100):
        full_budget.record_request()
    assert sum(full_budget.try_spend() for _ in range(100)) == 10
    exact_budget = RetryBudget(balance=1.0)
    assert exact_budget.try_spend()
    assert exact_budget.balance == 0.0


def test_time_refills_the_budget_up_to_one_retry():
    budget = RetryBudget(balance=0.0)
    budget.refill(100.0)
    assert not budget.try_spend()
    budget.refill(200.0)
    assert budget.try_spend()
    assert not budget.try_spend()
    budget.refill(50.0)
    assert not budget.try_spend()


def test_a_refused_caller_is_told_to_retry_later():
    assert AttemptLog(True).give_up(100.0).retry_at_seconds > 100.0


@pytest.mark.parametrize(
    ("log", "expected_deadline_seconds"),
    [
        # Another target can follow, so the attempt ends soon after the latency target.
        (AttemptLog(True, max_attempts=2), 10.3),
        (with_ends(AttemptLog(True, max_attempts=2, max_refusals=4), 2, False), 10.3),
        # The last attempt, and one that may not be repeated, may take until the deadline.
        (with_ends(AttemptLog(True, max_attempts=2), 1, True), 15.0),
        (AttemptLog(False, max_attempts=2), 15.0),
    ],
)
def test_an_attempt_ends_early_if_another_can_follow(log, expected_deadline_seconds):
    assert attempt_deadline_seconds(log, 0.2, 15.0, 10.0) == pytest.approx(
        expected_deadline_seconds
    )


def test_no_attempt_lasts_beyond_the_requests_deadline():
    assert attempt_deadline_seconds(AttemptLog(True), 0.2, 10.1, 10.0) == 10.1
