"""Asking a service's engines how full they are, right before a job is spread over them."""

import asyncio
from collections.abc import Callable

from rackswitch.gateway.context import GatewayContext
from rackswitch.jobs import EngineLoad, EngineOccupancy
from rackswitch.platform.orders import EngineReport, OrderClient
from rackswitch.routing import ListedTarget, ReportedLoad

__all__ = ["LoadPoller"]

REPORT_AGE_SECONDS = 0.3
"""By how much a report is taken to be older than the moment when it is read."""


class LoadPoller:
    """Reads engines' reports, which take no slot.

    The owner of a new job often ran nothing for some seconds and cannot know what other owners
    run. The reports come while the job is being kept, so nobody waits for them.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    engines : OrderClient
        Makes the calls.
    occupancy : EngineOccupancy
        Told of what the engines say.
    memory_told : callable, optional
        Told of the reports, for what they say of memory.
    """

    __slots__ = ("_context", "_engines", "_memory_told", "_occupancy")

    def __init__(
        self,
        context: GatewayContext,
        engines: OrderClient,
        occupancy: EngineOccupancy,
        memory_told: Callable[[ListedTarget, EngineReport], None] | None = None,
    ):
        self._memory_told = memory_told
        self._context = context
        self._engines = engines
        self._occupancy = occupancy

    async def look(self, service: str) -> None:
        """Ask all engines of a service that get work."""
        targets = self._context.directory.usable(service, self._context.now_seconds())
        await asyncio.gather(*(self._ask(target) for target in targets))

    async def _ask(self, target: ListedTarget) -> None:
        report = await self._engines.report(target)
        if isinstance(report, EngineReport):
            now_seconds = self._context.now_seconds()
            load = EngineLoad(report.running, report.waiting)
            self._occupancy.heard(target.instance, load, now_seconds)
            if self._memory_told is not None:
                self._memory_told(target, report)
            self._heard(target, report, now_seconds)

    def _heard(self, target: ListedTarget, report: EngineReport, now_seconds: float) -> None:
        """Tell the load picture a report, as a word that is some time old and has no pace."""
        if not target.slots or not self._context.places_by_load(target.service):
            return
        said_at_seconds = now_seconds - REPORT_AGE_SECONDS
        word = ReportedLoad(report.running, report.waiting, target.slots, None, said_at_seconds)
        self._context.load_estimator.heard(target.start, target.service, word)
