"""Rolls out model versions to engines while this daemon holds the service's role."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import INITIAL_PACE_SECONDS, EnginePaces
from rackswitch.gateway.role_preference import RoleTurns
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
from rackswitch.routing import ListedTarget
from rackswitch.table import ServiceRow
from rackswitch.warmup import Warmth, allowed_loads
from rackswitch.weights import (
    EngineVersions,
    ModelNeed,
    RolloutState,
    ServiceLoad,
    plan_service_loads,
)

__all__ = ["ORDERS_PREFIX", "VersionManager"]

TICK_SECONDS = 0.1


@dataclass(slots=True)
class _ServiceLoads:
    """The loads that this daemon has ordered for one service's engines.

    Attributes
    ----------
    in_progress : dict of str to ServiceLoad
        Loads in progress, by engine.
    """

    state: RolloutState = field(default_factory=RolloutState)
    in_progress: dict[str, ServiceLoad] = field(default_factory=dict)

    def record_start(self, load: ServiceLoad) -> None:
        """Record that an order is about to be sent."""
        self.in_progress[load.order.engine] = load
        self.state.record_order(load.order)

    def record_end(self, engine: str, loaded: bool, now_seconds: float) -> None:
        """Record the end of a load."""
        self.in_progress.pop(engine, None)
        self.state.record_end(engine, loaded, now_seconds)

    def loading_versions(self, now_seconds: float) -> dict[str, tuple[str, int]]:
        """Return the model and version being loaded, by engine."""
        return {
            engine: (load.model, load.order.version)
            for engine, load in self.in_progress.items()
            if now_seconds < load.order.deadline_seconds
        }


class OrderedLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load that was ordered or is about to be."""

    engine: str
    model: str
    version: int


class OrdersRecord(msgspec.Struct, frozen=True):
    """The holder that orders loads for a service's engines.

    Attributes
    ----------
    loads : tuple of OrderedLoad
        Loads in progress and those ordered next; owners of jobs take them into account.
    """

    holder: str
    loads: tuple[OrderedLoad, ...] = ()


