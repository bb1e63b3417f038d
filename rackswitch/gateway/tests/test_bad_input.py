"""Invalid requests get the matching error status, run nothing and do not harm the daemon."""

import asyncio
import json

import pytest

from rackswitch.gateway.tests.path import run_scenario, runs_of
from rackswitch.jobs import MAX_ITEMS
from rackswitch.standins.platform_fleet import HOST, PlatformFleet, desired_state

HEAD = f"Host: {HOST}\r\nX-Rackswitch-Request-Id: r1\r\nX-Rackswitch-Deadline-Ms: 400\r\n"
TIMEOUT_SECONDS = 8.0


async def send_raw(fleet: PlatformFleet, data: bytes) -> bytes:
    """Send bytes on a new connection; return the complete response until the connection closes."""
    host, _, port = fleet.gateways["d0"].url.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        answer = await reader.read()
    writer.close()
    return answer


def has_run(fleet: PlatformFleet) -> bool:
    return any(target.runs for target in (*fleet.services, *fleet.engines))


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (f"POST /lodge/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\nZZ\r\n", 400),
        (
            f"POST /lodge/1 HTTP/1.1\r\n{HEAD}Content-Length: 5\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (f"POST /lodge/1 HTTP/1.1\r\n{HEAD}Content-Length: two\r\n\r\n", 400),
        ("these are no words of HTTP\r\n\r\n", 400),
        (f"GET /look/\u00e9 HTTP/1.1\r\n{HEAD}\r\n", 400),
        (f"POST /lodge/1 HTTP/1.1\r\n{HEAD}Content-Length: 5\r\n\r\nabc", 408),
        (f"POST /lodge/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 408),
    ],
)
def test_rejects_an_incomplete_or_malformed_request_and_closes_the_connection(data, status):
    async def scenario(fleet):
        answer = await send_raw(fleet, data.encode())
        assert answer.startswith(f"HTTP/1.1 {status} ".encode()), answer[:200]
        assert answer.count(b"HTTP/1.1") == 1
        assert not has_run(fleet)
        assert (await fleet.request("d0", "GET", "/look/x"))[0] == 200

    run_scenario(scenario)


def test_runs_nothing_if_the_caller_disconnects_within_the_body():
    async def scenario(fleet):
        host, _, port = fleet.gateways["d0"].url.removeprefix("http://").partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"POST /lodge/1 HTTP/1.1\r\n{HEAD}Content-Length: 5\r\n\r\nabc".encode())
        await writer.drain()
        writer.close()
        assert (await fleet.request("d0", "GET", "/look/x", request_id="r2"))[0] == 200
        assert runs_of(fleet.services, "r1") == 0

    run_scenario(scenario)


def test_data_after_a_complete_request_is_not_part_of_it():
    async def scenario(fleet):
        inner = f"POST /lodge/2 HTTP/1.1\r\n{HEAD.replace('r1', 'r9')}Content-Length: 0\r\n\r\n"
        outer = f"POST /lodge/1 HTTP/1.1\r\n{HEAD}Connection: close\r\nContent-Length: 2\r\n\r\nok"
        answer = await send_raw(fleet, (outer + inner).encode())
        assert answer.count(b"HTTP/1.1 200") == 1
        assert runs_of(fleet.services, "r1") == 1
        assert runs_of(fleet.services, "r9") == 0

    run_scenario(scenario)


def test_rejects_a_job_with_too_many_items():
    async def scenario(fleet):
        limits = desired_state(2)["limits"] | {"max_body_bytes": 33_554_432}
        fleet.store.put("op/config", desired_state(2, limits=limits))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while fleet.gateways["d0"].context.table_revision != 2:
                await asyncio.sleep(0.02)
        items = [{"id": f"i{number}", "path": "/jobs/1"} for number in range(MAX_ITEMS + 1)]
        body = json.dumps({"items": items, "model": "m0"}).encode()
        status, _, text = await fleet.request("d0", "POST", "/jobs/new", body, "j1")
        assert status == 413
        assert b"`items`" in text
        assert not has_run(fleet)
        assert (await fleet.request("d0", "GET", "/look/x"))[0] == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("item", "expected_text"),
    [
        ({"id": 7, "path": "/jobs/1"}, "`$.items[1]`"),
        ({"path": "/jobs/1"}, "`$.items[1]`"),
        ({"id": "b", "path": "jobs/1"}, "`items[1].path`"),
        ({"id": "", "path": "/jobs/1"}, "`items[1].id`"),
        ({"id": "a", "path": "/jobs/1"}, "`items[1].id`"),
        ({"id": "b", "path": "/jobs/1", "body": "***"}, "`$.items[1]`"),
        ({"id": "b", "path": "/jobs/1", "scorer": {"id": "s"}}, "`$.items[1]`"),
    ],
)
def test_error_for_an_invalid_item_names_it(item, expected_text):
    async def scenario(fleet):
        job = {"items": [{"id": "a", "path": "/jobs/1"}, item], "model": "m0"}
        status, _, text = await fleet.request(
            "d0", "POST", "/jobs/new", json.dumps(job).encode(), "j1"
        )
        assert status == 400
        assert expected_text in text.decode()
        assert (await fleet.read("d0", "j1")).status == 404
        assert not has_run(fleet)

    run_scenario(scenario)


def test_a_deeply_nested_submission_is_refused_by_name():
    """Guards against a status 500 for a body that the decoder cannot follow."""

    async def scenario(fleet):
        nested = b'{"items":[],"other":' + b"[" * 1500 + b"]" * 1500 + b"}"
        in_item = b'{"items":[{"id":"a","other":' + b"[" * 1500 + b"]" * 1500 + b"}]}"
        for number, body in enumerate((nested, in_item)):
            status, _, text = await fleet.request("d0", "POST", "/jobs/new", body, f"j{number}")
            assert status == 400
            assert b"recursion" in text

    run_scenario(scenario)
