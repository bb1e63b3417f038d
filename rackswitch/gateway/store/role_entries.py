"""Which roles have a holder, according to the replicas of the key-value service."""

from dataclasses import dataclass, field

__all__ = ["ROLES_PREFIX", "RoleEntries"]

ROLES_PREFIX = "control/roles/"
"""Prefix of the gateways' roles. Every daemon replicates it, so no calls are needed to find out
whether a role is vacant."""


@dataclass(slots=True)
class RoleEntries:
    """Which roles are held, and since when the others have been vacant.

    Attributes
    ----------
    held : set of str
        The roles that have a holder.
    """

    held: set[str] = field(default_factory=set)
    _vacant_since_seconds: dict[str, float] = field(default_factory=dict)

    def put(self, role: str) -> None:
        """Record that a role has a holder."""
        self.held.add(role)
        self._vacant_since_seconds.pop(role, None)

    def deleted(self, role: str) -> None:
        """Record that a role has no holder any more."""
        self.held.discard(role)

    def vacant_seconds(self, role: str, now_seconds: float) -> float | None:
        """Return how long a role has been vacant; None if it has a holder."""
        if role in self.held:
            return None
        return now_seconds - self._vacant_since_seconds.setdefault(role, now_seconds)
