"""Which windows' usage is gathered, fixed and sent when.

A report has one content for ever: it is fixed in the key-value service before it is first sent, and
from then on only repeated. So a successor, who may not know what the platform took, sends the same.
"""

import msgspec

from rackswitch.usage.windows import UsageWindows

__all__ = ["UsageReport", "UsageReports"]

MAX_OPEN = 24
"""Fixed reports that are kept for sending: two minutes of an outage at 5 s a window. Older ones
are long past their time."""


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """A window's usage as it is reported.

    Attributes
    ----------
    counts : dict of str to int
        Requests by tenant; tenants without any are left out.
    """

    window: int
    counts: dict[str, int]


class UsageReports(msgspec.Struct):
    """The reports of a fleet, as its present reporter knows them.

    Attributes
    ----------
    last_fixed : int
        The newest window whose content is fixed; 0 if there is none.
    open : list of UsageReport
        Fixed reports that the platform has not surely taken, oldest first.
    """

    last_fixed: int = 0
    open: list[UsageReport] = []

    def next_to_gather(
        self, windows: UsageWindows, settle_seconds: float, now_unix_seconds: float
    ) -> int | None:
        """Return the window to gather now, or None.

        Windows that ended before a reporter came are made up for, oldest first, as long as their
        report can be in time; of those that cannot, none is begun.

        Parameters
        ----------
        windows : UsageWindows
            How time is cut.
        settle_seconds : float
            How long after a window's end its last requests are known to have begun or not.
        now_unix_seconds : float
            The time of day.
        """
        newest = windows.number_at(now_unix_seconds - settle_seconds) - 1
        in_time = windows.number_at(now_unix_seconds - windows.allowed_late_seconds)
        first = max(self.last_fixed + 1, in_time)
        return first if first <= newest else None

    def with_fixed(self, report: UsageReport) -> "UsageReports":
        """Return what is known once a report's content is fixed."""
        kept = [*self.open, report][-MAX_OPEN:]
        return UsageReports(report.window, kept)

    def taken(self, window: int) -> None:
        """Note that the platform has a window's report, or will never take it."""
        self.open = [report for report in self.open if report.window != window]
