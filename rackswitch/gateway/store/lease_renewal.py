"""Renewal of this daemon's leases, with a record of the outcome."""

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.leases import SessionLease
from rackswitch.telemetry.events import SessionLost

__all__ = ["record_lease_failure", "renew_lease"]


async def renew_lease(context: GatewayContext, lease: SessionLease) -> bool:
    """Renew a lease once; return False if the service no longer knows it."""
    requested_at_seconds = context.now_seconds()
    lease_id = lease.lease_id or 0
    renewal = await context.kv.renew_lease(lease_id)
    if isinstance(renewal, KvUnavailable):
        record_lease_failure(context, lease, renewal)
        return True
    context.store_reachability.record_answer(context.now_seconds())
    if lease_id != (lease.lease_id or 0):
        # Another call has found in the meantime that this lease is over.
        return True
    if renewal:
        lease.record_renewal(requested_at_seconds)
        return True
    lease.record_loss()
    context.log.write(SessionLost(lease=lease_id))
    return False


def record_lease_failure(
    context: GatewayContext, lease: SessionLease, failure: KvUnavailable | None
) -> None:
    """Record a failed call about a lease; `failure` is None if the service rejected the call."""
    now_seconds = context.now_seconds()
    if failure is not None:
        context.store_reachability.record_failure(now_seconds, failure.detail)
    lease.record_no_answer(now_seconds, context.rng.random())
