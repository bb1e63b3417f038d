"""The copies of all followed prefixes, and the signals by which others learn of changes."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rackswitch.clients.kv import KvEntry, WatchNews
from rackswitch.gateway.store.replicas import PrefixReplica

__all__ = ["ReplicaHandlers", "ReplicaSet"]

CONFIRMATION_STEP_SECONDS = 0.5
"""By how much newer the service's word must be before daemons that wait for news are told it
without any: somewhat less than a watch's time, so that they hear of each round of watches once,
and the word is hardly older at the last step of the tree than at the first."""


@dataclass(frozen=True, slots=True)
class ReplicaHandlers:
    """Who is told of changes under a prefix, and of when the service last vouched for it.

    Attributes
    ----------
    on_told : callable
        Called once after all changes that came together.
    """

    on_put: Callable[[KvEntry], None]
    on_deleted: Callable[[str], None]
    on_confirmed: Callable[[float], None] = lambda at_seconds: None
    on_batch_end: Callable[[], None] = lambda: None


class ReplicaSet:
    """The copies of one daemon.

    Parameters
    ----------
    handlers : dict of str to ReplicaHandlers
        Who is told, by prefix.

    Attributes
    ----------
    by_prefix : dict of str to PrefixReplica
        The copies.
    told : asyncio.Event
        Set when there is news for others, and replaced then.
    rounds : int
        How often the service's word for all copies became newer by a step.
    """

    __slots__ = (
        "_handlers",
        "_round_confirmed_at_seconds",
        "by_prefix",
        "confirmation_rounds",
        "updated",
    )

    def __init__(self, handlers: dict[str, ReplicaHandlers]):
        self._handlers = handlers
        self.by_prefix = {prefix: PrefixReplica(prefix) for prefix in handlers}
        self.updated = asyncio.Event()
        self.confirmation_rounds = 0
        self._round_confirmed_at_seconds = float("-inf")

    @property
    def is_complete(self) -> bool:
        """Whether the service has vouched for every copy, directly or through others."""
        return self.oldest_confirmed_at_seconds() > float("-inf")

    def oldest_confirmed_at_seconds(self) -> float:
        """Return when (monotonic) the service vouched for the copy that it did longest ago."""
        return min(replica.confirmed_at_seconds for replica in self.by_prefix.values())

    def apply_snapshot(self, prefix: str, entries: Iterable[KvEntry], revision: int) -> None:
        """Take in all entries under a prefix."""
        self._notify_handlers(prefix, self.by_prefix[prefix].replace(entries, revision))

    def apply_changes(self, prefix: str, news: WatchNews) -> None:
        """Take in changes under a prefix."""
        self.by_prefix[prefix].apply(news)
        self._notify_handlers(prefix, news)

    def confirm(self, prefix: str, at_seconds: float) -> None:
        """Note that the service vouched for a copy at a moment (monotonic)."""
        replica = self.by_prefix[prefix]
        replica.confirmed_at_seconds = max(replica.confirmed_at_seconds, at_seconds)
        self._handlers[prefix].on_confirmed(replica.confirmed_at_seconds)
        oldest_seconds = self.oldest_confirmed_at_seconds()
        if oldest_seconds >= self._round_confirmed_at_seconds + CONFIRMATION_STEP_SECONDS:
            self._round_confirmed_at_seconds = oldest_seconds
            self.confirmation_rounds += 1
            self.notify_waiters()

    async def wait_for_update(self, deadline_seconds: float) -> bool:
        """Wait for news for others; return False if there is none before a moment (monotonic)."""
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await self.updated.wait()
        except TimeoutError:
            return False
        return True

    def _notify_handlers(self, prefix: str, news: WatchNews) -> None:
        handlers = self._handlers[prefix]
        for entry in news.entries:
            handlers.on_put(entry)
        for key in news.deleted:
            handlers.on_deleted(key)
        handlers.on_batch_end()
        if news.entries or news.deleted:
            self.notify_waiters()

    def notify_waiters(self) -> None:
        """Have all who wait for news look again."""
        self.updated.set()
        self.updated = asyncio.Event()
