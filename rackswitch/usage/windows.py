"""Windows of the wall clock, numbered from the start of 1970."""

import math
from dataclasses import dataclass

__all__ = ["UsageWindows"]


@dataclass(frozen=True, slots=True)
class UsageWindows:
    """How time is cut into windows.

    Parameters
    ----------
    length_seconds : float
        Length of each window.
    allowed_late_seconds : float
        How long after a window's end its report is still in time.
    """

    length_seconds: float
    allowed_late_seconds: float

    def number_at(self, at_unix_seconds: float) -> int:
        """Return the number of the window that holds a moment."""
        return math.floor(at_unix_seconds / self.length_seconds)

    def begins_at_unix_seconds(self, window: int) -> float:
        """Return when a window begins."""
        return window * self.length_seconds

    def ends_at_unix_seconds(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.length_seconds

    def due_at_unix_seconds(self, window: int) -> float:
        """Return until when a window's report is in time."""
        return self.ends_at_unix_seconds(window) + self.allowed_late_seconds
