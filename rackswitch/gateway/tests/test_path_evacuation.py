"""Evacuated zones on a fleet of complete gateways on loopback."""

import asyncio

import msgspec

from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.platform.names import EVACUATE_PREFIX
from rackswitch.routing import RegionMap
from rackswitch.standins.platform_fleet import desired_state

KEY = EVACUATE_PREFIX + "z1"


async def set_up_zones(fleet) -> None:
    """Put the first engine and the first service in zone `z1`, the others in `z2`."""
    for targets in (fleet.engines, fleet.services):
        for number, target in enumerate(targets):
            await fleet.move_to_zone(target, "z1" if number == 0 else "z2")


def evacuated(fleet) -> list[set[str]]:
    return [
        set(gateway.context.directory.eligibility.evacuations)
        for gateway in fleet.gateways.values()
    ]


async def evacuate(fleet) -> None:
    fleet.store.put(KEY, {})
    await wait_for(lambda: all(zones == {"z1"} for zones in evacuated(fleet)))


def test_an_evacuated_zone_gets_no_calls_and_no_items_until_it_is_taken_back():
    async def scenario(fleet):
        await set_up_zones(fleet)
        await evacuate(fleet)
        for number in range(10):
            status, _, _ = await fleet.request("d0", "GET", "/look/1", request_id=f"r{number}")
            assert status == 200
        assert await fleet.submit("d1", "j", [3, 4, 5, 2]) == 202
        check_complete(await fleet.read_all("d0", "j"), [3, 4, 5, 2], "j")
        fleet.name_version(2)
        await wait_for(lambda: fleet.engines[1].versions["m0"] == 2)
        assert not fleet.engines[0].runs and not fleet.services[0].runs
        assert not fleet.engines[0].orders
        snapshot = fleet.gateways["d0"].snapshot()
        assert set(snapshot.evacuations) == {"z1"}
        assert snapshot.targets_excluded == {"e0": "zone evacuated", "s0": "zone evacuated"}
        assert msgspec.json.encode(snapshot)
        fleet.store.delete(KEY)
        await wait_for(lambda: not any(evacuated(fleet)))
        assert fleet.gateways["d0"].snapshot().targets_excluded == {}
        # A job that needs the new version makes the other engine load it too.
        assert await fleet.submit("d0", "k", [300] * 8, oldest_version=2) == 202
        await wait_for(lambda: fleet.engines[0].versions["m0"] == 2)
        await wait_for(lambda: fleet.engines[0].runs)

    run_scenario(scenario)


def test_a_daemon_that_starts_during_an_evacuation_keeps_it():
    async def scenario(fleet):
        await set_up_zones(fleet)
        await evacuate(fleet)
        await fleet.gateways["d0"].crash()
        gateway = await fleet.start_gateway("d0")
        await wait_for(lambda: gateway.context.table_revision > 0 and gateway.replicas.is_complete)
        for number in range(6):
            status, _, _ = await fleet.request("d0", "GET", "/look/1", request_id=f"r{number}")
            assert status == 200
        assert not fleet.services[0].runs

    run_scenario(scenario)


def test_a_snapshot_without_the_key_ends_an_evacuation():
    """The deletion itself is lost if the service forgets its history during an outage."""

    async def scenario(fleet):
        await set_up_zones(fleet)
        await evacuate(fleet)
        fleet.store.faults.down = "busy"
        await asyncio.sleep(1.0)
        fleet.store.delete(KEY)
        fleet.store.put("op/other", {})
        fleet.store.forget_history()
        fleet.store.faults.down = ""
        await wait_for(lambda: not any(evacuated(fleet)))

    run_scenario(scenario)


def test_calls_are_refused_as_not_run_while_all_zones_are_evacuated():
    async def scenario(fleet):
        await set_up_zones(fleet)
        fleet.store.put(EVACUATE_PREFIX + "z2", {})
        fleet.store.put(KEY, {})
        await wait_for(lambda: all(len(zones) == 2 for zones in evacuated(fleet)))
        started_seconds = asyncio.get_running_loop().time()
        status, headers, body = await fleet.request("d0", "POST", "/lodge/1", b"b")
        assert asyncio.get_running_loop().time() - started_seconds < 0.5
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert b"zone evacuated" in body
        assert await fleet.submit("d0", "j", [3]) == 202
        await asyncio.sleep(0.5)
        assert not any(target.runs for target in (*fleet.services, *fleet.engines))
        fleet.store.delete(KEY)
        fleet.store.delete(EVACUATE_PREFIX + "z2")
        check_complete(await fleet.read_all("d0", "j"), [3], "j")

    run_scenario(scenario)


def test_an_interrupted_stream_is_not_resumed_in_an_evacuated_zone():
    async def scenario(fleet):
        await set_up_zones(fleet)
        state = desired_state(2)
        state["routes"][0] |= {"service": "engines", "streaming": True, "resumable": True}
        state["routes"][0] |= {"kind": "unsafe", "goal_ms": 10_000, "timeout_ms": 20_000}
        await fleet.operate(state)
        await evacuate(fleet)
        fleet.engines[1].faults.break_after = 3
        model = {"X-Rackswitch-Model": "m0"}
        status, _, _ = await fleet.request("d0", "POST", "/look/s", b"4", "r1", model, 5000)
        assert status == 200
        assert not fleet.engines[0].runs
        assert len(fleet.engines[1].runs) == 2

    run_scenario(scenario)


def test_items_and_reward_calls_keep_to_the_regions_of_their_own_routes():
    """A reward call follows its own route's list, not that of the job, also after a change."""

    async def scenario(fleet):
        await set_up_zones(fleet)
        for gateway in fleet.gateways.values():
            gateway.context.directory.eligibility.regions = RegionMap(
                "z", {"z": "north", "z1": "north", "z2": "south"}
            )
        state = desired_state(2)
        state["routes"][0]["allowed_regions"] = ["north"]
        state["routes"][2]["allowed_regions"] = ["south"]
        await fleet.operate(state)
        assert await fleet.submit("d0", "j", [3, 4, 5, 2]) == 202
        check_complete(await fleet.read_all("d1", "j"), [3, 4, 5, 2], "j")
        assert not fleet.engines[0].runs and fleet.engines[1].runs
        assert fleet.services[0].runs and not fleet.services[1].runs
        assert await fleet.submit("d0", "k", [200]) == 202
        await wait_for(lambda: any("j" not in run.request_id for run in fleet.engines[1].runs))
        state["version"] = 3
        state["routes"][2]["allowed_regions"] = ["north"]
        await fleet.operate(state)
        check_complete(await fleet.read_all("d1", "k", 20.0), [200], "k")
        assert fleet.engines[0].runs

    run_scenario(scenario)
