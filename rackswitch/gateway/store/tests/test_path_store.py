"""Complete daemons and the key-value service over loopback."""

import asyncio
from dataclasses import replace

from rackswitch.gateway.tests.path import run_scenario, wait_for
from rackswitch.standins.platform_fleet import desired_state


def test_a_change_reaches_all_daemons_after_the_store_discarded_its_history():
    async def scenario(fleet):
        fleet.store.put("op/config", desired_state(5, routes=[]))
        fleet.store.forget_history()
        gateways = fleet.gateways.values()
        await wait_for(lambda: all(g.context.table_revision == 5 for g in gateways), 2.0)
        fleet.store.put("op/config", desired_state(3))
        await asyncio.sleep(0.3)
        assert all(gateway.context.table_revision == 5 for gateway in gateways)
        assert (await fleet.request("d0", "GET", "/look/x"))[0] == 404

    run_scenario(scenario)


def test_a_daemon_whose_store_calls_fail_receives_changes_from_peers():
    async def scenario(fleet):
        gateways = fleet.gateways.values()
        await wait_for(lambda: sum(bool(g.replicas.followed) for g in gateways) == 2)
        follower = next(gateway for gateway in gateways if gateway.replicas.followed)
        # Its direct calls fail from here on; its source still answers.
        follower.direct_transport.url = "http://127.0.0.1:9"
        fleet.store.put("op/config", desired_state(9, routes=[]))
        await wait_for(lambda: follower.context.table_revision == 9, 2.0)

    run_scenario(scenario, daemons=3)


def test_a_planned_stop_ends_in_time_with_an_unresponsive_store():
    # The timeout of the lease's revocation must not end the process with an exception.
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        gateway.settings = replace(gateway.settings, stop_grace_seconds=4.0)
        assert await fleet.submit("d0", "j1", [300, 300]) == 202
        fleet.store.faults.down = "silent"
        started_at_seconds = asyncio.get_running_loop().time()
        await gateway.stop()
        assert asyncio.get_running_loop().time() - started_at_seconds < 6.0

    run_scenario(scenario)


def test_an_entry_deleted_and_recreated_within_one_watch_is_kept():
    # Applying a batch's deletions after its entries would lose a recreated entry.
    async def scenario(fleet):
        gateways = list(fleet.gateways.values())
        fleet.store.delete("servers/s0")
        fleet.services[0].list_itself()
        fleet.store.put("op/config", desired_state(2))
        await wait_for(lambda: all(g.context.table_revision == 2 for g in gateways), 2.0)
        assert all("s0" in gateway.context.directory.entries for gateway in gateways)

    run_scenario(scenario)


def test_malformed_control_entries_do_not_end_daemons():
    async def scenario(fleet):
        for number, prefix in enumerate(
            ("members/", "jobs/", "owners/", "orders/", "roles/", "ends/", "trials/", "duties")
        ):
            for value in (7, "x", [], {"odd": number}):
                fleet.store.put(f"control/{prefix}" + "odd" * (prefix != "duties"), value)
                fleet.store.put("op/config", desired_state(2 + 10 * number))
        await wait_for(lambda: all(g.context.table_revision == 72 for g in fleet.gateways.values()))
        for name, gateway in fleet.gateways.items():
            assert gateway.context.daemon.violated_invariant is None
            status, _, _ = await fleet.request(name, "POST", "/look/1", b"b")
            assert status == 200

    run_scenario(scenario)
