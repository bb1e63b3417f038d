"""A cold engine under several owners of jobs, with complete gateways on loopback."""

import asyncio
from bisect import bisect_right
from dataclasses import replace

from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.standins.platform_fleet import desired_state

BOUND = 17.0 * 1.5 + 5.0
OBSERVED_SECONDS = 3.0


async def list_cold_engine(fleet):
    """List the fleet's engine as cold for ever, in a table that limits cold engines."""
    for gateway in fleet.gateways.values():
        bounds = {"cold_rate_factor": 1.5, "cold_rate_slack": 5.0}
        gateway.settings_changed(replace(gateway.settings, **bounds))
    state = desired_state(2)
    cold_terms = {"cold_s": 3.0, "cold_per_s": 17.0}
    services = [
        {**service, **cold_terms} if service["name"] == "engines" else service
        for service in state["services"]
    ]
    await fleet.operate({**state, "services": services})
    fleet.engines[0].cold_left_ms = 60_000.0
    fleet.engines[0].list_itself()
    await wait_for(
        lambda: all("e0" in gateway.snapshot().cold_targets for gateway in fleet.gateways.values())
    )


async def arrivals_at(engine) -> list[float]:
    """Return when runs arrived at an engine, for some seconds."""
    loop = asyncio.get_running_loop()
    arrivals_seconds: list[float] = []
    known_count = len(engine.runs)
    until_seconds = loop.time() + OBSERVED_SECONDS
    while loop.time() < until_seconds:
        arrivals_seconds += [loop.time()] * (len(engine.runs) - known_count)
        known_count = len(engine.runs)
        await asyncio.sleep(0.002)
    return arrivals_seconds


def test_owners_of_jobs_keep_the_bound_of_a_cold_engine_and_complete_their_jobs():
    """Guards against parts that are not joined: entries, members, owners, plans and sends."""

    async def scenario(fleet):
        await list_cold_engine(fleet)
        pieces = [1] * 20
        for daemon in fleet.gateways:
            assert await fleet.submit(daemon, f"j-{daemon}", pieces) == 202
        arrivals_seconds = await arrivals_at(fleet.engines[0])
        assert len(arrivals_seconds) > OBSERVED_SECONDS
        worst = max(
            bisect_right(arrivals_seconds, at + 1.0) - position
            for position, at in enumerate(arrivals_seconds)
        )
        assert worst <= BOUND
        for daemon in fleet.gateways:
            results = await fleet.read_all(daemon, f"j-{daemon}", 15.0)
            check_complete(results, pieces, f"j-{daemon}")

    run_scenario(scenario, daemons=3, engines=1)
