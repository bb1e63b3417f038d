"""Rolls named versions onto engines, as the single holder that may order them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import FIRST_PACE_SECONDS, EnginePaces
from rackswitch.gateway.turns import TurnManager
from rackswitch.gateway.versions.order_sender import (
    ORDERS_PREFIX,
    OrderSender,
    PlannedLoad,
    service_of_role,
    version_role,
    version_turn,
)
from rackswitch.platform.orders import OrderClient
from rackswitch.table import ServiceRow
from rackswitch.weights import (
    CarrierView,
    ModelNeed,
    RolloutState,
    ServiceLoad,
    plan_service_loads,
)

__all__ = ["ORDERS_PREFIX", "VersionManager"]

TICK_SECONDS = 0.1


@dataclass(slots=True)
class _ServiceLoads:
    """The loads of one service's engines, as far as this daemon has ordered them.

    Attributes
    ----------
    under_way : dict of str to ServiceLoad
        By engine.
    """

    state: RolloutState = field(default_factory=RolloutState)
    under_way: dict[str, ServiceLoad] = field(default_factory=dict)

    def begin(self, load: ServiceLoad) -> None:
        """Note that an order is about to be sent."""
        self.under_way[load.order.engine] = load
        self.state.ordered(load.order)

    def ended(self, engine: str, loaded: bool, now_seconds: float) -> None:
        """Note an order's end."""
        self.under_way.pop(engine, None)
        self.state.ended(engine, loaded, now_seconds)

    def loading(self, now_seconds: float) -> dict[str, tuple[str, int]]:
        """Return what each engine with an order under way loads."""
        return {
            engine: (load.model, load.order.version)
            for engine, load in self.under_way.items()
            if now_seconds < load.order.deadline_seconds
        }


class OrderedLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load that is ordered, or about to be."""

    engine: str
    model: str
    version: int


class OrdersRecord(msgspec.Struct, frozen=True):
    """Who orders a service's engines.

    Attributes
    ----------
    loads : tuple of OrderedLoad
        What is under way and what is ordered next, for the owners of jobs.
    """

    holder: str
    loads: tuple[OrderedLoad, ...] = ()


class VersionManager:
    """Compares engines with the versions that trainers have named, and orders loads.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    roles : RoleManager
        Leases on roles.
    engines : OrderClient
        Makes the calls.
    oldest_usable_version : callable
        Returns the oldest version of a model that all open jobs may use.
    paces : EnginePaces
        Which engines are slow at present.
    """

    __slots__ = (
        "_context",
        "_loads",
        "_named_at_seconds",
        "_oldest_usable_version",
        "_paces",
        "_sender",
        "_turns",
    )

    def __init__(
        self,
        context: GatewayContext,
        roles: RoleManager,
        engines: OrderClient,
        oldest_usable_version: Callable[[str], int],
        paces: EnginePaces,
    ):
        self._paces = paces
        self._oldest_usable_version = oldest_usable_version
        self._context = context
        self._turns = TurnManager(context, roles)
        self._sender = OrderSender(context, engines, self._turns)
        self._loads: dict[str, _ServiceLoads] = {}
        self._named_at_seconds: dict[tuple[str, int], float] = {}

    def wanted_roles(self) -> list[str]:
        """Return the roles that the table in force calls for."""
        rows = self._context.daemon.view.rows(ServiceRow)
        return [version_role(row.name) for row in rows if row.models]

    def last_holder(self, role: str) -> str | None:
        """Return the daemon that ordered a role's engines last."""
        return self._turns.last_holder(service_of_role(role))

    async def run(self) -> None:
        """Tend the services held here until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for row in list(self._context.daemon.view.rows(ServiceRow)):
                if row.models:
                    await self._tend(row)

    def orders_put(self, entry: KvEntry) -> None:
        """Note who has entered the record of a service's orders."""
        record = msgspec.json.decode(entry.value, type=OrdersRecord)
        service = entry.key.removeprefix(ORDERS_PREFIX)
        now_seconds = self._context.now_seconds()
        self._turns.entered(service, record.holder, entry.mod_revision)
        for load in record.loads:
            listed = self._context.directory.entries.get(load.engine)
            # The holder may not have noticed yet that a load has ended.
            if listed is not None and listed.versions.get(load.model, 0) < load.version:
                self._context.loads.told(load.engine, load.model, load.version, now_seconds)

    async def _tend(self, row: ServiceRow) -> None:
        turn = version_turn(row.name)
        if not await self._turns.is_open(turn, self.orders_put):
            return
        planned = self._plan(row)
        if not planned:
            return
        entry = await self._turns.enter(turn, self._record(row.name))
        if entry is None:
            for load in planned:
                self._note_end(load, False)
            return
        for load in planned:
            self._context.daemon.spawn(self._send(load, entry.began_seconds))

    async def _send(self, load: PlannedLoad, entered_at_seconds: float) -> None:
        loaded = False
        try:
            loaded = await self._sender.load(load, entered_at_seconds)
        finally:
            self._note_end(load, loaded)

    def _note_end(self, load: PlannedLoad, loaded: bool) -> None:
        loads = self._loads[load.service]
        loads.ended(load.target.instance, loaded, self._context.now_seconds())

    def _record(self, service: str) -> bytes:
        """Return the record of a service's orders as this daemon enters it."""
        under_way = self._loads[service].loading(self._context.now_seconds())
        loads = tuple(OrderedLoad(engine, *what) for engine, what in under_way.items())
        return msgspec.json.encode(OrdersRecord(self._context.settings.daemon, loads))

    def _plan(self, row: ServiceRow) -> list[PlannedLoad]:
        """Return the loads to order now; they count as under way from here on."""
        now_seconds = self._context.now_seconds()
        needs = [need for model in row.models if (need := self._need(model)) is not None]
        listed = {
            target.instance: target
            for target in self._context.directory.usable(row.name, now_seconds)
        }
        carriers = [
            CarrierView(name, target.versions, self._pace_seconds(target.start))
            for name, target in listed.items()
        ]
        loads = self._loads.setdefault(row.name, _ServiceLoads())
        under_way = loads.loading(now_seconds)
        planned = plan_service_loads(needs, carriers, loads.state, under_way, now_seconds)
        for load in planned:
            loads.begin(load)
        return [
            PlannedLoad(row.name, load.model, listed[load.order.engine], load.order)
            for load in planned
        ]

    def _pace_seconds(self, start: str) -> float:
        """Return an engine's pace, the same for all where it is not to be looked at."""
        if not self._context.policy.fast_engine_first:
            return FIRST_PACE_SECONDS
        return self._paces.get(start, self._context.now_seconds())

    def _need(self, model: str) -> ModelNeed | None:
        """Return what is known of a model's versions; None if none was named."""
        newest = self._context.named_versions.get(model, 0)
        if newest == 0:
            return None
        now_seconds = self._context.now_seconds()
        named_at_seconds = self._named_at_seconds.setdefault((model, newest), now_seconds)
        return ModelNeed(model, newest, named_at_seconds, self._oldest_usable_version(model))
