"""Calls and delays of a start, a change and the root's death in fleets of several sizes."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.store.tests.spread_run import STATE, SpreadRun
from rackswitch.spread import FAN_OUT

ZONES = 6
CONFIG_SECONDS = 2.0
"""Time within which a change must reach every daemon."""


@pytest.mark.parametrize("daemons", [3, 30, 165])
def test_a_fleet_starts_with_few_calls_and_changes_reach_all_daemons_quickly(daemons):
    async def scenario():
        run = SpreadRun(daemons)
        await run.start()
        assert await run.wait_until_settled() < 2.5
        # Each daemon acquires a lease, writes an entry and makes some stale reads; the other
        # calls are the root's.
        assert run.service.billed_calls < 3.0 * daemons + 100
        assert (await run.propagate("second"))[-1] < 0.3
        before = {name: daemon.served for name, daemon in run.daemons.items()}
        calls = run.service.billed_calls
        for number in range(10):
            await run.propagate(f"change {number}")
        assert run.service.billed_calls - calls < 30 + 0.1 * daemons
        served = max(daemon.served - before[name] for name, daemon in run.daemons.items())
        assert served <= 10 * (FAN_OUT + ZONES) * 2
        await run.stop()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_changes_reach_all_daemons_after_the_root_dies(seed):
    async def scenario():
        run = SpreadRun(40, seed=seed)
        await run.start()
        await run.wait_until_settled()
        (root,) = run.watchers()
        run.kill(root)
        recovery_seconds = (await run.propagate("after its death"))[-1]
        assert recovery_seconds < CONFIG_SECONDS
        assert len(run.watchers()) <= 3
        await run.stop()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_a_root_cut_off_from_the_service_notifies_its_followers_at_once(seed):
    async def scenario():
        run = SpreadRun(40, seed=seed)
        await run.start()
        await run.wait_until_settled()
        (root,) = run.watchers()
        run.reject_calls(root)
        # The rest of its watch, two retries, and one request to another daemon.
        assert (await run.propagate("after it was cut off"))[-1] < 1.25
        await run.stop()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_changes_reach_all_daemons_after_a_sixth_of_the_fleet_dies(seed):
    async def scenario():
        run = SpreadRun(60, seed=seed)
        await run.start()
        await run.wait_until_settled()
        for daemon in run.rng.sample(run.living(), 10):
            run.kill(daemon)
        assert (await run.propagate("without them"))[-1] < CONFIG_SECONDS
        await run.stop()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_a_daemon_in_a_planned_stop_keeps_following_until_it_ends(seed):
    async def scenario():
        run = SpreadRun(24, seed=seed)
        await run.start()
        await run.wait_until_settled()
        stopping = [daemon for daemon in run.living() if daemon.replica_manager.followed][:6]
        for daemon in stopping:
            daemon.context.daemon.membership.leave()
        calls = run.service.billed_calls
        await asyncio.sleep(4.0)
        assert all(daemon.replica_manager.followed for daemon in stopping)
        assert run.service.billed_calls - calls < 4.0 / 0.7 * 2 + 0.2 * 24 + 3
        await run.propagate("to all", 1.0)
        await run.stop()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(("outage_seconds", "max_calls"), [(1.0, 60), (2.5, 700)])
def test_a_short_outage_does_not_make_the_whole_fleet_watch_the_service(outage_seconds, max_calls):
    async def scenario():
        run = SpreadRun(64, zones=4)
        await run.start()
        await run.wait_until_settled()
        calls = run.service.billed_calls
        for daemon in run.living():
            run.reject_calls(daemon)
        await asyncio.sleep(outage_seconds)
        for daemon in run.living():
            daemon.context.kv.faults.refused = 0.0
        await asyncio.sleep(3.0)
        assert run.service.billed_calls - calls < max_calls
        assert (await run.propagate("after it"))[-1] < 0.3
        await run.stop()

    run_on_virtual_clock(scenario())


def test_daemons_follow_again_instead_of_watching_after_a_long_outage():
    """Guards against many watching daemons, each of which makes a call for every change.

    The limit of three calls per daemon covers one watch that finds the service reachable again,
    and the daemon's own entry.
    """

    async def scenario():
        run = SpreadRun(64, zones=4)
        await run.start()
        await run.wait_until_settled()
        for daemon in run.living():
            run.reject_calls(daemon)
        await asyncio.sleep(6.0)
        for daemon in run.living():
            daemon.context.kv.faults.refused = 0.0
        calls = run.service.billed_calls
        for number in range(40):
            run.service.put(f"{STATE}{number}", b"changed")
            await asyncio.sleep(0.05)
        assert run.service.billed_calls - calls < 3 * 64
        assert len(run.watchers()) == 1
        await run.stop()

    run_on_virtual_clock(scenario())
