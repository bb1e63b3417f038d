"""The urgency level of runs."""

import itertools

from rackswitch.jobs import DEFAULT_URGENCY, urgency_levels, urgency_of

SLACK_SAMPLES_SECONDS = (-1.0, 0.5, 5.0)


def test_without_calls_all_levels_are_available():
    assert urgency_levels(3, ()) == (0, 9)


def test_levels_of_items_do_not_cross_the_level_of_calls():
    assert urgency_levels(1, (2, 3)) == (0, DEFAULT_URGENCY - 1)
    assert urgency_levels(4, (2, 3)) == (DEFAULT_URGENCY + 1, 9)
    assert urgency_levels(2, (2,)) == (DEFAULT_URGENCY, DEFAULT_URGENCY)
    # All calls have one level, so no other level lies between two ranks of calls.
    assert urgency_levels(2, (1, 3)) == (DEFAULT_URGENCY, DEFAULT_URGENCY)


def test_less_slack_gives_a_more_urgent_level():
    levels = [urgency_of(slack, False, True, (0, 9)) for slack in SLACK_SAMPLES_SECONDS]
    levels.append(urgency_of(-1.0, True, True, (0, 9)))
    assert levels == sorted(set(levels))


def test_within_a_grade_the_first_rank_is_never_less_urgent():
    for slack, surplus, levels in itertools.product(
        SLACK_SAMPLES_SECONDS, (False, True), ((0, 9), (0, 4), (6, 9), (5, 5))
    ):
        first = urgency_of(slack, surplus, True, levels)
        later = urgency_of(slack, surplus, False, levels)
        assert levels[0] <= first <= later <= levels[1]


def test_levels_agree_with_the_order_of_ranks_and_calls():
    for rank, call_rank in itertools.product(range(6), repeat=2):
        levels = urgency_levels(rank, (call_rank,))
        for slack, surplus, is_first in itertools.product(
            SLACK_SAMPLES_SECONDS, (False, True), (False, True)
        ):
            level = urgency_of(slack, surplus, is_first, levels)
            if rank < call_rank:
                assert level < DEFAULT_URGENCY
            elif rank > call_rank:
                assert level > DEFAULT_URGENCY
            else:
                assert level == DEFAULT_URGENCY
