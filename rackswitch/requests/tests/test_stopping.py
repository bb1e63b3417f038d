"""The requests that a stopping daemon may still send to a target."""

import math

import pytest

from rackswitch.requests import may_end_before_stop

STOP_SECONDS = 100.0


@pytest.mark.parametrize(
    ("stop_deadline_seconds", "deadline_seconds", "typical_seconds", "is_served"),
    [
        (math.inf, 1e9, math.inf, True),
        (STOP_SECONDS, 99.0, math.inf, True),
        (STOP_SECONDS, 99.9, math.inf, False),
        (STOP_SECONDS, 110.0, math.inf, False),
        (STOP_SECONDS, 110.0, 0.05, True),
        (STOP_SECONDS, 110.0, 0.6, False),
        (90.0, 95.0, 0.05, False),
    ],
)
def test_serves_what_ends_before_the_stop(
    stop_deadline_seconds, deadline_seconds, typical_seconds, is_served
):
    # Guards against a request that a stop cuts off although its limits told so before.
    result = may_end_before_stop(stop_deadline_seconds, 95.0, deadline_seconds, typical_seconds)
    assert result is is_served
