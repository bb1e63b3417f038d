"""Keeping copies current from the key-value service itself, while nobody can be followed."""

import asyncio

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.store.replica_set import ReplicaSet
from rackswitch.requests import backoff_seconds
from rackswitch.telemetry.events import WatchesService

__all__ = ["ServiceWatch"]

FIRST_RETRY_SECONDS = 0.1
"""Pause after a broken watch; a change must be in force within 2 s, most of which a silent
watch may have used up already."""

MAX_RETRY_SECONDS = 0.4
"""The pause doubles up to this while tries fail: each try is a call that counts, and who waits
for the service's return gains less than half of it by asking more often."""

GATHER_SECONDS = 0.05
"""How long changes are gathered before the next question: a fleet that starts at once writes an
entry for each daemon, each of which would be a call of its own."""

RETURN_PATIENCE_SECONDS = 0.4
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

    __slots__ = ("_context", "_copies", "_failures", "_for_all", "_members_prefix", "_on")

    def __init__(self, context: GatewayContext, copies: ReplicaSet, members_prefix: str):
        self._context = context
        self._copies = copies
        self._members_prefix = members_prefix
        self._on = asyncio.Event()
        self._failures = dict.fromkeys(copies.by_prefix, 0)
        self._for_all = False

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon watches for the fleet and gets no answer.

        One that watches because it could follow nobody does not say so: in an outage for all, each
        would send those behind it to the service too.
        """
        failures = self._failures[self._members_prefix]
        return self.is_on and self._for_all and failures >= CUT_OFF_FAILURES

    @property
    def is_on(self) -> bool:
        """Whether the service is watched."""
        return self._on.is_set()

    def switch(self, on: bool, for_all: bool = False) -> None:
        """Begin or cease to watch; `for_all` if this daemon is the one that all others follow."""
        self._for_all = for_all
        if on == self.is_on:
            return
        self._context.log.write(WatchesService(watches=on))
        if on:
            self._on.set()
        else:
            self._on.clear()

    async def run(self) -> None:
        """Watch all prefixes, while switched on, until cancelled."""
        await asyncio.gather(*(self._keep(prefix) for prefix in self._copies.by_prefix))

    async def _keep(self, prefix: str) -> None:
        must_read = False
        while True:
            await self._on.wait()
            if self._leaves_it_to_another(prefix):
                await self._pause(1)
                continue
            if must_read or self._copies.by_prefix[prefix].revision == 0:
                must_read = not await self._read(prefix)
                broken = must_read
            else:
                # A watch that goes on from its revision misses nothing, unless history is gone.
                broken, must_read = await self._watch(prefix)
            self._note_failures(prefix, self._failures[prefix] + 1 if broken else 0)
            if broken:
                await self._pause(self._failures[prefix])

    def _note_failures(self, prefix: str, failures: int) -> None:
        """Tell followers at once when this daemon turns out to be cut off."""
        was_cut_off = self.is_cut_off
        self._failures[prefix] = failures
        if self.is_cut_off and not was_cut_off:
            self._copies.wake_all()

    def _leaves_it_to_another(self, prefix: str) -> bool:
        """Return whether a prefix waits for what the members' prefix brings."""
        if prefix == self._members_prefix:
            return False
        contact = self._context.contact
        settled_seconds = contact.back_seconds + RETURN_PATIENCE_SECONDS
        if contact.is_away or (not self._for_all and self._context.now_seconds() < settled_seconds):
            return True
        return self._copies.by_prefix[self._members_prefix].confirmed_at_seconds == float("-inf")

    async def _pause(self, failures: int) -> None:
        pause_seconds = backoff_seconds(FIRST_RETRY_SECONDS, MAX_RETRY_SECONDS, failures - 1)
        await asyncio.sleep(pause_seconds * (0.5 + self._context.rng.random()))

    async def _read(self, prefix: str) -> bool:
        """Read a whole prefix; return whether the service answered."""
        asked_at_seconds = self._context.now_seconds()
        read = await self._context.kv.read(prefix, is_prefix=True)
        self._context.contact.note(self._context.now_seconds(), read)
        if isinstance(read, KvUnavailable):
            return False
        self._copies.take_reading(prefix, read.entries, read.revision)
        self._copies.confirm(prefix, asked_at_seconds)
        return True

    async def _watch(self, prefix: str) -> tuple[bool, bool]:
        """Take in the service's changes while switched on.

        Returns
        -------
        (bool, bool)
            Whether the watch broke, and whether the prefix must be read anew.
        """
        revision = self._copies.by_prefix[prefix].revision
        async for news in self._context.kv.watch(prefix, revision):
            now_seconds = self._context.now_seconds()
            if isinstance(news, KvUnavailable):
                if not news.history_lost:
                    self._context.contact.failed(now_seconds, f"watch: {news.detail}")
                return True, news.history_lost
            self._context.contact.answered(now_seconds)
            # A watch that goes well never ends, so failures are taken back here: else followers
            # would go on keeping away from a daemon that is answered again.
            self._note_failures(prefix, 0)
            self._copies.take_news(prefix, news)
            self._copies.confirm(prefix, now_seconds)
            if not self.is_on:
                break
            if news.entries or news.deleted:
                await asyncio.sleep(GATHER_SECONDS)
        return False, False
