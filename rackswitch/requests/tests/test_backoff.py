"""Pauses between failures."""

import pytest

from rackswitch.requests import backoff_seconds


@pytest.mark.parametrize(
    ("doublings", "seconds"), [(0, 0.5), (1, 1.0), (3, 4.0), (4, 6.0), (1100, 6.0), (10**9, 6.0)]
)
def test_pauses_double_up_to_a_bound_after_any_number_of_failures(doublings, seconds):
    assert backoff_seconds(0.5, 6.0, doublings) == seconds
