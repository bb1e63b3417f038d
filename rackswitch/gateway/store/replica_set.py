"""The replicas of all followed prefixes, and notifications of their changes."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from rackswitch.clients.kv import KvEntry, WatchUpdate
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.outcomes import BrokenInvariant

__all__ = ["OnFailed", "ReplicaHandlers", "ReplicaSet"]

CONFIRMATION_STEP_SECONDS = 0.5
"""Minimum time between confirmations sent to waiting followers when nothing has changed. Somewhat
less than the duration of a watch, so that each round of watches is passed on once."""


@dataclass(frozen=True, slots=True)
class ReplicaHandlers:
    """Handlers of changes under a prefix and of confirmations by the service.

    Attributes
    ----------
    on_put : callable
        Called with each entry that was added or changed.
    on_deleted : callable
        Called with the key of each deleted entry.
    on_confirmed : callable
        Called with the revision as of which the service last confirmed the replica, and with the
        time (monotonic) at which it did.
    on_batch_start : callable
        Called before the changes of a batch with the daemon that they come from; empty for the
        service itself.
    on_batch_end : callable
        Called once after all changes of a batch.
    """

    on_put: Callable[[KvEntry], None]
    on_deleted: Callable[[str], None]
    on_confirmed: Callable[[int, float], None] = lambda revision, at_seconds: None
    on_batch_start: Callable[[str], None] = lambda source: None
    on_batch_end: Callable[[], None] = lambda: None


OnFailed = Callable[[str, int, Exception], None]
"""Receives the key and revision of an entry whose handler failed, and the error."""


def _raise(_key: str, _revision: int, error: Exception) -> None:
    raise error


class ReplicaSet:
    """The replicas of one daemon.

    Parameters
    ----------
    handlers : dict of str to ReplicaHandlers
        Handlers of changes, by prefix.
    on_failed : callable, optional
        Called if the handler of an entry raises an unexpected error, after which the other changes
        are handled; errors are raised by default.

    Attributes
    ----------
    by_prefix : dict of str to PrefixReplica
        The replicas.
    updated : asyncio.Event
        Set, and replaced by a new event, when waiting tasks have to check for changes.
    confirmation_rounds : int
        How often the oldest confirmation advanced by at least `CONFIRMATION_STEP_SECONDS`.
    """

    __slots__ = (
        "_handlers",
        "_on_failed",
        "_round_confirmed_at_seconds",
        "by_prefix",
        "confirmation_rounds",
        "updated",
    )

    def __init__(self, handlers: dict[str, ReplicaHandlers], on_failed: OnFailed = _raise):
        self._handlers = handlers
        self._on_failed = on_failed
        self.by_prefix = {prefix: PrefixReplica(prefix) for prefix in handlers}
        self.updated = asyncio.Event()
        self.confirmation_rounds = 0
        self._round_confirmed_at_seconds = float("-inf")

    @property
    def is_complete(self) -> bool:
        """Whether the service has confirmed every replica, directly or through other daemons."""
        return self.oldest_confirmed_at_seconds() > float("-inf")

    def oldest_confirmed_at_seconds(self) -> float:
        """Return the oldest confirmation time (monotonic) of all replicas."""
        return min(replica.confirmed_at_seconds for replica in self.by_prefix.values())

    def apply_snapshot(
        self, prefix: str, entries: Iterable[KvEntry], revision: int, source: str = ""
    ) -> None:
        """Replace a replica by a snapshot of all entries under its prefix.

        Parameters
        ----------
        prefix : str
            The replica's prefix.
        entries : iterable of KvEntry
            All entries.
        revision : int
            The service's revision of the snapshot.
        source : str, optional
            The daemon that sent the snapshot; empty for the service itself.
        """
        self._notify_handlers(prefix, self.by_prefix[prefix].replace(entries, revision), source)

    def apply_changes(self, prefix: str, update: WatchUpdate, source: str = "") -> None:
        """Apply changes under a prefix, sent by the daemon `source` or by the service itself.

        Changes up to an earlier revision than the replica's are ignored: a watch may deliver them
        after the same daemon has received later ones from a peer, and they would undo those.
        """
        if update.revision < self.by_prefix[prefix].revision:
            return
        self.by_prefix[prefix].apply(update)
        self._notify_handlers(prefix, update, source)

    def confirm(self, prefix: str, at_seconds: float) -> None:
        """Record that the service confirmed a replica at `at_seconds` (monotonic)."""
        replica = self.by_prefix[prefix]
        replica.confirmed_at_seconds = max(replica.confirmed_at_seconds, at_seconds)
        self._handlers[prefix].on_confirmed(replica.revision, replica.confirmed_at_seconds)
        oldest_seconds = self.oldest_confirmed_at_seconds()
        if oldest_seconds >= self._round_confirmed_at_seconds + CONFIRMATION_STEP_SECONDS:
            self._round_confirmed_at_seconds = oldest_seconds
            self.confirmation_rounds += 1
            self.notify_waiters()

    async def wait_for_update(self, deadline_seconds: float) -> bool:
        """Wait for a change or confirmation; return False if the deadline (monotonic) passes."""
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await self.updated.wait()
        except TimeoutError:
            return False
        return True

    def _notify_handlers(self, prefix: str, update: WatchUpdate, source: str) -> None:
        handlers = self._handlers[prefix]
        handlers.on_batch_start(source)
        for entry in update.entries:
            self._handle(entry.key, entry.mod_revision, partial(handlers.on_put, entry))
        for key in update.deleted:
            self._handle(key, update.revision, partial(handlers.on_deleted, key))
        self._handle(prefix, update.revision, handlers.on_batch_end)
        if update.entries or update.deleted:
            self.notify_waiters()

    def _handle(self, key: str, revision: int, handle: Callable[[], None]) -> None:
        """Call a handler; an unexpected error concerns its entry alone.

        An error raised from here would end the task that follows the service, for all entries.
        """
        try:
            handle()
        except BrokenInvariant:
            raise
        except Exception as error:
            self._on_failed(key, revision, error)

    def notify_waiters(self) -> None:
        """Wake all waiting tasks so that they check for changes."""
        self.updated.set()
        self.updated = asyncio.Event()
