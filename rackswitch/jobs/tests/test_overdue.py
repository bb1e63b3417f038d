"""Which engines overdue items start at."""

import random
from dataclasses import replace

import pytest

from rackswitch.jobs import EngineCapacity, JobLedger, LengthForecast, plan_overdue_starts
from rackswitch.jobs.progress import MAX_IDLE_SECONDS, OVERDUE_RETRY_SECONDS, ItemProgress
from rackswitch.jobs.tests.support import make_item, make_job

NOW = 100.0
ENGINE = EngineCapacity("e0", "s", 4, 0.04, {"m": 2}, slots=8)
EXCLUDED = replace(ENGINE, instance="e1", excluded_until_seconds=NOW + 30.0)


def starts_at(engines: list[EngineCapacity], idle_since_seconds: float = 0.0) -> list[str]:
    """Return the engines at which the items of a job of two start."""
    ledger = JobLedger(make_job(2, oldest_version=2))
    ledger.allowed_regions = frozenset({""})
    ledger.record_idle_items(idle_since_seconds)
    starts = plan_overdue_starts(
        [ledger],
        [replace(engine) for engine in engines],
        {"j": "s"},
        {"j": 0.0},
        NOW,
        LengthForecast(),
        random.Random(1),
    )
    return sorted(start.instance for start in starts)


@pytest.mark.parametrize(
    ("engines", "expected"),
    [
        ([EXCLUDED], ["e1", "e1"]),
        ([EXCLUDED, ENGINE], ["e0", "e0"]),
        # One place is left in the first half of the slots.
        ([EXCLUDED, replace(ENGINE, runs=3)], ["e0", "e1"]),
        ([replace(ENGINE, runs=4)], []),
        ([replace(ENGINE, free_slots=0, free_tokens=-5.0, runs=1)], ["e0", "e0"]),
        ([replace(ENGINE, is_cold=True, free_slots=1)], ["e0"]),
        ([replace(ENGINE, versions={"m": 1})], []),
        ([replace(ENGINE, region="r2")], []),
    ],
)
def test_overdue_items_start_at_engines_that_are_less_than_half_full(engines, expected):
    assert starts_at(engines) == expected


def test_an_item_is_overdue_after_a_bounded_time():
    assert starts_at([ENGINE], NOW - MAX_IDLE_SECONDS) == ["e0", "e0"]
    assert starts_at([ENGINE], NOW - MAX_IDLE_SECONDS + 0.1) == []


def test_only_work_of_an_engine_ends_the_time_at_none():
    """Guards against an item that is never overdue as each of its starts fails at once."""
    progress = ItemProgress(make_item(0))
    progress.record_idle(0.0)
    progress.record_idle(1.0, was_at_engine=False)
    assert progress.is_overdue(MAX_IDLE_SECONDS)
    progress.record_idle(5.0, was_at_engine=False)
    assert progress.overdue_at_seconds == 5.0 + OVERDUE_RETRY_SECONDS
    assert progress.idle_since_seconds == 0.0
    progress.record_idle(7.0)
    assert progress.overdue_at_seconds == 7.0 + MAX_IDLE_SECONDS
    assert progress.idle_since_seconds == 7.0
