"""Rolls named versions onto engines, as the single holder that may order them."""

import asyncio
from collections.abc import Callable

import msgspec

from rackswitch.clients.kv import KvEntry, KvUnavailable, Operation, TxnPart
from rackswitch.daemon.roles import RoleKeeper
from rackswitch.gateway.context import GatewayContext
from rackswitch.platform.orders import EngineReport, OrderAnswer, OrderClient
from rackswitch.routing import ListedTarget
from rackswitch.table import Handling, RouteRow, ServiceRow
from rackswitch.weights import (
    EngineView,
    LoadOrder,
    OrderTurns,
    RolloutState,
    VersionNeed,
    engines_to_load,
    plan_load_orders,
)

__all__ = ["ORDERS_PREFIX", "VersionKeeper", "version_role"]

ORDERS_PREFIX = "control/orders/"
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


def version_role(service: str) -> str:
    """Return the role whose holder orders the engines of a service.

    One holder for all models of a service: an engine may carry several, and must not get
    orders from two daemons.
    """
    return f"versions/{service}"


class OrdersRecord(msgspec.Struct, frozen=True):
    """Who orders a service's engines."""

    holder: str


class VersionKeeper:
    """Compares engines with the versions that trainers have named, and orders loads.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    roles : RoleKeeper
        Leases on roles.
    engines : OrderClient
        Makes the calls.
    oldest_usable_version : callable
        Returns the oldest version of a model that all open jobs may use.
    """

    __slots__ = (
        "_context",
        "_engines",
        "_oldest_usable_version",
        "_roles",
        "_states",
        "_turns",
    )

    def __init__(
        self,
        context: GatewayContext,
        roles: RoleKeeper,
        engines: OrderClient,
        oldest_usable_version: Callable[[str], int],
    ):
        self._oldest_usable_version = oldest_usable_version
        self._context = context
        self._roles = roles
        self._engines = engines
        settings = context.settings
        self._turns = OrderTurns(settings.daemon, settings.order_turn_seconds)
        self._states: dict[tuple[str, str], RolloutState] = {}

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

    def orders_put(self, entry: KvEntry) -> None:
        """Note who has entered the record of a service's orders."""
        record = msgspec.json.decode(entry.value, type=OrdersRecord)
        service = entry.key.removeprefix(ORDERS_PREFIX)
        self._turns.entered(service, record.holder, self._context.now_seconds())

    async def _tend(self, row: ServiceRow) -> None:
        if not self._roles.may_act(version_role(row.name)):
            return
        if self._context.now_seconds() < self._turns.may_order_from_seconds(row.name):
            return
        planned = [
            (model, target, order)
            for model in row.models
            for target, order in self._plan(row, model)
        ]
        if not planned:
            return
        entered_at_seconds = self._context.now_seconds()
        if not await self._enter(row.name):
            return
        for model, target, order in planned:
            state = self._states[row.name, model]
            state.ordered(order)
            self._context.daemon.spawn(
                self._send(row, model, state, target, order, entered_at_seconds)
            )

    async def _enter(self, service: str) -> bool:
        """Enter this daemon in the record of a service's orders, under the role's fence."""
        record = OrdersRecord(self._context.settings.daemon)
        put = Operation(ORDERS_PREFIX + service, msgspec.json.encode(record))
        fence = self._roles.fence(version_role(service))
        done = await self._context.kv.txn([TxnPart((fence,), (put,))])
        if isinstance(done, KvUnavailable):
            self._context.contact.failed(self._context.now_seconds(), done.detail)
            return False
        if not done[0].succeeded:
            self._roles.lose(version_role(service))
        return done[0].succeeded

    def _plan(self, row: ServiceRow, model: str) -> list[tuple[ListedTarget, LoadOrder]]:
        desired = self._context.named_versions.get(model, 0)
        if desired == 0:
            return []
        now_seconds = self._context.now_seconds()
        listed = {
            target.instance: target
            for target in self._context.directory.usable(row.name, now_seconds)
        }
        state = self._states.setdefault((row.name, model), RolloutState())
        loading = self._loading(row, now_seconds)
        views = [
            EngineView(target.instance, target.versions.get(model), target.instance in loading)
            for target in listed.values()
        ]
        need = VersionNeed(desired, self._oldest_usable_version(model))
        stale = engines_to_load(need, views)
        if not stale:
            return []
        fit = [view for view in views if view.loading or view in stale]
        orders = plan_load_orders(
            desired, UNAVAILABLE_SHARE, fit, (), state, now_seconds, most_loading=MOST_LOADING
        )
        return [(listed[order.engine], order) for order in orders]

    def _loading(self, row: ServiceRow, now_seconds: float) -> set[str]:
        """Return the engines of a service with an order under way, for any model."""
        return {
            instance
            for model in row.models
            for instance, order in self._states.get(
                (row.name, model), RolloutState()
            ).orders.items()
            if now_seconds < order.deadline_seconds
        }

    async def _send(
        self,
        row: ServiceRow,
        model: str,
        state: RolloutState,
        target: ListedTarget,
        order: LoadOrder,
        entered_at_seconds: float,
    ) -> None:
        loaded = False
        try:
            loaded = await self._load(row, model, target, order, entered_at_seconds)
        finally:
            state.ended(target.instance, loaded, self._context.now_seconds())

    async def _load(
        self,
        row: ServiceRow,
        model: str,
        target: ListedTarget,
        order: LoadOrder,
        entered_at_seconds: float,
    ) -> bool:
        """Order one load and wait for its effect; return whether it showed."""
        report = await self._engines.report(target)
        if not isinstance(report, EngineReport):
            self._log_order(model, target, order, 0, f"no report: {report.detail}")
            return False
        if report.versions.get(model, 0) >= order.version:
            return True
        role = version_role(row.name)
        # After the last wait, right before the effect.
        in_time = self._turns.may_send(entered_at_seconds, self._context.now_seconds())
        if not in_time or not self._roles.may_act(role):
            self._log_order(model, target, order, 0, "not sent: too late after the entry")
            return False
        fencing = self._roles.fencing(role)
        answer = await self._engines.order_version(
            target,
            model,
            order.version,
            self._context.settings.daemon,
            fencing,
            report.orders_taken,
            self._runs_may_go_on(row.name),
        )
        self._log_order(model, target, order, fencing, answer.value, report.orders_taken)
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
        target: ListedTarget,
        order: LoadOrder,
        fencing: int,
        outcome: str,
        orders_taken: int | None = None,
    ) -> None:
        self._context.log.write(
            "load ordered",
            target=target.instance,
            model=model,
            version=order.version,
            version_listed=target.versions.get(model),
            fencing=fencing,
            orders_taken=orders_taken,
            outcome=outcome,
        )
