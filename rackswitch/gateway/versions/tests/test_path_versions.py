"""Versions of weights on the whole path, on loopback."""

import asyncio
from collections import Counter

from rackswitch.gateway.tests.path import check_whole, play, wait_for
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.orders import EngineReport, NoReport, OrderClient


def test_a_named_version_is_rolled_onto_the_engines_by_one_holder():
    async def scenario(fleet):
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        engines = fleet.engines
        await wait_for(lambda: sum(engine.versions["m0"] == 2 for engine in engines) == 2)
        await asyncio.sleep(0.5)
        # The version before the newest still serves, so half of the engines are enough.
        assert sorted(engine.versions["m0"] for engine in engines) == [1, 1, 2, 2]
        assert await fleet.submit("d0", "j1", [2] * 12, oldest_version=2) == 202
        results = await fleet.read_all("d0", "j1")
        assert all(result["versions"] == [2] for result in results)
        # That job cannot use the old version, so the others load the new one too.
        await wait_for(lambda: all(engine.versions["m0"] == 2 for engine in engines))
        orders = [order for engine in engines for order in engine.orders]
        assert len(orders) == len(engines)
        assert len({(order.holder, order.fence) for order in orders}) == 1

    play(scenario, engines=4)


def test_a_text_made_by_two_versions_names_both():
    async def scenario(fleet):
        assert await fleet.submit("d0", "j1", [120] * 4) == 202
        await wait_for(lambda: any(engine.runs for engine in fleet.engines))
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        results = await fleet.read_all("d0", "j1")
        check_whole(results, [120] * 4, "j1")
        assert {tuple(result["versions"]) for result in results} <= {(1,), (1, 2), (2,)}
        assert Counter(len(result["versions"]) for result in results)[2] > 0

    play(scenario, engines=1)


def test_a_job_that_needs_a_newer_version_waits_for_it():
    async def scenario(fleet):
        assert await fleet.submit("d0", "j1", [2], oldest_version=2) == 202
        await asyncio.sleep(0.3)
        assert not any(engine.runs for engine in fleet.engines)
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        assert (await fleet.read_all("d0", "j1"))[0]["versions"] == [2]

    play(scenario)


def test_after_a_loss_of_all_daemons_the_one_that_ordered_last_orders_again_at_once():
    # Found on played days (association, trouble-1 seed 2): another daemon took the role and
    # had to wait for the end of the former holder's turn.
    async def scenario(fleet):
        fleet.name_version(2)
        await wait_for(lambda: any(engine.orders for engine in fleet.engines))
        [holder] = {order.holder for engine in fleet.engines for order in engine.orders}
        await asyncio.gather(*(gateway.crash() for gateway in fleet.gateways.values()))
        for name in sorted(fleet.gateways, key=lambda name: name == holder):
            await fleet.start_gateway(name)
        fleet.name_version(3)
        await wait_for(lambda: any(engine.versions["m0"] == 3 for engine in fleet.engines))
        assert {order.holder for engine in fleet.engines for order in engine.orders} == {holder}

    play(scenario, daemons=4)


def test_a_report_of_another_start_says_nothing_of_the_one_that_is_listed():
    """Its orders are counted anew, and its weights are the first ones."""

    async def scenario(fleet):
        engine = fleet.engines[0]
        listed = fleet.gateways["d0"].context.directory.entries[engine.instance]
        sessions = TargetSessions()
        client = OrderClient(sessions)
        assert isinstance(await client.report(listed), EngineReport)
        engine.faults.keeps_identity = True
        await engine.end_and_start_again()
        assert isinstance(await client.report(listed), NoReport)
        directory = fleet.gateways["d0"].context.directory
        await wait_for(lambda: directory.entries[engine.instance].start != listed.start)
        again = directory.entries[engine.instance]
        assert isinstance(await client.report(again), EngineReport)
        await sessions.close()

    play(scenario)
