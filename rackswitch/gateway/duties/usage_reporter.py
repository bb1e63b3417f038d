"""Reports the fleet's usage, as the single holder that may."""

import asyncio
import time
from collections.abc import Callable

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_TURN
from rackswitch.gateway.duties.fenced_record import FencedRecord
from rackswitch.gateway.duties.usage_gathering import UsageGathering
from rackswitch.gateway.turns import TurnManager
from rackswitch.platform.duty_calls import DutyClient, DutyOutcome, Holder
from rackswitch.table import Handling, RouteRow
from rackswitch.telemetry.events import UsageFixed, UsageSent
from rackswitch.usage import UsageReport, UsageReports, UsageWindows

__all__ = ["UsageReporter"]

REPORTS_KEY = "usage/reports"

TICK_SECONDS = 0.2

RETRY_SECONDS = 1.0
"""Between tries of a report that was not surely taken; each needs an entry in the record, a
call of its own."""

SETTLE_MARGIN_SECONDS = 0.3
"""How much longer than their time limit the last requests of a window may take to be counted."""

MAX_SETTLE_SECONDS = 4.0
"""A report must be in time even if its holder dies right after the window: 2.5 s until the role is
free, and 3.5 s until the former holder's turn is over, of the 10 s that there are."""


class UsageReporter:
    """Gathers, fixes and sends each window's usage while this daemon holds the role.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    turns : TurnManager
        This daemon's turns in the role.
    client : DutyClient
        Makes the calls.
    gathering : UsageGathering
        Asks the other daemons.
    windows : UsageWindows
        How time is cut.
    wall_clock : callable
        Returns the time of day.
    """

    __slots__ = (
        "_client",
        "_context",
        "_gathering",
        "_kept",
        "_next_try_seconds",
        "_turns",
        "_wall_clock",
        "_windows",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnManager,
        client: DutyClient,
        gathering: UsageGathering,
        windows: UsageWindows,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._wall_clock = wall_clock
        self._context = context
        self._turns = turns
        self._client = client
        self._gathering = gathering
        self._windows = windows
        self._kept = FencedRecord(context, turns, REPORTS_KEY, UsageReports())
        self._next_try_seconds = float("-inf")

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self._tend()

    async def _tend(self) -> None:
        reports = await self._kept.present()
        if reports is None:
            return
        settle_seconds = self._settle_seconds()
        window = reports.next_to_gather(self._windows, settle_seconds, self._wall_clock())
        if window is not None:
            report = await self._gather(window)
            await self._enter_and_send(reports.with_fixed(report))
        elif reports.open and self._context.now_seconds() >= self._next_try_seconds:
            await self._enter_and_send(reports)

    def _settle_seconds(self) -> float:
        """Return how long after a window its last requests have begun, or never will."""
        limits = [
            route.timeout_seconds
            for route in self._context.daemon.view.rows(RouteRow)
            if route.handling is not Handling.BATCH and not route.is_public
        ]
        longest_seconds = max(limits, default=0.0) + SETTLE_MARGIN_SECONDS
        return min(longest_seconds, MAX_SETTLE_SECONDS)

    async def _gather(self, window: int) -> UsageReport:
        gathered = await self._gathering.gather(window)
        counts = {tenant: number for tenant, number in gathered.counts.items() if number}
        late_seconds = self._wall_clock() - self._windows.ends_at_unix_seconds(window)
        self._context.log.write(
            UsageFixed(
                window=window,
                requests=sum(counts.values()),
                tenants=len(counts),
                daemons=gathered.answered,
                daemons_silent=gathered.silent,
                daemons_partial=gathered.partial,
                after_end_seconds=round(late_seconds, 3),
            )
        )
        return UsageReport(window, counts)

    async def _enter_and_send(self, reports: UsageReports) -> None:
        """Fix reports in the service, and send those that the platform may not have."""
        now_seconds = self._context.now_seconds()
        self._next_try_seconds = now_seconds + RETRY_SECONDS
        entry = await self._kept.enter_with(reports)
        if entry is None:
            return
        for report in list(reports.open):
            await self._send(report, entry.began_seconds)

    async def _send(self, report: UsageReport, entered_at_seconds: float) -> None:
        fencing = self._turns.fencing_to_send(DUTIES_TURN, entered_at_seconds)
        reports = self._kept.value
        if fencing is None or reports is None:
            return
        holder = Holder(self._context.daemon_name, fencing)
        answer = await self._client.report_usage(holder, report.window, report.counts)
        if answer.outcome in (DutyOutcome.TAKEN, DutyOutcome.REFUSED):
            reports.taken(report.window)
        late_seconds = self._wall_clock() - self._windows.ends_at_unix_seconds(report.window)
        self._context.log.write(
            UsageSent(
                window=report.window,
                requests=sum(report.counts.values()),
                fencing=fencing,
                after_end_seconds=round(late_seconds, 3),
                in_time=late_seconds <= self._windows.allowed_late_seconds,
                outcome=f"{answer.outcome.value}: {answer.detail}",
            )
        )
