"""Request counts of one daemon."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from rackswitch.usage.windows import UsageWindows

__all__ = ["UsageCounts"]

MAX_WINDOWS = 12
"""Number of windows whose counts are kept: a minute at 5 s each, six times the time in which a
report is accepted. It outlasts a short outage of the service or of the operators' API."""


@dataclass(slots=True)
class UsageCounts:
    """Request counts of one daemon by window and tenant.

    Parameters
    ----------
    windows : UsageWindows
        Division of time into windows.
    counted_from_unix_seconds : float
        Start of counting in this process.
    """

    windows: UsageWindows
    counted_from_unix_seconds: float
    _counts: dict[int, Counter[str]] = field(default_factory=dict)

    def record_start(self, tenant: str, at_unix_seconds: float) -> None:
        """Count a request that began to run at the given time."""
        self.add(self.windows.number_at(at_unix_seconds), {tenant: 1})

    def add(self, window: int, counts: Mapping[str, int]) -> None:
        """Add counts of a window, for example from a stopping daemon."""
        self._counts.setdefault(window, Counter()).update(counts)
        if len(self._counts) > MAX_WINDOWS:
            del self._counts[min(self._counts)]

    def counts_in(self, window: int) -> dict[str, int]:
        """Return the counts of a window by tenant."""
        return dict(self._counts.get(window, {}))

    def pop_since(self, window: int) -> dict[int, dict[str, int]]:
        """Remove and return the counts of a window and all later ones."""
        removed_windows = [number for number in self._counts if number >= window]
        return {number: dict(self._counts.pop(number)) for number in removed_windows}
