import hypothesis.strategies as st
import pytest
from hypothesis import given

from rackswitch.requests import OutageTracker, retry_delay_seconds
from rackswitch.requests.outages import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    OVERDUE_OUTAGE_SHARE,
)


def test_a_first_outage_is_expected_to_last_for_a_share_of_its_duration():
    tracker = OutageTracker()
    tracker.record_unavailable(10.0)
    tracker.record_unavailable(12.0)
    assert tracker.remaining_seconds(10.0) == MIN_RETRY_AFTER_SECONDS
    assert tracker.remaining_seconds(14.0) == pytest.approx(4.0 * OVERDUE_OUTAGE_SHARE)


def test_a_later_outage_is_expected_to_last_as_long_as_earlier_ones():
    tracker = OutageTracker()
    tracker.record_unavailable(0.0)
    tracker.record_available(1.5)
    tracker.record_available(2.0)
    tracker.record_unavailable(10.0)
    assert tracker.remaining_seconds(10.5) == pytest.approx(1.0)
    assert tracker.remaining_seconds(12.0) == pytest.approx(2.0 * OVERDUE_OUTAGE_SHARE)


@given(st.lists(st.floats(0.0, 100.0), max_size=20), st.floats(0.0, 100.0))
def test_the_remaining_time_stays_within_its_bounds(durations, elapsed_seconds):
    tracker = OutageTracker()
    now_seconds = 0.0
    for duration_seconds in durations:
        tracker.record_unavailable(now_seconds)
        now_seconds += duration_seconds
        tracker.record_available(now_seconds)
    tracker.record_unavailable(now_seconds)
    expected_seconds = tracker.remaining_seconds(now_seconds + elapsed_seconds)
    assert MIN_RETRY_AFTER_SECONDS <= expected_seconds <= MAX_RETRY_AFTER_SECONDS


@given(st.floats(0.1, 2.0), st.floats(0.0, 0.999), st.floats(0.0, 0.999))
def test_the_most_urgent_class_retries_before_the_least_urgent(base_seconds, draw, other_draw):
    assert retry_delay_seconds(base_seconds, 0, draw) < retry_delay_seconds(base_seconds, 9, 1.0)
    assert retry_delay_seconds(base_seconds, 9, other_draw) >= retry_delay_seconds(
        base_seconds, 0, other_draw
    )
    assert retry_delay_seconds(base_seconds, 0, draw) >= base_seconds


@given(st.floats(0.1, 2.0), st.floats(0.0, 0.999), st.integers(0, 8))
def test_each_class_retries_before_the_next_at_equal_draws(base_seconds, draw, caller_class):
    delay_seconds = retry_delay_seconds(base_seconds, caller_class, draw)
    assert delay_seconds < retry_delay_seconds(base_seconds, caller_class + 1, draw)


def test_all_of_the_most_urgent_class_retry_before_the_least_urgent():
    draws = [number / 100 for number in range(100)]
    urgent_delays = [retry_delay_seconds(1.0, 0, draw) for draw in draws]
    least_urgent_delays = sorted(retry_delay_seconds(1.0, 9, draw) for draw in draws)
    assert max(urgent_delays) <= least_urgent_delays[0]
