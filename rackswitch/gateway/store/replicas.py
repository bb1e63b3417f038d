"""Replica of all keys under a prefix of the key-value service, with its latest changes.

A daemon keeps the replica current and passes its changes on to daemons that follow it.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.clients.kv import KvEntry, WatchUpdate

__all__ = ["PrefixReplica", "ReplicaChanges"]

MAX_REMEMBERED_CHANGES = 2000
"""Changes kept for followers; one that lags further gets all entries."""


@dataclass(frozen=True, slots=True)
class ReplicaChanges:
    """Changes that a follower lacks; if `is_complete`, all entries of the replica instead."""

    revision: int
    entries: tuple[KvEntry, ...]
    deleted: tuple[str, ...]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    key: str
    entry: KvEntry | None


@dataclass(slots=True)
class PrefixReplica:
    """The entries under one prefix as of a revision of the service.

    Attributes
    ----------
    revision : int
        The service's revision up to which the replica is complete; 0 before the first snapshot.
    confirmed_at_seconds : float
        When (monotonic) the service last confirmed the replica, directly or through another
        daemon.
    """

    prefix: str
    revision: int = 0
    confirmed_at_seconds: float = float("-inf")
    entries: dict[str, KvEntry] = field(default_factory=dict)
    _changes: deque[_Change] = field(default_factory=deque)
    _oldest_revision: int = 0

    def replace(self, entries: Iterable[KvEntry], revision: int) -> WatchUpdate:
        """Replace the entries by a snapshot; return the changes.

        A snapshot older than the replica changes nothing.
        """
        if revision < self.revision:
            return WatchUpdate((), self.revision)
        listed = {entry.key: entry for entry in entries}
        changed = tuple(
            entry
            for key, entry in listed.items()
            if key not in self.entries or self.entries[key].mod_revision != entry.mod_revision
        )
        deleted = tuple(key for key in self.entries if key not in listed)
        update = WatchUpdate(changed, revision, deleted)
        is_later = revision > self.revision
        self.apply(update)
        if is_later:
            # Changes that were undone before the snapshot, such as an entry that was written and
            # deleted again, are in no update. A follower may hold them, so it needs all entries.
            self._changes.clear()
            self._oldest_revision = self.revision
        return update

    def apply(self, update: WatchUpdate) -> None:
        """Apply changes."""
        if self.revision == 0:
            self._oldest_revision = update.revision
        self.revision = max(self.revision, update.revision)
        for entry in update.entries:
            self.entries[entry.key] = entry
            self._changes.append(_Change(self.revision, entry.key, entry))
        for key in update.deleted:
            self.entries.pop(key, None)
            self._changes.append(_Change(self.revision, key, None))
        while len(self._changes) > MAX_REMEMBERED_CHANGES:
            self._oldest_revision = self._changes.popleft().revision

    def changes_since(self, revision: int) -> ReplicaChanges | None:
        """Return the changes that a follower at `revision` lacks; None if there are none.

        Each change is stored with the replica's revision after its batch. A follower adopts that
        revision together with the whole batch, so it never skips a change.
        """
        if self.revision == 0 or revision >= self.revision:
            return None
        if revision < self._oldest_revision:
            return ReplicaChanges(self.revision, tuple(self.entries.values()), (), True)
        latest: dict[str, KvEntry | None] = {}
        for change in self._changes:
            if change.revision > revision:
                latest[change.key] = change.entry
        return ReplicaChanges(
            self.revision,
            tuple(entry for entry in latest.values() if entry is not None),
            tuple(key for key, entry in latest.items() if entry is None),
            False,
        )
