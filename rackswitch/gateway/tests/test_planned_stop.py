"""Requests during the planned stop of a daemon, on loopback."""

import asyncio
from unittest.mock import patch

import aiohttp
import pytest

from rackswitch.gateway import core
from rackswitch.gateway.store.session import Session
from rackswitch.gateway.tests.path import run_scenario, runs_of, wait_for
from rackswitch.standins.platform_fleet import HOST, MODEL, PlatformFleet, desired_state

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


STOP_SECONDS = 2.5
"""Time from the stop signal until requests are cut off in the tests below."""

DRAIN_SECONDS = 1.0
LONG_STREAM = b"1000"
SHORT_STREAM = b"2"


@pytest.fixture
def short_stop(monkeypatch):
    monkeypatch.setattr(core, "BALANCER_DRAIN_SECONDS", DRAIN_SECONDS)
    monkeypatch.setattr(core, "STOP_MARGIN_SECONDS", GRACE_SECONDS - STOP_SECONDS)


class KeptConnection:
    """A caller's connection that carries one request after the other."""

    def __init__(self, fleet: PlatformFleet):
        self._url = fleet.gateways["d0"].url
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1))

    async def send(self, method, path, body, request_id, deadline_ms=12_000):
        """Send a request; return its status and the headers, after the complete answer."""
        headers = {
            "Host": HOST,
            "X-Rackswitch-Deadline-Ms": str(deadline_ms),
            "X-Rackswitch-Request-Id": request_id,
        }
        if path.startswith("/draft/"):
            headers["X-Rackswitch-Model"] = MODEL
        url = self._url + path
        async with self._session.request(method, url, data=body, headers=headers) as answer:
            await answer.read()
            return answer.status, answer.headers

    async def close(self):
        await self._session.close()


async def allow_long_requests(fleet) -> None:
    """Put a table in force whose requests, also streams, may take longer than a stop."""
    routes = desired_state(2)["routes"]
    drafts = {**routes[0], "name": "drafts", "path_prefix": "/draft/", "service": "engines"}
    routes.append({**drafts, "kind": "streaming"})
    routes = [{**route, "timeout_ms": 12_000} for route in routes]
    await fleet.operate(desired_state(2, routes=routes))


async def begin_stop_with_a_request_at_work(fleet) -> tuple[asyncio.Task, asyncio.Task]:
    """Stop a daemon while a request is in flight that takes almost as long as the stop."""
    for service in fleet.services:
        service.faults.work_seconds = 0.9 * STOP_SECONDS
    request = asyncio.create_task(
        fleet.request("d0", "POST", "/lodge/busy", b"b", "busy", deadline_ms=5000)
    )
    await wait_for(lambda: runs_of(fleet.services, "busy") > 0)
    stopping = asyncio.create_task(fleet.gateways["d0"].stop())
    await asyncio.sleep(DRAIN_SECONDS / 2)
    return request, stopping


@pytest.mark.parametrize(
    ("method", "path", "first_body", "body"),
    [
        ("POST", "/draft/1", SHORT_STREAM, LONG_STREAM),
        ("POST", "/lodge/1", b"b", b"b"),
        ("PUT", "/lodge/1", b"b", b"b"),
    ],
)
def test_a_stopping_daemon_refuses_what_it_may_not_finish(
    short_stop, method, path, first_body, body
):
    # Guards against requests on kept connections that a stop cuts off after it has begun them.
    async def scenario(fleet):
        await allow_long_requests(fleet)
        kept = KeptConnection(fleet)
        assert (await kept.send(method, path, first_body, "first"))[0] == 200
        in_flight, stopping = await begin_stop_with_a_request_at_work(fleet)
        status, headers = await kept.send(method, path, body, "late")
        assert status == 503
        assert headers["connection"] == "close"
        assert float(headers["Retry-After"]) == 0.0
        assert runs_of([*fleet.engines, *fleet.services], "late") == 0
        assert (await in_flight)[0] == 200
        await stopping
        await kept.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "path", "body", "deadline_ms"),
    [("POST", "/draft/1", SHORT_STREAM, 1200), ("PUT", "/lodge/1", b"b", 1200)],
)
def test_a_stopping_daemon_serves_what_ends_in_time(short_stop, method, path, body, deadline_ms):
    # Guards against refusing all requests of the callers that a balancer still sends.
    async def scenario(fleet):
        await allow_long_requests(fleet)
        kept = KeptConnection(fleet)
        assert (await kept.send(method, path, body, "first"))[0] == 200
        in_flight, stopping = await begin_stop_with_a_request_at_work(fleet)
        for service in fleet.services:
            service.faults.work_seconds = 0.0
        assert (await kept.send(method, path, body, "late", deadline_ms))[0] == 200
        assert (await in_flight)[0] == 200
        await stopping
        await kept.close()

    run_scenario(scenario)


def test_a_body_that_is_complete_only_after_the_stop_signal_is_refused(short_stop):
    # Guards against a check at the head of a request whose body is still arriving.
    async def scenario(fleet):
        await allow_long_requests(fleet)
        host, _, port = fleet.gateways["d0"].url.removeprefix("http://").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /lodge/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Rackswitch-Request-Id: late\r\n"
        writer.write(
            head.encode() + b"X-Rackswitch-Deadline-Ms: 12000\r\nContent-Length: 4\r\n\r\nab"
        )
        in_flight, stopping = await begin_stop_with_a_request_at_work(fleet)
        writer.write(b"cd")
        async with asyncio.timeout(STOP_SECONDS):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert runs_of(fleet.services, "late") == 0
        assert (await in_flight)[0] == 200
        await stopping
        writer.close()

    run_scenario(scenario)


def test_unused_connections_are_closed_once_balancers_have_left(short_stop):
    # Guards against callers that learn of a stop only with the answer that the stop cuts off.
    async def scenario(fleet):
        await allow_long_requests(fleet)
        host, _, port = fleet.gateways["d0"].url.removeprefix("http://").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        in_flight, stopping = await begin_stop_with_a_request_at_work(fleet)
        async with asyncio.timeout(STOP_SECONDS):
            assert await reader.read() == b""
        assert not in_flight.done()
        assert (await in_flight)[0] == 200
        await stopping
        writer.close()

    run_scenario(scenario)
