"""This daemon's session with the key-value service: one lease, renewed while it lives.

Everything that must go when the daemon dies hangs on this lease: its entry among
the members, and its ownership of jobs.
"""

import asyncio
from collections.abc import Callable

import msgspec

from rackswitch.clients.kv import (
    KvRead,
    KvUnavailable,
    LeaseGranted,
    Operation,
    TxnPart,
    TxnPartDone,
)
from rackswitch.gateway.context import GatewayContext
from rackswitch.leases import SessionLease
from rackswitch.membership import MemberState, MemberUpdate, VmEntry
from rackswitch.telemetry.events import PredecessorEnded, SessionBegun, SessionEnded, SessionLost

__all__ = [
    "MEMBERS_PREFIX",
    "MemberEntry",
    "Session",
    "decode_member",
    "member_address",
    "vm_entry",
]

MEMBERS_PREFIX = "control/members/"
LIFE_SECONDS = 2.0
"""Life of the lease. A job whose daemon died is taken over after it, and a step is due
within seconds; renewing three times a life costs little."""

TICK_SECONDS = 0.1
PLANNED_END_TIMEOUT_SECONDS = 0.4


class MemberEntry(msgspec.Struct, frozen=True):
    """What a daemon tells the others about itself.

    Attributes
    ----------
    leaving : bool
        Whether it is stopping as planned: it takes no jobs and no roles, and gives its own away.
    processor_share : float
        Part of a processor that its VM has; 0 if that is not known.
    """

    host: str
    peer_port: int
    zone: str
    lease_id: int
    started_at_unix_seconds: float
    leaving: bool = False
    processor_share: float = 0.0


def decode_member(value: bytes) -> MemberEntry:
    """Return what a member tells about itself."""
    return msgspec.json.decode(value, type=MemberEntry)


def member_address(name: str, entry: MemberEntry) -> MemberUpdate:
    """Return where a member is reached."""
    return MemberUpdate(name, entry.host, entry.peer_port, entry.zone, 0, MemberState.ALIVE)


def vm_entry(name: str, entry: MemberEntry) -> VmEntry:
    """Return a member's entry as the membership takes it."""
    return VmEntry(name, entry.host, entry.peer_port, entry.zone, entry.leaving)


class Session:
    """Keeps the lease and this daemon's entry among the members.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    peer_port : int
        Where other daemons reach this one.
    on_lost : callable
        Told that the lease is over, and with it all that hung on it.
    """

    __slots__ = ("_context", "_on_lost", "_peer_port", "lease")

    def __init__(self, context: GatewayContext, peer_port: int, on_lost: Callable[[], None]):
        self._context = context
        self._peer_port = peer_port
        self._on_lost = on_lost
        self.lease = SessionLease(self._life_seconds())

    @property
    def lease_id(self) -> int | None:
        """The lease in the service, or None if there is none now."""
        return self.lease.lease_id

    def is_sure(self) -> bool:
        """Return whether the lease is known to last at this moment."""
        return self.lease.is_sure(self._context.now_seconds())

    async def run(self) -> None:
        """Take the lease and keep it."""
        await self._end_predecessor()
        while True:
            if self.lease.is_due(self._context.now_seconds()):
                await (self._take() if self.lease.lease_id is None else self._renew())
            await asyncio.sleep(TICK_SECONDS)

    async def announce_leaving(self) -> None:
        """Tell the others that this daemon is stopping, so that they take over at once.

        A job that is handed over otherwise waits for its former owner to come back for it:
        0.46 to 1.56 s (47 hand-overs on 30 days).
        """
        if self.lease.lease_id is None:
            return
        try:
            async with asyncio.timeout(PLANNED_END_TIMEOUT_SECONDS):
                await self._put_entry(self.lease.lease_id)
        except TimeoutError:
            # Then the others wait as for a daemon that may come back.
            self._context.contact.failed(self._context.now_seconds(), "leaving was not told")

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

    async def end(self) -> None:
        """Give the lease back, so that others need not wait for its end."""
        if self.lease.lease_id is None:
            return
        outcome = "ended"
        try:
            async with asyncio.timeout(PLANNED_END_TIMEOUT_SECONDS):
                failure = await self._context.kv.revoke_lease(self.lease.lease_id)
            if failure is not None:
                outcome = failure.detail
        except TimeoutError:
            # The lease runs out by itself; a stop does not wait for the service.
            outcome = "no answer in time"
        self._context.log.write(SessionEnded(lease=self.lease.lease_id, outcome=outcome))

    @property
    def _key(self) -> str:
        return MEMBERS_PREFIX + self._context.settings.daemon

    def _life_seconds(self) -> float:
        return max(LIFE_SECONDS, self._context.settings.lease_least_seconds)

    async def _end_predecessor(self) -> None:
        """End the lease of an earlier process of this daemon, which can no longer act."""
        read = await self._context.kv.read(self._key)
        if not isinstance(read, KvRead) or not read.entries:
            return
        entry = msgspec.json.decode(read.entries[0].value, type=MemberEntry)
        await self._context.kv.revoke_lease(entry.lease_id)
        self._context.log.write(PredecessorEnded(lease=entry.lease_id))

    async def _take(self) -> None:
        asked_at_seconds = self._context.now_seconds()
        granted = await self._context.kv.grant_lease(self._life_seconds())
        if not isinstance(granted, LeaseGranted):
            self._unanswered(granted)
            return
        done = await self._put_entry(granted.lease_id)
        if isinstance(done, KvUnavailable) or not done[0].succeeded:
            self._unanswered(done if isinstance(done, KvUnavailable) else None)
            return
        self._context.contact.answered(self._context.now_seconds())
        self.lease.taken(asked_at_seconds, granted.lease_id, granted.life_seconds)
        self._context.log.write(SessionBegun(lease=granted.lease_id))

    async def _renew(self) -> None:
        asked_at_seconds = self._context.now_seconds()
        lease_id = self.lease.lease_id or 0
        kept = await self._context.kv.keep_lease(lease_id)
        if isinstance(kept, KvUnavailable):
            self._unanswered(kept)
            return
        self._context.contact.answered(self._context.now_seconds())
        if kept:
            self.lease.renewed(asked_at_seconds)
            return
        self.lease.lost()
        self._context.log.write(SessionLost(lease=lease_id))
        self._on_lost()

    def _unanswered(self, failure: KvUnavailable | None) -> None:
        now_seconds = self._context.now_seconds()
        if failure is not None:
            self._context.contact.failed(now_seconds, failure.detail)
        self.lease.unanswered(now_seconds, self._context.rng.random())
