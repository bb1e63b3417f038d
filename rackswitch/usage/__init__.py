"""Usage: the number of requests per tenant that began in each time window."""

from rackswitch.usage.counts import UsageCounts
from rackswitch.usage.reports import UsageReport, UsageReports
from rackswitch.usage.windows import UsageWindows

__all__ = ["UsageCounts", "UsageReport", "UsageReports", "UsageWindows"]
