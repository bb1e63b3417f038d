"""Collection and delivery of usage reports.

The content of a report never changes: it is stored in the key-value service before it is first
sent. A successor that does not know which reports the platform accepted sends the same content.
"""

import msgspec

from rackswitch.usage.windows import UsageWindows

__all__ = ["UsageReport", "UsageReports"]

MAX_OPEN_REPORTS = 24
"""Maximum number of undelivered reports, two minutes at 5 s a window; older ones are too late to be
accepted."""


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """The usage report of a window.

    Attributes
    ----------
    counts : dict of str to int
        Number of requests by tenant; tenants without requests are omitted.
    """

    window: int
    counts: dict[str, int]


class UsageReports(msgspec.Struct):
    """State of the fleet's usage reports at the current reporter.

    Attributes
    ----------
    last_fixed : int
        The newest window whose report is stored; 0 if none.
    open : list of UsageReport
        Stored reports without confirmed delivery to the platform, oldest first.
    """

    last_fixed: int = 0
    open: list[UsageReport] = []

    def next_window_to_collect(
        self, windows: UsageWindows, settle_seconds: float, now_unix_seconds: float
    ) -> int | None:
        """Return the next window to collect counts for, or None.

        Windows that ended before this reporter started are collected too, oldest first. Windows
        whose report would be late are skipped.

        Parameters
        ----------
        windows : UsageWindows
            Division of time into windows.
        settle_seconds : float
            Delay after a window's end until its counts are final.
        now_unix_seconds : float
            Current Unix time.
        """
        newest_settled = windows.number_at(now_unix_seconds - settle_seconds) - 1
        earliest_in_time = windows.number_at(now_unix_seconds - windows.allowed_late_seconds)
        next_window = max(self.last_fixed + 1, earliest_in_time)
        return next_window if next_window <= newest_settled else None

    def with_stored_report(self, report: UsageReport) -> "UsageReports":
        """Return the state after a report has been stored."""
        open_reports = [*self.open, report][-MAX_OPEN_REPORTS:]
        return UsageReports(report.window, open_reports)

    def record_delivered(self, window: int) -> None:
        """Remove a window's report that the platform accepted or permanently refused."""
        self.open = [report for report in self.open if report.window != window]
