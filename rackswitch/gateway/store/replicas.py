"""A copy of all keys under a prefix of the key-value service, with its latest changes.

A daemon that follows the service keeps the copy current, and hands changes on
to daemons that follow it in turn.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.clients.kv import KvEntry, WatchNews

__all__ = ["PrefixReplica", "ReplicaChanges"]

MAX_REMEMBERED_CHANGES = 2000
"""Changes kept for followers; a follower seldom lags by more than a few."""


@dataclass(frozen=True, slots=True)
class ReplicaChanges:
    """What a follower misses; `whole` if the entries are all there are."""

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
        The service's revision that the copy is complete up to; 0 before the first reading.
    confirmed_at_seconds : float
        When (monotonic) the service last vouched for the copy, directly or through another
        daemon.
    """

    prefix: str
    revision: int = 0
    confirmed_at_seconds: float = float("-inf")
    entries: dict[str, KvEntry] = field(default_factory=dict)
    _changes: deque[_Change] = field(default_factory=deque)
    _oldest_revision: int = 0

    def replace(self, entries: Iterable[KvEntry], revision: int) -> WatchNews:
        """Take in a whole reading; return what it changes.

        An older reading than the copy changes nothing.
        """
        if revision < self.revision:
            return WatchNews((), self.revision)
        listed = {entry.key: entry for entry in entries}
        changed = tuple(
            entry
            for key, entry in listed.items()
            if key not in self.entries or self.entries[key].mod_revision != entry.mod_revision
        )
        deleted = tuple(key for key in self.entries if key not in listed)
        news = WatchNews(changed, revision, deleted)
        self.apply(news)
        return news

    def apply(self, news: WatchNews) -> None:
        """Take in changes."""
        if self.revision == 0:
            self._oldest_revision = news.revision
        self.revision = max(self.revision, news.revision)
        for entry in news.entries:
            self.entries[entry.key] = entry
            self._changes.append(_Change(self.revision, entry.key, entry))
        for key in news.deleted:
            self.entries.pop(key, None)
            self._changes.append(_Change(self.revision, key, None))
        while len(self._changes) > MAX_REMEMBERED_CHANGES:
            self._oldest_revision = self._changes.popleft().revision

    def changes_since(self, revision: int) -> ReplicaChanges | None:
        """Return what a follower at a revision misses; None if that is nothing.

        Changes are remembered under the revision that this copy had after them, which a
        follower took over with them; so a follower never skips one.
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
