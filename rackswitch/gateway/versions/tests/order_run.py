"""Several daemons that want to order the same engines, seen from the engines."""

import asyncio
import random
from dataclasses import dataclass, field

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.tests.support import (
    break_at_random,
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
LATE_SECONDS = (2.0, 12.0)
NAME_SECONDS = 2.5
CALM_SECONDS = (0.2, 3.0)
FAULT_SECONDS = (0.5, 8.0)
TURN_SECONDS = 3.0
NAMES = ("a", "b", "c")
FAULTS = ("crash", "cut off", "lapse", "slow")


@dataclass(slots=True)
class Arrival:
    """An order as an engine saw it; `sent_seconds` is when it left its holder."""

    sent_seconds: float
    holder: str
    fencing: int


@dataclass(slots=True)
class Engine:
    """An engine that checks no fencing number."""

    version: int = 1
    taken: int = 0
    busy: bool = False
    arrivals: list[Arrival] = field(default_factory=list)


class SlowOrderClient:
    """Brings reports and orders to the engines: late, twice as late, or unanswered."""

    def __init__(self, run: "OrderRun"):
        self._run = run

    async def report(self, target: ListedTarget) -> EngineReport | NoReport:
        rng = self._run.rng
        await asyncio.sleep(rng.choice([0.005, 0.005, 0.005, 0.3, 0.7]))
        if rng.random() < 0.1:
            return NoReport("no answer")
        engine = self._run.engines[target.instance]
        return EngineReport({"m": engine.version}, engine.busy, engine.taken, 0, 0)

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
        return self._take(engine, order)

    async def _arrive_late(self, engine: Engine, order: VersionOrder) -> None:
        await asyncio.sleep(self._run.rng.uniform(*LATE_SECONDS))
        self._take(engine, order)

    def _take(self, engine: Engine, order: VersionOrder) -> OrderAnswer:
        if engine.busy or order.orders_taken != engine.taken:
            return OrderAnswer.REFUSED
        engine.taken += 1
        engine.busy = True
        self._run.spawn(self._load(engine, order.version))
        return OrderAnswer.TAKEN

    async def _load(self, engine: Engine, version: int) -> None:
        await asyncio.sleep(LOAD_SECONDS)
        engine.version = max(engine.version, version)
        engine.busy = False


class NaiveTurns(OrderTurns):
    """Orders as soon as the role is held, whoever ordered before and however long ago."""

    def may_order_from_seconds(self, group: str, turn_seconds: float) -> float:
        return float("-inf")

    def may_send(self, entered_at_seconds: float, now_seconds: float) -> bool:
        return True


class OrderRun:
    """Daemons, engines and a trainer that names versions, broken at random."""

    def __init__(self, seed: int, naive: bool = False):
        self.rng = random.Random(seed)
        self.kv = KvStore()
        self.engines = {name: Engine() for name in ENGINES}
        self.keepers: dict[str, VersionManager] = {}
        self._faults: dict[str, KvFaults] = {}
        self._naive = naive
        self._tasks: set[asyncio.Task[None]] = set()
        self.newest = 1

    def spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, seconds: float) -> None:
        for name in NAMES:
            self._start(name)
        breaking = asyncio.create_task(break_at_random(self.rng, CALM_SECONDS, FAULTS, self._fault))
        naming = asyncio.create_task(self._name_versions())
        await asyncio.sleep(seconds)
        breaking.cancel()
        naming.cancel()
        await asyncio.gather(breaking, naming, return_exceptions=True)
        for faults in self._faults.values():
            faults.down = False
        for name in NAMES:
            if not self.keepers[name]._context.daemon.has_tasks:
                self._start(name)
        await asyncio.sleep(60.0)
        for keeper in self.keepers.values():
            await keeper._context.daemon.cancel_all()
        for task in list(self._tasks):
            task.cancel()

    def _start(self, name: str) -> None:
        faults = self._faults.setdefault(name, KvFaults())
        context = make_gateway_context(name, self.kv, self.rng.randrange(1 << 30), faults)
        context.daemon.view.offer(TABLE)
        context.named_versions = {"m": self.newest}
        for engine in ENGINES:
            listed = ListedTarget(engine, "s", "h", 1, "z", 4, False, {"m": 1})
            context.directory.put(listed)
            context.targets[engine] = Target(engine, listed.url, "z")
        roles = RoleManager(context.daemon, lambda: ["versions/s"])
        # Every engine is to have the newest version, so that there is much to order.
        client = SlowOrderClient(self)
        keeper = VersionManager(context, roles, client, lambda model: self.newest, EnginePaces())
        if self._naive:
            keeper._turns.order_turns = NaiveTurns(name)
        self.keepers[name] = keeper
        context.daemon.spawn_duty(roles.run())
        context.daemon.spawn_duty(keeper.run())
        context.daemon.spawn_duty(self._follow(keeper))

    async def _follow(self, keeper: VersionManager) -> None:
        """Tell a daemon of the record, of versions and of the engines, some time late."""
        context = keeper._context
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            if not self._faults[context.daemon_name].down:
                for entry in self.kv.read(ORDERS_PREFIX, is_prefix=True).entries:
                    keeper.orders_put(entry)
            context.named_versions = {"m": self.newest}
            for name, engine in self.engines.items():
                context.directory.entries[name].versions["m"] = engine.version

    async def _name_versions(self) -> None:
        while True:
            await asyncio.sleep(NAME_SECONDS)
            self.newest += 1

    async def _fault(self, kind: str) -> None:
        name = self.rng.choice(NAMES)
        seconds = self.rng.uniform(*FAULT_SECONDS)
        if kind == "crash":
            context = self.keepers[name]._context
            await context.daemon.cancel_all()
            await asyncio.sleep(seconds)
            if self.keepers[name]._context is context:
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
        """Return what engines that check no fencing number must not see."""
        found: list[str] = []
        for name, engine in self.engines.items():
            arrivals = sorted(engine.arrivals, key=lambda arrival: arrival.sent_seconds)
            found += [f"{name}: {line}" for line in turn_violations(arrivals, TURN_SECONDS)]
        return found
