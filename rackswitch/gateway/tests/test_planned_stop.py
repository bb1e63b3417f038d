"""Requests during the planned stop of a daemon, on loopback."""

import asyncio
from unittest.mock import patch

from rackswitch.gateway import core
from rackswitch.gateway.store.session import Session
from rackswitch.gateway.tests.path import run_scenario, runs_of, wait_for

WORK_SECONDS = 0.6
GRACE_SECONDS = 8.0


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


def test_refuses_connections_while_requests_in_flight_end(monkeypatch):
    # Guards against callers that reconnect so often that a request is always in flight: the stop
    # then lasts until its deadline and cuts the last ones off.
    monkeypatch.setattr(core, "BALANCER_DRAIN_SECONDS", 0.0)

    async def scenario(fleet):
        for service in fleet.services:
            service.faults.work_seconds = WORK_SECONDS
        gateway = fleet.gateways["d0"]
        request = asyncio.create_task(fleet.request("d0", "POST", "/lodge/1", b"b", "r1"))
        await wait_for(lambda: runs_of(fleet.services, "r1") == 1)
        stopping = asyncio.create_task(gateway.stop())
        address = gateway.settings.callers.host, int(gateway.url.rpartition(":")[2])
        while await can_connect(*address):
            assert not request.done(), "still accepting connections after the last request"
        status, _, _ = await request
        assert status == 200
        await stopping
        await gateway.close()

    run_scenario(scenario)


async def can_connect(host: str, port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


def test_a_request_that_outlasts_the_grace_period_gets_a_status(monkeypatch):
    # Guards against a status 500, which tells a caller nothing about its request, for a request
    # that the end of the process cuts off.
    monkeypatch.setattr(core, "BALANCER_DRAIN_SECONDS", 0.0)
    monkeypatch.setattr(core, "STOP_MARGIN_SECONDS", GRACE_SECONDS - WORK_SECONDS)

    async def scenario(fleet):
        for service in fleet.services:
            service.faults.mute = True
        gateway = fleet.gateways["d0"]
        request = asyncio.create_task(fleet.request("d0", "POST", "/lodge/1", b"b", "r1"))
        await wait_for(lambda: runs_of(fleet.services, "r1") == 1)
        await gateway.stop()
        status, headers, body = await request
        assert (status, headers["connection"]) == (504, "close")
        assert b"may have run" in body
        await gateway.close()

    run_scenario(scenario)


def test_counts_the_grace_period_from_the_signal(monkeypatch):
    # Guards against a stop that was requested during a long start and is killed before its end.
    monkeypatch.setattr(core, "BALANCER_DRAIN_SECONDS", 0.0)

    async def scenario(fleet):
        for service in fleet.services:
            service.faults.work_seconds = 10 * GRACE_SECONDS
        gateway = fleet.gateways["d0"]
        request = asyncio.create_task(
            fleet.request("d0", "POST", "/lodge/1", b"b", "r1", deadline_ms=30_000)
        )
        await wait_for(lambda: runs_of(fleet.services, "r1") == 1)
        requested_seconds = gateway.context.now_seconds() - GRACE_SECONDS
        async with asyncio.timeout(GRACE_SECONDS / 2):
            await gateway.stop(requested_seconds)
        await gateway.close()
        status, _, _ = await request
        assert status == 504

    run_scenario(scenario)
