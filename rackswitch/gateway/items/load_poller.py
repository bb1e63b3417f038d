"""Polls the load of a service's engines before the items of a new job start there."""

import asyncio
from collections.abc import Callable

from rackswitch.gateway.context import GatewayContext
from rackswitch.jobs import EngineLoad, EngineOccupancy
from rackswitch.platform.orders import EngineReport, OrderClient
from rackswitch.routing import ListedTarget, ReportedLoad

__all__ = ["LoadPoller"]

ASSUMED_REPORT_AGE_SECONDS = 0.3
"""Assumed age of a report when it arrives."""


class LoadPoller:
    """Requests load reports from engines; a report uses no slot.

    The owner of a new job has often run nothing for some seconds and does not know what other
    owners run. The reports arrive while the job is being stored, so no caller waits for them.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    order_client : OrderClient
        Requests the reports.
    occupancy : EngineOccupancy
        Records the reported number of runs.
    on_report : callable, optional
        Called with each report, for the memory in it.
    """

    __slots__ = ("_context", "_order_client", "_on_report", "_occupancy")

    def __init__(
        self,
        context: GatewayContext,
        order_client: OrderClient,
        occupancy: EngineOccupancy,
        on_report: Callable[[ListedTarget, EngineReport], None] | None = None,
    ):
        self._on_report = on_report
        self._context = context
        self._order_client = order_client
        self._occupancy = occupancy

    async def poll(self, service: str, allowed_regions: frozenset[str] | None = None) -> None:
        """Poll all engines of a service that may run work with these allowed regions."""
        now_seconds = self._context.now_seconds()
        usable = self._context.directory.usable(service, now_seconds, allowed_regions)
        # Reports count as requests to a cold engine, which gets few runs in any case.
        is_limited = self._context.cold_sends.is_limited
        targets = [target for target in usable if not is_limited(target, now_seconds)]
        await asyncio.gather(*(self._poll_target(target) for target in targets))

    async def _poll_target(self, target: ListedTarget) -> None:
        asked_at_seconds = self._context.now_seconds()
        report = await self._order_client.report(target)
        if isinstance(report, EngineReport):
            now_seconds = self._context.now_seconds()
            # An engine answers this request without work.
            self._context.record_round_trip(target.zone, now_seconds - asked_at_seconds)
            load = EngineLoad(report.running, report.waiting)
            self._occupancy.record_load(target.instance, load, now_seconds)
            if self._on_report is not None:
                self._on_report(target, report)
            self._record_load(target, report, now_seconds)

    def _record_load(self, target: ListedTarget, report: EngineReport, now_seconds: float) -> None:
        """Pass a report to the load estimator; it states no pace."""
        if not target.slots or not self._context.chooses_targets_by_load(target.service):
            return
        reported_at_seconds = now_seconds - ASSUMED_REPORT_AGE_SECONDS
        reported_load = ReportedLoad(
            report.running, report.waiting, target.slots, None, reported_at_seconds
        )
        self._context.load_estimator.record_report(target.start, target.service, reported_load)
