from types import SimpleNamespace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items.late_run_mover import LateRunMover
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.jobs import EngineCapacity, LocalRuns
from rackswitch.routing import ListedTarget, Target, TargetEstimate
from rackswitch.standins.kv_store import KvStore


def make_mover():
    context = make_gateway_context("a", KvStore())
    for name in ("e1", "e2"):
        listed = ListedTarget(name, "s", "127.0.0.1", 80, "z")
        context.directory.put(listed)
        context.targets[name] = Target(name, listed.url, "z")
    return context, LateRunMover(context, LocalRuns(), 2.0)


def make_run(allowed_regions=None):
    ledger = SimpleNamespace(
        job=SimpleNamespace(model="m", oldest_version=1), allowed_regions=allowed_regions
    )
    return SimpleNamespace(
        ledger=ledger, progress=SimpleNamespace(late_moves=0), instance="e1", start="e1@0"
    )


def make_engine(region: str) -> EngineCapacity:
    estimate = TargetEstimate("e2", 6, 0, 0.0, 1.0, 0.04, 0.0, 0.001)
    return EngineCapacity("e2", "s", 6, 0.04, {"m": 1}, 6, 0, estimate, region=region)


@pytest.mark.parametrize("is_engine_active", [True, False])
def test_an_engine_without_any_progress_counts_as_unresponsive(is_engine_active):
    """Moved runs never reach their own timeout, which would have opened the circuit breaker."""

    async def scenario():
        context, mover = make_mover()
        run, now_seconds = make_run(), context.now_seconds()
        mover.record_stopped(run, now_seconds, is_engine_active)
        assert run.progress.late_moves == 1
        assert (context.targets["e1"].open_until_seconds > now_seconds) is not is_engine_active

    run_on_virtual_clock(scenario())


def test_a_run_is_not_stopped_for_an_engine_of_a_forbidden_region():
    """It would lose its place in the queue of the only engine that it may use."""

    async def scenario():
        _, mover = make_mover()
        run = make_run(frozenset({"south"}))
        assert mover._free_engine(run, [make_engine("north")]) is None
        assert mover._free_engine(run, [make_engine("south")]) is not None

    run_on_virtual_clock(scenario())
