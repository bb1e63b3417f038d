"""Callers' requests through daemons and targets on loopback."""

import asyncio
import os

import aiohttp
import pytest

from rackswitch.explain import read_events
from rackswitch.gateway.tests.path import run_scenario, runs_of, wait_for
from rackswitch.outcomes import NotRunReason
from rackswitch.requests import Call
from rackswitch.standins.platform_fleet import HOST, desired_state
from rackswitch.table import TableDocument
from rackswitch.telemetry.events import RequestRefused


def test_forwards_a_request_and_its_answer_unchanged():
    async def scenario(fleet):
        status, headers, body = await fleet.request(
            "d0", "POST", "/look/a%2Fb?x=1&y=%20", b"hello", "r1", {"X-Own": "kept"}
        )
        assert status == 200
        assert body == b"answer to hello"
        assert headers["X-Rackswitch-Request-Id"] == "r1"
        assert headers["X-Rackswitch-Server-Stamp"].endswith("-r1")
        [run] = [run for service in fleet.services for run in service.runs]
        assert (run.method, run.target, run.body) == ("POST", "/look/a%2Fb?x=1&y=%20", b"hello")

    run_scenario(scenario)


def test_bad_requests_are_refused_with_the_matching_status():
    async def scenario(fleet):
        async def status(*args, **kwargs):
            return (await fleet.request("d0", *args, **kwargs))[0]

        assert await status("GET", "/look/x", host="other.example") == 404
        assert await status("GET", "/nowhere") == 404
        assert await status("GET", "/look/x", request_id="") == 400
        assert await status("GET", "/look/x", headers={"X-Rackswitch-Deadline-Ms": "soon"}) == 400
        assert await status("POST", "/look/x", b"x" * 200_001) == 413
        assert await status("GET", "/look/x", headers={"X-Long": "x" * 5000}) == 431
        assert await status("POST", "/jobs/new", b"{") == 400
        assert await status("POST", "/jobs/new", b'{"items":[]}') == 400
        duplicate_ids = b'{"items":[{"id":"a","path":"/jobs/1"},{"id":"a","path":"/jobs/2"}]}'
        assert await status("POST", "/jobs/new", duplicate_ids) == 400
        encoding = b'{"items":[{"id":"a","path":"/jobs/1","body":"!"}]}'
        assert await status("POST", "/jobs/new", encoding) == 400
        assert await status("GET", "/rackswitch/lots/none?since_rev=x") == 400
        assert await status("GET", "/rackswitch/lots/none") == 404
        assert await status("DELETE", "/rackswitch/lots/none") == 404
        assert not any(target.runs for target in (*fleet.services, *fleet.engines))
        assert await status("GET", "/look/x") == 200

    run_scenario(scenario)


def test_a_refusal_is_immediate_and_has_a_retry_time():
    async def scenario(fleet):
        for service in fleet.services:
            service.faults.refuse = True
        started_at_seconds = asyncio.get_running_loop().time()
        status, headers, _ = await fleet.request("d0", "POST", "/lodge/1", b"b")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert asyncio.get_running_loop().time() - started_at_seconds < 0.7
        assert not any(service.runs for service in fleet.services)

    run_scenario(scenario)


def test_a_request_without_a_usable_target_is_refused_at_once():
    async def scenario(fleet):
        for service in fleet.services:
            await service.crash()
        gateway = fleet.gateways["d0"]
        directory = gateway.context.directory
        await wait_for(lambda: not directory.usable("desk", gateway.context.now_seconds()))
        now_seconds = gateway.context.now_seconds()
        route = gateway.context.routes.find(HOST, "/look/x")
        call = Call("r1", HOST, "GET", "/look/x", (), b"")
        log = gateway.request_dispatcher.new_log(route)
        coroutine = gateway.request_dispatcher.call(route, call, now_seconds + 5.0, log)
        # The coroutine returns at its first step, without waiting.
        with pytest.raises(StopIteration) as stopped:
            coroutine.send(None)
        outcome = stopped.value.value.outcome
        assert outcome.reason is NotRunReason.NO_TARGET
        assert outcome.retry_at_seconds > now_seconds

    run_scenario(scenario)


def test_retries_a_repeatable_request_at_another_target_after_a_timeout():
    async def scenario(fleet):
        fleet.services[0].faults.mute = True
        for number in range(4):
            status, _, _ = await fleet.request("d0", "POST", "/look/1", b"b", f"r{number}")
            assert status == 200

    run_scenario(scenario)


def test_a_request_that_may_not_be_repeated_runs_once_and_is_not_reported_as_not_run():
    async def scenario(fleet):
        for service in fleet.services:
            service.faults.mute = True
        status, _, _ = await fleet.request("d0", "POST", "/lodge/1", b"b", deadline_ms=400)
        assert status == 504
        assert runs_of(fleet.services, "r1") == 1

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["foreign", "encoded"])
def test_an_answer_that_is_not_the_targets_own_is_not_forwarded(fault):
    async def scenario(fleet):
        setattr(fleet.services[0].faults, fault, True)
        setattr(fleet.services[1].faults, fault, True)
        status, headers, _ = await fleet.request("d0", "POST", "/look/1", b"b", deadline_ms=600)
        assert status in (502, 504)
        assert "X-Rackswitch-Server-Stamp" not in headers

    run_scenario(scenario)


