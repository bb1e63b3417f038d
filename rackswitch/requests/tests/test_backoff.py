"""Delays between retries."""

import pytest

from rackswitch.requests import backoff_seconds


@pytest.mark.parametrize(
    ("doublings", "delay_seconds"),
    [(0, 0.5), (1, 1.0), (3, 4.0), (4, 6.0), (1100, 6.0), (10**9, 6.0)],
)
def test_the_delay_doubles_up_to_its_maximum_after_any_number_of_failures(doublings, delay_seconds):
    assert backoff_seconds(0.5, 6.0, doublings) == delay_seconds
