"""Roll-out of weight versions end to end, on a fleet of gateways on loopback."""

import asyncio
from collections import Counter

from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.orders import EngineReport, NoReport, OrderClient


def test_one_holder_rolls_out_a_named_version():
    async def scenario(fleet):
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        engines = fleet.engines
        await wait_for(lambda: sum(engine.versions["m0"] == 2 for engine in engines) == 2)
        await asyncio.sleep(0.5)
        # The previous version may still be used, so half of the engines are enough.
        assert sorted(engine.versions["m0"] for engine in engines) == [1, 1, 2, 2]
        assert await fleet.submit("d0", "j1", [2] * 12, oldest_version=2) == 202
        results = await fleet.read_all("d0", "j1")
        assert all(result["versions"] == [2] for result in results)
        # That job needs version 2, so the other engines load it too.
        await wait_for(lambda: all(engine.versions["m0"] == 2 for engine in engines))
        orders = [order for engine in engines for order in engine.orders]
        assert len(orders) == len(engines)
        assert len({(order.holder, order.fence) for order in orders}) == 1

    run_scenario(scenario, engines=4)


def test_a_text_generated_by_two_versions_lists_both():
    async def scenario(fleet):
        assert await fleet.submit("d0", "j1", [120] * 4) == 202
        await wait_for(lambda: any(engine.runs for engine in fleet.engines))
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        results = await fleet.read_all("d0", "j1")
        check_complete(results, [120] * 4, "j1")
        assert {tuple(result["versions"]) for result in results} <= {(1,), (1, 2), (2,)}
        assert Counter(len(result["versions"]) for result in results)[2] > 0

    run_scenario(scenario, engines=1)


def test_a_job_that_needs_a_newer_version_waits_for_it():
    async def scenario(fleet):
        assert await fleet.submit("d0", "j1", [2], oldest_version=2) == 202
        await asyncio.sleep(0.3)
        assert not any(engine.runs for engine in fleet.engines)
        fleet.store.put("op/version/m0", {"model": "m0", "version": 2})
        assert (await fleet.read_all("d0", "j1"))[0]["versions"] == [2]

    run_scenario(scenario)


def test_the_last_holder_gets_the_role_again_after_a_restart_of_all_daemons():
    # Any other daemon would have to wait for the end of the former holder's turn. The turn is as
    # long as on the platform, so that it lasts longer than the restart on a busy machine.
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

    run_scenario(scenario, daemons=4, order_turn_seconds=3.0)


def test_ignores_a_report_from_another_start_of_the_engine():
    """A restarted engine counts its orders from zero and has the initial weights."""

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
        listed_after_restart = directory.entries[engine.instance]
        assert isinstance(await client.report(listed_after_restart), EngineReport)
        await sessions.close()

    run_scenario(scenario)
