"""Reporting targets that ended under runs of this daemon to the other daemons.

The record is stored in the key-value service, which all daemons replicate, so that it outlasts
every process. While the service does not accept it, the other daemons are notified directly.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec

from rackswitch.clients.kv import KvUnavailable, LeaseGranted, Operation, TxnPart
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.store.lease_renewal import renew_lease
from rackswitch.leases import SessionLease
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.quarantine import EndRecord, LocalEnds
from rackswitch.telemetry.events import EndsReported

__all__ = ["ENDS_PREFIX", "EndReporter", "ReportUrgency"]

ENDS_PREFIX = "control/ends/"

LEASE_TTL_SECONDS = 600.0
"""The platform's maximum; renewed every 200 s. The record outlasts an outage of the service or of
the daemon's VM, and is deleted with the lease if the VM is gone for good."""

FIRST_END_DELAY_SECONDS = 0.5
"""Delay of the report of a request's first end. Most requests that were present are answered by
another target meanwhile, calls within some 0.05 s, and need no report."""

KV_TIMEOUT_SECONDS = 0.3
"""Time to write the record before the other daemons are notified directly; the service usually
answers in some 10 ms."""

RETRY_DELAY_SECONDS = 0.5
"""Minimum delay before the next try to write the record; a random share of it is added."""

PEER_TIMEOUT_SECONDS = 0.5

MAX_CONCURRENT_PEER_CALLS = 32


class ReportUrgency(Enum):
    """When a change of the record is reported."""

    NOW = "now"
    SOON = "soon"
    WITH_NEXT = "with the next"


