"""Renewing a lease of this daemon, and noting how that went."""

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.leases import SessionLease
from rackswitch.telemetry.events import SessionLost

__all__ = ["note_lost", "note_unanswered", "renew_lease"]


async def renew_lease(context: GatewayContext, lease: SessionLease) -> bool:
    """Renew a lease once; return False if the service no longer knows it.

    A write may learn first that the lease is over. The answer is then about a lease that has been
    given up already, and changes nothing of one that was taken since.
    """
    asked_at_seconds = context.now_seconds()
    lease_id = lease.lease_id or 0
    kept = await context.kv.keep_lease(lease_id)
    if isinstance(kept, KvUnavailable):
        note_unanswered(context, lease, kept)
        return True
    context.contact.answered(context.now_seconds())
    if lease.lease_id != lease_id:
        return True
    if kept:
        lease.renewed(asked_at_seconds)
        return True
    note_lost(context, lease)
    return False


def note_lost(context: GatewayContext, lease: SessionLease) -> None:
    """Note that the service no longer knows a lease."""
    context.log.write(SessionLost(lease=lease.lease_id or 0))
    lease.lost()


def note_unanswered(
    context: GatewayContext, lease: SessionLease, failure: KvUnavailable | None
) -> None:
    """Note that a call about a lease failed; None if the service answered and did not do it."""
    now_seconds = context.now_seconds()
    if failure is not None:
        context.contact.failed(now_seconds, failure.detail)
    lease.unanswered(now_seconds, context.rng.random())
