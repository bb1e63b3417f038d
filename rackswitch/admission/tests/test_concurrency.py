"""The concurrency limit follows targets' load reports and refusals."""

import pytest

from rackswitch.admission.concurrency import (
    INITIAL_LIMIT,
    MAX_BORROWED_CALLS,
    MIN_LIMIT,
    ConcurrencyLimit,
)
from rackswitch.admission.service_admission import SATURATION_THRESHOLD

SLOTS = 6


def saturate(limit: ConcurrencyLimit, now_seconds: float, answer_count: int = 100) -> float:
    """Record answers of targets with queues; return the time after the last one."""
    for _ in range(answer_count):
        now_seconds += 0.02
        limit.record_answer(SLOTS, SLOTS, SLOTS, now_seconds)
    return now_seconds


def test_lowers_the_limit_while_targets_have_queues_and_raises_it_after():
    limit = ConcurrencyLimit()
    now_seconds = saturate(limit, 0.0)
    assert limit.limit == MIN_LIMIT
    for _ in range(20):
        now_seconds += 0.02
        limit.record_answer(1, 0, SLOTS, now_seconds)
    assert limit.limit > MIN_LIMIT


def test_counts_simultaneous_refusals_once():
    limit = ConcurrencyLimit()
    for _ in range(10):
        limit.record_refusal(0.03, 1.0)
    assert limit.limit == INITIAL_LIMIT / 2


def test_spaces_calls_out_below_a_limit_of_one():
    limit = ConcurrencyLimit()
    now_seconds = saturate(limit, 0.0)
    sent_count = 0
    for _ in range(800):
        now_seconds += 0.001
        if limit.may_send(0.04, False, now_seconds):
            limit.record_send(0.04, now_seconds)
            limit.record_end()
            sent_count += 1
    assert 1 <= sent_count <= 1 + 0.8 * MIN_LIMIT / 0.04 + 0.1 / 0.04


def test_bounds_the_calls_that_the_top_rank_sends_ahead_of_its_spacing():
    limit = ConcurrencyLimit()
    now_seconds = saturate(limit, 0.0)
    while limit.may_send(0.04, False, now_seconds):
        limit.record_send(0.04, now_seconds)
    borrowed_count = 0
    while limit.may_send(0.04, True, now_seconds):
        limit.record_send(0.04, now_seconds)
        borrowed_count += 1
    assert 1 <= borrowed_count <= MAX_BORROWED_CALLS + 1


def test_resets_the_limit_to_one_call_once_saturation_expires():
    limit = ConcurrencyLimit()
    now_seconds = saturate(limit, 0.0)
    assert limit.limit < 1
    assert limit.may_send(0.04, False, now_seconds + 1.1)
    assert limit.limit == 1


def test_a_clock_jump_adds_at_most_the_maximum_credit():
    limit = ConcurrencyLimit()
    now_seconds = saturate(limit, 1000.0)
    sent_count = 0
    for step_seconds in (500.0, -1500.0, 0.0, -10.0, 0.0):
        now_seconds += step_seconds
        saturated_at_seconds = now_seconds
        limit.record_answer(SLOTS, SLOTS, SLOTS, saturated_at_seconds)
        while limit.limit < 1 and limit.may_send(0.04, False, now_seconds):
            limit.record_send(0.04, now_seconds)
            sent_count += 1
    assert sent_count <= 5 * 3
    assert limit.limit >= MIN_LIMIT


@pytest.mark.parametrize("reports_load", [True, False])
def test_a_limit_of_one_grows_with_sequential_calls(reports_load):
    limit = ConcurrencyLimit()
    limit.restart()
    now_seconds = 10.0
    for _ in range(10):
        assert limit.may_send(0.04, False, now_seconds)
        limit.record_send(0.04, now_seconds)
        now_seconds += 0.04
        limit.record_end()
        if reports_load:
            limit.record_answer(1, 0, SLOTS, now_seconds)
        else:
            limit.record_answer_without_report(now_seconds)
    assert limit.limit >= 2


def test_an_unused_limit_does_not_grow():
    limit = ConcurrencyLimit()
    for number in range(100):
        limit.record_answer(0, 0, SLOTS, number * 0.1)
    assert limit.limit == INITIAL_LIMIT


def test_saturation_decays_with_the_age_of_load_reports():
    # Guards against refusing calls because of outdated load reports.
    limit = ConcurrencyLimit()
    now_seconds = saturate(limit, 0.0, answer_count=20)
    assert limit.saturation(now_seconds) > SATURATION_THRESHOLD
    assert limit.saturation(now_seconds + 0.3) < SATURATION_THRESHOLD


def test_saturation_lasts_between_infrequent_answers():
    # Guards against daemons with few calls that forget saturation between two answers.
    limit = ConcurrencyLimit()
    for number in range(40):
        limit.record_answer(SLOTS, SLOTS, SLOTS, 0.15 * number)
    assert limit.saturation(0.15 * 40) > SATURATION_THRESHOLD


def test_one_report_of_a_full_target_is_not_saturation():
    # Guards against refusing calls because of a single load report.
    limit = ConcurrencyLimit()
    for number in range(20):
        limit.record_answer(1, 0, SLOTS, 0.02 * number)
    limit.record_answer(SLOTS, 1, SLOTS, 0.4)
    assert limit.saturation(0.4) <= SATURATION_THRESHOLD
