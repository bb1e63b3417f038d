"""A short seeded soak, and tests of its checks; `make soak` runs longer ones."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.load.soak import Soak
from rackswitch.load.soak_callers import CallRecord, SoakCallers
from rackswitch.load.soak_site import SoakSite
from rackswitch.load.soak_trainer import JobRecord, SoakTrainer
from rackswitch.registry import UnknownNameError
from rackswitch.standins.platform_target import OrderSeen, Run

SEED = 11
FAULT_SECONDS = 2.5
STOP_FAULT_SECONDS = 6.0
TIMEOUT_SECONDS = 100.0


def test_soak_has_no_violations(tmp_path):
    soak = Soak(SEED, 3, tmp_path)
    report = asyncio.run(asyncio.wait_for(soak.run(FAULT_SECONDS), TIMEOUT_SECONDS))
    assert report.violations == []
    assert sum(report.faults.values()) >= 2
    assert report.answers["200"] > 0
    assert report.jobs > 0
    assert all(not daemon.process_record.is_running for daemon in soak.site.daemons)


@pytest.mark.parametrize("seed", [450, 479])
def test_planned_stops_under_bursts_and_silent_targets_cut_no_request(tmp_path, seed):
    # Guards against stops that callers who reconnect prolong until the last requests are cut, and
    # against resets of connections that were not accepted yet. All callers use one daemon.
    soak = Soak(seed, 1, tmp_path, ["daemon-stopped", "burst", "target-silent"])
    report = asyncio.run(asyncio.wait_for(soak.run(STOP_FAULT_SECONDS), TIMEOUT_SECONDS))
    assert report.violations == []
    assert report.faults["daemon-stopped"] >= 1
    assert report.answers["200"] > 0


def test_items_outlast_crashes_in_a_burst_odd_entries_and_endless_bytes(tmp_path):
    # Guards against owed items that are held back, and against daemons that such input ends.
    names = ["targets-crash-in-a-burst", "target-list-has-odd-entries", "target-endless"]
    soak = Soak(SEED, 3, tmp_path, names)
    report = asyncio.run(asyncio.wait_for(soak.run(STOP_FAULT_SECONDS), TIMEOUT_SECONDS))
    assert report.violations == []
    assert set(report.faults) == set(names)
    assert report.jobs > 0


@pytest.fixture
def site(tmp_path):
    return SoakSite(1, SEED, tmp_path)


def _record_runs(site: SoakSite, request_id: str, times: int) -> None:
    for target in (site.services * times)[:times]:
        target.stand_in.runs.append(Run(request_id, "POST", "/", b"", 0))


@pytest.mark.parametrize(
    ("record", "runs", "expected_text"),
    [
        (CallRecord("r1", "lodge", 200, "d0"), 1, ""),
        (CallRecord("r1", "look", 200, "d0"), 3, ""),
        (CallRecord("r1", "lodge", 503, "d0"), 0, ""),
        (CallRecord("r1", "lodge", 0, "d0"), 1, ""),
        (CallRecord("r1", "lodge", 200, "d0"), 2, "ran 2 times"),
        (CallRecord("r1", "lodge", 0, "d0"), 2, "ran 2 times"),
        (CallRecord("r1", "look", 504, "d0"), 4, "ran 4 times"),
        (CallRecord("r1", "lodge", 503, "d0"), 1, "reported as not run"),
        (CallRecord("r1", "look", 200, "d0"), 0, "not its own response"),
        (CallRecord("r1", "look", 200, "d0", "foreign: x"), 1, "not its own response"),
        (CallRecord("r1", "added", 404, "d0"), 0, ""),
        (CallRecord("r1", "look", 404, "d0"), 0, "unexpected status for"),
        (CallRecord("r1", "look", 500, "d0"), 1, "unexpected status for"),
        (CallRecord("r1", "draft", 200, "d0", "foreign: events [3]"), 1, "not its own response"),
        (CallRecord("r1", "draft", 0, "d0"), 2, "ran 2 times"),
    ],
)
def test_callers_find_violations(site, record, runs, expected_text):
    async def scenario():
        callers = SoakCallers(site, SEED)
        callers.records.append(record)
        _record_runs(site, "r1", runs)
        violations = callers.check()
        assert bool(violations) == bool(expected_text), violations
        assert all(expected_text in line for line in violations)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("kind", "stop_requested_seconds", "ended_seconds", "disturbed", "sent_seconds", "count"),
    [
        ("look", 1.0, 4.0, False, 2.0, 1),
        ("look", 1.0, 4.0, False, 0.5, 1),
        ("look", None, 4.0, False, 2.0, 0),
        ("look", 1.0, None, False, 2.0, 0),
        ("look", 1.0, 4.0, True, 2.0, 0),
        ("look", 1.0, 4.0, False, 3.9, 0),
        ("draft", 1.0, 4.0, False, 2.0, 1),
        ("draft", 1.0, 4.0, False, 0.5, 0),
    ],
)
def test_finds_only_requests_interrupted_by_a_planned_stop_alone(
    site, kind, stop_requested_seconds, ended_seconds, disturbed, sent_seconds, count
):
    async def scenario():
        callers = SoakCallers(site, SEED)
        process_record = SimpleNamespace(
            stop_requested_seconds=stop_requested_seconds,
            ended_seconds=ended_seconds,
            disturbed=disturbed,
        )
        callers._interrupted_calls.append(
            (CallRecord("r1", kind, 0, "d0"), process_record, sent_seconds)
        )
        assert len(callers.check()) == count

    asyncio.run(scenario())


def _result(number: int, **changes: Any) -> dict[str, Any]:
    result = {
        "id": f"j-{number}",
        "state": "completed",
        "text": "piece 1\npiece 2",
        "score": f"stamp-s0-j-score-{number}",
        "versions": [2, 3],
    }
    return {**result, **changes}


@pytest.mark.parametrize(
    ("listed", "expected_text"),
    [
        ([(0, _result(1)), (1, _result(0)), (0, _result(1))], ""),
        ([(0, _result(1)), (0, _result(0))], "changed"),
        ([(0, _result(1)), (0, _result(1, score="stamp-s1-j-score-1"))], "changed"),
        ([(0, _result(1)), (1, _result(1))], "is listed twice"),
        ([(0, _result(0, text="piece 1"))], "has a wrong text"),
        ([(0, _result(0, score="stamp-s0-j-score-1"))], "has the wrong score"),
        ([(0, _result(7))], "not one of its items"),
        ([(0, _result(0, versions=[]))], "has wrong versions"),
        ([(0, _result(0, versions=[1, 3]))], "has wrong versions"),
        ([(0, _result(0, versions=[4]))], "has wrong versions"),
    ],
)
def test_trainers_find_violations(site, listed, expected_text):
    trainer = SoakTrainer("t", site, SEED)
    site.published_version = 3
    job = JobRecord("j", [2, 2], oldest_version=2)
    for position, result in listed:
        trainer._record_result(job, position, result)
    assert bool(site.violations) == bool(expected_text), site.violations
    assert all(expected_text in line for line in site.violations)


@pytest.mark.parametrize(("age_seconds", "violation_count"), [(5.0, 1), (45.0, 0)])
def test_trainers_find_items_that_were_given_up_early(site, age_seconds, violation_count):
    # Guards against a soak that takes items listed as dead for a regular end.
    async def scenario():
        trainer = SoakTrainer("t", site, SEED)
        submitted_seconds = asyncio.get_running_loop().time() - age_seconds
        job = JobRecord("j", [2, 2], submitted_seconds=submitted_seconds)
        trainer._record_result(job, 0, _result(0, state="dead", text=""))
        assert len(site.violations) == violation_count

    asyncio.run(scenario())


def test_finds_two_holders_with_one_fencing_number(tmp_path):
    async def scenario():
        soak = Soak(SEED, 1, tmp_path)
        first, second = (engine.stand_in.orders for engine in soak.site.engines[:2])
        first += [OrderSeen("d0", 5, 2), OrderSeen("d1", 6, 2)]
        soak._check()
        assert soak.site.violations == []
        second.append(OrderSeen("d1", 5, 2))
        soak._check()
        assert len(soak.site.violations) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("unserved", [[], ["d7"]])
def test_recovery_of_many_daemons_is_checked_at_once(tmp_path, monkeypatch, unserved):
    # Guards against a time limit that many daemons share: those asked last would have no time left.
    soak = Soak(SEED, 40, tmp_path)

    async def wait_served(session, daemon):
        await asyncio.sleep(1000.0 if daemon.name in unserved else 0.5)

    monkeypatch.setattr(soak, "_wait_served", wait_served)
    run_on_virtual_clock(soak._check_recovery())
    expected = [f"not serving 10 s after the faults: {unserved}"] if unserved else []
    assert soak.site.violations == expected


def test_unknown_fault_lists_known_faults(tmp_path):
    with pytest.raises(UnknownNameError, match="daemons-rolled"):
        Soak(SEED, 1, tmp_path, ["earthquake"])
