"""This daemon's membership entry, through which other daemons discover and reach it.

The entry outlives short failures of the daemon or its connection to the service. Jobs and roles
do not depend on it: jobs are owned under the lease of a `Session`, roles under their own leases.
"""

import asyncio

import msgspec

from rackswitch.clients.kv import KvUnavailable, LeaseGranted, Operation, TxnPart, TxnPartResult
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.store.lease_renewal import record_lease_failure, renew_lease
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, MemberEntry
from rackswitch.leases import SessionLease
from rackswitch.telemetry.events import (
    EntryContinued,
    LeavingNotified,
    SessionBegun,
)

__all__ = ["Presence"]

LEASE_TTL_SECONDS = 15.0
"""TTL of the entry's lease: long, since with 2 s the renewals of 165 daemons were a quarter of all
calls to the service. A call to a daemon that is gone fails by itself, so a stale entry does little
harm."""

MIN_POLL_INTERVAL_SECONDS = 0.1
"""Minimum delay between checks whether the lease is due for renewal."""

LEAVING_TIMEOUT_SECONDS = 0.4
"""How long a planned stop waits for the service to store that this daemon is leaving."""


class Presence:
    """Maintains this daemon's membership entry.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    peer_port : int
        Port on which other daemons reach this one.
    members_read : asyncio.Event
        Set once the members have been read, including an entry of an earlier process.
    """

    __slots__ = ("_context", "_members_read", "_peer_port", "lease")

    def __init__(self, context: GatewayContext, peer_port: int, members_read: asyncio.Event):
        self._context = context
        self._peer_port = peer_port
        self._members_read = members_read
        self.lease = SessionLease(max(LEASE_TTL_SECONDS, context.settings.lease_least_seconds))

    def is_valid(self) -> bool:
        """Return whether the entry's lease is known to be valid now."""
        return self.lease.is_valid(self._context.now_seconds())

    async def run(self) -> None:
        """Create the entry and renew its lease until cancelled."""
        await self._members_read.wait()
        await self._resume_predecessor_lease()
        while True:
            now_seconds = self._context.now_seconds()
            if self.lease.is_due(now_seconds):
                await self._acquire_or_renew()
                now_seconds = self._context.now_seconds()
            remaining_seconds = self.lease.next_try_seconds - now_seconds
            await asyncio.sleep(max(MIN_POLL_INTERVAL_SECONDS, remaining_seconds))

    async def announce_leaving(self) -> None:
        """Announce that this daemon is stopping, so that others take over its jobs at once.

        Otherwise they would first wait 0.5 to 1.6 s for it to resume the jobs itself.
        """
        if self.lease.lease_id is None:
            return
        try:
            async with asyncio.timeout(LEAVING_TIMEOUT_SECONDS):
                result = await self._put_entry(self.lease.lease_id)
        except TimeoutError:
            # The others then wait, as they do for a daemon that may recover.
            result = KvUnavailable("no answer in time", effect_unknown=True)
        outcome = result.detail if isinstance(result, KvUnavailable) else "told"
        self._context.log.write(LeavingNotified(outcome=outcome))

    @property
    def _key(self) -> str:
        return MEMBERS_PREFIX + self._context.daemon_name

    async def _resume_predecessor_lease(self) -> None:
        """Reuse the lease of an earlier process of this daemon if it is still valid.

        This saves revoking that lease and acquiring a new one.
        """
        entry = self._context.member_entries.get(self._context.daemon_name)
        if entry is None:
            return
        requested_at_seconds = self._context.now_seconds()
        renewal = await self._context.kv.renew_lease(entry.lease_id)
        if renewal is not True:
            return
        result = await self._put_entry(entry.lease_id)
        if not isinstance(result, KvUnavailable) and result[0].succeeded:
            self.lease.record_grant(requested_at_seconds, entry.lease_id, self.lease.ttl_seconds)
            self._context.log.write(EntryContinued(lease=entry.lease_id))

    async def _put_entry(self, lease_id: int) -> list[TxnPartResult] | KvUnavailable:
        """Write this daemon's membership entry under a lease."""
        entry = MemberEntry(
            self._context.settings.host,
            self._peer_port,
            self._context.settings.zone,
            lease_id,
            self._context.process_started_unix_seconds,
            self._context.daemon.stopping,
            self._context.settings.processor_share,
            self._context.settings.memory_mb,
            self._context.settings.link_mbps,
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
        granted = await self._context.kv.grant_lease(self.lease.ttl_seconds)
        if not isinstance(granted, LeaseGranted):
            record_lease_failure(self._context, self.lease, granted)
            return
        result = await self._put_entry(granted.lease_id)
        if isinstance(result, KvUnavailable) or not result[0].succeeded:
            failure = result if isinstance(result, KvUnavailable) else None
            record_lease_failure(self._context, self.lease, failure)
            return
        self._context.store_reachability.record_answer(self._context.now_seconds())
        self.lease.record_grant(requested_at_seconds, granted.lease_id, granted.ttl_seconds)
        self._context.log.write(SessionBegun(lease=granted.lease_id))
