"""Simulation of daemons that send load orders to the same engines, under random faults."""

import asyncio
import random
from dataclasses import dataclass, field

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.tests.support import (
    inject_random_faults,
    make_gateway_context,
    turn_violations,
)
from rackswitch.gateway.versions.version_manager import ORDERS_PREFIX, VersionManager
from rackswitch.leases import OrderTurns
from rackswitch.platform.orders import EngineReport, NoReport, OrderAnswer, VersionOrder
from rackswitch.routing import ListedTarget, Target
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import ServiceRow, StoredRow, TableDocument

TABLE = TableDocument(1, {"service/s": StoredRow(1, ServiceRow(name="s", models=("m",)))})
ENGINES = ("e0", "e1", "e2")
LOAD_SECONDS = 0.9
LATE_ARRIVAL_SECONDS = (2.0, 12.0)
NEW_VERSION_INTERVAL_SECONDS = 2.5
FAULT_INTERVAL_SECONDS = (0.2, 3.0)
FAULT_DURATION_SECONDS = (0.5, 8.0)
TURN_SECONDS = 3.0
DAEMONS = ("a", "b", "c")
FAULT_KINDS = ("crash", "cut off", "lapse", "slow")


@dataclass(slots=True)
class Arrival:
    """An order as received by an engine; `sent_seconds` is when its holder sent it."""

    sent_seconds: float
    holder: str
    fencing: int


@dataclass(slots=True)
class Engine:
    """An engine that does not check fencing numbers."""

    version: int = 1
    orders_taken: int = 0
    is_loading: bool = False
    arrivals: list[Arrival] = field(default_factory=list)


class SlowOrderClient:
    """Client whose reports are slow or fail, and whose orders may arrive late and unanswered."""

    def __init__(self, run: "OrderRun"):
        self._run = run

    async def report(self, target: ListedTarget) -> EngineReport | NoReport:
        rng = self._run.rng
        await asyncio.sleep(rng.choice([0.005, 0.005, 0.005, 0.3, 0.7]))
        if rng.random() < 0.1:
            return NoReport("no answer")
        engine = self._run.engines[target.instance]
        return EngineReport({"m": engine.version}, engine.is_loading, engine.orders_taken, 0, 0)

    async def order_version(self, target: ListedTarget, order: VersionOrder) -> OrderAnswer:
        rng = self._run.rng
        engine = self._run.engines[target.instance]
        sent_seconds = asyncio.get_running_loop().time()
        arrival = Arrival(sent_seconds, order.holder, order.fencing)
        engine.arrivals.append(arrival)
        if rng.random() < 0.25:
            self._run.spawn(self._arrive_late(engine, order))
            await asyncio.sleep(1.0)
            return OrderAnswer.UNKNOWN
        return self._accept_order(engine, order)

    async def _arrive_late(self, engine: Engine, order: VersionOrder) -> None:
        await asyncio.sleep(self._run.rng.uniform(*LATE_ARRIVAL_SECONDS))
        self._accept_order(engine, order)

    def _accept_order(self, engine: Engine, order: VersionOrder) -> OrderAnswer:
        if engine.is_loading or order.orders_taken != engine.orders_taken:
            return OrderAnswer.REFUSED
        engine.orders_taken += 1
        engine.is_loading = True
        self._run.spawn(self._load(engine, order.version))
        return OrderAnswer.ACCEPTED

    async def _load(self, engine: Engine, version: int) -> None:
        await asyncio.sleep(LOAD_SECONDS)
        engine.version = max(engine.version, version)
        engine.is_loading = False


class NoTurns(OrderTurns):
    """Faulty turns: never wait for the former holder's turn to end."""

    def may_order_from_seconds(self, group: str, turn_seconds: float) -> float:
        return float("-inf")

    def may_send(self, entered_at_seconds: float, now_seconds: float) -> bool:
        return True


