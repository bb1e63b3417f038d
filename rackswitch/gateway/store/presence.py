"""This daemon's entry among the members, by which the others know and reach it.

The entry outlasts most trouble of the daemon and its way to the service. Nothing that must go
with the daemon hangs on it: jobs are owned under the lease of a `Session`, roles under their own.
"""

import asyncio

import msgspec

from rackswitch.clients.kv import KvUnavailable, LeaseGranted, Operation, TxnPart, TxnPartDone
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.store.lease_renewal import record_lease_failure, renew_lease
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, MemberEntry
from rackswitch.leases import SessionLease
from rackswitch.telemetry.events import (
    EntryContinued,
    LeavingTold,
    SessionBegun,
)

__all__ = ["Presence"]

LEASE_TTL_SECONDS = 15.0
"""Life of the entry's lease. With 2 s the renewals of 165 daemons were a quarter of a calm day's
calls (14,850, a tenth each, of 5,703 in all). Who calls a daemon that is gone finds that out by
the call; only one that never comes back leaves its entry behind, for so long."""

MIN_POLL_INTERVAL_SECONDS = 0.1
"""Between two looks whether the lease is due."""

LEAVING_TIMEOUT_SECONDS = 0.4
"""How long a stop waits for the service to take the word that this daemon leaves."""


class Presence:
    """Keeps this daemon's entry among the members.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    peer_port : int
        Where other daemons reach this one.
    looked : asyncio.Event
        Set once the members have been looked at, a predecessor's entry among them.
    """

    __slots__ = ("_context", "_members_read", "_peer_port", "lease")

    def __init__(self, context: GatewayContext, peer_port: int, members_read: asyncio.Event):
        self._context = context
        self._peer_port = peer_port
        self._members_read = members_read
        self.lease = SessionLease(max(LEASE_TTL_SECONDS, context.settings.lease_least_seconds))

    def is_sure(self) -> bool:
        """Return whether the entry is known to last at this moment."""
        return self.lease.is_sure(self._context.now_seconds())

    async def run(self) -> None:
        """Make the entry and keep it."""
        await self._members_read.wait()
        await self._resume_predecessor_lease()
        while True:
            now_seconds = self._context.now_seconds()
            if self.lease.is_due(now_seconds):
                await self._acquire_or_renew()
                now_seconds = self._context.now_seconds()
            remaining_seconds = self.lease.next_try_seconds - now_seconds
            await asyncio.sleep(max(MIN_POLL_INTERVAL_SECONDS, remaining_seconds))

    async def tell_leaving(self) -> None:
        """Tell the others that this daemon is stopping, so that they take over at once.

        A job that is handed over otherwise waits for its former owner to come back for it:
        0.46 to 1.56 s (47 hand-overs on 30 days).
        """
        if self.lease.lease_id is None:
            return
        try:
            async with asyncio.timeout(LEAVING_TIMEOUT_SECONDS):
                result = await self._put_entry(self.lease.lease_id)
        except TimeoutError:
            # Then the others wait as for a daemon that may come back.
            result = KvUnavailable("no answer in time", effect_unknown=True)
        outcome = result.detail if isinstance(result, KvUnavailable) else "told"
        self._context.log.write(LeavingTold(outcome=outcome))

    @property
    def _key(self) -> str:
        return MEMBERS_PREFIX + self._context.daemon_name

    async def _resume_predecessor_lease(self) -> None:
        """Go on with the lease of an earlier process of this daemon, if it lasts.

        That costs a renewal and one write, in place of the end of a lease, a new one and a write.
        """
        entry = self._context.member_entries.get(self._context.daemon_name)
        if entry is None:
            return
        requested_at_seconds = self._context.now_seconds()
        renewal = await self._context.kv.keep_lease(entry.lease_id)
        if renewal is not True:
            return
        result = await self._put_entry(entry.lease_id)
        if not isinstance(result, KvUnavailable) and result[0].succeeded:
            self.lease.taken(requested_at_seconds, entry.lease_id, self.lease.life_seconds)
            self._context.log.write(EntryContinued(lease=entry.lease_id))

    async def _put_entry(self, lease_id: int) -> list[TxnPartDone] | KvUnavailable:
        """Write this daemon's entry among the members, on a lease."""
        entry = MemberEntry(
            self._context.settings.host,
            self._peer_port,
            self._context.settings.zone,
            lease_id,
            self._context.process_started_unix_seconds,
            self._context.daemon.stopping,
            self._context.settings.processor_share,
        )
        put = Operation(self._key, msgspec.json.encode(entry), lease_id)
        return await self._context.kv.txn([TxnPart((), (put,))])

    async def _acquire_or_renew(self) -> None:
        if self.lease.lease_id is None:
            await self._acquire()
        else:
            await renew_lease(self._context, self.lease)

    async def _acquire(self) -> None:
        requested_at_seconds = self._context.now_seconds()
        granted = await self._context.kv.grant_lease(self.lease.life_seconds)
        if not isinstance(granted, LeaseGranted):
            record_lease_failure(self._context, self.lease, granted)
            return
        result = await self._put_entry(granted.lease_id)
        if isinstance(result, KvUnavailable) or not result[0].succeeded:
            failure = result if isinstance(result, KvUnavailable) else None
            record_lease_failure(self._context, self.lease, failure)
            return
        self._context.contact.answered(self._context.now_seconds())
        self.lease.taken(requested_at_seconds, granted.lease_id, granted.life_seconds)
        self._context.log.write(SessionBegun(lease=granted.lease_id))