def test_a_draining_target_receives_no_new_requests():
    async def scenario(fleet):
        fleet.services[0].list_itself("draining")
        directories = [gateway.context.directory for gateway in fleet.gateways.values()]
        await wait_for(lambda: all(d.entries["s0"].draining for d in directories), 2.0)
        for number in range(6):
            status, _, _ = await fleet.request("d1", "GET", "/look/1", request_id=f"r{number}")
            assert status == 200
        assert not fleet.services[0].runs

    run_scenario(scenario)


def test_interrupted_streams_count_against_the_attempt_limit():
    # A resumed stream has to keep the attempt log of the streams before it.
    async def scenario(fleet):
        state = desired_state(2)
        state["routes"][0] |= {"service": "engines", "streaming": True, "resumable": True}
        state["routes"][0] |= {"goal_ms": 10_000, "timeout_ms": 20_000, "max_attempts": 2}
        fleet.store.put("op/config", state)
        await wait_for(lambda: fleet.gateways["d0"].context.table_revision == 2)
        for engine in fleet.engines:
            engine.faults.break_after = 1
        with pytest.raises(aiohttp.ClientPayloadError):
            await fleet.request(
                "d0", "POST", "/look/s", b"9", "r1", {"X-Rackswitch-Model": "m0"}, 5000
            )
        assert runs_of(fleet.engines, "r1") == 2

    run_scenario(scenario, engines=3)


def test_the_host_is_matched_without_its_port():
    async def scenario(fleet):
        status, _, _ = await fleet.request("d0", "GET", "/look/x", host=HOST.upper() + ":80")
        assert status == 200

    run_scenario(scenario)


@pytest.mark.parametrize("resumable", [True, False])
def test_a_callers_stream_is_resumed_only_where_the_route_allows_it(resumable):
    async def scenario(fleet):
        state = desired_state(2)
        state["routes"][0] |= {"service": "engines", "streaming": True, "resumable": resumable}
        state["routes"][0]["kind"] = "unsafe"
        state["routes"][0]["goal_ms"] = 10_000
        state["routes"][0]["timeout_ms"] = 20_000
        fleet.store.put("op/config", state)
        await wait_for(lambda: fleet.gateways["d0"].context.table_revision == 2)
        fleet.engines[0].faults.break_after = 3
        fleet.engines[1].faults.break_after = 4
        model = {"X-Rackswitch-Model": "m0"}
        full_body = "".join(f"id: {n}\ndata: piece {n}\n\n" for n in range(1, 8))
        if not resumable:
            with pytest.raises(aiohttp.ClientPayloadError):
                await fleet.request("d0", "POST", "/look/s", b"7", "r1", model)
            assert runs_of(fleet.engines, "r1") == 1
            return
        status, headers, body = await fleet.request("d0", "POST", "/look/s", b"7", "r1", model)
        assert (status, body.decode()) == (200, full_body)
        runs = [run for engine in fleet.engines for run in engine.runs]
        assert sorted(run.last_event_id or "" for run in runs)[0] == ""
        assert len(runs) == 2, runs

    run_scenario(scenario)


def test_every_refusal_is_logged_with_its_request():
    # Includes the 503 of a daemon that has no table yet.
    async def scenario(fleet):
        reader, writer = os.pipe()
        gateway = await fleet.start_gateway("d9", writer)
        await wait_for(gateway.context.is_table_current)
        gateway.context.daemon.view.document = TableDocument()
        assert (await fleet.request("d9", "GET", "/look/x", request_id="r1"))[0] == 503
        gateway.context.daemon.view.replace_if_newer(TableDocument(revision=1))
        assert (await fleet.request("d9", "GET", "/look/x", host="other", request_id="r2"))[
            0
        ] == 404
        assert not gateway.log.flush()
        log = read_events(os.read(reader, 1 << 16).decode().splitlines())
        refused = [line.event for line in log.events if isinstance(line.event, RequestRefused)]
        assert [(event.request, event.status) for event in refused] == [("r1", 503), ("r2", 404)]

    run_scenario(scenario)


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
def test_an_unsafe_request_whose_target_crashes_runs_once(method):
    # Guards against a second run of a request that its target had at work when it crashed.
    async def scenario(fleet):
        for service in fleet.services:
            service.faults.end_on = b"1"
        status, headers, _ = await fleet.request("d0", method, "/lodge/1", b"1")
        assert runs_of(fleet.services, "r1") == 1
        # No promise that it has not run.
        assert status == 502
        assert "Retry-After" not in headers

    run_scenario(scenario)
