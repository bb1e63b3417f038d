"""What the log says of items that are at no engine."""

from dataclasses import replace

import msgspec
import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items import wait_log
from rackswitch.gateway.items.tests.test_item_starter import (
    ON,
    Owner,
    SharedEngines,
    lengths_of,
    make_step,
)
from rackswitch.jobs import (
    EngineCapacity,
    ItemPhase,
    JobLedger,
    WaitReason,
    survey_engines,
    wait_reason,
)
from rackswitch.jobs.tests.support import make_job
from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import ItemWaits


def record_waits(monkeypatch) -> list[ItemWaits]:
    lines: list[ItemWaits] = []
    monkeypatch.setattr(
        DecisionLog,
        "write",
        lambda log, event: lines.append(event) if isinstance(event, ItemWaits) else None,
    )
    return lines


def make_waiting_owner(items: int) -> Owner:
    """Return the owner of a job with two engines, neither of which has its weights."""
    step = make_step("j", [10] * items)
    owner = Owner("a", SharedEngines(lengths_of(step)), 2, ON)
    owner.add_job(msgspec.structs.replace(step, oldest_version=2))
    return owner


def test_a_waiting_item_says_what_it_waits_for(monkeypatch):
    """Guards against items that wait without a line that tells why, since when and until when."""
    lines = record_waits(monkeypatch)

    async def scenario():
        owner = make_waiting_owner(1)
        now_seconds = owner.context.now_seconds()
        owner.context.targets["e0"].open_until_seconds = now_seconds + 30.0
        await owner.run_for(0.9)
        assert lines == []
        await owner.run_for(7.5)

    run_on_virtual_clock(scenario())
    first = lines[0]
    assert (first.item, first.run, first.reason) == ("j-0", 0, WaitReason.ENGINE.value)
    assert first.obstacles == {"does not respond": 1, "weights too old": 2}
    assert first.engines_with_room == []
    # One line each time that the wait has doubled.
    waits_seconds = [line.waited_seconds for line in lines]
    assert len(waits_seconds) == 4
    assert waits_seconds == pytest.approx([1.0, 2.0, 4.0, 8.0], rel=0.4)


def test_lines_of_waiting_items_are_bounded(monkeypatch):
    """Guards against a line for each of a job's items at each check."""
    lines = record_waits(monkeypatch)

    async def scenario():
        owner = make_waiting_owner(3 * wait_log.MAX_LINES)
        await owner.run_for(wait_log.FIRST_LINE_SECONDS + wait_log.CHECK_INTERVAL_SECONDS)

    run_on_virtual_clock(scenario())
    assert 0 < len(lines) <= 2 * wait_log.MAX_LINES
    assert lines[wait_log.MAX_LINES - 1].items_left_out == 2 * wait_log.MAX_LINES


ENGINE = EngineCapacity("e0", "s", 4, 0.04, {"m": 2})


@pytest.mark.parametrize(
    ("engine", "obstacles"),
    [
        (ENGINE, {}),
        (replace(ENGINE, excluded_until_seconds=11.0), {"does not respond": 1}),
        (replace(ENGINE, free_slots=0), {"no free slot": 1}),
        (replace(ENGINE, runs=1, free_tokens=-1.0), {"no free memory": 1}),
        (replace(ENGINE, versions={}), {"weights too old": 1}),
        (replace(ENGINE, region="r2"), {"region not allowed": 1}),
        (replace(ENGINE, free_slots=0, versions={}), {"no free slot": 1, "weights too old": 1}),
    ],
)
def test_names_all_obstacles_of_an_engine(engine, obstacles):
    ledger = JobLedger(make_job(oldest_version=2))
    ledger.allowed_regions = frozenset({""})
    survey = survey_engines([engine], ledger, 10.0)
    assert survey.obstacles == obstacles
    assert survey.with_room == (() if obstacles else ("e0",))


@pytest.mark.parametrize(
    ("changes", "has_route", "has_room", "reason"),
    [
        ({"phase": ItemPhase.RUNNING}, True, True, WaitReason.ADMISSION),
        ({}, False, True, WaitReason.ROUTE),
        ({"failures": 3}, True, True, WaitReason.FAILURE_LIMIT),
        ({"not_before_seconds": 11.0}, True, True, WaitReason.RETRY_TIME),
        ({}, True, False, WaitReason.ENGINE),
        ({}, True, True, WaitReason.TURN),
    ],
)
def test_names_what_an_item_waits_for(changes, has_route, has_room, reason):
    ledger = JobLedger(make_job())
    survey = survey_engines([ENGINE] if has_room else [], ledger, 10.0)
    progress = replace(ledger.items["i0"], **changes)
    assert wait_reason(progress, ledger, has_route, survey, 10.0) is reason