class VersionManager:
    """Compares engines with the versions that trainers named, and orders loads.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    roles : RoleManager
        Manages this daemon's leases on roles.
    engines : OrderClient
        Client for the engines' order interface.
    oldest_usable_version : callable
        Returns the oldest version of a model that all open jobs may use.
    paces : EnginePaces
        Current pace of each engine.
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

    def required_roles(self) -> list[str]:
        """Return the roles that the table in force requires."""
        rows = self._context.daemon.view.rows(ServiceRow)
        return [version_role(row.name) for row in rows if row.models]

    def role_turns(self) -> RoleTurns:
        """Return the last turns of the roles that order versions."""
        return RoleTurns(
            lambda role: self._turns.last_holder(service_of_role(role)),
            lambda role: self._turns.may_act_from_seconds(service_of_role(role)),
        )

    async def run(self) -> None:
        """Order loads for the services whose role is held here, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for row in list(self._context.daemon.view.rows(ServiceRow)):
                if row.models:
                    await self._update_service(row)

    def record_orders(self, entry: KvEntry) -> None:
        """Record the holder and the loads from a service's stored record."""
        record = msgspec.json.decode(entry.value, type=OrdersRecord)
        service = entry.key.removeprefix(ORDERS_PREFIX)
        now_seconds = self._context.now_seconds()
        self._turns.record_entry(service, record.holder, entry.mod_revision)
        for load in record.loads:
            listed = self._context.directory.entries.get(load.engine)
            # Skip loads that have ended; the holder may not have noticed yet.
            if listed is not None and listed.versions.get(load.model, 0) < load.version:
                self._context.loads.record_order(load.engine, load.model, load.version, now_seconds)

    async def _update_service(self, row: ServiceRow) -> None:
        turn = version_turn(row.name)
        if not await self._turns.may_act_now(turn, self.record_orders):
            return
        planned = self._plan(row)
        if not planned:
            return
        entry = await self._turns.write_entry(turn, self._encode_record(row.name))
        if entry is None:
            for load in planned:
                self._record_end(load, False)
            return
        for load in planned:
            self._context.daemon.spawn(self._send(load, entry.began_seconds))

    async def _send(self, load: PlannedLoad, entered_at_seconds: float) -> None:
        loaded = False
        try:
            loaded = await self._sender.load(load, entered_at_seconds)
        finally:
            self._record_end(load, loaded)

    def _record_end(self, load: PlannedLoad, loaded: bool) -> None:
        loads = self._loads[load.service]
        loads.record_end(load.target.instance, loaded, self._context.now_seconds())

    def _encode_record(self, service: str) -> bytes:
        """Return the encoded record of a service's orders with this daemon as the holder."""
        in_progress = self._loads[service].loading_versions(self._context.now_seconds())
        loads = tuple(
            OrderedLoad(engine, *model_and_version)
            for engine, model_and_version in in_progress.items()
        )
        return msgspec.json.encode(OrdersRecord(self._context.settings.daemon, loads))

    def _plan(self, row: ServiceRow) -> list[PlannedLoad]:
        """Return the loads to order now, and record them as in progress."""
        now_seconds = self._context.now_seconds()
        needs = [need for model in row.models if (need := self._model_need(model)) is not None]
        listed = {
            target.instance: target
            for target in self._context.directory.usable(row.name, now_seconds)
        }
        carriers = [
            EngineVersions(name, target.versions, self._pace_seconds(target.start))
            for name, target in listed.items()
        ]
        loads = self._loads.setdefault(row.name, _ServiceLoads())
        in_progress = loads.loading_versions(now_seconds)
        allowed = self._allowed_loads(listed, in_progress, now_seconds)
        state = _state_within(allowed, listed, loads.state, now_seconds)
        planned = [
            load
            for load in plan_service_loads(needs, carriers, state, in_progress, now_seconds)
            if _take_allowed(allowed, listed[load.order.engine].zone)
        ]
        for load in planned:
            loads.record_start(load)
        return [
            PlannedLoad(row.name, load.model, listed[load.order.engine], load.order)
            for load in planned
        ]

    def _allowed_loads(
        self, listed: dict[str, ListedTarget], loading: Iterable[str], now_seconds: float
    ) -> dict[str, int]:
        """Return how many engines may begin to load in the zones that have cold engines."""
        cold_sends = self._context.cold_sends
        cold = {
            name
            for name, target in listed.items()
            if cold_sends.warmth(target, now_seconds) is Warmth.COLD
        }
        zone_of = {name: target.zone for name, target in listed.items()}
        return allowed_loads(zone_of, cold, loading)

    def _pace_seconds(self, start: str) -> float:
        """Return an engine's pace; the same for all if `fast_engine_first` is off."""
        if not self._context.policy.fast_engine_first:
            return INITIAL_PACE_SECONDS
        return self._paces.get(start, self._context.now_seconds())

    def _model_need(self, model: str) -> ModelNeed | None:
        """Return which versions of a model are needed; None if none was named."""
        newest = self._context.named_versions.get(model, 0)
        if newest == 0:
            return None
        now_seconds = self._context.now_seconds()
        named_at_seconds = self._named_at_seconds.setdefault((model, newest), now_seconds)
        return ModelNeed(model, newest, named_at_seconds, self._oldest_usable_version(model))


def _state_within(
    allowed: dict[str, int],
    listed: dict[str, ListedTarget],
    state: RolloutState,
    now_seconds: float,
) -> RolloutState:
    """Return the state with the engines held back whose zones may not begin another load."""
    held_until_seconds = {
        name: now_seconds + TICK_SECONDS
        for name, target in listed.items()
        if allowed.get(target.zone) == 0
    }
    return RolloutState(state.orders, state.next_try_seconds | held_until_seconds)


def _take_allowed(allowed: dict[str, int], zone: str) -> bool:
    """Return whether an engine of a zone may begin to load, and count it."""
    if zone not in allowed:
        return True
    allowed[zone] -= 1
    return allowed[zone] >= 0
