"""What one daemon has counted."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from rackswitch.usage.windows import UsageWindows

__all__ = ["UsageCounts"]

KEPT_WINDOWS = 12
"""Windows whose counts are kept: at 5 s each a minute, six times the time in which a report is
wanted. An outage of the service or of the operators' API is over by then."""


@dataclass(slots=True)
class UsageCounts:
    """One daemon's counts by window and tenant.

    Parameters
    ----------
    windows : UsageWindows
        How time is cut.
    counted_from_unix_seconds : float
        Since when this process has counted.
    """

    windows: UsageWindows
    counted_from_unix_seconds: float
    _counts: dict[int, Counter[str]] = field(default_factory=dict)

    def began(self, tenant: str, at_unix_seconds: float) -> None:
        """Count a request that began running at a moment."""
        self.add(self.windows.number_at(at_unix_seconds), {tenant: 1})

    def add(self, window: int, counts: Mapping[str, int]) -> None:
        """Add counts of a window, for instance those of a daemon that stops."""
        self._counts.setdefault(window, Counter()).update(counts)
        if len(self._counts) > KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def of(self, window: int) -> dict[str, int]:
        """Return a window's counts by tenant."""
        return dict(self._counts.get(window, {}))

    def take_since(self, window: int) -> dict[int, dict[str, int]]:
        """Return the counts of a window and of all later ones, and answer for them no more."""
        taken = [number for number in self._counts if number >= window]
        return {number: dict(self._counts.pop(number)) for number in taken}
