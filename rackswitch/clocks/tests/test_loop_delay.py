import pytest

from rackswitch.clocks.loop_delay import OVERLOAD_DELAY_SECONDS, WINDOW_SAMPLES, LoopDelays


def delays(*seconds: float) -> LoopDelays:
    measured = LoopDelays()
    for number, delay_seconds in enumerate(seconds):
        measured.record(float(number), number + delay_seconds)
    return measured


def test_one_long_pause_is_not_an_overload():
    """Guards against a suspended VM that then passes on its jobs."""
    assert not delays(*[0.0] * WINDOW_SAMPLES, 30.0).is_overloaded
    assert not delays(30.0).is_overloaded
    assert delays(30.0).max_seconds == 30.0


def test_a_loop_that_is_late_most_of_the_time_is_overloaded_until_it_recovers():
    measured = delays(*[2 * OVERLOAD_DELAY_SECONDS] * WINDOW_SAMPLES)
    assert measured.is_overloaded
    assert measured.median_seconds == pytest.approx(2 * OVERLOAD_DELAY_SECONDS)
    for number in range(WINDOW_SAMPLES):
        measured.record(float(number), float(number))
    assert not measured.is_overloaded


def test_before_the_first_sample_there_is_no_delay():
    assert (LoopDelays().median_seconds, LoopDelays().max_seconds) == (0.0, 0.0)
    assert not LoopDelays().is_overloaded
