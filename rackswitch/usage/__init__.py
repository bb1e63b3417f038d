"""Usage: how many of each tenant's requests began in each window of the wall clock."""

from rackswitch.usage.counts import UsageCounts
from rackswitch.usage.reports import UsageReport, UsageReports
from rackswitch.usage.windows import UsageWindows

__all__ = ["UsageCounts", "UsageReport", "UsageReports", "UsageWindows"]
