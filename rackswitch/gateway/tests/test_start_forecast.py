"""Which requests wait for the end of a start, and which are refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.gateway.start_forecast import START_MODULE_COUNT, StartForecast, refusal_of_waiting

RECEIVED = 100.0


def forecast_after(imported_count: int) -> StartForecast:
    forecast = StartForecast(RECEIVED)
    for _ in range(imported_count):
        forecast.record_import()
    return forecast


@pytest.mark.parametrize(
    ("ready_in_seconds", "waited_seconds", "is_refused"),
    [(0.5, 0.0, False), (1.1, 0.0, False), (1.2, 0.0, True), (9.0, 0.0, True), (0.2, 1.2, True)],
)
def test_refuses_at_once_what_cannot_be_served_in_time(
    ready_in_seconds, waited_seconds, is_refused
):
    # Guards against callers who wait for a start until their own time limit.
    now = RECEIVED + waited_seconds
    refusal = refusal_of_waiting(RECEIVED, RECEIVED + 1.5, now + ready_in_seconds, None, now)
    assert (refusal is not None) == is_refused


@given(
    limit_seconds=st.floats(0.0, 20.0),
    waited_seconds=st.floats(0.0, 30.0),
    ready_in_seconds=st.floats(0.0, 60.0),
)
def test_a_refused_caller_can_follow_the_retry_after(
    limit_seconds, waited_seconds, ready_in_seconds
):
    # Guards against a return that the caller has no time for.
    now = RECEIVED + waited_seconds
    deadline = RECEIVED + limit_seconds
    refusal = refusal_of_waiting(RECEIVED, deadline, now + ready_in_seconds, None, now)
    if refusal is None:
        assert now <= deadline
    else:
        assert now <= refusal.retry_at_seconds <= max(now, now + (deadline - now) / 3)


@pytest.mark.parametrize(("ready_in_seconds", "is_refused"), [(1.0, False), (3.0, True)])
def test_a_stop_during_the_start_bounds_the_wait(ready_in_seconds, is_refused):
    # Guards against requests that the end of a stopping daemon cuts off.
    ready_at = RECEIVED + ready_in_seconds
    refusal = refusal_of_waiting(RECEIVED, RECEIVED + 60.0, ready_at, RECEIVED + 2.0, RECEIVED)
    assert (refusal is not None) == is_refused


def test_the_forecast_follows_the_pace_of_the_imports():
    # Guards against a slow start that is noticed only when callers have no time left.
    forecast = forecast_after(START_MODULE_COUNT // 4)
    assert forecast.ready_at_seconds(RECEIVED + 1.0) == pytest.approx(RECEIVED + 4.0)


@pytest.mark.parametrize("imported_count", [0, 1, START_MODULE_COUNT, START_MODULE_COUNT + 50])
def test_an_unknown_pace_refuses_nobody(imported_count):
    # Guards against refusals in the first moments, and for modules that are not counted.
    assert forecast_after(imported_count).ready_at_seconds(RECEIVED + 1.0) == RECEIVED + 1.0


def test_the_imports_have_ended_when_the_event_loop_runs():
    # Guards against a forecast that moves away with the time if a module is missing.
    forecast = forecast_after(START_MODULE_COUNT // 2)
    forecast.record_imports_ended()
    assert forecast.ready_at_seconds(RECEIVED + 1.0) == RECEIVED + 1.0
