"""Sending one engine one order to load a version, and waiting for its effect."""

import asyncio
from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.turns import Turn, TurnManager
from rackswitch.platform.orders import EngineReport, OrderAnswer, OrderClient, VersionOrder
from rackswitch.routing import ListedTarget
from rackswitch.table import Handling, RouteRow
from rackswitch.telemetry.events import LoadOrdered
from rackswitch.weights import LoadOrder

__all__ = [
    "ORDERS_PREFIX",
    "OrderSender",
    "PlannedLoad",
    "service_of_role",
    "version_role",
    "version_turn",
]

VERSION_ROLE_PREFIX = "versions/"
ORDERS_PREFIX = "control/orders/"

LOOK_SECONDS = 0.05
"""Between looks at the list of targets while a load is awaited: two in a keeper's tick."""

LOAD_TIMEOUT_SECONDS = 4.0
"""A load takes 0.9 s and is told with a lag; an order that has shown no effect by then is
looked after."""

REPORT_EVERY_SECONDS = 0.5
"""Between questions to an engine whose listed version does not change after an order."""


def version_role(service: str) -> str:
    """Return the role whose holder orders the engines of a service.

    One holder for all models of a service: an engine may carry several, and must not get
    orders from two daemons.
    """
    return VERSION_ROLE_PREFIX + service


def version_turn(service: str) -> Turn:
    """Return the turn in which a service's engines are ordered."""
    return Turn(service, version_role(service), ORDERS_PREFIX + service)


def service_of_role(role: str) -> str:
    """Return the service whose engines a role's holder orders."""
    return role.removeprefix(VERSION_ROLE_PREFIX)


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """An order that the plan wants sent.

    Attributes
    ----------
    target : ListedTarget
        The engine, as it was listed when the order was planned.
    """

    service: str
    model: str
    target: ListedTarget
    order: LoadOrder


class OrderSender:
    """Sends orders, each right after a check that this daemon may still send it.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    engines : OrderClient
        Makes the calls.
    turns : TurnManager
        Until when after its entry an order may leave.
    """

    __slots__ = ("_context", "_engines", "_turns")

    def __init__(self, context: GatewayContext, engines: OrderClient, turns: TurnManager):
        self._context = context
        self._engines = engines
        self._turns = turns

    async def load(self, planned: PlannedLoad, entered_at_seconds: float) -> bool:
        """Order one load and wait for its effect; return whether it showed.

        Parameters
        ----------
        planned : PlannedLoad
            The order.
        entered_at_seconds : float
            When this daemon began to enter itself in the record of orders (monotonic).
        """
        target, order = planned.target, planned.order
        report = await self._engines.report(target)
        if not isinstance(report, EngineReport):
            self._log_order(planned, 0, f"no report: {report.detail}")
            return False
        if report.versions.get(planned.model, 0) >= order.version:
            return True
        turn = version_turn(planned.service)
        fencing = self._turns.fencing_to_send(turn, entered_at_seconds)
        if fencing is None:
            self._log_order(planned, 0, "not sent: too late after the entry")
            return False
        sent = VersionOrder(
            planned.model,
            order.version,
            self._context.settings.daemon,
            fencing,
            report.orders_taken,
            self._runs_may_go_on(planned.service),
        )
        answer = await self._engines.order_version(target, sent)
        self._log_order(planned, fencing, answer.value, report.orders_taken)
        if answer is OrderAnswer.REFUSED:
            return False
        return await self._wait_loaded(planned.model, target, order.version)

    def _runs_may_go_on(self, service: str) -> bool:
        """Return whether no route of a service wants each text from one version."""
        routes = self._context.daemon.view.rows(RouteRow)
        return not any(
            route.single_version and route.handling is Handling.BATCH
            for route in routes
            if any(choice.serves == service for choice in route.choices)
        )

    async def _wait_loaded(self, model: str, target: ListedTarget, version: int) -> bool:
        deadline_seconds = self._context.now_seconds() + LOAD_TIMEOUT_SECONDS
        next_report_seconds = self._context.now_seconds() + 2 * REPORT_EVERY_SECONDS
        while self._context.now_seconds() < deadline_seconds:
            await asyncio.sleep(LOOK_SECONDS)
            listed = self._context.directory.entries.get(target.instance)
            if listed is None or listed.start != target.start:
                # A start that is back under the identity has neither the order nor its weights.
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
        planned: PlannedLoad,
        fencing: int,
        outcome: str,
        orders_taken: int | None = None,
    ) -> None:
        self._context.log.write(
            LoadOrdered(
                target=planned.target.instance,
                model=planned.model,
                version=planned.order.version,
                version_listed=planned.target.versions.get(planned.model),
                fencing=fencing,
                orders_taken=orders_taken,
                outcome=outcome,
            )
        )
