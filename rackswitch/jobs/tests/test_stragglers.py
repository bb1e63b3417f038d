import pytest

from rackswitch.jobs import PieceIntervals, SpareCapacity, should_move
from rackswitch.jobs.stragglers import GAPS_SEEN, MAX_MOVES, MIN_GAPS

SPARE = SpareCapacity("fast", 0.04, 2)


@pytest.mark.parametrize(
    ("pace", "spare", "instance", "remaining", "moves", "moved"),
    [
        (0.12, SPARE, "slow", 50.0, 0, True),
        # It gains half a second, a fifth of one, and too little against chance.
        (0.05, SPARE, "slow", 50.0, 0, True),
        (0.05, SPARE, "slow", 15.0, 0, False),
        (0.045, SPARE, "slow", 500.0, 0, False),
        (None, SPARE, "slow", 50.0, 0, False),
        (0.12, None, "slow", 50.0, 0, False),
        (0.12, SpareCapacity("fast", 0.04, 0), "slow", 50.0, 0, False),
        (0.12, SPARE, "fast", 50.0, 0, False),
        (0.12, SPARE, "slow", 2.0, 0, False),
        (0.12, SPARE, "slow", 50.0, MAX_MOVES, False),
    ],
)
def test_a_slow_run_with_much_to_come_goes_where_there_is_room(
    pace, spare, instance, remaining, moves, moved
):
    assert should_move(pace, spare, instance, remaining, moves) is moved


def gaps_of(*gaps_seconds: float) -> PieceIntervals:
    """Return a run whose pieces came with these gaps."""
    gaps = PieceIntervals()
    gaps.piece_came(0.0)
    now_seconds = 0.0
    for gap_seconds in gaps_seconds:
        now_seconds += gap_seconds
        gaps.piece_came(now_seconds)
    return gaps


def test_the_pause_of_a_load_does_not_make_a_run_slow():
    gaps = gaps_of(*[0.04] * GAPS_SEEN, 0.9)
    assert gaps.seconds_per_piece() == pytest.approx(0.04)


def test_a_run_that_turns_slow_shows_it_after_half_the_gaps():
    gaps = gaps_of(*[0.04] * GAPS_SEEN, *[0.12] * (GAPS_SEEN // 2 + 1))
    assert gaps.seconds_per_piece() == pytest.approx(0.12)


def test_too_few_gaps_say_nothing():
    assert gaps_of(*[0.5] * (MIN_GAPS - 1)).seconds_per_piece() is None


def test_the_first_piece_has_no_gap():
    gaps = PieceIntervals()
    assert gaps.piece_came(3.0) is None
    assert gaps.piece_came(3.5) == 0.5
    assert gaps.first_at_seconds == 3.0
