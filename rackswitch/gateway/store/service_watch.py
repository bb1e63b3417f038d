"""Keeping replicas current by watching the key-value service itself."""

import asyncio

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.store.replica_set import ReplicaSet
from rackswitch.requests import backoff_seconds
from rackswitch.telemetry.events import ServiceWatchChanged

__all__ = ["ServiceWatch"]

INITIAL_RETRY_DELAY_SECONDS = 0.1
"""Delay before the first retry after a failed watch; short, since changes must be in force within 2
s and a watch that timed out may have used most of that."""

MAX_RETRY_DELAY_SECONDS = 0.4
"""Upper bound of the exponential retry delay."""

BATCH_DELAY_SECONDS = 0.05
"""Delay after changes before the watch continues, so that changes that follow each other closely
(such as the entries of a starting fleet) arrive in one batch."""

RECOVERY_GRACE_SECONDS = 0.4
"""How long after the service is reachable again a daemon other than the root waits for the root's
changes before it reads more than the members itself."""

CUT_OFF_FAILURES = 2
"""Consecutive failures after which followers are told to use another source. A single failure may
be a lost answer or a watch that the service has ended; the second follows 0.1 s later."""


class ServiceWatch:
    """The watches of one daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    replicas : ReplicaSet
        The replicas to keep current.
    members_prefix : str
        The prefix that contains the membership entries. It is read before the others, since it
        may name a daemon to follow; while the service is unreachable, only this prefix is retried.
    """

    __slots__ = ("_context", "_replicas", "_failures", "_is_root", "_members_prefix", "_enabled")

    def __init__(self, context: GatewayContext, replicas: ReplicaSet, members_prefix: str):
        self._context = context
        self._replicas = replicas
        self._members_prefix = members_prefix
        self._enabled = asyncio.Event()
        self._failures = dict.fromkeys(replicas.by_prefix, 0)
        self._is_root = False

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon is the root and gets no answer from the service.

        Always false for a daemon that watches only because it has no source to follow: in an
        outage of the whole fleet, it would send its followers to the service as well.
        """
        failures = self._failures[self._members_prefix]
        return self.is_enabled and self._is_root and failures >= CUT_OFF_FAILURES

    @property
    def is_enabled(self) -> bool:
        """Whether this daemon watches the service."""
        return self._enabled.is_set()

    def set_enabled(self, enabled: bool, is_root: bool = False) -> None:
        """Enable or disable the watch; `is_root` if all other daemons follow this one."""
        self._is_root = is_root
        if enabled == self.is_enabled:
            return
        self._context.log.write(ServiceWatchChanged(watches=enabled))
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def run(self) -> None:
        """Watch all prefixes while enabled, until cancelled."""
        await asyncio.gather(*(self._keep_current(prefix) for prefix in self._replicas.by_prefix))

    async def _keep_current(self, prefix: str) -> None:
        must_read = False
        while True:
            await self._enabled.wait()
            if self._waits_for_members(prefix):
                await self._sleep_before_retry(1)
                continue
            if must_read or self._replicas.by_prefix[prefix].revision == 0:
                must_read = not await self._read(prefix)
                has_failed = must_read
            else:
                # A watch resumed from the replica's revision misses no change unless the service
                # has discarded that part of the history.
                has_failed, must_read = await self._watch(prefix)
            self._set_failures(prefix, self._failures[prefix] + 1 if has_failed else 0)
            if has_failed:
                await self._sleep_before_retry(self._failures[prefix])

    def _set_failures(self, prefix: str, failures: int) -> None:
        """Set a prefix's failure count; notify waiting followers once this daemon is cut off."""
        was_cut_off = self.is_cut_off
        self._failures[prefix] = failures
        if self.is_cut_off and not was_cut_off:
            self._replicas.notify_waiters()

    def _waits_for_members(self, prefix: str) -> bool:
        """Return whether a prefix has to wait, because the members may name a source to follow."""
        if prefix == self._members_prefix:
            return False
        contact = self._context.store_reachability
        grace_until_seconds = contact.recovered_at_seconds + RECOVERY_GRACE_SECONDS
        if contact.is_unreachable or (
            not self._is_root and self._context.now_seconds() < grace_until_seconds
        ):
            return True
        return self._replicas.by_prefix[self._members_prefix].confirmed_at_seconds == float("-inf")

    async def _sleep_before_retry(self, failures: int) -> None:
        delay_seconds = backoff_seconds(
            INITIAL_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS, failures - 1
        )
        await asyncio.sleep(delay_seconds * (0.5 + self._context.rng.random()))

    async def _read(self, prefix: str) -> bool:
        """Read all entries of a prefix; return whether the service answered."""
        requested_at_seconds = self._context.now_seconds()
        read = await self._context.kv.read(prefix, is_prefix=True)
        self._context.store_reachability.record_result(self._context.now_seconds(), read)
        if isinstance(read, KvUnavailable):
            return False
        self._replicas.apply_snapshot(prefix, read.entries, read.revision)
        self._replicas.confirm(prefix, requested_at_seconds)
        return True

    async def _watch(self, prefix: str) -> tuple[bool, bool]:
        """Watch a prefix and apply its changes while enabled.

        A watch that was answered before it broke off has not failed: only the first call of the
        next one, which the service answers without waiting, shows whether the service is reachable.

        Returns
        -------
        (bool, bool)
            Whether the watch failed, and whether the prefix must be read again.
        """
        revision = self._replicas.by_prefix[prefix].revision
        was_answered = False
        async for update in self._context.kv.watch(prefix, revision):
            now_seconds = self._context.now_seconds()
            if isinstance(update, KvUnavailable):
                if was_answered and not update.history_lost:
                    break
                if not update.history_lost:
                    self._context.store_reachability.record_failure(
                        now_seconds, f"watch: {update.detail}"
                    )
                return True, update.history_lost
            was_answered = True
            self._context.store_reachability.record_answer(now_seconds)
            # A working watch never ends, so the failure count is reset here; otherwise followers
            # would go on avoiding a daemon whose connection has recovered.
            self._set_failures(prefix, 0)
            self._replicas.apply_changes(prefix, update)
            self._replicas.confirm(prefix, now_seconds)
            if not self.is_enabled:
                break
            if update.entries or update.deleted:
                await asyncio.sleep(BATCH_DELAY_SECONDS)
        return False, False
