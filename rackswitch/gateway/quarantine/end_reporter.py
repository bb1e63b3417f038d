"""Telling the fleet of targets that ended under runs of this daemon.

The record lies in the key-value service, where every daemon's copy has it within a fraction of a
second and where it outlasts all processes. While the service does not take it, the other daemons
are told directly.
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
from rackswitch.telemetry.events import EndsTold

__all__ = ["ENDS_PREFIX", "EndReporter", "Urgency"]

ENDS_PREFIX = "control/ends/"

LEASE_SECONDS = 600.0
"""The longest that the platform gives. The record outlasts an outage and a VM that is away for
minutes; the record of a VM that is gone for good goes with the lease. A renewal each 200 s."""

FIRST_END_DELAY_SECONDS = 0.5
"""Before others are told of a request's first end. Most requests that were present are answered
elsewhere meanwhile, a call within some 0.05 s, and need never be told of. With 0.4 s until an end
is known and 0.2 s until all have heard, that leaves half of the 3 s that a request may go on."""

SERVICE_TIMEOUT_SECONDS = 0.3
"""How long the service may take before the others are told directly; it answers in some 10 ms."""

RETRY_SECONDS = 0.5
"""Between tries to write the record; up to twice that, so that many daemons' tries spread."""

PEER_TIMEOUT_SECONDS = 0.5

PEERS_AT_ONCE = 32


class Urgency(Enum):
    """When others are told of something."""

    NOW = "now"
    SOON = "soon"
    WITH_THE_NEXT = "with the next"


class EndReporter:
    """Keeps this daemon's record of ends where all daemons see it.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    own : LocalEnds
        What there is to tell.
    may_write : callable
        Whether the record of an earlier process of this daemon is known, if there was one.
    on_record : callable
        Told of each new record of this daemon.
    """

    __slots__ = (
        "_context",
        "_due_seconds",
        "_may_write",
        "_number",
        "_on_record",
        "_own",
        "_told_number",
        "_wake",
        "lease",
    )

    def __init__(
        self,
        context: GatewayContext,
        own: LocalEnds,
        may_write: Callable[[], bool],
        on_record: Callable[[EndRecord], None],
    ):
        self._context = context
        self._own = own
        self._may_write = may_write
        self._on_record = on_record
        self._number = 0
        self._told_number = 0
        self._due_seconds = float("inf")
        self._wake = asyncio.Event()
        self.lease = SessionLease(LEASE_SECONDS)

    def changed(self, urgency: Urgency) -> None:
        """Note that there is something to tell."""
        # A process that knows nothing of its predecessor's records, as the service was away when
        # it told of them, must not count from the start again: its own would pass for older ones.
        self._number = max(self._number + 1, int(self._context.unix_seconds() * 1000))
        self._on_record(self._record())
        if urgency is Urgency.WITH_THE_NEXT:
            return
        delay_seconds = FIRST_END_DELAY_SECONDS if urgency is Urgency.SOON else 0.0
        self._due_seconds = min(self._due_seconds, self._context.now_seconds() + delay_seconds)
        self._wake.set()

    def adopt(self, record: EndRecord) -> None:
        """Go on with the record of an earlier process of this daemon."""
        self._own.adopt(record)
        self._number = max(self._number, record.number) + 1
        self._told_number = record.number
        if record.lease_id and self.lease.lease_id is None:
            # Whether it still lasts shows at the next write.
            self.lease.taken(self._context.now_seconds(), record.lease_id, LEASE_SECONDS)
            self.lease.next_try_seconds = self._context.now_seconds()
        self._on_record(self._record())

    def lost(self) -> None:
        """Note that the service no longer has the record."""
        if self._own.ends and self._told_number:
            self.lease.lost()
            self.changed(Urgency.NOW)

    def _record(self) -> EndRecord:
        return self._own.record(self._number, self.lease.lease_id or 0)

    async def run(self) -> None:
        """Tell what there is to tell, and keep it, until cancelled."""
        while True:
            now_seconds = await self._sleep()
            if now_seconds >= self._due_seconds:
                self._due_seconds = float("inf")
                await self._tell()
            elif self.lease.lease_id is not None and self.lease.is_due(now_seconds):
                is_kept = await renew_lease(self._context, self.lease)
                if not is_kept:
                    self.lost()

    async def _sleep(self) -> float:
        """Wait until something is due or has changed; return the present (monotonic).

        A timer may fire by the clock's resolution too early; what it was set for is due then.
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

    async def _tell(self) -> None:
        self._own.expire(self._context.unix_seconds())
        if not self._own.ends and not self._own.acquittals and not self._told_number:
            # All who were present have been answered, and nobody has been told of them.
            return
        number = self._number
        writing = asyncio.create_task(self._write())
        await asyncio.wait((writing,), timeout=SERVICE_TIMEOUT_SECONDS)
        told_directly = 0
        if not writing.done() or not writing.result():
            told_directly = await self._tell_peers()
        is_kept = await writing
        self._context.log.write(
            EndsTold(number=number, ends=len(self._own.ends), kept=is_kept, told=told_directly)
        )
        if is_kept:
            self._told_number = number
            return
        delay_seconds = RETRY_SECONDS * (1 + self._context.rng.random())
        self._due_seconds = min(self._due_seconds, self._context.now_seconds() + delay_seconds)

    async def _write(self) -> bool:
        """Put the record into the service; return whether it is there."""
        if not self._may_write():
            return False
        if not await self.hold_lease():
            return False
        key = ENDS_PREFIX + self._context.daemon_name
        value = msgspec.json.encode(self._record())
        put = Operation(key, value, self.lease.lease_id or 0)
        done = await self._context.kv.txn([TxnPart((), (put,))])
        self._context.contact.note(self._context.now_seconds(), done)
        if isinstance(done, KvUnavailable):
            return False
        if done[0].lease_gone:
            self.lease.lost()
        return done[0].succeeded

    async def hold_lease(self) -> bool:
        """Return whether there is a lease to hang records on; one is taken if need be."""
        if self.lease.lease_id is not None:
            return True
        asked_at_seconds = self._context.now_seconds()
        granted = await self._context.kv.grant_lease(LEASE_SECONDS)
        self._context.contact.note(self._context.now_seconds(), granted)
        if not isinstance(granted, LeaseGranted):
            return False
        self.lease.taken(asked_at_seconds, granted.lease_id, granted.life_seconds)
        return True

    async def _tell_peers(self) -> int:
        """Tell the other daemons directly; return how many heard it."""
        request = pb.TellEndsRequest(
            daemon=self._context.daemon_name, record=msgspec.json.encode(self._record())
        )
        places = asyncio.Semaphore(PEERS_AT_ONCE)

        async def tell(name: str) -> bool:
            peer = self._context.daemon.membership.address(name)
            if peer is None:
                return False
            async with places:
                reply = await self._context.daemon.links.call(
                    peer,
                    lambda stub: stub.TellEnds,
                    request,
                    PEER_TIMEOUT_SECONDS,
                    GatewayPeersStub,
                )
            return not isinstance(reply, PeerUnreachable)

        names = self._context.daemon.membership.others_reachable()
        return sum(await asyncio.gather(*(tell(name) for name in names)))
