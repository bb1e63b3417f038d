"""Takes, keeps and gives back the roles that need a single holder."""

import asyncio
from collections.abc import Callable

from rackswitch.clients.kv import (
    Compare,
    KvRead,
    KvUnavailable,
    LeaseGranted,
    Operation,
    TxnPart,
)
from rackswitch.daemon.context import DaemonContext
from rackswitch.leases import LeaseAction, RoleLease, decode_holder, encode_holder
from rackswitch.telemetry.events import RoleAcquired, RoleLost

__all__ = ["ROLE_PREFIX", "RoleManager"]

ROLE_PREFIX = "roles/"
TICK_SECONDS = 0.25


class RoleManager:
    """The daemon's leases on roles.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    wanted_roles : callable
        Returns the names of the roles that the table in force calls for.
    preferred : callable
        Returns the daemon that should take a role if it is vacant, or None.
    prefix : str
        Where the roles' keys lie.
    vacant_seconds : callable
        Returns how long a role has been vacant as far as this daemon knows, None if it has a
        holder. Where nothing tells that, two daemons look at each role now and then.
    """

    __slots__ = (
        "_context",
        "_preferred",
        "_prefix",
        "_settled_leases",
        "_vacant_seconds",
        "_wanted_roles",
        "roles",
    )

    def __init__(
        self,
        context: DaemonContext,
        wanted_roles: Callable[[], list[str]],
        preferred: Callable[[str], str | None] = lambda role: None,
        prefix: str = ROLE_PREFIX,
        vacant_seconds: Callable[[str], float | None] = lambda role: 0.0,
    ):
        self._prefix = prefix
        self._vacant_seconds = vacant_seconds
        # Granted to this process, or ended by it: not to be ended (again).
        self._settled_leases: set[int] = set()
        self._context = context
        self._wanted_roles = wanted_roles
        self._preferred = preferred
        self.roles: dict[str, RoleLease] = {}

    def may_act(self, role: str) -> bool:
        """Return whether this daemon may cause an effect in the role at this moment."""
        lease = self.roles.get(role)
        return lease is not None and lease.may_act(self._context.now_seconds())

    def fencing(self, role: str) -> int:
        """Return the fencing number of a role held; 0 if it is not."""
        lease = self.roles.get(role)
        return lease.held.fencing if lease is not None and lease.held is not None else 0

    def fence(self, role: str) -> Compare:
        """Return the condition under which the service takes this holder's writes."""
        return Compare(self._prefix + role, "create", self.fencing(role))

    def lose(self, role: str) -> None:
        """Note that the service no longer knows this daemon as the holder."""
        lease = self.roles.get(role)
        if lease is not None:
            self._lost(lease, "a write under its fence was not taken")

    async def run(self) -> None:
        """Tend all roles, one step each a tick."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self.tend()

    async def end_predecessors_lease(self, holder: bytes) -> None:
        """End the lease that a role's value names, if an earlier process here took it."""
        daemon, lease_id = decode_holder(holder)
        if daemon != self._context.settings.daemon or not lease_id:
            return
        if lease_id not in self._settled_leases:
            self._settled_leases.add(lease_id)
            await self._context.kv.revoke_lease(lease_id)

    async def tend(self) -> None:
        """Take the next step of each role."""
        live = self._context.membership.live()
        for role in self._wanted_roles():
            if role not in self.roles:
                life_seconds = self._context.settings.lease_seconds
                self.roles[role] = RoleLease(role, self._context.settings.daemon, life_seconds)
        steps = []
        for lease in self.roles.values():
            now_seconds = self._context.now_seconds()
            candidates = live
            if self._preferred(lease.role) == self._context.settings.daemon:
                # Whoever is preferred tries, whatever its place among the candidates.
                candidates = [self._context.settings.daemon]
            vacant_seconds = self._vacant_seconds(lease.role) if lease.held is None else 0.0
            if vacant_seconds is None:
                continue
            action = lease.next_action(
                now_seconds, candidates, self._context.stopping, vacant_seconds
            )
            if action is not LeaseAction.NOTHING:
                steps.append(self._step(lease, action))
        await asyncio.gather(*steps)

    async def _step(self, lease: RoleLease, action: LeaseAction) -> None:
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
            lease.unanswered(self._context.now_seconds(), self._context.rng.random())
            return
        if read.entries:
            lease.lost(self._context.now_seconds(), self._context.rng.random())
            return
        if not lease.may_take(self._context.now_seconds(), self._preferred(lease.role)):
            return
        asked_at_seconds = self._context.now_seconds()
        granted = await self._context.kv.grant_lease(lease.life_seconds)
        if isinstance(granted, KvUnavailable):
            lease.unanswered(self._context.now_seconds(), self._context.rng.random())
            return
        self._settled_leases.add(granted.lease_id)
        await self._create_key(lease, key, granted, asked_at_seconds)

    async def _create_key(
        self, lease: RoleLease, key: str, granted: LeaseGranted, asked_at_seconds: float
    ) -> None:
        value = encode_holder(lease.daemon, granted.lease_id)
        part = TxnPart(
            compares=(Compare(key, "create", 0),),
            operations=(Operation(key, value, granted.lease_id),),
        )
        done = await self._context.kv.txn([part])
        if isinstance(done, KvUnavailable) and not done.effect_unknown:
            lease.unanswered(self._context.now_seconds(), self._context.rng.random())
            return
        read = await self._context.kv.read(key)
        if isinstance(read, KvRead) and read.entries and read.entries[0].value == value:
            fencing = read.entries[0].create_revision
            lease.acquired(asked_at_seconds, granted.lease_id, fencing)
            self._context.log.write(RoleAcquired(role=lease.role, fencing=fencing))
            return
        lease.lost(self._context.now_seconds(), self._context.rng.random())

    async def _renew(self, lease: RoleLease) -> None:
        if lease.held is None:
            return
        asked_at_seconds = self._context.now_seconds()
        kept = await self._context.kv.keep_lease(lease.held.lease_id)
        if kept is True:
            lease.renewed(asked_at_seconds)
        elif kept is False:
            self._lost(lease, "the service ended the lease")
        else:
            self._unanswered(lease)

    async def _release(self, lease: RoleLease) -> None:
        held = lease.held
        self._lost(lease, "released")
        if held is not None:
            await self._context.kv.revoke_lease(held.lease_id)

    def _lost(self, lease: RoleLease, reason: str) -> None:
        """Note that a role is not held any more."""
        if lease.held is not None:
            self._context.log.write(
                RoleLost(role=lease.role, fencing=lease.held.fencing, reason=reason)
            )
        lease.lost(self._context.now_seconds(), self._context.rng.random())

    def _unanswered(self, lease: RoleLease) -> None:
        """Note that a renewal went unanswered; the role is lost once its deadline is past."""
        held = lease.held
        lease.unanswered(self._context.now_seconds(), self._context.rng.random())
        if held is not None and lease.held is None:
            self._context.log.write(
                RoleLost(role=lease.role, fencing=held.fencing, reason="not renewed in time")
            )
