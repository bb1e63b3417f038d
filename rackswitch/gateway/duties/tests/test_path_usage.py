"""Usage reports end to end, on a fleet of gateways on loopback."""

import asyncio

from rackswitch.gateway.tests.path import run_scenario, wait_for
from rackswitch.gateway.tests.test_path_tenants import ACME, ZETA, state

WINDOW_SECONDS = 1.0


def total_by_tenant(fleet) -> dict[str, int]:
    counts: dict[str, int] = {}
    for report in fleet.api.usage().values():
        for tenant, requests in report.items():
            counts[tenant] = counts.get(tenant, 0) + requests
    return counts


async def send_requests(fleet, key: str, daemon: str, count: int) -> None:
    fleet.key = key
    for number in range(count):
        status, _, _ = await fleet.request(
            daemon, "GET", "/look/x", request_id=f"{key}-{daemon}-{number}"
        )
        assert status == 200


def test_reports_each_tenants_requests_once_over_all_daemons():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME, ZETA))
        await send_requests(fleet, "acme-key-1", "d0", 3)
        await send_requests(fleet, "acme-key-2", "d1", 4)
        await send_requests(fleet, "zeta-key-1", "d1", 2)
        fleet.key = "wrong"
        assert (await fleet.request("d0", "GET", "/look/x"))[0] == 401
        expected = {"acme": 7, "zeta": 2}
        await wait_for(lambda: total_by_tenant(fleet) == expected, 12.0)
        assert len({call.holder for call in fleet.api.calls}) == 1

    run_scenario(scenario, usage_window_seconds=WINDOW_SECONDS)


def test_jobs_items_and_reward_calls_are_not_reported_as_usage():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME, public=("lookup",)))
        fleet.key = "acme-key-1"
        assert await fleet.submit("d0", "j1", [2, 3]) == 202
        await fleet.read_all("d0", "j1")
        reported = len(fleet.api.usage())
        await wait_for(lambda: len(fleet.api.usage()) >= reported + 4, 12.0)
        assert total_by_tenant(fleet) == {}

    run_scenario(scenario, usage_window_seconds=WINDOW_SECONDS)


def test_reports_the_counts_of_a_stopping_daemon():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME))
        await wait_for(lambda: fleet.api.calls)
        holder = fleet.api.calls[0].holder
        other = "d1" if holder == "d0" else "d0"
        stopping = asyncio.create_task(fleet.gateways[other].stop())
        await send_requests(fleet, "acme-key-1", other, 5)
        await stopping
        await wait_for(lambda: total_by_tenant(fleet) == {"acme": 5}, 12.0)

    # Long enough that the window is still open when the daemon stops.
    run_scenario(scenario, usage_window_seconds=6.0)


def test_sends_pending_reports_unchanged_after_an_outage_of_the_api():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME))
        fleet.api.faults.status = 503
        await send_requests(fleet, "acme-key-1", "d0", 3)
        await wait_for(lambda: len({call.body["window"] for call in fleet.api.calls}) >= 3, 12.0)
        fleet.api.faults.status = 0
        fleet.api.faults.lost_answers = 2
        await wait_for(lambda: total_by_tenant(fleet) == {"acme": 3}, 12.0)
        contents: dict[int, set[str]] = {}
        for call in fleet.api.calls:
            contents.setdefault(call.body["window"], set()).add(str(call.body["counts"]))
        assert all(len(content) == 1 for content in contents.values())

    run_scenario(scenario, usage_window_seconds=WINDOW_SECONDS)
