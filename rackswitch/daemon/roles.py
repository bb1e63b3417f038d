"""Acquire, renew and release leases on roles that need a single holder."""

import asyncio
from collections.abc import Callable, Sequence

from rackswitch.clients.kv import (
    Compare,
    KvRead,
    KvUnavailable,
    LeaseGranted,
    Operation,
    TxnPart,
    TxnPartResult,
)
from rackswitch.daemon.context import DaemonContext
from rackswitch.leases import LeaseAction, RoleLease, decode_holder, encode_holder
from rackswitch.telemetry.events import RoleAcquired, RoleLost, RoleNotAcquired

__all__ = ["ROLE_PREFIX", "RoleManager"]

ROLE_PREFIX = "roles/"
TICK_SECONDS = 0.25


class RoleManager:
    """The daemon's leases on roles.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    required_roles : callable
        Returns the names of the roles that the current table requires.
    preferred : callable
        Returns the daemon that should take a role if it is vacant, or None.
    prefix : str
        Key prefix of the roles in the key-value service.
    vacant_seconds : callable
        Returns how long a role is known to have been vacant, None if it has a holder. By
        default this is always 0, and two daemons check each role periodically.
    reserved_until_seconds : callable
        Returns until when a vacant role is left to the preferred daemon (event loop time); by
        default only for a short time after it was found vacant.
    """

    __slots__ = (
        "_context",
        "_preferred",
        "_prefix",
        "_settled_lease_ids",
        "_vacant_seconds",
        "_required_roles",
        "_reserved_until_seconds",
        "roles",
    )

    def __init__(
        self,
        context: DaemonContext,
        required_roles: Callable[[], list[str]],
        preferred: Callable[[str], str | None] = lambda role: None,
        prefix: str = ROLE_PREFIX,
        vacant_seconds: Callable[[str], float | None] = lambda role: 0.0,
        reserved_until_seconds: Callable[[str], float] = lambda role: float("-inf"),
    ):
        self._prefix = prefix
        self._vacant_seconds = vacant_seconds
        # Leases granted to this process or already revoked by it; never revoked as a predecessor's.
        self._settled_lease_ids: set[int] = set()
        self._context = context
        self._required_roles = required_roles
        self._preferred = preferred
        self._reserved_until_seconds = reserved_until_seconds
        self.roles: dict[str, RoleLease] = {}

    def may_act(self, role: str) -> bool:
        """Return whether this daemon holds the role and may act in it now."""
        lease = self.roles.get(role)
        return lease is not None and lease.may_act(self._context.now_seconds())

    def fencing(self, role: str) -> int:
        """Return the fencing number of a role held; 0 if it is not."""
        lease = self.roles.get(role)
        return lease.held.fencing if lease is not None and lease.held is not None else 0

    def fence(self, role: str) -> Compare:
        """Return the condition under which the service accepts this holder's writes."""
        return Compare(self._prefix + role, "create", self.fencing(role))

    def record_loss(self, role: str) -> None:
        """Record that the service no longer lists this daemon as the holder."""
        lease = self.roles.get(role)
        if lease is not None:
            self._record_loss(lease, "a write under its fence was not taken")

    async def run(self) -> None:
        """Update all roles periodically."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self.update_roles()

    async def end_predecessors_lease(self, holder: bytes) -> None:
        """Revoke the lease in a role's value if an earlier process of this daemon acquired it."""
        daemon, lease_id = decode_holder(holder)
        if daemon != self._context.settings.daemon or not lease_id:
            return
        if lease_id not in self._settled_lease_ids:
            self._settled_lease_ids.add(lease_id)
            await self._context.kv.revoke_lease(lease_id)

    async def update_roles(self) -> None:
        """Take the next action of each role: acquire, renew or release."""
        live = self._context.membership.live()
        for role in self._required_roles():
            if role not in self.roles:
                life_seconds = self._context.settings.lease_seconds
                self.roles[role] = RoleLease(role, self._context.settings.daemon, life_seconds)
        actions = []
        for lease in self.roles.values():
            now_seconds = self._context.now_seconds()
            candidates = live
            if self._preferred(lease.role) == self._context.settings.daemon:
                # The preferred daemon tries regardless of its rank among the candidates.
                candidates = [self._context.settings.daemon]
            vacant_seconds = self._vacant_seconds(lease.role) if lease.held is None else 0.0
            if vacant_seconds is None:
                continue
            action = lease.next_action(
                now_seconds, candidates, self._context.stopping, vacant_seconds
            )
            if action is not LeaseAction.NOTHING:
                actions.append(self._take_action(lease, action))
        await asyncio.gather(*actions)

    async def _take_action(self, lease: RoleLease, action: LeaseAction) -> None:
        if action is LeaseAction.ACQUIRE:
            await self._acquire(lease)
        elif action is LeaseAction.RENEW:
            await self._renew(lease)
        elif action is LeaseAction.RELEASE:
            await self._release(lease)

    async def _acquire(self, lease: RoleLease) -> None:
        key = self._prefix + lease.role
        read = await self._context.kv.read(key)
        if isinstance(read, KvUnavailable):
            lease.record_no_answer(self._context.now_seconds(), self._context.rng.random())
            self._log_not_acquired(lease, f"read: {read.detail}")
            return
        if read.entries:
            lease.record_loss(self._context.now_seconds(), self._context.rng.random())
            self._log_not_acquired(lease, f"held by {decode_holder(read.entries[0].value)[0]}")
            return
        preferred = self._preferred(lease.role)
        reserved_until_seconds = self._reserved_until_seconds(lease.role)
        if not lease.may_acquire(self._context.now_seconds(), preferred, reserved_until_seconds):
            self._log_not_acquired(lease, f"left to {preferred}")
            return
        requested_at_seconds = self._context.now_seconds()
        granted = await self._context.kv.grant_lease(lease.ttl_seconds)
        if isinstance(granted, KvUnavailable):
            lease.record_no_answer(self._context.now_seconds(), self._context.rng.random())
            self._log_not_acquired(lease, f"lease: {granted.detail}")
            return
        self._settled_lease_ids.add(granted.lease_id)
        await self._create_key(lease, key, granted, requested_at_seconds)

    async def _create_key(
        self, lease: RoleLease, key: str, granted: LeaseGranted, requested_at_seconds: float
    ) -> None:
        value = encode_holder(lease.daemon, granted.lease_id)
        part = TxnPart(
            compares=(Compare(key, "create", 0),),
            operations=(Operation(key, value, granted.lease_id),),
        )
        done = await self._context.kv.txn([part])
        if isinstance(done, KvUnavailable) and not done.effect_unknown:
            lease.record_no_answer(self._context.now_seconds(), self._context.rng.random())
            self._log_not_acquired(lease, f"write: {done.detail}")
            return
        read = await self._context.kv.read(key)
        if isinstance(read, KvRead) and read.entries and read.entries[0].value == value:
            fencing = read.entries[0].create_revision
            lease.record_acquired(requested_at_seconds, granted.lease_id, fencing)
            self._context.log.write(RoleAcquired(role=lease.role, fencing=fencing))
            return
        lease.record_loss(self._context.now_seconds(), self._context.rng.random())
        self._log_not_acquired(lease, _failed_write_reason(done, read))

    def _log_not_acquired(self, lease: RoleLease, reason: str) -> None:
        retry_in_seconds = lease.next_try_seconds - self._context.now_seconds()
        self._context.log.write(
            RoleNotAcquired(
                role=lease.role, reason=reason, retry_in_seconds=round(retry_in_seconds, 3)
            )
        )

    async def _renew(self, lease: RoleLease) -> None:
        if lease.held is None:
            return
        requested_at_seconds = self._context.now_seconds()
        is_renewed = await self._context.kv.renew_lease(lease.held.lease_id)
        if is_renewed is True:
            lease.record_renewal(requested_at_seconds)
        elif is_renewed is False:
            self._record_loss(lease, "the service ended the lease")
        else:
            self._unanswered(lease)

    async def _release(self, lease: RoleLease) -> None:
        held = lease.held
        self._record_loss(lease, "released")
        if held is not None:
            await self._context.kv.revoke_lease(held.lease_id)

    def _record_loss(self, lease: RoleLease, reason: str) -> None:
        """Record that a role is no longer held."""
        if lease.held is not None:
            self._context.log.write(
                RoleLost(role=lease.role, fencing=lease.held.fencing, reason=reason)
            )
        lease.record_loss(self._context.now_seconds(), self._context.rng.random())

    def _unanswered(self, lease: RoleLease) -> None:
        """Record that a renewal went unanswered; the role is lost after its deadline."""
        held = lease.held
        lease.record_no_answer(self._context.now_seconds(), self._context.rng.random())
        if held is not None and lease.held is None:
            self._context.log.write(
                RoleLost(role=lease.role, fencing=held.fencing, reason="not renewed in time")
            )


def _failed_write_reason(
    written: Sequence[TxnPartResult] | KvUnavailable, read: KvRead | KvUnavailable
) -> str:
    """Return why a role's key, read after it was written, is not the one that was written."""
    if isinstance(read, KvUnavailable):
        return f"read after the write: {read.detail}"
    if read.entries:
        return f"held by {decode_holder(read.entries[0].value)[0]}"
    if isinstance(written, KvUnavailable):
        return f"write: {written.detail}"
    return "the write was refused and nobody holds the role"
