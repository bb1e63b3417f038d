"""Rolls named versions onto engines, as the single holder that may order them."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from rackswitch.clients.kv import KvRead, KvUnavailable, Operation, TxnPart
from rackswitch.daemon.roles import RoleKeeper
from rackswitch.gateway.context import GatewayContext
from rackswitch.platform.engine import EngineReport, OrderAnswer, PlatformEngineClient
from rackswitch.routing import ListedTarget
from rackswitch.table import Handling, RouteRow, ServiceRow
from rackswitch.weights import EngineView, LoadOrder, RolloutState, plan_load_orders

__all__ = ["VersionKeeper", "version_role"]

ORDERS_PREFIX = "orders/"
TICK_SECONDS = 0.1
MOST_LOADING = 2
"""Engines of one service that load at once; the platform's loads slow down beyond two."""

UNAVAILABLE_SHARE = 0.34
"""As in the stand-alone deployment; `MOST_LOADING` takes its place here."""

LOAD_PATIENCE_SECONDS = 4.0
"""A load takes 0.9 s and is told with a lag; an order that has shown no effect by then is
looked after."""

REPORT_EVERY_SECONDS = 0.5
"""Between questions to an engine whose listed version does not change after an order."""

HOLDER_LIFE_SHARE = 0.75
"""Part of a lease's life after its last renewal during which its holder may still order."""


def version_role(service: str) -> str:
    """Return the role whose holder orders the engines of a service.

    One holder for all models of a service: an engine may carry several, and must not get
    orders from two daemons.
    """
    return f"versions/{service}"


class OrdersRecord(msgspec.Struct, frozen=True):
    """Who ordered a service's engines last."""

    holder: str


@dataclass(slots=True)
class _Held:
    """A role held here.

    Attributes
    ----------
    fencing : int
        The fencing number it is held under.
    may_order_from_seconds : float or None
        When the former holder's last order is surely past; None until that is known.
    """

    fencing: int
    may_order_from_seconds: float | None = None
    states: dict[str, RolloutState] = field(default_factory=dict)


