"""Configuration through copies of copies: never backwards, and in the end the same everywhere.

A state machine drives a service that forgets history and cuts watches, two daemons that
watch it and two that follow these in turn. What each has in force is compared with what
it had before, and in the end with the service.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rackswitch.clients.kv import KvEntry, WatchNews, latest_news
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.table import TableDocument, TableView

CONFIG = "op/config"
KEYS = (CONFIG, "op/a", "op/b")
WATCHERS = ("w0", "w1")
FOLLOWERS = ("f0", "f1")
DAEMONS = (*WATCHERS, *FOLLOWERS)


class Service:
    """The key-value service: all entries, and the changes it still remembers."""

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[str, KvEntry] = {}
        self.history: list[tuple[int, str, KvEntry | None]] = []
        self.forgotten = 1

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        entry = KvEntry(key, value, self.revision, self.revision)
        self.entries[key] = entry
        self.history.append((self.revision, key, entry))

    def delete(self, key: str) -> None:
        self.revision += 1
        self.entries.pop(key, None)
        self.history.append((self.revision, key, None))

    def changes_after(self, revision: int) -> WatchNews | None:
        """Return what a watch brings; None if that history is gone."""
        if revision < self.forgotten:
            return None
        later = [change for change in self.history if change[0] > revision]
        return latest_news(
            [entry for _, _, entry in later if entry is not None],
            [(key, changed) for changed, key, entry in later if entry is None],
            self.revision,
        )


class Daemon:
    """A copy, and the table that its entries bring into force."""

    def __init__(self) -> None:
        self.copy = PrefixReplica("op/")
        self.view = TableView()

    def tell(self, news: WatchNews) -> None:
        for entry in news.entries:
            if entry.key == CONFIG:
                self.view.offer(TableDocument(revision=int(entry.value)))


class CopyMachine(RuleBasedStateMachine):
    """Changes, watches, readings and followers in any order."""

    @initialize()
    def begin(self) -> None:
        self.service = Service()
        self.daemons = {name: Daemon() for name in DAEMONS}
        self.version = 1
        self.service.put(CONFIG, b"1")
        self.seen_revisions = dict.fromkeys(DAEMONS, 0)
        self.old_readings: list[tuple[tuple[KvEntry, ...], int]] = []

    @rule(step=st.integers(1, 5))
    def operator_writes(self, step: int) -> None:
        self.version += step
        self.service.put(CONFIG, str(self.version).encode())

    @rule(key=st.sampled_from(KEYS[1:]), gone=st.booleans())
    def something_else_changes(self, key: str, gone: bool) -> None:
        if gone:
            self.service.delete(key)
        else:
            self.service.put(key, b"x")

    @rule()
    def service_forgets_its_history(self) -> None:
        self.service.forgotten = self.service.revision

    @rule()
    def a_reading_is_under_way(self) -> None:
        reading = (tuple(self.service.entries.values()), self.service.revision)
        self.old_readings.append(reading)

    @rule(name=st.sampled_from(DAEMONS))
    def a_reading_arrives_late(self, name: str) -> None:
        if self.old_readings:
            entries, revision = self.old_readings.pop()
            daemon = self.daemons[name]
            daemon.tell(daemon.copy.replace(entries, revision))

    @rule(name=st.sampled_from(DAEMONS))
    def daemon_reads(self, name: str) -> None:
        daemon = self.daemons[name]
        entries = tuple(self.service.entries.values())
        daemon.tell(daemon.copy.replace(entries, self.service.revision))

    @rule(name=st.sampled_from(WATCHERS))
    def watch_brings_changes(self, name: str) -> None:
        daemon = self.daemons[name]
        news = self.service.changes_after(daemon.copy.revision) if daemon.copy.revision else None
        if news is None:
            self.daemon_reads(name)
            return
        daemon.copy.apply(news)
        daemon.tell(news)

    @rule(name=st.sampled_from(DAEMONS), source=st.sampled_from(DAEMONS))
    def follow(self, name: str, source: str) -> None:
        if name == source:
            return
        daemon = self.daemons[name]
        changes = self.daemons[source].copy.changes_since(daemon.copy.revision)
        if changes is None:
            return
        if changes.whole:
            daemon.tell(daemon.copy.replace(changes.entries, changes.revision))
            return
        news = WatchNews(changes.entries, changes.revision, changes.deleted)
        daemon.copy.apply(news)
        daemon.tell(news)

    @rule(name=st.sampled_from(DAEMONS))
    def daemon_restarts(self, name: str) -> None:
        self.daemons[name] = Daemon()
        self.seen_revisions[name] = 0

    @invariant()
    def no_table_goes_backwards(self) -> None:
        for name, daemon in self.daemons.items():
            assert daemon.view.revision >= self.seen_revisions[name]
            assert daemon.view.revision <= self.version
            self.seen_revisions[name] = daemon.view.revision

    @invariant()
    def a_copy_is_the_service_at_its_revision(self) -> None:
        for daemon in self.daemons.values():
            if daemon.copy.revision == self.service.revision:
                assert daemon.copy.entries == self.service.entries

    def teardown(self) -> None:
        if not hasattr(self, "service"):
            return
        for name in WATCHERS:
            self.watch_brings_changes(name)
        for name in FOLLOWERS:
            self.follow(name, "w0")
        for daemon in self.daemons.values():
            assert daemon.copy.entries == self.service.entries
            assert daemon.view.revision == self.version


TestCopies = CopyMachine.TestCase
TestCopies.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
