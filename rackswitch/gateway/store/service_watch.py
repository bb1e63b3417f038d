"""Keeping copies current from the key-value service itself, while nobody can be followed."""

import asyncio

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.store.replica_set import ReplicaSet
from rackswitch.requests import backoff_seconds
from rackswitch.telemetry.events import WatchesService

__all__ = ["ServiceWatch"]

INITIAL_RETRY_DELAY_SECONDS = 0.1
"""Pause after a broken watch; a change must be in force within 2 s, most of which a silent
watch may have used up already."""

MAX_RETRY_DELAY_SECONDS = 0.4
"""The pause doubles up to this while tries fail: each try is a call that counts, and who waits
for the service's return gains less than half of it by asking more often."""

BATCH_DELAY_SECONDS = 0.05
"""How long changes are gathered before the next question: a fleet that starts at once writes an
entry for each daemon, each of which would be a call of its own."""

RECOVERY_GRACE_SECONDS = 0.4
"""How long after the service's return the root's word may take to reach everybody; who watches
only because nobody could be followed reads no more than it needs until then."""

CUT_OFF_FAILURES = 2
"""Calls in a row without an answer after which followers are told to look elsewhere. One alone may
be a lost answer or a watch that the service has ended; the second follows 0.1 s later."""


class ServiceWatch:
    """The watches of one daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    copies : ReplicaSet
        What is kept current.
    members_prefix : str
        The prefix that tells of the other daemons. It is read before the others, since it may
        show that there is somebody to follow; and it alone is tried while the service is away.
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
        """Whether this daemon watches for the fleet and gets no answer.

        One that watches because it could follow nobody does not say so: in an outage for all, each
        would send those behind it to the service too.
        """
        failures = self._failures[self._members_prefix]
        return self.is_enabled and self._is_root and failures >= CUT_OFF_FAILURES

    @property
    def is_enabled(self) -> bool:
        """Whether the service is watched."""
        return self._enabled.is_set()

    def set_enabled(self, enabled: bool, is_root: bool = False) -> None:
        """Begin or cease to watch; `for_all` if this daemon is the one that all others follow."""
        self._is_root = is_root
        if enabled == self.is_enabled:
            return
        self._context.log.write(WatchesService(watches=enabled))
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()

    async def run(self) -> None:
        """Watch all prefixes, while switched on, until cancelled."""
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
                # A watch that goes on from its revision misses nothing, unless history is gone.
                has_failed, must_read = await self._watch(prefix)
            self._set_failures(prefix, self._failures[prefix] + 1 if has_failed else 0)
            if has_failed:
                await self._sleep_before_retry(self._failures[prefix])

    def _set_failures(self, prefix: str, failures: int) -> None:
        """Tell followers at once when this daemon turns out to be cut off."""
        was_cut_off = self.is_cut_off
        self._failures[prefix] = failures
        if self.is_cut_off and not was_cut_off:
            self._replicas.notify_waiters()

    def _waits_for_members(self, prefix: str) -> bool:
        """Return whether a prefix waits for what the members' prefix brings."""
        if prefix == self._members_prefix:
            return False
        contact = self._context.contact
        recovered_at_seconds = contact.back_seconds + RECOVERY_GRACE_SECONDS
        if contact.is_away or (
            not self._is_root and self._context.now_seconds() < recovered_at_seconds
        ):
            return True
        return self._replicas.by_prefix[self._members_prefix].confirmed_at_seconds == float("-inf")

    async def _sleep_before_retry(self, failures: int) -> None:
        delay_seconds = backoff_seconds(
            INITIAL_RETRY_DELAY_SECONDS, MAX_RETRY_DELAY_SECONDS, failures - 1
        )
        await asyncio.sleep(delay_seconds * (0.5 + self._context.rng.random()))

    async def _read(self, prefix: str) -> bool:
        """Read a whole prefix; return whether the service answered."""
        requested_at_seconds = self._context.now_seconds()
        read = await self._context.kv.read(prefix, is_prefix=True)
        self._context.contact.note(self._context.now_seconds(), read)
        if isinstance(read, KvUnavailable):
            return False
        self._replicas.apply_snapshot(prefix, read.entries, read.revision)
        self._replicas.confirm(prefix, requested_at_seconds)
        return True

    async def _watch(self, prefix: str) -> tuple[bool, bool]:
        """Take in the service's changes while switched on.

        Returns
        -------
        (bool, bool)
            Whether the watch broke, and whether the prefix must be read anew.
        """
        revision = self._replicas.by_prefix[prefix].revision
        async for news in self._context.kv.watch(prefix, revision):
            now_seconds = self._context.now_seconds()
            if isinstance(news, KvUnavailable):
                if not news.history_lost:
                    self._context.contact.failed(now_seconds, f"watch: {news.detail}")
                return True, news.history_lost
            self._context.contact.answered(now_seconds)
            # A watch that goes well never ends, so failures are taken back here: else followers
            # would go on keeping away from a daemon that is answered again.
            self._set_failures(prefix, 0)
            self._replicas.apply_changes(prefix, news)
            self._replicas.confirm(prefix, now_seconds)
            if not self.is_enabled:
                break
            if news.entries or news.deleted:
                await asyncio.sleep(BATCH_DELAY_SECONDS)
        return False, False