class EndReporter:
    """Stores this daemon's record of ended targets where all daemons read it.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    own_ends : LocalEnds
        The ends and clearings to report.
    may_write : callable
        Whether the record of an earlier process of this daemon has been read, if there is one.
    on_record : callable
        Called with each new record of this daemon.
    """

    __slots__ = (
        "_context",
        "_due_seconds",
        "_may_write",
        "_number",
        "_on_record",
        "_own_ends",
        "_stored_number",
        "_wake",
        "lease",
    )

    def __init__(
        self,
        context: GatewayContext,
        own_ends: LocalEnds,
        may_write: Callable[[], bool],
        on_record: Callable[[EndRecord], None],
    ):
        self._context = context
        self._own_ends = own_ends
        self._may_write = may_write
        self._on_record = on_record
        self._number = 0
        self._stored_number = 0
        self._due_seconds = float("inf")
        self._wake = asyncio.Event()
        self.lease = SessionLease(LEASE_TTL_SECONDS)

    def schedule_report(self, urgency: ReportUrgency) -> None:
        """Number a changed record and schedule its report."""
        # Numbers follow the clock, as a process may not know its predecessor's number; others
        # ignore records with a lower one.
        self._number = max(self._number + 1, int(self._context.unix_seconds() * 1000))
        self._on_record(self._record())
        if urgency is ReportUrgency.WITH_NEXT:
            return
        delay_seconds = FIRST_END_DELAY_SECONDS if urgency is ReportUrgency.SOON else 0.0
        self._due_seconds = min(self._due_seconds, self._context.now_seconds() + delay_seconds)
        self._wake.set()

    def adopt(self, record: EndRecord) -> None:
        """Continue the record of an earlier process of this daemon."""
        self._own_ends.adopt(record)
        self._number = max(self._number, record.number) + 1
        self._stored_number = record.number
        if record.lease_id and self.lease.lease_id is None:
            # The lease may have expired; the next renewal or write shows it.
            self.lease.record_grant(self._context.now_seconds(), record.lease_id, LEASE_TTL_SECONDS)
            self.lease.next_try_seconds = self._context.now_seconds()
        self._on_record(self._record())

    def restore_record(self) -> None:
        """Store the record again after the service has lost it."""
        if self._own_ends.ends and self._stored_number:
            self.lease.record_loss()
            self.schedule_report(ReportUrgency.NOW)

    def _record(self) -> EndRecord:
        return self._own_ends.to_record(self._number, self.lease.lease_id or 0)

    async def run(self) -> None:
        """Write due reports and renew the lease until cancelled."""
        while True:
            now_seconds = await self._sleep()
            if now_seconds >= self._due_seconds:
                self._due_seconds = float("inf")
                await self._report()
            elif self.lease.lease_id is not None and self.lease.is_due(now_seconds):
                is_stored = await renew_lease(self._context, self.lease)
                if not is_stored:
                    self.restore_record()

    async def _sleep(self) -> float:
        """Wait until a report or renewal is due or the record changes; return the time (monotonic).

        A timer may fire early by the clock's resolution, so the time returned is at least its own.
        """
        until_seconds = self._due_seconds
        if self.lease.lease_id is not None:
            until_seconds = min(until_seconds, self.lease.next_try_seconds)
        try:
            async with asyncio.timeout_at(None if until_seconds == float("inf") else until_seconds):
                await self._wake.wait()
        except TimeoutError:
            return max(until_seconds, self._context.now_seconds())
        self._wake.clear()
        return self._context.now_seconds()

    async def _report(self) -> None:
        self._own_ends.expire(self._context.unix_seconds())
        if (
            not self._own_ends.ends
            and not self._own_ends.cleared_requests
            and not self._stored_number
        ):
            # Everything was cleared before it was reported.
            return
        number = self._number
        writing = asyncio.create_task(self._write())
        await asyncio.wait((writing,), timeout=KV_TIMEOUT_SECONDS)
        notified_peers = 0
        if not writing.done() or not writing.result():
            notified_peers = await self._notify_peers()
        is_stored = await writing
        self._context.log.write(
            EndsReported(
                number=number, ends=len(self._own_ends.ends), kept=is_stored, told=notified_peers
            )
        )
        if is_stored:
            self._stored_number = number
            return
        delay_seconds = RETRY_DELAY_SECONDS * (1 + self._context.rng.random())
        self._due_seconds = min(self._due_seconds, self._context.now_seconds() + delay_seconds)

    async def _write(self) -> bool:
        """Write the record to the key-value service; return whether it is stored."""
        if not self._may_write():
            return False
        if not await self.ensure_lease():
            return False
        key = ENDS_PREFIX + self._context.daemon_name
        value = msgspec.json.encode(self._record())
        put = Operation(key, value, self.lease.lease_id or 0)
        result = await self._context.kv.txn([TxnPart((), (put,))])
        self._context.store_reachability.record_result(self._context.now_seconds(), result)
        if isinstance(result, KvUnavailable):
            return False
        if result[0].lease_expired:
            self.lease.record_loss()
        return result[0].succeeded

    async def ensure_lease(self) -> bool:
        """Request a lease if there is none; return whether there is one."""
        if self.lease.lease_id is not None:
            return True
        requested_at_seconds = self._context.now_seconds()
        granted = await self._context.kv.grant_lease(LEASE_TTL_SECONDS)
        self._context.store_reachability.record_result(self._context.now_seconds(), granted)
        if not isinstance(granted, LeaseGranted):
            return False
        self.lease.record_grant(requested_at_seconds, granted.lease_id, granted.ttl_seconds)
        return True

    async def _notify_peers(self) -> int:
        """Send the record to the other daemons; return how many received it."""
        request = pb.TellEndsRequest(
            daemon=self._context.daemon_name, record=msgspec.json.encode(self._record())
        )
        call_slots = asyncio.Semaphore(MAX_CONCURRENT_PEER_CALLS)

        async def notify(name: str) -> bool:
            peer = self._context.daemon.membership.address(name)
            if peer is None:
                return False
            async with call_slots:
                reply = await self._context.daemon.links.call(
                    peer,
                    lambda stub: stub.TellEnds,
                    request,
                    PEER_TIMEOUT_SECONDS,
                    GatewayPeersStub,
                )
            return not isinstance(reply, PeerUnreachable)

        names = self._context.daemon.membership.reachable_peers()
        return sum(await asyncio.gather(*(notify(name) for name in names)))
