"""The truth about attempts, and a retry budget that causes no storm."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.outcomes import BrokenInvariant, MayHaveRun, NotRun
from rackswitch.requests import AttemptEnd, AttemptLog, RetryBudget, attempt_deadline_seconds


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


def ended(log: AttemptLog, count: int, may_have_run: bool) -> AttemptLog:
    for number in range(count):
        log.note(AttemptEnd(f"t{number}", may_have_run, ""))
    return log


def test_as_many_targets_may_run_a_request_as_its_route_allows_and_no_more():
    assert ended(AttemptLog(True, most_attempts=2), 1, True).may_begin()
    assert not ended(AttemptLog(True, most_attempts=2), 2, True).may_begin()


def test_refusals_count_apart_from_runs():
    log = AttemptLog(True, most_attempts=2, max_refusals=3)
    assert ended(log, 4, False).may_begin()
    assert not ended(log, 1, False).may_begin()


def test_a_retry_is_spent_only_whole_and_the_reserve_does_not_grow():
    budget = RetryBudget(balance=0.9)
    assert not budget.try_spend()
    budget.note_request()
    assert budget.try_spend()
    full = RetryBudget()
    for _ in range(100):
        full.note_request()
    assert sum(full.try_spend() for _ in range(100)) == 10
    exact = RetryBudget(balance=1.0)
    assert exact.try_spend()
    assert exact.balance == 0.0


def test_time_earns_one_retry_for_a_single_failure_and_no_more():
    budget = RetryBudget(balance=0.0)
    budget.pass_time(100.0)
    assert not budget.try_spend()
    budget.pass_time(200.0)
    assert budget.try_spend()
    assert not budget.try_spend()
    budget.pass_time(50.0)
    assert not budget.try_spend()


def test_who_is_refused_is_told_to_come_back_later():
    assert AttemptLog(True).give_up(100.0).retry_at_seconds > 100.0


@pytest.mark.parametrize(
    ("log", "until_seconds"),
    [
        # Another target can follow, so a slow one is left soon after the goal.
        (AttemptLog(True, most_attempts=2), 10.3),
        (ended(AttemptLog(True, most_attempts=2, max_refusals=4), 2, False), 10.3),
        # The last attempt, and one that may not be repeated, take all the time there is.
        (ended(AttemptLog(True, most_attempts=2), 1, True), 15.0),
        (AttemptLog(False, most_attempts=2), 15.0),
    ],
)
def test_an_attempt_that_another_can_follow_ends_early(log, until_seconds):
    assert attempt_deadline_seconds(log, 0.2, 15.0, 10.0) == pytest.approx(until_seconds)


def test_no_attempt_outlasts_its_request():
    assert attempt_deadline_seconds(AttemptLog(True), 0.2, 10.1, 10.0) == 10.1
