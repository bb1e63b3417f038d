"""Pacing of one daemon's sends to cold targets."""

from collections.abc import Set
from dataclasses import dataclass, field

__all__ = ["ColdBudget"]


@dataclass(slots=True)
class ColdBudget:
    """When this daemon may next send one kind of work to each cold start of a service.

    Unused time does not accumulate: two sends are never closer than the interval.

    Attributes
    ----------
    interval_seconds : float
        Minimum time between two sends to one start.
    """

    interval_seconds: float
    _next_send_seconds: dict[str, float] = field(default_factory=dict)

    def may_send(self, start: str, now_seconds: float) -> bool:
        """Return whether the interval since the last send to a start has passed."""
        return now_seconds >= self.next_send_seconds(start)

    def record_send(self, start: str, now_seconds: float) -> None:
        """Record a send to a start."""
        self._next_send_seconds[start] = now_seconds + self.interval_seconds

    def next_send_seconds(self, start: str) -> float:
        """Return when the next send to a start is allowed; minus infinity if none was recorded."""
        return self._next_send_seconds.get(start, float("-inf"))

    def keep_only(self, starts: Set[str]) -> None:
        """Remove the state of all other starts."""
        for start in self._next_send_seconds.keys() - starts:
            del self._next_send_seconds[start]
