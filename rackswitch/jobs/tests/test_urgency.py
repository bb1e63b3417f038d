"""What engines are told of runs' urgency."""

import itertools

from rackswitch.jobs import MIDDLE_URGENCY, urgency_levels, urgency_of

SLACKS_SECONDS = (-1.0, 0.5, 5.0)


def test_without_calls_all_levels_are_to_be_had():
    assert urgency_levels(3, ()) == (0, 9)


def test_items_stay_on_their_side_of_the_calls_at_their_engines():
    assert urgency_levels(1, (2, 3)) == (0, MIDDLE_URGENCY - 1)
    assert urgency_levels(4, (2, 3)) == (MIDDLE_URGENCY + 1, 9)
    assert urgency_levels(2, (2,)) == (MIDDLE_URGENCY, MIDDLE_URGENCY)
    # Between two ranks of calls, which no level tells apart.
    assert urgency_levels(2, (1, 3)) == (MIDDLE_URGENCY, MIDDLE_URGENCY)


def test_the_nearer_to_being_late_the_more_urgent():
    levels = [urgency_of(slack, False, True, (0, 9)) for slack in SLACKS_SECONDS]
    levels.append(urgency_of(-1.0, True, True, (0, 9)))
    assert levels == sorted(set(levels))


def test_between_runs_alike_a_rank_is_never_behind_a_later_one():
    for slack, surplus, levels in itertools.product(
        SLACKS_SECONDS, (False, True), ((0, 9), (0, 4), (6, 9), (5, 5))
    ):
        first = urgency_of(slack, surplus, True, levels)
        later = urgency_of(slack, surplus, False, levels)
        assert levels[0] <= first <= later <= levels[1]


def test_no_level_of_a_rank_is_against_that_of_calls():
    for rank, call in itertools.product(range(6), repeat=2):
        levels = urgency_levels(rank, (call,))
        for slack, surplus, is_first in itertools.product(
            SLACKS_SECONDS, (False, True), (False, True)
        ):
            level = urgency_of(slack, surplus, is_first, levels)
            if rank < call:
                assert level < MIDDLE_URGENCY
            elif rank > call:
                assert level > MIDDLE_URGENCY
            else:
                assert level == MIDDLE_URGENCY
