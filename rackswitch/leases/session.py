"""One daemon's lease on its own existence."""

from dataclasses import dataclass

from rackswitch.leases.core import DEADLINE_MARGIN_SHARE, RENEWALS_PER_TTL

__all__ = ["SessionLease"]

MIN_RETRY_SHARE = 0.15
"""Minimum delay before an unanswered call is retried, as a part of the TTL; the maximum is twice
as long, which spreads the retries of many daemons."""


@dataclass(slots=True)
class SessionLease:
    """When to renew the lease, and until when it is known to be valid.

    Unlike a role, a session is kept while the service does not answer: writes that depend on it
    are conditional, and the service may still have the lease when it is reachable again.

    Parameters
    ----------
    ttl_seconds : float
        The lease's time to live in the service.
    """

    ttl_seconds: float
    lease_id: int | None = None
    valid_until_seconds: float = float("-inf")
    next_try_seconds: float = float("-inf")

    def is_valid(self, now_seconds: float) -> bool:
        """Return whether the lease is known to be valid at `now_seconds`."""
        return self.lease_id is not None and now_seconds < self.valid_until_seconds

    def is_due(self, now_seconds: float) -> bool:
        """Return whether to request or renew the lease now."""
        return now_seconds >= self.next_try_seconds

    def record_grant(self, requested_at_seconds: float, lease_id: int, life_seconds: float) -> None:
        """Record that the service granted a lease, requested at `requested_at_seconds`."""
        self.ttl_seconds = life_seconds
        self.lease_id = lease_id
        self.record_renewal(requested_at_seconds)

    def record_renewal(self, requested_at_seconds: float) -> None:
        """Record that the service renewed the lease, requested at `requested_at_seconds`."""
        margin_seconds = self.ttl_seconds * DEADLINE_MARGIN_SHARE
        self.valid_until_seconds = requested_at_seconds + self.ttl_seconds - margin_seconds
        self.next_try_seconds = requested_at_seconds + self.ttl_seconds / RENEWALS_PER_TTL

    def record_loss(self) -> None:
        """Record that the service no longer has the lease; a new one is due at once."""
        self.lease_id = None
        self.valid_until_seconds = float("-inf")
        self.next_try_seconds = float("-inf")

    def record_no_answer(self, now_seconds: float, jitter: float) -> None:
        """Record that the service did not answer; `jitter` is in [0, 1)."""
        self.next_try_seconds = now_seconds + self.ttl_seconds * MIN_RETRY_SHARE * (1 + jitter)