class VersionKeeper:
    """Compares engines with the versions that trainers have named, and orders loads.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    roles : RoleKeeper
        Leases on roles.
    engines : PlatformEngineClient
        Makes the calls.
    """

    __slots__ = ("_context", "_engines", "_held", "_roles")

    def __init__(
        self, context: GatewayContext, roles: RoleKeeper, engines: PlatformEngineClient
    ):
        self._context = context
        self._roles = roles
        self._engines = engines
        self._held: dict[str, _Held] = {}

    def wanted_roles(self) -> list[str]:
        """Return the roles that the table in force calls for."""
        rows = self._context.daemon.view.rows(ServiceRow)
        return [version_role(row.name) for row in rows if row.models]

    async def run(self) -> None:
        """Tend the services held here until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for row in list(self._context.daemon.view.rows(ServiceRow)):
                if row.models:
                    await self._tend(row)

    async def _tend(self, row: ServiceRow) -> None:
        role = version_role(row.name)
        if not self._roles.may_act(role):
            self._held.pop(row.name, None)
            return
        fencing = self._roles.fencing(role)
        held = self._held.get(row.name)
        if held is None or held.fencing != fencing:
            held = self._held[row.name] = _Held(fencing)
        if held.may_order_from_seconds is None:
            await self._succeed(row.name, held)
            return
        if self._context.now_seconds() < held.may_order_from_seconds:
            return
        for model in row.models:
            self._order_loads(row, model, held)

    async def _succeed(self, service: str, held: _Held) -> None:
        """Learn from whom the role was taken over, and enter this daemon as the holder."""
        key = ORDERS_PREFIX + service
        read = await self._context.kv.read(key)
        if not isinstance(read, KvRead):
            return
        own = self._context.settings.daemon
        former = ""
        if read.entries:
            former = msgspec.json.decode(read.entries[0].value, type=OrdersRecord).holder
        if former != own:
            put = Operation(key, msgspec.json.encode(OrdersRecord(own)))
            fence = self._roles.fence(version_role(service))
            done = await self._context.kv.txn([TxnPart((fence,), (put,))])
            if isinstance(done, KvUnavailable) or not done[0].succeeded:
                return
        wait_seconds = 0.0
        if former not in ("", own):
            life_seconds = self._context.daemon.settings.lease_seconds
            wait_seconds = (
                life_seconds * HOLDER_LIFE_SHARE + self._context.settings.order_turn_seconds
            )
        held.may_order_from_seconds = self._context.now_seconds() + wait_seconds
        self._context.log.write(
            "orders taken over",
            service=service,
            former=former,
            fencing=held.fencing,
            wait_seconds=wait_seconds,
        )

    def _order_loads(self, row: ServiceRow, model: str, held: _Held) -> None:
        desired = self._context.named_versions.get(model, 0)
        if desired == 0:
            return
        now_seconds = self._context.now_seconds()
        listed = self._context.directory.usable(row.name, now_seconds)
        state = held.states.setdefault(model, RolloutState())
        loading = {
            instance
            for other in held.states.values()
            for instance, order in other.orders.items()
            if now_seconds < order.deadline_seconds
        }
        views = [
            EngineView(target.instance, target.versions.get(model), target.instance in loading)
            for target in listed
        ]
        stale = [view for view in views if (view.version or 0) < desired]
        if not stale:
            return
        fit = [view for view in views if view.loading or view in stale]
        orders = plan_load_orders(
            desired, UNAVAILABLE_SHARE, fit, (), state, now_seconds, most_loading=MOST_LOADING
        )
        by_instance = {target.instance: target for target in listed}
        for order in orders:
            state.ordered(order)
            target = by_instance[order.engine]
            self._context.daemon.spawn(self._send(row, model, held, state, target, order))

    async def _send(
        self,
        row: ServiceRow,
        model: str,
        held: _Held,
        state: RolloutState,
        target: ListedTarget,
        order: LoadOrder,
    ) -> None:
        loaded = False
        try:
            loaded = await self._load(row, model, held, target, order)
        finally:
            state.ended(target.instance, loaded, self._context.now_seconds())

    async def _load(
        self, row: ServiceRow, model: str, held: _Held, target: ListedTarget, order: LoadOrder
    ) -> bool:
        """Order one load and wait for its effect; return whether it showed."""
        report = await self._engines.report(target)
        if not isinstance(report, EngineReport):
            self._log_order(model, held, target, order, f"no report: {report.detail}")
            return False
        if report.versions.get(model, 0) >= order.version:
            return True
        role = version_role(row.name)
        # After the last wait, right before the effect.
        if not self._roles.may_act(role) or self._roles.fencing(role) != held.fencing:
            return False
        answer = await self._engines.order_version(
            target,
            model,
            order.version,
            self._context.settings.daemon,
            held.fencing,
            report.orders_taken,
            self._runs_may_go_on(row.name),
        )
        self._log_order(model, held, target, order, answer.value, report.orders_taken)
        if answer is OrderAnswer.REFUSED:
            return False
        return await self._wait_loaded(model, target, order.version)

    def _runs_may_go_on(self, service: str) -> bool:
        """Return whether no route of a service wants each text from one version."""
        routes = self._context.daemon.view.rows(RouteRow)
        return not any(
            route.single_version and route.handling is Handling.BATCH
            for route in routes
            if any(choice.serves == service for choice in route.choices)
        )

    async def _wait_loaded(self, model: str, target: ListedTarget, version: int) -> bool:
        deadline_seconds = self._context.now_seconds() + LOAD_PATIENCE_SECONDS
        next_report_seconds = self._context.now_seconds() + 2 * REPORT_EVERY_SECONDS
        while self._context.now_seconds() < deadline_seconds:
            await asyncio.sleep(TICK_SECONDS / 2)
            listed = self._context.directory.entries.get(target.instance)
            if listed is None:
                return False
            if listed.versions.get(model, 0) >= version:
                return True
            if self._context.now_seconds() < next_report_seconds:
                continue
            next_report_seconds += REPORT_EVERY_SECONDS
            report = await self._engines.report(target)
            if isinstance(report, EngineReport) and not report.is_loading:
                return report.versions.get(model, 0) >= version
        return False

    def _log_order(
        self,
        model: str,
        held: _Held,
        target: ListedTarget,
        order: LoadOrder,
        outcome: str,
        orders_taken: int | None = None,
    ) -> None:
        self._context.log.write(
            "load ordered",
            target=target.instance,
            model=model,
            version=order.version,
            version_listed=target.versions.get(model),
            fencing=held.fencing,
            orders_taken=orders_taken,
            outcome=outcome,
        )
