"""Guarantees of complete embedded fleets under faults."""

import asyncio
import json
from contextlib import asynccontextmanager

import aiohttp
import pytest

from rackswitch.daemon.core import Daemon
from rackswitch.demo.fleet import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    REGISTER,
    TRAINER_TOKEN,
    EmbeddedFleet,
)
from rackswitch.demo.main import wait_ready
from rackswitch.standins.callers import CallerStandIn
from rackswitch.standins.faults import FaultOrder
from rackswitch.standins.trainer import TrainerStandIn, false_labels
from rackswitch.table import DaemonRow, ModelRow, TargetRow

TIMEOUT_SECONDS = 30.0
MODEL = REGISTER.model
APPLICATION = REGISTER.application


@asynccontextmanager
async def running_fleet(seed=1, daemons=3, **options):
    fleet = EmbeddedFleet(REGISTER, seed, daemon_count=daemons, **options)
    await fleet.start()
    await wait_ready(fleet)
    fleet.store.versions[MODEL] = {1}
    try:
        yield fleet
        assert fleet.broken_invariants() == []
    finally:
        await fleet.stop()


async def wait_until(condition):
    """Wait until a condition holds, at most `TIMEOUT_SECONDS`."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


def run(coroutine):
    return asyncio.run(coroutine)


async def send_burst(caller, count, model=APPLICATION, tokens=64):
    calls = (
        caller.complete(model, f"text {n}", tokens, n, stream=n % 2 == 0) for n in range(count)
    )
    await asyncio.gather(*calls)


def test_edit_reaches_all_daemons_and_survives_an_outage():
    async def scenario():
        async with running_fleet(daemons=5) as fleet:
            views = [daemon.context.view for daemon in fleet.daemons.values()]
            revision = await fleet.put_rows([DaemonRow(name="note")])
            await wait_until(lambda: all(view.revision == revision for view in views))
            fleet.kv.gate.set(FaultOrder(mode="freeze"))
            new_daemon = await fleet.start_daemon("late", 1)
            await wait_until(lambda: len(new_daemon.context.membership.live()) > 1)
            # The new daemon gets the table from its peers while the service is unreachable.
            await wait_until(lambda: new_daemon.table.is_ready)
            assert new_daemon.context.view.revision == revision
            fleet.kv.gate.set(FaultOrder())
            later_revision = await fleet.put_rows([DaemonRow(name="note", draining=True)])
            await wait_until(lambda: all(view.revision == later_revision for view in views))

    run(scenario())


def test_daemon_without_the_service_gets_edits_from_its_peers():
    async def scenario():
        async with running_fleet(daemons=3) as fleet:
            disconnected = fleet.daemons["d2"]
            disconnected.context.kv._url = "http://127.0.0.1:9"
            revision = await fleet.put_rows([DaemonRow(name="note")])
            await wait_until(lambda: disconnected.context.view.revision == revision)

    run(scenario())


async def end_daemon_under_load(end_daemon):
    """End a daemon with requests in flight and return the caller's record."""
    async with running_fleet(tokens_per_second=200.0) as fleet:
        caller = CallerStandIn(CALLER_TOKEN, [fleet.daemons["d0"].url])
        calls = asyncio.create_task(send_burst(caller, 12))
        await wait_until(lambda: fleet.daemons["d0"].context.in_flight.count >= 8)
        await end_daemon(fleet.daemons.pop("d0"))
        await calls
        await caller.close()
        return caller.record


def test_planned_stop_interrupts_no_request():
    record = run(end_daemon_under_load(Daemon.stop))
    assert record.completed == 12
    assert record.violations() == []


def test_crash_interrupts_requests():
    """Shows that the test of the planned stop would detect interrupted requests."""
    assert run(end_daemon_under_load(Daemon.crash)).completed < 12