class OrderRun:
    """Daemons, engines and a trainer that names new versions, under random faults."""

    def __init__(self, seed: int, skip_turns: bool = False):
        self.rng = random.Random(seed)
        self.kv = KvStore()
        self.engines = {name: Engine() for name in ENGINES}
        self.managers: dict[str, VersionManager] = {}
        self._faults: dict[str, KvFaults] = {}
        self._skip_turns = skip_turns
        self._tasks: set[asyncio.Task[None]] = set()
        self.newest_version = 1

    def spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, seconds: float) -> None:
        for name in DAEMONS:
            self._start(name)
        fault_task = asyncio.create_task(
            inject_random_faults(self.rng, FAULT_INTERVAL_SECONDS, FAULT_KINDS, self._inject_fault)
        )
        naming_task = asyncio.create_task(self._name_versions())
        await asyncio.sleep(seconds)
        fault_task.cancel()
        naming_task.cancel()
        await asyncio.gather(fault_task, naming_task, return_exceptions=True)
        for faults in self._faults.values():
            faults.down = False
        for name in DAEMONS:
            if not self.managers[name]._context.daemon.has_tasks:
                self._start(name)
        await asyncio.sleep(60.0)
        for manager in self.managers.values():
            await manager._context.daemon.cancel_all()
        for task in list(self._tasks):
            task.cancel()

    def _start(self, name: str) -> None:
        faults = self._faults.setdefault(name, KvFaults())
        context = make_gateway_context(name, self.kv, self.rng.randrange(1 << 30), faults)
        context.daemon.view.replace_if_newer(TABLE)
        context.named_versions = {"m": self.newest_version}
        for engine in ENGINES:
            listed = ListedTarget(engine, "s", "h", 1, "z", 4, False, {"m": 1})
            context.directory.put(listed)
            context.targets[engine] = Target(engine, listed.url, "z")
        roles = RoleManager(context.daemon, lambda: ["versions/s"])
        # All engines need the newest version, so that many orders are sent.
        client = SlowOrderClient(self)
        manager = VersionManager(
            context, roles, client, lambda model: self.newest_version, EnginePaces()
        )
        if self._skip_turns:
            manager._turns.order_turns = NoTurns(name)
        self.managers[name] = manager
        context.daemon.spawn_duty(roles.run())
        context.daemon.spawn_duty(manager.run())
        context.daemon.spawn_duty(self._follow(manager))

    async def _follow(self, manager: VersionManager) -> None:
        """Deliver the record, the versions and the engines' state to a daemon with a delay."""
        context = manager._context
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            if not self._faults[context.daemon_name].down:
                for entry in self.kv.read(ORDERS_PREFIX, is_prefix=True).entries:
                    manager.record_orders(entry)
            context.named_versions = {"m": self.newest_version}
            for name, engine in self.engines.items():
                context.directory.entries[name].versions["m"] = engine.version

    async def _name_versions(self) -> None:
        while True:
            await asyncio.sleep(NEW_VERSION_INTERVAL_SECONDS)
            self.newest_version += 1

    async def _inject_fault(self, kind: str) -> None:
        name = self.rng.choice(DAEMONS)
        seconds = self.rng.uniform(*FAULT_DURATION_SECONDS)
        if kind == "crash":
            context = self.managers[name]._context
            await context.daemon.cancel_all()
            await asyncio.sleep(seconds)
            if self.managers[name]._context is context:
                self._start(name)
        elif kind == "cut off":
            self._faults[name].down = True
            await asyncio.sleep(seconds)
            self._faults[name].down = False
        elif kind == "slow":
            self._faults[name].delay_seconds = 0.4
            await asyncio.sleep(seconds)
            self._faults[name].delay_seconds = 0.002
        else:
            for lease_id in list(self.kv.leases):
                self.kv.end_lease(lease_id)

    def violations(self) -> list[str]:
        """Return violations visible to engines that do not check fencing numbers."""
        problems: list[str] = []
        for name, engine in self.engines.items():
            arrivals = sorted(engine.arrivals, key=lambda arrival: arrival.sent_seconds)
            problems += [f"{name}: {line}" for line in turn_violations(arrivals, TURN_SECONDS)]
        return problems
