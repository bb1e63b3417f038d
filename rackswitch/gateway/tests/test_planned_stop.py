"""Requests during the planned stop of a daemon, on loopback."""

import asyncio
from unittest.mock import patch

from rackswitch.gateway.store.session import Session
from rackswitch.gateway.tests.path import run_scenario, runs_of, wait_for

WORK_SECONDS = 0.6


def test_serves_a_request_received_while_the_session_ends():
    async def scenario(fleet):
        original_end = Session.end
        requests = []

        async def end_and_ask(session):
            requests.append(
                asyncio.create_task(fleet.request("d0", "POST", "/lodge/1", b"b", "r1"))
            )
            await wait_for(lambda: runs_of(fleet.services, "r1") == 1)
            await original_end(session)

        for service in fleet.services:
            service.faults.work_seconds = WORK_SECONDS
        gateway = fleet.gateways["d0"]
        with patch.object(Session, "end", end_and_ask):
            await gateway.stop()
        await gateway.close()
        status, _, _ = await requests[0]
        assert status == 200
        assert runs_of(fleet.services, "r1") == 1

    run_scenario(scenario)
