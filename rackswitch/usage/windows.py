"""Time windows, numbered from the Unix epoch."""

import math
from dataclasses import dataclass

__all__ = ["UsageWindows"]


@dataclass(frozen=True, slots=True)
class UsageWindows:
    """Division of Unix time into windows of equal length.

    Parameters
    ----------
    length_seconds : float
        Length of each window.
    allowed_late_seconds : float
        Maximum delay of a report after its window's end.
    """

    length_seconds: float
    allowed_late_seconds: float

    def number_at(self, at_unix_seconds: float) -> int:
        """Return the number of the window that contains a time."""
        return math.floor(at_unix_seconds / self.length_seconds)

    def begins_at_unix_seconds(self, window: int) -> float:
        """Return the start of a window."""
        return window * self.length_seconds

    def ends_at_unix_seconds(self, window: int) -> float:
        """Return the end of a window."""
        return (window + 1) * self.length_seconds

    def due_at_unix_seconds(self, window: int) -> float:
        """Return the deadline of a window's report."""
        return self.ends_at_unix_seconds(window) + self.allowed_late_seconds
