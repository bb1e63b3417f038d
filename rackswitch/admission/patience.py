"""Recognition of callers' retries, at any daemon.

A retry has less time left than first tries of its kind. This needs no record of refused callers
and no state shared between daemons.
"""

from dataclasses import dataclass, field

__all__ = ["PatienceEstimate"]

RETRY_TIMEOUT_SHARE = 0.9
"""A request with less time left than this share of the typical timeout counts as a retry."""

TIMEOUT_SMOOTHING = 0.02
"""Weight of one shorter timeout in the typical one, which follows callers that wait less."""


@dataclass(slots=True)
class PatienceEstimate:
    """Typical timeout of callers' first tries, by kind of call."""

    _timeout_seconds: dict[str, float] = field(default_factory=dict)

    def record_and_check_retry(self, kind: str, remaining_seconds: float) -> bool:
        """Record how long a caller waits; return whether it is probably a retry."""
        typical_seconds = self._timeout_seconds.get(kind, remaining_seconds)
        if remaining_seconds >= typical_seconds:
            self._timeout_seconds[kind] = remaining_seconds
            return False
        decrease_seconds = TIMEOUT_SMOOTHING * (typical_seconds - remaining_seconds)
        self._timeout_seconds[kind] = typical_seconds - decrease_seconds
        return remaining_seconds < RETRY_TIMEOUT_SHARE * typical_seconds
