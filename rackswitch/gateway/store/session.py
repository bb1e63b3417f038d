"""This daemon's session with the key-value service: the lease under which it owns jobs.

The lease exists only while the daemon owns jobs and for a short time after. Its TTL is short,
since a job whose owner died is taken over only when the lease expires.
"""

import asyncio
from collections.abc import Callable

from rackswitch.clients.kv import KvUnavailable, LeaseGranted
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.start_times import StartPart
from rackswitch.gateway.store.lease_renewal import renew_lease
from rackswitch.leases import SessionLease
from rackswitch.telemetry.events import (
    PredecessorLeaseRevoked,
    SessionBegun,
    SessionEnded,
    SessionLost,
)

__all__ = ["Session"]

LEASE_TTL_SECONDS = 2.0
"""TTL of the lease. A job whose daemon died is taken over after this time."""

IDLE_HOLD_SECONDS = 10.0
"""How long the lease is renewed while nothing is owned: a trainer's next job often follows some 4 s
later, and a new lease costs as much as ten renewals (7 s)."""

NO_LEASE_ID = 0
"""Identifier that the service assigns to no lease."""

RENEWAL_CHECK_INTERVAL_SECONDS = 0.1
REVOKE_TIMEOUT_SECONDS = 0.4


class Session:
    """Maintains the lease while it is needed.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    on_lost : callable
        Called when the lease is lost, and with it the ownership of all jobs.
    is_needed : callable
        Returns whether anything is owned under the lease.
    """

    __slots__ = (
        "_context",
        "_revoked_predecessors",
        "_is_needed",
        "_needed_until_seconds",
        "_on_lost",
        "_own_leases",
        "_acquire_lock",
        "lease",
    )

    def __init__(
        self,
        context: GatewayContext,
        on_lost: Callable[[], None],
        is_needed: Callable[[], bool],
    ):
        self._context = context
        self._on_lost = on_lost
        self._is_needed = is_needed
        self._needed_until_seconds = float("-inf")
        self._acquire_lock = asyncio.Lock()
        self._own_leases: set[int] = set()
        self._revoked_predecessors: set[int] = set()
        self.lease = SessionLease(max(LEASE_TTL_SECONDS, context.settings.lease_least_seconds))

    @property
    def lease_id(self) -> int | None:
        """The current lease, or None if there is none."""
        return self.lease.lease_id

    def is_valid(self) -> bool:
        """Return whether the lease is known to be valid now."""
        return self.lease.is_valid(self._context.now_seconds())

    def is_own(self, lease_id: int) -> bool:
        """Return whether this process acquired a lease."""
        return lease_id in self._own_leases

    async def acquire_lease(self) -> int | None:
        """Return the lease for a new ownership, acquiring it if needed; None if that fails."""
        self._needed_until_seconds = self._context.now_seconds() + IDLE_HOLD_SECONDS
        async with self._acquire_lock:
            if self.lease.lease_id is None:
                await self._acquire()
        return self.lease.lease_id

    def record_lease_lost(self, lease_id: int) -> None:
        """Record that another call found that the service no longer knows a lease."""
        if lease_id != self.lease.lease_id:
            return
        self.lease.record_loss()
        self._context.log.write(SessionLost(lease=lease_id))
        self._on_lost()

    async def probe(self) -> None:
        """Check whether the service is reachable, and renew the lease if there is one.

        Unlike a regular renewal, this does not wait for an earlier call, which may hang until its
        timeout although the service is reachable again.
        """
        requested_at_seconds = self._context.now_seconds()
        lease_id = self.lease.lease_id
        renewal = await self._context.kv.renew_lease(lease_id or NO_LEASE_ID)
        self._context.store_reachability.record_result(self._context.now_seconds(), renewal)
        if isinstance(renewal, KvUnavailable) or lease_id is None:
            return
        if not renewal:
            self.record_lease_lost(lease_id)
        elif self.lease.lease_id == lease_id:
            self.lease.record_renewal(requested_at_seconds)

    async def run(self) -> None:
        """Renew the lease while it is needed."""
        while True:
            await asyncio.sleep(RENEWAL_CHECK_INTERVAL_SECONDS)
            now_seconds = self._context.now_seconds()
            if self.lease.lease_id is None or not self.lease.is_due(now_seconds):
                continue
            if self._is_needed() or now_seconds < self._needed_until_seconds:
                if not await renew_lease(self._context, self.lease):
                    self._on_lost()
            else:
                # The lease expires by itself, which saves a call.
                self._log_end(self.lease.lease_id, "not needed")
                self.lease.record_loss()

    async def end(self) -> None:
        """Revoke the lease, so that others need not wait until it expires."""
        lease_id = self.lease.lease_id
        if lease_id is None:
            return
        outcome = "ended"
        try:
            async with asyncio.timeout(REVOKE_TIMEOUT_SECONDS):
                failure = await self._context.kv.revoke_lease(lease_id)
            if failure is not None:
                outcome = failure.detail
        except TimeoutError:
            # The lease expires by itself; a stop does not wait for the service.
            outcome = "no answer in time"
        self._log_end(lease_id, outcome)

    async def revoke_predecessor_lease(self, lease_id: int) -> None:
        """Revoke the lease of an earlier process of this daemon.

        Other daemons can then take over its jobs at once.
        """
        if lease_id in self._revoked_predecessors or self.is_own(lease_id):
            return
        self._revoked_predecessors.add(lease_id)
        await self._context.kv.revoke_lease(lease_id)
        self._context.log.write(PredecessorLeaseRevoked(lease=lease_id))

    def _log_end(self, lease_id: int, outcome: str) -> None:
        self._context.log.write(SessionEnded(lease=lease_id, outcome=outcome))

    async def _acquire(self) -> None:
        requested_at_seconds = self._context.now_seconds()
        granted = await self._context.kv.grant_lease(self.lease.ttl_seconds)
        if not isinstance(granted, LeaseGranted):
            self._context.store_reachability.record_failure(
                self._context.now_seconds(), granted.detail
            )
            return
        self._context.store_reachability.record_answer(self._context.now_seconds())
        self._own_leases.add(granted.lease_id)
        self.lease.record_grant(requested_at_seconds, granted.lease_id, granted.ttl_seconds)
        self._context.start_times.record(StartPart.SESSION, self._context.now_seconds())
        self._context.log.write(SessionBegun(lease=granted.lease_id))
