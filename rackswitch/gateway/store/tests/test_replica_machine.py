"""State machine test of replicas: tables never revert, and all replicas converge.

It drives a service that discards its history, daemons that watch it, and daemons that follow
others. Each daemon's table is compared with its earlier one, and at the end with the service.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rackswitch.clients.kv import KvEntry, WatchUpdate, latest_update
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.table import TableDocument, TableView

CONFIG = "op/config"
KEYS = (CONFIG, "op/a", "op/b")
WATCHERS = ("w0", "w1")
FOLLOWERS = ("f0", "f1")
DAEMONS = (*WATCHERS, *FOLLOWERS)


class Service:
    """The key-value service: its entries, and the changes in its history."""

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[str, KvEntry] = {}
        self.history: list[tuple[int, str, KvEntry | None]] = []
        self.oldest_known_revision = 1

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        entry = KvEntry(key, value, self.revision, self.revision)
        self.entries[key] = entry
        self.history.append((self.revision, key, entry))

    def delete(self, key: str) -> None:
        self.revision += 1
        self.entries.pop(key, None)
        self.history.append((self.revision, key, None))

    def changes_after(self, revision: int) -> WatchUpdate | None:
        """Return the changes of a watch; None if that part of the history is discarded."""
        if revision < self.oldest_known_revision:
            return None
        newer = [change for change in self.history if change[0] > revision]
        return latest_update(
            [entry for _, _, entry in newer if entry is not None],
            [(key, changed) for changed, key, entry in newer if entry is None],
            self.revision,
        )


class Daemon:
    """A replica, and the table in force according to its entries."""

    def __init__(self) -> None:
        self.replica = PrefixReplica("op/")
        self.view = TableView()

    def apply_table_changes(self, update: WatchUpdate) -> None:
        for entry in update.entries:
            if entry.key == CONFIG:
                self.view.replace_if_newer(TableDocument(revision=int(entry.value)))


class ReplicaStateMachine(RuleBasedStateMachine):
    """Changes, watches, snapshots and followers in any order."""

    @initialize()
    def set_up_fleet(self) -> None:
        self.service = Service()
        self.daemons = {name: Daemon() for name in DAEMONS}
        self.version = 1
        self.service.put(CONFIG, b"1")
        self.last_table_revisions = dict.fromkeys(DAEMONS, 0)
        self.delayed_snapshots: list[tuple[tuple[KvEntry, ...], int]] = []

    @rule(step=st.integers(1, 5))
    def operator_writes(self, step: int) -> None:
        self.version += step
        self.service.put(CONFIG, str(self.version).encode())

    @rule(key=st.sampled_from(KEYS[1:]), is_deleted=st.booleans())
    def other_key_changes(self, key: str, is_deleted: bool) -> None:
        if is_deleted:
            self.service.delete(key)
        else:
            self.service.put(key, b"x")

    @rule()
    def service_compacts_history(self) -> None:
        self.service.oldest_known_revision = self.service.revision

    @rule()
    def snapshot_is_read(self) -> None:
        snapshot = (tuple(self.service.entries.values()), self.service.revision)
        self.delayed_snapshots.append(snapshot)

    @rule(name=st.sampled_from(DAEMONS))
    def delayed_snapshot_arrives(self, name: str) -> None:
        if self.delayed_snapshots:
            entries, revision = self.delayed_snapshots.pop()
            daemon = self.daemons[name]
            daemon.apply_table_changes(daemon.replica.replace(entries, revision))

    @rule(name=st.sampled_from(DAEMONS))
    def daemon_reads_snapshot(self, name: str) -> None:
        daemon = self.daemons[name]
        entries = tuple(self.service.entries.values())
        daemon.apply_table_changes(daemon.replica.replace(entries, self.service.revision))

    @rule(name=st.sampled_from(WATCHERS))
    def daemon_watches(self, name: str) -> None:
        daemon = self.daemons[name]
        update = (
            self.service.changes_after(daemon.replica.revision) if daemon.replica.revision else None
        )
        if update is None:
            self.daemon_reads_snapshot(name)
            return
        daemon.replica.apply(update)
        daemon.apply_table_changes(update)

    @rule(name=st.sampled_from(DAEMONS), source=st.sampled_from(DAEMONS))
    def follow(self, name: str, source: str) -> None:
        if name == source:
            return
        daemon = self.daemons[name]
        changes = self.daemons[source].replica.changes_since(daemon.replica.revision)
        if changes is None:
            return
        if changes.is_complete:
            daemon.apply_table_changes(daemon.replica.replace(changes.entries, changes.revision))
            return
        update = WatchUpdate(changes.entries, changes.revision, changes.deleted)
        daemon.replica.apply(update)
        daemon.apply_table_changes(update)

    @rule(name=st.sampled_from(DAEMONS))
    def daemon_restarts(self, name: str) -> None:
        self.daemons[name] = Daemon()
        self.last_table_revisions[name] = 0

    @invariant()
    def table_revision_never_decreases(self) -> None:
        for name, daemon in self.daemons.items():
            assert daemon.view.revision >= self.last_table_revisions[name]
            assert daemon.view.revision <= self.version
            self.last_table_revisions[name] = daemon.view.revision

    @invariant()
    def replica_equals_service_at_same_revision(self) -> None:
        for daemon in self.daemons.values():
            if daemon.replica.revision == self.service.revision:
                assert daemon.replica.entries == self.service.entries

    def teardown(self) -> None:
        if not hasattr(self, "service"):
            return
        for name in WATCHERS:
            self.daemon_watches(name)
        for name in FOLLOWERS:
            self.follow(name, "w0")
        for daemon in self.daemons.values():
            assert daemon.replica.entries == self.service.entries
            assert daemon.view.revision == self.version


TestReplicas = ReplicaStateMachine.TestCase
TestReplicas.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
