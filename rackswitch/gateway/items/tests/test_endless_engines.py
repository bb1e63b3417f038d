"""Items beside engines that send bytes without end, on a fleet of gateways."""

import asyncio

from rackswitch.gateway.tests.path import check_complete, run_scenario
from rackswitch.platform.tests.support import EndlessTarget, endless_target
from rackswitch.routing import ListedTarget
from rackswitch.standins.platform_fleet import MODEL, PlatformFleet

MAX_IDLE_SECONDS = 5.0
"""How long an item may be at no engine while engines have room."""

PIECES = [20] * 6
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\n", b"X" * 10_000


def list_engine(fleet: PlatformFleet, target: ListedTarget) -> None:
    entry = {
        "service": "engines",
        "address": f"{target.host}:{target.port}",
        "zone": "z",
        "slots": 4,
        "state": "ready",
        "models": [{"name": MODEL, "version": 1}],
    }
    fleet.store.put(f"servers/{target.instance}", entry)


async def use_only(fleet: PlatformFleet, target: ListedTarget) -> None:
    """List a target as the only engine and wait until all daemons know it."""
    for engine in fleet.engines:
        engine.list_itself("draining")
    list_engine(fleet, target)
    async with asyncio.timeout(5.0):
        while not all(
            [listed.instance for listed in gateway.context.directory.usable("engines", 0.0)]
            == [target.instance]
            for gateway in fleet.gateways.values()
        ):
            await asyncio.sleep(0.02)


def test_connections_to_an_engine_that_sends_no_answers_are_few():
    """Guards against items that try a faulty engine again and again without a delay."""
    raw: EndlessTarget

    async def scenario(fleet):
        nonlocal raw
        async with endless_target(*ENDLESS_HEAD) as (target, raw):
            await use_only(fleet, target)
            assert await fleet.submit("d0", "j1", PIECES) == 202
            await asyncio.sleep(MAX_IDLE_SECONDS)
            connections = raw.connections
            for engine in fleet.engines:
                engine.list_itself()
            check_complete(await fleet.read_all("d1", "j1", MAX_IDLE_SECONDS), PIECES, "j1")
        # An overdue item tries an engine that does not respond once a second.
        assert 3 <= connections <= 2 * MAX_IDLE_SECONDS * len(PIECES)

    run_scenario(scenario)
