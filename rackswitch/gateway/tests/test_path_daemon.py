"""Settings changes, status and logging of a complete daemon on loopback."""

import contextlib
import os
from dataclasses import replace

from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.membership import VmCapacity


def test_applies_changed_settings_without_a_restart():
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        old_url = gateway.settings.kv_url
        gateway.settings_changed(replace(gateway.settings, kv_url="http://127.0.0.1:9"))
        assert await fleet.submit("d0", "j1", [2]) == 503
        gateway.settings_changed(replace(gateway.settings, kv_url=old_url))
        await wait_for(
            lambda: (
                gateway.replicas.followed or not gateway.context.store_reachability.is_unreachable
            )
        )
        assert await fleet.submit("d0", "j1", [2]) == 202

    # Otherwise peers would forward the calls, and the wrong address would have no effect.
    run_scenario(scenario, policy=PolicySettings(calls_through_peers=False))


def test_snapshot_shows_the_state_of_a_daemon():
    async def scenario(fleet):
        assert await fleet.submit("d0", "j1", [100, 100]) == 202
        snapshot = fleet.gateways["d0"].snapshot()
        assert snapshot.table_revision == 1
        assert snapshot.session_sure
        assert snapshot.members == ["d0", "d1"]
        assert snapshot.targets == {"desk": 2, "engines": 2}
        assert snapshot.jobs_owned["j1"].total == 2
        assert snapshot.capacity == VmCapacity()
        assert snapshot.loop_delay_seconds >= 0.0
        assert all(age >= 0 for age in snapshot.copy_ages_seconds.values())
        check_complete(await fleet.read_all("d0", "j1"), [100, 100], "j1")

    run_scenario(scenario)


def test_a_blocked_log_reader_does_not_delay_responses():
    async def scenario(fleet):
        _, writer = os.pipe()
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, b"x" * 4096)
        gateway = await fleet.start_gateway("d9", writer)
        await wait_for(lambda: gateway.replicas.is_complete)
        for number in range(100):
            status, _, _ = await fleet.request("d9", "GET", "/look/1", request_id=f"r{number}")
            assert status == 200
        assert gateway.log.flush()

    run_scenario(scenario)
