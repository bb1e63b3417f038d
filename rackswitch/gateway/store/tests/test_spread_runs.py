"""What a change, a start and the death of the watching daemon cost fleets of several sizes."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.store.tests.spread_run import STATE, SpreadRun
from rackswitch.spread import FAN_OUT

ZONES = 6
CONFIG_SECONDS = 2.0
"""Within which a change must be in force at the strictest deployment."""


@pytest.mark.parametrize("daemons", [3, 30, 165])
def test_a_fleet_starts_with_few_calls_and_a_change_reaches_all_at_once(daemons):
    async def scenario():
        run = SpreadRun(daemons)
        await run.start()
        assert await run.settled() < 2.5
        # A lease, an entry and some old readings each; the rest is the watching daemon's.
        assert run.service.priced < 3.0 * daemons + 100
        assert (await run.spread("second"))[-1] < 0.3
        before = {name: node.served for name, node in run.nodes.items()}
        calls = run.service.priced
        for number in range(10):
            await run.spread(f"change {number}")
        assert run.service.priced - calls < 30 + 0.1 * daemons
        served = max(node.served - before[name] for name, node in run.nodes.items())
        assert served <= 10 * (FAN_OUT + ZONES) * 2
        await run.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_the_death_of_the_watching_daemon_is_mended_while_changes_come(seed):
    async def scenario():
        run = SpreadRun(40, seed=seed)
        await run.start()
        await run.settled()
        (root,) = run.watchers()
        run.kill(root)
        recovery_seconds = (await run.spread("after its death"))[-1]
        assert recovery_seconds < CONFIG_SECONDS
        assert len(run.watchers()) <= 3
        await run.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_a_watching_daemon_that_is_turned_away_says_so_at_once(seed):
    async def scenario():
        run = SpreadRun(40, seed=seed)
        await run.start()
        await run.settled()
        (root,) = run.watchers()
        run.turn_away(root)
        # What is left of its watch, two tries, and one question to another daemon.
        assert (await run.spread("after it was turned away"))[-1] < 1.25
        await run.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_a_sixth_of_the_fleet_may_go_at_once(seed):
    async def scenario():
        run = SpreadRun(60, seed=seed)
        await run.start()
        await run.settled()
        for node in run.rng.sample(run.living(), 10):
            run.kill(node)
        assert (await run.spread("without them"))[-1] < CONFIG_SECONDS
        await run.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_a_daemon_that_stops_as_planned_follows_the_others_until_it_ends(seed):
    async def scenario():
        run = SpreadRun(24, seed=seed)
        await run.start()
        await run.settled()
        stopping = [node for node in run.living() if node.replica_manager.followed][:6]
        for node in stopping:
            node.context.daemon.membership.leave()
        calls = run.service.priced
        await asyncio.sleep(4.0)
        assert all(node.replica_manager.followed for node in stopping)
        assert run.service.priced - calls < 4.0 / 0.7 * 2 + 0.2 * 24 + 3
        await run.spread("to all", 1.0)
        await run.stop()

    run_virtual(scenario())


@pytest.mark.parametrize(("outage_seconds", "max_calls"), [(1.0, 60), (2.5, 700)])
def test_a_short_outage_for_all_does_not_send_the_whole_fleet_to_the_service(
    outage_seconds, max_calls
):
    async def scenario():
        run = SpreadRun(64, zones=4)
        await run.start()
        await run.settled()
        calls = run.service.priced
        for node in run.living():
            run.turn_away(node)
        await asyncio.sleep(outage_seconds)
        for node in run.living():
            node.context.kv.faults.refused = 0.0
        await asyncio.sleep(3.0)
        assert run.service.priced - calls < max_calls
        assert (await run.spread("after it"))[-1] < 0.3
        await run.stop()

    run_virtual(scenario())


def test_after_a_long_outage_for_all_daemons_follow_again_before_they_watch():
    """Everything in the service changes as it comes back; who watches then pays for each change.

    Three calls each are a watch that learns of the return and what a daemon's own entry needs.
    """

    async def scenario():
        run = SpreadRun(64, zones=4)
        await run.start()
        await run.settled()
        for node in run.living():
            run.turn_away(node)
        await asyncio.sleep(6.0)
        for node in run.living():
            node.context.kv.faults.refused = 0.0
        calls = run.service.priced
        for number in range(40):
            run.service.put(f"{STATE}{number}", b"changed")
            await asyncio.sleep(0.05)
        assert run.service.priced - calls < 3 * 64
        assert len(run.watchers()) == 1
        await run.stop()

    run_virtual(scenario())
