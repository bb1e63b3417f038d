"""Load orders: a new holder waits for the former one's turn, even if its replica lags."""

import asyncio
from dataclasses import replace

import msgspec
import pytest
from msgspec.structs import replace as replace_fields

from rackswitch.clients.kv import Operation, TxnPart
from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.gateway.versions.order_sender import PlannedLoad
from rackswitch.gateway.versions.version_manager import ORDERS_PREFIX, VersionManager
from rackswitch.routing import ListedTarget, Target
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import ServiceRow, StoredRow, TableDocument
from rackswitch.weights import service_plan

TABLE = TableDocument(1, {"service/s": StoredRow(1, ServiceRow(name="s", models=("m", "n")))})
TURN_SECONDS = 3.0


class FakeSender:
    """Records when loads would be sent, without sending them."""

    def __init__(self, now_seconds):
        self.sent: list[tuple[float, PlannedLoad]] = []
        self._now_seconds = now_seconds

    async def load(self, load: PlannedLoad, entered_at_seconds: float) -> bool:
        self.sent.append((self._now_seconds(), load))
        await asyncio.sleep(1.0)
        load.target.versions[load.model] = load.order.version
        return True


def make_manager(name: str, kv: KvStore) -> tuple[VersionManager, FakeSender]:
    context = make_gateway_context(name, kv)
    context.daemon.view.replace_if_newer(TABLE)
    for engine in ("e0", "e1"):
        listed = ListedTarget(engine, "s", "h", 1, "z", 4, False, {"m": 1, "n": 1})
        context.directory.put(listed)
        context.targets[engine] = Target(engine, listed.url, "z")
    context.named_versions = {"m": 2, "n": 2}
    roles = RoleManager(context.daemon, lambda: ["versions/s"])
    manager = VersionManager(context, roles, None, lambda model: 0, EnginePaces())
    sender = FakeSender(context.now_seconds)
    manager._sender = sender
    context.daemon.spawn(roles.run())
    context.daemon.spawn(manager.run())
    return manager, sender


def test_record_tells_other_daemons_which_loads_are_in_progress():
    async def scenario():
        kv = KvStore()
        manager, sender = make_manager("a", kv)
        await asyncio.sleep(2.0)
        assert sender.sent
        owner = make_manager("b", kv)[0]
        (entry,) = kv.read(ORDERS_PREFIX + "s").entries
        owner.record_orders(entry)
        loads = owner._context.loads
        now_seconds = owner._context.now_seconds()
        recorded = {
            (load.target.instance, load.model)
            for _, load in sender.sent
            if loads.is_loading(load.target.instance, load.model, now_seconds)
        }
        assert recorded
        for context in (manager._context, owner._context):
            await context.daemon.cancel_all()

    run_on_virtual_clock(scenario())


def write_entry(kv: KvStore, holder: str) -> None:
    record = msgspec.json.encode({"holder": holder})
    kv.txn([TxnPart((), (Operation(ORDERS_PREFIX + "s", record),))])


def test_a_new_holder_with_a_lagging_replica_waits_for_the_former_holders_turn():
    async def scenario():
        kv = KvStore()
        write_entry(kv, "former")
        _, sender = make_manager("b", kv)
        await asyncio.sleep(TURN_SECONDS - 0.2)
        early = list(sender.sent)
        await asyncio.sleep(3.0)
        return early, sender.sent

    early, sent = run_on_virtual_clock(scenario())
    assert early == []
    assert sent


def test_a_holder_does_not_wait_after_itself_or_without_a_predecessor():
    async def scenario(holder: str | None):
        kv = KvStore()
        if holder is not None:
            write_entry(kv, holder)
        _, sender = make_manager("b", kv)
        await asyncio.sleep(1.5)
        return sender.sent

    assert run_on_virtual_clock(scenario("b"))
    assert run_on_virtual_clock(scenario(None))


def test_an_engine_gets_one_order_at_a_time_for_all_its_models():
    async def scenario():
        _, sender = make_manager("b", KvStore())
        await asyncio.sleep(8.0)
        return sender.sent

    sent = run_on_virtual_clock(scenario())
    assert len(sent) >= 2
    by_engine: dict[str, list[float]] = {}
    for at_seconds, load in sent:
        by_engine.setdefault(load.target.instance, []).append(at_seconds)
    for times in by_engine.values():
        assert all(later - earlier >= 1.0 for earlier, later in zip(times, times[1:], strict=False))


@pytest.mark.parametrize(("has_cold_terms", "max_loading"), [(True, 4), (False, 6)])
def test_half_of_a_zone_loads_while_others_are_cold(monkeypatch, has_cold_terms, max_loading):
    """Guards against a zone whose engines load or are cold, so that none of them serves."""
    monkeypatch.setattr(service_plan, "max_concurrent_loads", lambda count: count - 2)

    async def scenario():
        manager, _ = make_manager("a", KvStore())
        context = manager._context
        row = ServiceRow(name="s", models=("m", "n"))
        if has_cold_terms:
            row = replace_fields(row, cold_seconds=3.0, cold_requests_per_second=17.0)
        context.daemon.view.replace_if_newer(TableDocument(2, {"service/s": StoredRow(2, row)}))
        for number in range(8):
            engine = ListedTarget(f"e{number}", "s", "h", 1, "z", 4, False, {"m": 1, "n": 1})
            engine = replace(engine, cold_left_seconds=5.0 if number < 2 else 0.0)
            context.directory.put(engine)
            context.targets[engine.instance] = Target(engine.instance, engine.url, "z")
            context.cold_sends.record_entry(engine, 10)
        loading = set()
        for _ in range(10):
            loading.update(load.target.instance for load in manager._plan(row))
        await context.daemon.cancel_all()
        return loading

    assert len(run_on_virtual_clock(scenario())) == max_loading