@pytest.mark.parametrize("method", ["edit", "vm list", "vm list to one daemon only"])
def test_draining_target_gets_no_new_calls(method):
    async def scenario():
        async with running_fleet() as fleet:
            name = f"{APPLICATION}-0"
            row = next(row for row in fleet.targets() if row.name == name)
            if method == "edit":
                fields = {f: getattr(row, f) for f in row.__struct_fields__}
                await fleet.put_rows([TargetRow(**{**fields, "draining": True})])
            else:
                if method != "vm list":
                    for other in ("d1", "d2"):
                        fleet.daemons[other].heartbeats.vm_list._url = "http://127.0.0.1:9"
                vm = {"name": name, "zone": row.zone, "role": "target", "state": "leaving"}
                fleet.vm_list.put(vm)
            daemons = fleet.daemons.values()
            await wait_until(
                lambda: all(
                    name not in [r.name for r, _ in d.targets.usable(APPLICATION)] for d in daemons
                )
            )
            runs_before = len(fleet.engines[name].runs)
            caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
            await send_burst(caller, 30, tokens=8)
            await caller.close()
            assert len(fleet.engines[name].runs) == runs_before
            assert caller.record.completed == 30

    run(scenario())


def test_interrupted_streams_resume_without_loss_or_duplication():
    async def scenario():
        async with running_fleet(tokens_per_second=300.0) as fleet:
            caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
            calls = asyncio.create_task(send_burst(caller, 20))
            await wait_until(lambda: sum(len(e.runs) for e in fleet.engines.values()) >= 20)
            for engine in fleet.engines.values():
                engine.break_streams()
            await calls
            await caller.close()
            return caller.record

    record = run(scenario())
    assert record.violations() == []
    assert record.completed == 20


def test_calls_complete_when_an_engine_stops():
    async def scenario():
        async with running_fleet(tokens_per_second=1500.0) as fleet:
            caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
            calls = asyncio.create_task(send_burst(caller, 20))
            await wait_until(lambda: bool(fleet.engines[f"{APPLICATION}-1"].runs))
            await fleet.engines[f"{APPLICATION}-1"].stop()
            await calls
            await caller.close()
            return caller.record

    record = run(scenario())
    assert record.violations() == []
    assert record.completed == 20


@pytest.mark.parametrize("mode", ["refuse", "cut_before", "cut_after"])
def test_failing_services_run_no_call_twice_and_refusals_are_correct(mode):
    async def scenario():
        async with running_fleet() as fleet:
            caller = CallerStandIn(CALLER_TOKEN, fleet.urls())
            for service in fleet.services:
                service.gate.set(FaultOrder(mode=mode, share=0.5))
            calls = (
                caller.call_service(REGISTER.service, f"r/{n}", b"x", f"k{n}") for n in range(40)
            )
            await asyncio.gather(*calls)
            await caller.close()
            runs: dict[str, int] = {}
            for service in fleet.services:
                for key, count in service.runs_by_key.items():
                    runs[key] = runs.get(key, 0) + count
            assert caller.violations(runs) == []
            assert caller.record.completed > 0
            return caller.record

    record = run(scenario())
    if mode != "refuse":
        assert record.may_have_run > 0


def test_labels_are_correct_while_swaps_fail_and_holders_change():
    async def scenario():
        async with running_fleet(lease_seconds=1.5) as fleet:
            trainer = TrainerStandIn(
                "nightly",
                TRAINER_TOKEN,
                MODEL,
                fleet.urls(),
                fleet.store.url,
                scored=True,
                train_seconds=0.3,
            )
            training_task = asyncio.create_task(trainer.run(4))
            await wait_until(lambda: trainer.record.steps >= 1)
            for engine in list(fleet.engines.values())[:3]:
                engine.swap.fail_next = 1
            fleet.kv.lapse_leases()
            await wait_until(lambda: trainer.record.steps >= 2)
            fleet.kv.lapse_leases()
            await asyncio.wait_for(training_task, TIMEOUT_SECONDS)
            assert trainer.record.violations() == []
            assert false_labels(trainer.labels, fleet.engines.values()) == 0
            return trainer

    trainer = run(scenario())
    assert trainer.record.samples == 4 * 16


