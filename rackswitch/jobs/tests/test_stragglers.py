import pytest

from rackswitch.jobs import RunGaps, SpareRoom, should_move
from rackswitch.jobs.stragglers import GAPS_SEEN, LEAST_GAPS, MOST_MOVES

SPARE = SpareRoom("fast", 0.04, 2)


@pytest.mark.parametrize(
    ("pace", "spare", "instance", "remaining", "moves", "moved"),
    [
        (0.12, SPARE, "slow", 50.0, 0, True),
        (0.05, SPARE, "slow", 50.0, 0, False),
        (None, SPARE, "slow", 50.0, 0, False),
        (0.12, None, "slow", 50.0, 0, False),
        (0.12, SpareRoom("fast", 0.04, 0), "slow", 50.0, 0, False),
        (0.12, SPARE, "fast", 50.0, 0, False),
        (0.12, SPARE, "slow", 3.0, 0, False),
        (0.12, SPARE, "slow", 50.0, MOST_MOVES, False),
    ],
)
def test_a_slow_run_with_much_to_come_goes_where_there_is_room(
    pace, spare, instance, remaining, moves, moved
):
    assert should_move(pace, spare, instance, remaining, moves) is moved


def test_the_pause_of_a_load_does_not_make_a_run_slow():
    gaps = RunGaps()
    for _ in range(GAPS_SEEN):
        gaps.note(0.04)
    gaps.note(0.9)
    assert gaps.seconds_per_piece() == 0.04


def test_a_run_that_turns_slow_shows_it_after_half_the_gaps():
    gaps = RunGaps()
    for _ in range(GAPS_SEEN):
        gaps.note(0.04)
    for _ in range(GAPS_SEEN // 2 + 1):
        gaps.note(0.12)
    assert gaps.seconds_per_piece() == 0.12


def test_too_few_gaps_say_nothing():
    gaps = RunGaps()
    for _ in range(LEAST_GAPS - 1):
        gaps.note(0.5)
    assert gaps.seconds_per_piece() is None
