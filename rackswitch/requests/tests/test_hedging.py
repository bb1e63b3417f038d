"""When a call is sent a second time, and how often."""

import math
import random

import pytest

from rackswitch.requests import (
    AttemptEnd,
    AttemptLog,
    CallTimes,
    HedgeBudget,
    hedge_attempt_log,
    may_hedge,
)
from rackswitch.requests.hedging import MIN_HEDGE_DELAY_SECONDS, MIN_SAMPLE_COUNT


def log_in_progress(max_attempts=2, repeatable=True, ends=()) -> AttemptLog:
    log = AttemptLog(repeatable, list(ends), max_attempts)
    log.record_send("t0", 0.0)
    return log


@pytest.mark.parametrize(("typical_seconds", "delay_seconds"), [(0.2, 0.4), (0.01, 0.15)])
def test_the_delay_follows_the_typical_time_and_has_a_minimum(typical_seconds, delay_seconds):
    """Guards against a fixed delay, which hedges all calls of a slow service or none of a fast."""
    rng = random.Random(3)
    times = CallTimes()
    for _ in range(500):
        times.record(typical_seconds * rng.uniform(0.9, 1.1) * (20 if rng.random() < 0.05 else 1))
    assert times.hedge_delay_seconds == pytest.approx(delay_seconds, rel=0.05)
    assert times.hedge_delay_seconds >= MIN_HEDGE_DELAY_SECONDS


def test_without_enough_calls_no_delay_is_known():
    """Guards against second calls of a service whose calls always take long."""
    times = CallTimes()
    for _ in range(MIN_SAMPLE_COUNT - 1):
        times.record(0.2)
    assert times.hedge_delay_seconds == math.inf


def test_the_budget_bounds_second_calls_of_a_service_that_became_slow():
    """Guards against doubling the load of a service that is slow because of its load."""
    budget = HedgeBudget()
    hedged = 0
    for _ in range(1000):
        budget.record_call()
        hedged += budget.try_spend()
    assert hedged <= 0.1 * 1000 + 1
    assert hedged >= 0.09 * 1000


@pytest.mark.parametrize(
    ("log", "expected"),
    [
        (log_in_progress(), True),
        (log_in_progress(max_attempts=1), False),
        (log_in_progress(repeatable=False), False),
        (log_in_progress(ends=[AttemptEnd("t1", True, "lost")]), False),
        (log_in_progress(ends=[AttemptEnd("t1", False, "full")]), True),
        # Nothing was sent yet.
        (AttemptLog(True, max_attempts=2), False),
    ],
)
def test_only_repeatable_requests_with_an_attempt_left_are_hedged(log, expected):
    """Guards against running a request twice that must not be repeated, or too often."""
    assert may_hedge(log) is expected


@pytest.mark.parametrize("max_attempts", [2, 3, 4])
def test_both_logs_together_allow_no_more_attempts_than_the_route(max_attempts):
    """Guards against a hedge and a retry that together exceed the route's attempts."""
    log = log_in_progress(max_attempts=max_attempts)
    hedge_log = hedge_attempt_log(log)
    assert hedge_log.tried_targets() == {"t0"}
    run_count = 1
    while hedge_log.may_begin():
        run_count += 1
        hedge_log.record_end(AttemptEnd("t1", True, "lost"))
    log.record_end(AttemptEnd("t0", True, "lost"))
    while log.may_begin():
        run_count += 1
        log.record_end(AttemptEnd("t2", True, "lost"))
    assert run_count == max_attempts


def test_a_first_call_that_its_target_refused_may_still_run_once():
    """Guards against losing a request whose target did not begin it after the hedge was sent."""
    log = log_in_progress()
    log.max_refusals = 1
    hedge_attempt_log(log)
    log.record_end(AttemptEnd("t0", False, "full"))
    assert log.may_begin()
