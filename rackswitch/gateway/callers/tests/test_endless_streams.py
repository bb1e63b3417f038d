"""Callers' streams of engines that send bytes without end."""

import asyncio

from rackswitch.gateway.callers.tests.test_stream_time_limit import state_with_streams
from rackswitch.gateway.tests.path import run_scenario, runs_of
from rackswitch.standins.platform_fleet import MODEL


def test_a_stream_goes_on_elsewhere_after_an_event_without_an_end():
    """Guards against a stream that is held at an engine until its time limit."""

    async def scenario(fleet):
        await fleet.operate(state_with_streams(resumable=True))
        headers = {"X-Rackswitch-Model": MODEL}

        async def request_stream(request_id: str) -> int:
            status, _, body = await fleet.request(
                "d0", "POST", "/draft/1", b"8", request_id, headers, deadline_ms=3000
            )
            assert status == 200
            return body.count(b"data: piece")

        assert await request_stream("r0") == 8
        # Its connection is open, so the next stream goes there first.
        [faulty] = [engine for engine in fleet.engines if runs_of([engine], "r0")]
        faulty.faults.endless = b"x" * 65_536
        async with asyncio.timeout(3.0):
            assert await request_stream("r1") == 8
        assert runs_of([faulty], "r1") == 1
        assert runs_of(fleet.engines, "r1") == 2

    run_scenario(scenario)