def test_one_edit_rolls_back_to_a_pinned_version():
    async def scenario():
        async with running_fleet() as fleet:
            engines = [e for name, e in fleet.engines.items() if name.startswith(MODEL)]
            fleet.store.versions[MODEL] = {1, 2, 3}
            await wait_until(lambda: all(engine.version == 3 for engine in engines))
            await fleet.put_rows([ModelRow(name=MODEL, pinned_version=2)])
            await wait_until(lambda: all(engine.version == 2 for engine in engines))

    run(scenario())


BAD_COMPLETIONS = [
    (b"{", 400),
    (b'{"model": 3, "prompt": "x"}', 400),
    (b'{"model": "filing", "prompt": "x", "max_tokens": 0}', 400),
    (b'{"model": "filing", "prompt": "x", "logit_bias": {}}', 400),
    (b'{"model": "nobody", "prompt": "x"}', 404),
    (b'{"model": "filing", "prompt": "\xff"}', 400),
    (b"x" * 5_000_000, 413),
]


def test_daemon_refuses_bad_input_and_keeps_serving():
    async def scenario():
        async with running_fleet(daemons=1) as fleet:
            url = fleet.daemons["d0"].url
            headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
            async with aiohttp.ClientSession() as session:
                for body, status in BAD_COMPLETIONS:
                    path = url + "/v1/completions"
                    async with session.post(path, data=body, headers=headers) as response:
                        problem = json.loads(await response.read())
                        assert (response.status, problem["ran"]) == (status, "no")
                        assert response.content_type == "application/problem+json"
                wrong_token_headers = {"Authorization": "Bearer nobody"}
                async with session.post(path, data=b"{}", headers=wrong_token_headers) as response:
                    assert response.status in (400, 401)
                valid_body = b'{"model": "filing", "prompt": "x"}'
                expired_headers = {**headers, "Rackswitch-Timeout-Seconds": "-1"}
                async with session.post(path, data=valid_body, headers=expired_headers) as response:
                    assert response.status == 400
                async with session.post(path, data=valid_body, headers=headers) as response:
                    assert response.status == 200

    run(scenario())


def test_administration_conflicts_dry_runs_and_hidden_tokens():
    async def scenario():
        async with running_fleet(daemons=2) as fleet:
            url = fleet.daemons["d1"].url + "/admin/v1"
            headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
            async with aiohttp.ClientSession(headers=headers) as session:
                row = {"kind": "daemon", "name": "x"}
                path = url + "/rows/daemon/x"
                async with session.put(path, json=row) as response:
                    assert response.status == 428
                async with session.put(path, json=row, headers={"If-None-Match": "*"}) as response:
                    assert response.status == 200
                    etag = response.headers["ETag"]
                async with session.put(path, json=row, headers={"If-Match": '"1"'}) as response:
                    assert response.status == 412
                    present = await response.json(content_type=None)
                    assert f'"{present["present"]["revision"]}"' == etag
                bad = {"kind": "route", "name": "r", "choices": [{"serves": "filing", "weight": 0}]}
                body = {"changes": [{"row": bad}], "dry_run": True}
                async with session.post(url + "/edits", json=body) as response:
                    assert response.status == 422
                    assert "choices" in (await response.json(content_type=None))["detail"]
                async with session.get(url + "/table") as response:
                    assert 'token_sha256":"(hidden)' in (await response.text()).replace(" ", "")
                async with session.get(url + "/status") as response:
                    daemons = (await response.json())["daemons"]
                    assert [daemon["daemon"] for daemon in daemons] == ["d0", "d1"]
                caller = {"Authorization": f"Bearer {CALLER_TOKEN}"}
                async with session.get(url + "/table", headers=caller) as response:
                    assert response.status == 401
                metrics = fleet.daemons["d1"].url + "/metrics"
                async with session.get(metrics, headers=caller) as response:
                    assert response.status == 401
                async with session.get(metrics) as response:
                    assert response.status == 200

    run(scenario())
