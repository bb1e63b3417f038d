"""Reports the fleet's usage while this daemon holds the duties role."""

import asyncio
import time
from collections.abc import Callable

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_TURN
from rackswitch.gateway.duties.fenced_record import FencedRecord
from rackswitch.gateway.duties.usage_gathering import UsageGatherer
from rackswitch.gateway.turns import TurnManager
from rackswitch.platform.duty_calls import DutyClient, DutyOutcome, Holder
from rackswitch.table import Handling, RouteRow
from rackswitch.telemetry.events import UsageFinalized, UsageSent
from rackswitch.usage import UsageReport, UsageReports, UsageWindows

__all__ = ["UsageReporter"]

REPORTS_KEY = "usage/reports"

TICK_SECONDS = 0.2

RETRY_DELAY_SECONDS = 1.0
"""Delay before an unconfirmed report is sent again. Each try needs an entry in the record, a call
of its own."""

SETTLE_MARGIN_SECONDS = 0.3
"""Margin beyond the longest request timeout before a window's counts are gathered."""

MAX_SETTLE_SECONDS = 4.0
"""Upper bound of the wait, so that a successor can still report in time if the holder fails right
after the window: of the 10 s allowed, 2.5 s pass until the role is free and 3.5 s until the former
holder's turn is over."""


class UsageReporter:
    """Gathers, stores and sends each window's usage while this daemon holds the role.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    turns : TurnManager
        Checks that this daemon may act as the holder.
    client : DutyClient
        Client of the operators' API.
    gatherer : UsageGatherer
        Gathers the counts of all daemons.
    windows : UsageWindows
        The reporting windows.
    wall_clock : callable
        Returns the Unix time in seconds.
    """

    __slots__ = (
        "_client",
        "_context",
        "_gatherer",
        "_record",
        "_next_retry_seconds",
        "_turns",
        "_wall_clock",
        "_windows",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnManager,
        client: DutyClient,
        gatherer: UsageGatherer,
        windows: UsageWindows,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._wall_clock = wall_clock
        self._context = context
        self._turns = turns
        self._client = client
        self._gatherer = gatherer
        self._windows = windows
        self._record = FencedRecord(context, turns, REPORTS_KEY, UsageReports())
        self._next_retry_seconds = float("-inf")

    async def run(self) -> None:
        """Report usage until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self._report_due_windows()

    async def _report_due_windows(self) -> None:
        reports = await self._record.current_value()
        if reports is None:
            return
        settle_seconds = self._settle_seconds()
        window = reports.next_window_to_collect(self._windows, settle_seconds, self._wall_clock())
        if window is not None:
            report = await self._gather(window)
            await self._write_and_send(reports.with_stored_report(report))
        elif reports.open and self._context.now_seconds() >= self._next_retry_seconds:
            await self._write_and_send(reports)

    def _settle_seconds(self) -> float:
        """Return how long after its end a window's counts can be taken as complete."""
        timeouts_seconds = [
            route.timeout_seconds
            for route in self._context.daemon.view.rows(RouteRow)
            if route.handling is not Handling.BATCH and not route.is_public
        ]
        max_timeout_seconds = max(timeouts_seconds, default=0.0) + SETTLE_MARGIN_SECONDS
        return min(max_timeout_seconds, MAX_SETTLE_SECONDS)

    async def _gather(self, window: int) -> UsageReport:
        gathered = await self._gatherer.gather(window)
        counts = {tenant: requests for tenant, requests in gathered.counts.items() if requests}
        seconds_after_end = self._wall_clock() - self._windows.ends_at_unix_seconds(window)
        self._context.log.write(
            UsageFinalized(
                window=window,
                requests=sum(counts.values()),
                tenants=len(counts),
                daemons=gathered.answered,
                daemons_silent=gathered.unanswered,
                daemons_partial=gathered.partial,
                after_end_seconds=round(seconds_after_end, 3),
            )
        )
        return UsageReport(window, counts)

    async def _write_and_send(self, reports: UsageReports) -> None:
        """Store reports in the key-value service and send those not confirmed by the platform."""
        now_seconds = self._context.now_seconds()
        self._next_retry_seconds = now_seconds + RETRY_DELAY_SECONDS
        entry = await self._record.write_with_entry(reports)
        if entry is None:
            return
        for report in list(reports.open):
            await self._send(report, entry.began_seconds)

    async def _send(self, report: UsageReport, entered_at_seconds: float) -> None:
        fencing = self._turns.fencing_to_send(DUTIES_TURN, entered_at_seconds)
        reports = self._record.value
        if fencing is None or reports is None:
            return
        holder = Holder(self._context.daemon_name, fencing)
        answer = await self._client.report_usage(holder, report.window, report.counts)
        if answer.outcome in (DutyOutcome.ACCEPTED, DutyOutcome.REFUSED):
            reports.record_delivered(report.window)
        seconds_after_end = self._wall_clock() - self._windows.ends_at_unix_seconds(report.window)
        self._context.log.write(
            UsageSent(
                window=report.window,
                requests=sum(report.counts.values()),
                fencing=fencing,
                after_end_seconds=round(seconds_after_end, 3),
                in_time=seconds_after_end <= self._windows.allowed_late_seconds,
                outcome=f"{answer.outcome.value}: {answer.detail}",
            )
        )
