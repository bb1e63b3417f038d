"""API keys and tenants end to end, on a fleet of gateways on loopback."""

import os

import msgspec

from rackswitch.explain import read_events
from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.standins.platform_fleet import desired_state
from rackswitch.telemetry.events import EntryUnreadable, RequestRefused

ACME = {"name": "acme", "api_keys": ["acme-key-1", "acme-key-2"], "priority": 1}
ZETA = {"name": "zeta", "api_keys": ["zeta-key-1"]}


def state(version, *tenants, public=()):
    document = desired_state(version, tenants=list(tenants))
    for route in document["routes"]:
        route["public"] = route["name"] in public
    return document


def test_sends_the_keys_tenant_to_targets_but_never_the_key():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME, ZETA))
        fleet.key = "acme-key-2"
        forged_headers = {"x-rackswitch-tenant": "zeta"}
        status, _, _ = await fleet.request("d0", "GET", "/look/x", headers=forged_headers)
        assert status == 200
        [run] = [run for service in fleet.services for run in service.runs]
        assert run.values("X-Rackswitch-Tenant") == ["acme"]
        assert run.values("Authorization") == []

    run_scenario(scenario)


def test_rejects_an_unknown_key_with_401_and_runs_nothing():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME, public=("lookup",)))
        for key in ("", "wrong", "acme-key-1"):
            fleet.key = key
            is_valid = key == "acme-key-1"
            status, headers, _ = await fleet.request("d0", "POST", "/lodge/x", request_id=f"r{key}")
            assert status == (200 if is_valid else 401)
            assert is_valid or headers["WWW-Authenticate"] == "Bearer"
            assert (await fleet.request("d1", "GET", "/rackswitch/lots/j9"))[0] == (
                404 if is_valid else 401
            )
        fleet.key = ""
        assert (await fleet.request("d0", "GET", "/look/x", request_id="open"))[0] == 200
        runs = [run.request_id for service in fleet.services for run in service.runs]
        assert sorted(runs) == ["open", "racme-key-1"]

    run_scenario(scenario)


def test_rejects_a_revoked_key_and_logs_the_table_but_not_the_key(tmp_path):
    async def scenario(fleet):
        path = tmp_path / "log"
        descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
        await fleet.operate(state(2, ACME))
        await fleet.gateways["d0"].crash()
        gateway = await fleet.start_gateway("d0", descriptor)
        await wait_for(lambda: gateway.context.table_revision == 2)
        await fleet.operate(state(3, {**ACME, "api_keys": ["acme-key-1"]}))
        fleet.key = "acme-key-2"
        status, _, body = await fleet.request("d0", "GET", "/look/x")
        assert (status, body) == (401, b"the key is not valid")
        await wait_for(lambda: "taken away with table 3" in path.read_text())
        assert "acme-key" not in path.read_text()
        [refused] = [
            line.event
            for line in read_events(path.read_text().splitlines()).events
            if isinstance(line.event, RequestRefused)
        ]
        assert refused.status == 401
        assert refused.table_revision == 3

    run_scenario(scenario)


