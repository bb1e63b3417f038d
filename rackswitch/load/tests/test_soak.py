"""A short seeded soak, and that its checks find what must not be; `make soak` runs long ones."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from rackswitch.load.soak import Soak
from rackswitch.load.soak_callers import CallSeen, SoakCallers
from rackswitch.load.soak_site import SoakSite
from rackswitch.load.soak_trainer import JobSeen, SoakTrainer
from rackswitch.registry import UnknownNameError
from rackswitch.standins.platform_target import OrderSeen, Run

SEED = 11
FAULT_SECONDS = 2.5
TIMEOUT_SECONDS = 100.0


def test_nothing_that_must_hold_is_violated_by_real_processes(tmp_path):
    soak = Soak(SEED, 3, tmp_path)
    report = asyncio.run(asyncio.wait_for(soak.run(FAULT_SECONDS), TIMEOUT_SECONDS))
    assert report.violations == []
    assert sum(report.faults.values()) >= 2
    assert report.answers["200"] > 0
    assert report.jobs > 0
    assert all(not daemon.life.runs for daemon in soak.site.daemons)


@pytest.fixture
def site(tmp_path):
    return SoakSite(1, SEED, tmp_path)


def _ran(site: SoakSite, request_id: str, times: int) -> None:
    for target in (site.services * times)[:times]:
        target.stand_in.runs.append(Run(request_id, "POST", "/", b"", 0))


@pytest.mark.parametrize(
    ("seen", "runs", "words"),
    [
        (CallSeen("r1", "lodge", 200, "d0"), 1, ""),
        (CallSeen("r1", "look", 200, "d0"), 3, ""),
        (CallSeen("r1", "lodge", 503, "d0"), 0, ""),
        (CallSeen("r1", "lodge", 0, "d0"), 1, ""),
        (CallSeen("r1", "lodge", 200, "d0"), 2, "ran 2 times"),
        (CallSeen("r1", "lodge", 0, "d0"), 2, "ran 2 times"),
        (CallSeen("r1", "look", 504, "d0"), 4, "ran 4 times"),
        (CallSeen("r1", "lodge", 503, "d0"), 1, "called not run"),
        (CallSeen("r1", "look", 200, "d0"), 0, "not its own answer"),
        (CallSeen("r1", "look", 200, "d0", "foreign: x"), 1, "not its own answer"),
        (CallSeen("r1", "added", 404, "d0"), 0, ""),
        (CallSeen("r1", "look", 404, "d0"), 0, "no status for"),
        (CallSeen("r1", "look", 500, "d0"), 1, "no status for"),
    ],
)
def test_what_callers_must_not_see_is_found(site, seen, runs, words):
    async def scenario():
        callers = SoakCallers(site, SEED)
        callers.seen.append(seen)
        _ran(site, "r1", runs)
        found = callers.check()
        assert bool(found) == bool(words), found
        assert all(words in line for line in found)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("ordered", "ended", "disturbed", "sent", "count"),
    [
        (1.0, 4.0, False, 2.0, 1),
        (None, 4.0, False, 2.0, 0),
        (1.0, None, False, 2.0, 0),
        (1.0, 4.0, True, 2.0, 0),
        (1.0, 4.0, False, 3.9, 0),
    ],
)
def test_only_what_a_planned_stop_alone_has_cut_is_found(
    site, ordered, ended, disturbed, sent, count
):
    async def scenario():
        callers = SoakCallers(site, SEED)
        life = SimpleNamespace(
            stop_ordered_seconds=ordered, ended_seconds=ended, disturbed=disturbed
        )
        callers._cut.append((CallSeen("r1", "look", 0, "d0"), life, sent))
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
    ("listed", "words"),
    [
        ([(0, _result(1)), (1, _result(0)), (0, _result(1))], ""),
        ([(0, _result(1)), (0, _result(0))], "changed"),
        ([(0, _result(1)), (0, _result(1, score="stamp-s1-j-score-1"))], "changed"),
        ([(0, _result(1)), (1, _result(1))], "stands twice"),
        ([(0, _result(0, text="piece 1"))], "another text"),
        ([(0, _result(0, score="stamp-s0-j-score-1"))], "has the score"),
        ([(0, _result(7))], "none of its items"),
        ([(0, _result(0, versions=[]))], "by versions"),
        ([(0, _result(0, versions=[1, 3]))], "by versions"),
        ([(0, _result(0, versions=[4]))], "by versions"),
    ],
)
def test_what_trainers_must_not_read_is_found(site, listed, words):
    trainer = SoakTrainer("t", site, SEED)
    site.named_version = 3
    job = JobSeen("j", [2, 2], oldest_version=2)
    for position, result in listed:
        trainer._take(job, position, result)
    assert bool(site.violations) == bool(words), site.violations
    assert all(words in line for line in site.violations)


def test_two_holders_under_one_fencing_number_are_found(tmp_path):
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


def test_unknown_faults_name_the_known_ones(tmp_path):
    with pytest.raises(UnknownNameError, match="daemons-rolled"):
        Soak(SEED, 1, tmp_path, ["earthquake"])
