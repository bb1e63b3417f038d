import pytest

from rackswitch.jobs import PieceIntervals, SpareCapacity, should_move
from rackswitch.jobs.stragglers import INTERVAL_WINDOW, MAX_MOVES, MIN_INTERVALS

SPARE = SpareCapacity("fast", 0.04, 2)


@pytest.mark.parametrize(
    ("pace", "spare", "instance", "remaining", "moves", "moved"),
    [
        (0.12, SPARE, "slow", 50.0, 0, True),
        # Gains of 0.5 s and 0.15 s, and a slowdown below the minimum.
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
def test_slow_run_moves_if_it_gains_enough_time(pace, spare, instance, remaining, moves, moved):
    assert should_move(pace, spare, instance, remaining, moves) is moved


def intervals_of(*intervals_seconds: float) -> PieceIntervals:
    """Return the intervals of a run whose pieces arrived at these intervals."""
    intervals = PieceIntervals()
    intervals.record_piece(0.0)
    now_seconds = 0.0
    for interval_seconds in intervals_seconds:
        now_seconds += interval_seconds
        intervals.record_piece(now_seconds)
    return intervals


def test_single_long_interval_does_not_change_the_pace():
    intervals = intervals_of(*[0.04] * INTERVAL_WINDOW, 0.9)
    assert intervals.seconds_per_piece() == pytest.approx(0.04)


def test_pace_follows_after_half_the_window():
    intervals = intervals_of(*[0.04] * INTERVAL_WINDOW, *[0.12] * (INTERVAL_WINDOW // 2 + 1))
    assert intervals.seconds_per_piece() == pytest.approx(0.12)


def test_pace_is_unknown_with_too_few_intervals():
    assert intervals_of(*[0.5] * (MIN_INTERVALS - 1)).seconds_per_piece() is None


def test_first_piece_has_no_interval():
    intervals = PieceIntervals()
    assert intervals.record_piece(3.0) is None
    assert intervals.record_piece(3.5) == 0.5
    assert intervals.first_at_seconds == 3.0
