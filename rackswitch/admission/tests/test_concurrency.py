"""How many calls go at once, on what targets tell."""

import pytest

from rackswitch.admission.concurrency import (
    BORROWED_CALLS,
    FIRST_LIMIT,
    MIN_LIMIT,
    ConcurrencyLimit,
)
from rackswitch.admission.service_admission import MIN_CROWDING

SLOTS = 6


def crowded(limit: ConcurrencyLimit, now_seconds: float, answers: int = 100) -> float:
    """Let targets tell of queues; return the time."""
    for _ in range(answers):
        now_seconds += 0.02
        limit.answered(SLOTS, SLOTS, SLOTS, now_seconds)
    return now_seconds


def test_queues_lower_the_limit_and_their_end_raises_it():
    limit = ConcurrencyLimit()
    now_seconds = crowded(limit, 0.0)
    assert limit.limit == MIN_LIMIT
    for _ in range(20):
        now_seconds += 0.02
        limit.answered(1, 0, SLOTS, now_seconds)
    assert limit.limit > MIN_LIMIT


def test_refusals_of_one_moment_count_once():
    limit = ConcurrencyLimit()
    for _ in range(10):
        limit.refused(0.03, 1.0)
    assert limit.limit == FIRST_LIMIT / 2


def test_a_limit_below_one_spaces_calls_out():
    limit = ConcurrencyLimit()
    now_seconds = crowded(limit, 0.0)
    sent = 0
    for _ in range(800):
        now_seconds += 0.001
        if limit.may_send(0.04, False, now_seconds):
            limit.sent(0.04, now_seconds)
            limit.ended()
            sent += 1
    assert 1 <= sent <= 1 + 0.8 * MIN_LIMIT / 0.04 + 0.1 / 0.04


def test_the_first_rank_goes_ahead_of_its_spacing_by_a_bounded_number():
    limit = ConcurrencyLimit()
    now_seconds = crowded(limit, 0.0)
    while limit.may_send(0.04, False, now_seconds):
        limit.sent(0.04, now_seconds)
    ahead = 0
    while limit.may_send(0.04, True, now_seconds):
        limit.sent(0.04, now_seconds)
        ahead += 1
    assert 1 <= ahead <= BORROWED_CALLS + 1


def test_a_daemon_without_news_of_a_crowd_may_always_have_one_call():
    limit = ConcurrencyLimit()
    now_seconds = crowded(limit, 0.0)
    assert limit.limit < 1
    assert limit.may_send(0.04, False, now_seconds + 1.1)
    assert limit.limit == 1


def test_a_clock_that_jumps_gives_no_more_than_the_credit_of_a_moment():
    limit = ConcurrencyLimit()
    now_seconds = crowded(limit, 1000.0)
    sent = 0
    for step_seconds in (500.0, -1500.0, 0.0, -10.0, 0.0):
        now_seconds += step_seconds
        crowded_at = now_seconds
        limit.answered(SLOTS, SLOTS, SLOTS, crowded_at)
        while limit.limit < 1 and limit.may_send(0.04, False, now_seconds):
            limit.sent(0.04, now_seconds)
            sent += 1
    assert sent <= 5 * 3
    assert limit.limit >= MIN_LIMIT


@pytest.mark.parametrize("tells", [True, False])
def test_a_limit_of_one_grows_for_calls_that_go_one_after_the_other(tells):
    limit = ConcurrencyLimit()
    limit.restart()
    now_seconds = 10.0
    for _ in range(10):
        assert limit.may_send(0.04, False, now_seconds)
        limit.sent(0.04, now_seconds)
        now_seconds += 0.04
        limit.ended()
        if tells:
            limit.answered(1, 0, SLOTS, now_seconds)
        else:
            limit.answered_untold(now_seconds)
    assert limit.limit >= 2


def test_a_limit_that_is_not_used_does_not_grow():
    limit = ConcurrencyLimit()
    for number in range(100):
        limit.answered(0, 0, SLOTS, number * 0.1)
    assert limit.limit == FIRST_LIMIT


def test_crowding_fades_with_the_age_of_what_was_told():
    # Guards against taking old words of full targets for the present.
    limit = ConcurrencyLimit()
    now_seconds = crowded(limit, 0.0, answers=20)
    assert limit.crowding(now_seconds) > MIN_CROWDING
    assert limit.crowding(now_seconds + 0.3) < MIN_CROWDING


def test_a_daemon_that_hears_little_remembers_a_crowd_from_answer_to_answer():
    # Guards against daemons with few calls that take each pause for the end of a crowd.
    limit = ConcurrencyLimit()
    for number in range(40):
        limit.answered(SLOTS, SLOTS, SLOTS, 0.15 * number)
    assert limit.crowding(0.15 * 40) > MIN_CROWDING


def test_one_full_target_among_free_ones_is_no_crowd():
    # Guards against refusing calls for one word out of many.
    limit = ConcurrencyLimit()
    for number in range(20):
        limit.answered(1, 0, SLOTS, 0.02 * number)
    limit.answered(SLOTS, 1, SLOTS, 0.4)
    assert limit.crowding(0.4) <= MIN_CROWDING
