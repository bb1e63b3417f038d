"""Streams end at the time limit of their request, whatever their targets do."""

import asyncio

import aiohttp
import pytest

from rackswitch.gateway.tests.path import run_scenario, runs_of
from rackswitch.standins.platform_fleet import MODEL, desired_state

TIMEOUT_SECONDS = 0.8
SLACK_SECONDS = 0.5
"""Time after its route's timeout by which a request must have ended."""

LONG_STREAM = b"2000"
"""Some 8 s of events."""


def state_with_streams(resumable: bool) -> dict:
    routes = desired_state(2)["routes"]
    route = {**routes[0], "name": "drafts", "path_prefix": "/draft/", "service": "engines"}
    route |= {"kind": "streaming", "resumable": resumable, "timeout_ms": TIMEOUT_SECONDS * 1000}
    return desired_state(2, routes=[*routes, route])


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize("silent_after", [0, 1, 20])
def test_a_stream_ends_at_its_time_limit(resumable, silent_after):
    # Guards against streams of a silent target that are held until their callers leave.
    async def scenario(fleet):
        await fleet.operate(state_with_streams(resumable))
        for engine in fleet.engines:
            engine.faults.silent_after = silent_after
        loop = asyncio.get_running_loop()
        began_seconds = loop.time()
        headers = {"X-Rackswitch-Model": MODEL}
        async with asyncio.timeout(3.0):
            with pytest.raises(aiohttp.ClientPayloadError):
                await fleet.request(
                    "d0", "POST", "/draft/1", LONG_STREAM, "r1", headers, deadline_ms=5000
                )
        elapsed_seconds = loop.time() - began_seconds
        assert TIMEOUT_SECONDS <= elapsed_seconds <= TIMEOUT_SECONDS + SLACK_SECONDS
        assert runs_of(fleet.engines, "r1") == 1

    run_scenario(scenario)


@pytest.mark.parametrize("resumable", [False, True])
def test_the_callers_own_time_limit_ends_a_stream(resumable):
    # Guards against a stream that goes on after its caller has given up.
    async def scenario(fleet):
        await fleet.operate(state_with_streams(resumable))
        headers = {"X-Rackswitch-Model": MODEL}
        began_seconds = asyncio.get_running_loop().time()
        with pytest.raises(aiohttp.ClientPayloadError):
            await fleet.request(
                "d0", "POST", "/draft/1", LONG_STREAM, "r1", headers, deadline_ms=300
            )
        assert asyncio.get_running_loop().time() - began_seconds <= 0.3 + SLACK_SECONDS

    run_scenario(scenario)
