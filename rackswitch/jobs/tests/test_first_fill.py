"""How many runs an owner sends to an engine before it hears from it."""

import pytest

from rackswitch.jobs import startable_before_report


@pytest.mark.parametrize(
    ("free_slots", "slots", "unanswered_runs", "expected"),
    [
        (6, 6, 0, 1),
        (6, 6, 1, 0),
        (12, 12, 0, 3),
        # A small engine gets at least one run, or it would stay idle.
        (1, 1, 0, 1),
        (0, 6, 0, 0),
        (-1, 6, 0, -1),
    ],
)
def test_an_owner_fills_a_part_of_an_engine_before_it_reports(
    free_slots, slots, unanswered_runs, expected
):
    """Guards against several owners that each fill all slots of the same engine at once."""
    assert startable_before_report(free_slots, slots, unanswered_runs) == expected
