"""After which time without a first piece a run is late."""

import pytest

from rackswitch.jobs import FirstPieceTimes


@pytest.mark.parametrize(
    ("first_piece_seconds", "count", "late_seconds"),
    [(0.05, 50, 0.4), (0.3, 50, 0.9), (3.0, 50, 2.0), (0.05, 5, 2.0)],
)
def test_the_delay_follows_the_observed_times_within_bounds(
    first_piece_seconds, count, late_seconds
):
    """Guards against moving all runs of a busy service, and against deciding from a few runs."""
    times = FirstPieceTimes(2.0)
    for _ in range(count):
        times.record(first_piece_seconds)
    assert times.late_seconds() == pytest.approx(late_seconds)
