"""One daemon's lease on its own existence."""

from dataclasses import dataclass

from rackswitch.leases.core import DEADLINE_MARGIN_SHARE, RENEWALS_PER_LIFE

__all__ = ["SessionLease"]

RETRY_SHARE = 0.15
"""Part of a life after which an unanswered call is tried again, at least; twice that at
most, so that the tries of many daemons spread."""


@dataclass(slots=True)
class SessionLease:
    """When to renew, and until when the lease surely lasts.

    Unlike a role, a session that goes unanswered is not given up: what hangs on it is
    guarded by conditions on its writes, and a service that was away may have kept it.

    Parameters
    ----------
    life_seconds : float
        The lease's time to live in the service.
    """

    life_seconds: float
    lease_id: int | None = None
    sure_until_seconds: float = float("-inf")
    next_try_seconds: float = float("-inf")

    def is_sure(self, now_seconds: float) -> bool:
        """Return whether the lease is known to last at this moment."""
        return self.lease_id is not None and now_seconds < self.sure_until_seconds

    def is_due(self, now_seconds: float) -> bool:
        """Return whether to take or renew the lease now."""
        return now_seconds >= self.next_try_seconds

    def taken(self, asked_at_seconds: float, lease_id: int, life_seconds: float) -> None:
        """Note that the service gave a lease, asked for at `asked_at_seconds`."""
        self.life_seconds = life_seconds
        self.lease_id = lease_id
        self.renewed(asked_at_seconds)

    def renewed(self, asked_at_seconds: float) -> None:
        """Note that the service prolonged the lease, asked for at `asked_at_seconds`."""
        margin_seconds = self.life_seconds * DEADLINE_MARGIN_SHARE
        self.sure_until_seconds = asked_at_seconds + self.life_seconds - margin_seconds
        self.next_try_seconds = asked_at_seconds + self.life_seconds / RENEWALS_PER_LIFE

    def lost(self) -> None:
        """Note that the service no longer knows the lease; take a new one at once."""
        self.lease_id = None
        self.sure_until_seconds = float("-inf")
        self.next_try_seconds = float("-inf")

    def unanswered(self, now_seconds: float, jitter: float) -> None:
        """Note that the service did not answer; `jitter` is in [0, 1)."""
        self.next_try_seconds = now_seconds + self.life_seconds * RETRY_SHARE * (1 + jitter)
