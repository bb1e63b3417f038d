"""Sends an engine an order to load a version and waits for the load to finish."""

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

POLL_INTERVAL_SECONDS = 0.05
"""Interval between checks of the target list while waiting for a load."""

LOAD_TIMEOUT_SECONDS = 4.0
"""How long to wait for a load to show in the target list or a report before it counts as failed."""

REPORT_INTERVAL_SECONDS = 0.5
"""Interval between report requests to an engine whose listed version does not change."""

EXCLUDED_OUTCOME = "not sent: zone evacuated"
"""Outcome of an order whose engine's zone was evacuated after the order was planned."""


def version_role(service: str) -> str:
    """Return the role whose holder orders the engines of a service.

    All models of a service share one role: an engine may serve several models and must not get
    orders from two daemons.
    """
    return VERSION_ROLE_PREFIX + service


def version_turn(service: str) -> Turn:
    """Return the turn for orders to a service's engines."""
    return Turn(service, version_role(service), ORDERS_PREFIX + service)


def service_of_role(role: str) -> str:
    """Return the service that a role belongs to."""
    return role.removeprefix(VERSION_ROLE_PREFIX)


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A planned load order for one engine.

    Attributes
    ----------
    target : ListedTarget
        The engine as listed when the order was planned.
    """

    service: str
    model: str
    target: ListedTarget
    order: LoadOrder


class OrderSender:
    """Sends load orders, each right after checking that this daemon may still send it.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    engines : OrderClient
        Client for the engines' order interface.
    turns : TurnManager
        Checks that this daemon may act as the holder.
    """

    __slots__ = ("_context", "_engines", "_turns")

    def __init__(self, context: GatewayContext, engines: OrderClient, turns: TurnManager):
        self._context = context
        self._engines = engines
        self._turns = turns

    async def load(self, planned: PlannedLoad, entered_at_seconds: float) -> bool:
        """Order a load and wait for it; return whether the engine has the version.

        Parameters
        ----------
        planned : PlannedLoad
            The order.
        entered_at_seconds : float
            When this daemon started to write its entry in the record of orders (monotonic).
        """
        target, order = planned.target, planned.order
        if not self._may_receive(target):
            self._log_order(planned, 0, EXCLUDED_OUTCOME)
            return False
        report = await self._engines.report(target)
        if not isinstance(report, EngineReport):
            self._log_order(planned, 0, f"no report: {report.detail}")
            return False
        if report.versions.get(planned.model, 0) >= order.version:
            return True
        if not self._may_receive(target):
            self._log_order(planned, 0, EXCLUDED_OUTCOME)
            return False
        turn = version_turn(planned.service)
        fencing = self._turns.fencing_to_send(turn, entered_at_seconds)
        if fencing is None:
            self._log_order(planned, 0, "not sent: too late after the entry")
            return False
        version_order = VersionOrder(
            planned.model,
            order.version,
            self._context.settings.daemon,
            fencing,
            report.orders_taken,
            self._allows_mixed_versions(planned.service),
        )
        answer = await self._engines.order_version(target, version_order)
        self._log_order(planned, fencing, answer.value, report.orders_taken)
        if answer is OrderAnswer.REFUSED:
            return False
        return await self._wait_until_loaded(planned.model, target, order.version)

    def _may_receive(self, target: ListedTarget) -> bool:
        """Return whether an engine may get orders and report requests: its zone is in service."""
        return self._context.directory.may_receive(target)

    def _allows_mixed_versions(self, service: str) -> bool:
        """Return whether no batch route of a service requires a single version per text."""
        routes = self._context.daemon.view.rows(RouteRow)
        return not any(
            route.single_version and route.handling is Handling.BATCH
            for route in routes
            if any(choice.serves == service for choice in route.choices)
        )

    async def _wait_until_loaded(self, model: str, target: ListedTarget, version: int) -> bool:
        deadline_seconds = self._context.now_seconds() + LOAD_TIMEOUT_SECONDS
        next_report_seconds = self._context.now_seconds() + 2 * REPORT_INTERVAL_SECONDS
        while self._context.now_seconds() < deadline_seconds:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            listed = self._context.directory.entries.get(target.instance)
            if listed is None or listed.start != target.start:
                # The engine was restarted under the same name: order and weights are lost.
                return False
            if listed.versions.get(model, 0) >= version:
                return True
            if self._context.now_seconds() < next_report_seconds or not self._may_receive(target):
                continue
            next_report_seconds += REPORT_INTERVAL_SECONDS
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
