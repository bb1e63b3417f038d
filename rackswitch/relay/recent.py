"""The slowest recent duration of repeated events."""

from dataclasses import dataclass

__all__ = ["SlowestRecent"]

MEMORY_SECONDS = 1.5
"""How long the slowest duration is remembered. A service that is fast again must not leave a daemon
that makes few calls with the timeouts of the slow one."""


@dataclass(slots=True)
class SlowestRecent:
    """Remembers the slowest recent duration.

    Parameters
    ----------
    decay : float
        Factor by which each faster event reduces the remembered duration.

    Attributes
    ----------
    expires_at_seconds : float
        When the remembered duration is forgotten (monotonic).
    """

    decay: float
    _duration_seconds: float = 0.0
    expires_at_seconds: float = float("-inf")

    def value_seconds(self, now_seconds: float) -> float:
        """Return the slowest recent duration; 0 if there is none."""
        return self._duration_seconds if now_seconds < self.expires_at_seconds else 0.0

    def record(self, duration_seconds: float, now_seconds: float) -> None:
        """Record the duration of an event that ended now (monotonic)."""
        reduced_seconds = self.value_seconds(now_seconds) * self.decay
        if duration_seconds >= reduced_seconds:
            self.expires_at_seconds = now_seconds + MEMORY_SECONDS
        self._duration_seconds = max(duration_seconds, reduced_seconds)