def test_answers_503_for_an_unknown_key_while_the_store_is_unreachable():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME))
        await fleet.operate(state(3, {**ACME, "api_keys": ["acme-key-1"]}))
        fleet.store.faults.down = "busy"
        await wait_for(lambda: fleet.gateways["d0"].context.store_reachability.is_unreachable)
        fleet.key = "made-since"
        status, headers, _ = await fleet.request("d0", "GET", "/look/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        fleet.key = "acme-key-2"
        assert (await fleet.request("d0", "GET", "/look/x"))[0] == 401

    run_scenario(scenario)


def test_rejects_a_table_in_which_two_tenants_share_a_key(tmp_path):
    async def scenario(fleet):
        await fleet.operate(state(2, ACME))
        path = tmp_path / "log"
        descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
        gateway = await fleet.start_gateway("d2", descriptor)
        await wait_for(lambda: gateway.context.table_revision == 2)
        fleet.store.put("op/config", state(3, ACME, {"name": "b", "api_keys": ["acme-key-1"]}))
        await wait_for(lambda: "have one key" in path.read_text())
        assert gateway.context.table_revision == 2
        fleet.key = "acme-key-1"
        assert (await fleet.request("d2", "GET", "/look/x"))[0] == 200
        unreadable = [
            line.event
            for line in read_events(path.read_text().splitlines()).events
            if isinstance(line.event, EntryUnreadable)
        ]
        assert any("'acme' and 'b'" in event.detail for event in unreadable)

    run_scenario(scenario)


def test_a_job_is_visible_only_to_its_tenant():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME, ZETA, public=("lookup",)))
        fleet.key = "acme-key-1"
        pieces = [3, 60, 2]
        assert await fleet.submit("d0", "j1", pieces) == 202
        fleet.key = "zeta-key-1"
        assert (await fleet.read("d0", "j1")).status == 404
        assert (await fleet.read("d1", "j1")).status == 404
        assert (await fleet.request("d1", "GET", "/rackswitch/items/j1?id=j1-2"))[0] == 404
        assert await fleet.end_job("d0", "j1") == 404
        for path in ("acme%0Aj1", "acme/j1", "acme\\nj1"):
            assert (await fleet.request("d1", "GET", f"/rackswitch/lots/{path}"))[0] == 404
        # Another tenant may use the same job id for a job of its own.
        assert await fleet.submit("d1", "j1", [1]) == 202
        assert len(await fleet.read_all("d0", "j1")) == 1
        fleet.key = "acme-key-2"
        assert await fleet.submit("d1", "j1", pieces) == 202
        check_complete(await fleet.read_all("d1", "j1"), pieces, "j1")
        assert await fleet.end_job("d1", "j1") == 200
        runs = [run for engine in fleet.engines for run in engine.runs]
        assert {run.values("X-Rackswitch-Tenant")[0] for run in runs} == {"acme", "zeta"}
        assert not any(run.values("Authorization") for run in runs)
        scores = [run for service in fleet.services for run in service.runs]
        assert not any(run.values("X-Rackswitch-Tenant") for run in scores)

    run_scenario(scenario)


def test_a_job_continues_after_its_key_is_revoked_and_its_owner_crashed():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME, ZETA, public=("lookup",)))
        fleet.key = "acme-key-1"
        pieces = [2, 300, 300]
        assert await fleet.submit("d0", "j1", pieces) == 202
        await wait_for(lambda: any(engine.runs for engine in fleet.engines))
        await fleet.operate(
            state(3, {**ACME, "api_keys": ["acme-key-3"]}, ZETA, public=("lookup",))
        )
        owner = next(name for name, g in fleet.gateways.items() if g.jobs.owned)
        other = "d1" if owner == "d0" else "d0"
        await fleet.gateways[owner].crash()
        del fleet.gateways[owner]
        assert (await fleet.read(other, "j1")).status == 401
        fleet.key = "acme-key-3"
        check_complete(await fleet.read_all(other, "j1", 15.0), pieces, "j1")
        runs = [run for engine in fleet.engines for run in engine.runs]
        assert all(run.values("X-Rackswitch-Tenant") == ["acme"] for run in runs)

    run_scenario(scenario)


def test_item_headers_cannot_inject_a_key_a_tenant_or_a_request():
    async def scenario(fleet):
        await fleet.operate(state(2, ACME, public=("lookup",)))
        fleet.key = "acme-key-1"

        def job(headers):
            item = {"id": "i", "path": "/jobs/0", "headers": headers, "body": "MQ=="}
            return msgspec.json.encode({"model": "m0", "items": [item]})

        forged_headers = {
            "X-Rackswitch-Model": "m0",
            "AUTHORIZATION": "Bearer acme-key-1",
            "x-rackswitch-TENANT": "zeta",
            "Content-Length": "0",
        }
        assert (await fleet.request("d0", "POST", "/jobs/n", job(forged_headers), "j1"))[0] == 202
        assert len(await fleet.read_all("d0", "j1")) == 1
        [run] = [run for engine in fleet.engines for run in engine.runs]
        assert run.values("X-Rackswitch-Tenant") == ["acme"]
        assert run.values("Authorization") == []
        assert run.body == b"1"
        for invalid_headers in (
            {"X": "a\r\nX-Rackswitch-Tenant: zeta"},
            {"X-A: b\r\nY": "c"},
            {"": "c"},
        ):
            status, _, body = await fleet.request(
                "d0", "POST", "/jobs/n", job(invalid_headers), "j2"
            )
            assert status == 400
            assert b"items[0]" in body

    run_scenario(scenario)
