"""Telling a caller that was refused and has come back from a newcomer, at any daemon.

A caller that comes back has less time left than its like had at first. That needs no memory of who
was refused, and none shared between daemons.
"""

from dataclasses import dataclass, field

__all__ = ["PatienceEstimate"]

BACK_SHARE = 0.9
"""A caller with less left than this share of the usual time at first has been refused before."""

PATIENCE_SMOOTHING = 0.02
"""Weight of one shorter time in the usual one, which so follows callers that begin to wait less."""


@dataclass(slots=True)
class PatienceEstimate:
    """How long callers wait at first, by kind of call."""

    _left_seconds: dict[str, float] = field(default_factory=dict)

    def is_back(self, kind: str, left_seconds: float) -> bool:
        """Take in how long a caller waits; return whether it has probably been here before."""
        usual_seconds = self._left_seconds.get(kind, left_seconds)
        if left_seconds >= usual_seconds:
            self._left_seconds[kind] = left_seconds
            return False
        shorter_seconds = PATIENCE_SMOOTHING * (usual_seconds - left_seconds)
        self._left_seconds[kind] = usual_seconds - shorter_seconds
        return left_seconds < BACK_SHARE * usual_seconds
