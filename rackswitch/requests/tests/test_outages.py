import hypothesis.strategies as st
import pytest
from hypothesis import given

from rackswitch.requests import OutageTracker, retry_delay_seconds
from rackswitch.requests.outages import (
    BEYOND_USUAL_SHARE,
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
)


def test_a_first_outage_is_taken_to_last_on_for_a_part_of_its_length():
    memory = OutageTracker()
    memory.missing(10.0)
    memory.missing(12.0)
    assert memory.remaining_seconds(10.0) == MIN_RETRY_AFTER_SECONDS
    assert memory.remaining_seconds(14.0) == pytest.approx(4.0 * BEYOND_USUAL_SHARE)


def test_a_later_outage_is_taken_to_last_as_long_as_those_before():
    memory = OutageTracker()
    memory.missing(0.0)
    memory.there(1.5)
    memory.there(2.0)
    memory.missing(10.0)
    assert memory.remaining_seconds(10.5) == pytest.approx(1.0)
    assert memory.remaining_seconds(12.0) == pytest.approx(2.0 * BEYOND_USUAL_SHARE)


@given(st.lists(st.floats(0.0, 100.0), max_size=20), st.floats(0.0, 100.0))
def test_nobody_is_sent_away_for_long_or_for_no_time(lengths, elapsed_seconds):
    memory = OutageTracker()
    now_seconds = 0.0
    for length in lengths:
        memory.missing(now_seconds)
        now_seconds += length
        memory.there(now_seconds)
    memory.missing(now_seconds)
    left_seconds = memory.remaining_seconds(now_seconds + elapsed_seconds)
    assert MIN_RETRY_AFTER_SECONDS <= left_seconds <= MAX_RETRY_AFTER_SECONDS


@given(st.floats(0.1, 2.0), st.floats(0.0, 0.999), st.floats(0.0, 0.999))
def test_the_most_urgent_come_back_before_the_least(base, one, other):
    assert retry_delay_seconds(base, 0, one) < retry_delay_seconds(base, 9, 1.0)
    assert retry_delay_seconds(base, 9, other) >= retry_delay_seconds(base, 0, other)
    assert retry_delay_seconds(base, 0, one) >= base


@given(st.floats(0.1, 2.0), st.floats(0.0, 0.999), st.integers(0, 8))
def test_each_class_comes_back_before_the_next_by_the_same_draw(base, draw, caller_class):
    urgent = retry_delay_seconds(base, caller_class, draw)
    assert urgent < retry_delay_seconds(base, caller_class + 1, draw)


def test_the_most_urgent_half_is_back_before_most_of_the_least_urgent_is():
    draws = [number / 100 for number in range(100)]
    urgent = [retry_delay_seconds(1.0, 0, draw) for draw in draws]
    least = sorted(retry_delay_seconds(1.0, 9, draw) for draw in draws)
    assert max(urgent) <= least[0]
