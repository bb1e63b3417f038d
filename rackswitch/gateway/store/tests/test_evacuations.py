"""Evacuations of zones as one daemon learns of them, in any order of messages."""

import asyncio

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rackswitch.clients.kv import KvEntry, WatchUpdate
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.store.replica_set import ReplicaSet
from rackswitch.gateway.store.state_manager import StateManager
from rackswitch.gateway.store.tests.spread_run import SpreadRun
from rackswitch.gateway.store.tests.test_replica_machine import Service
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.platform.desired_state import (
    EvacuationOrder,
    decode_operator_entry,
    evacuated_zone,
)
from rackswitch.platform.names import EVACUATE_PREFIX, OPERATOR_PREFIX
from rackswitch.routing import ListedTarget
from rackswitch.standins.kv_store import KvStore
from rackswitch.standins.platform_fleet import desired_state
from rackswitch.table import ServiceRow, StoredRow, TableDocument
from rackswitch.telemetry.events import EvacuationEnded, ZoneEvacuated
from rackswitch.warmup import Warmth

EVACUATION_BOUND_SECONDS = 5.0
ZONES = ("z1", "z2")


class Daemon:
    """One daemon's replica of the operators' entries, and the evacuations that follow from it."""

    def __init__(self):
        self.context = make_gateway_context("a", KvStore())
        self.context.daemon.log = self
        self.events: list = []
        ends = QuarantineManager(self.context, lambda: True).end_detector
        self.state = StateManager(self.context, ends)
        self.replicas = ReplicaSet({OPERATOR_PREFIX: self.state.operator_handlers()})

    def write(self, event) -> None:
        self.events.append(event)

    @property
    def revision(self) -> int:
        return self.replicas.by_prefix[OPERATOR_PREFIX].revision

    @property
    def zones(self) -> set[str]:
        return set(self.context.directory.eligibility.evacuations)

    def update(self, revision: int, *put: str, deleted: tuple[str, ...] = ()) -> None:
        update = WatchUpdate(
            tuple(evacuation(zone, revision) for zone in put),
            revision,
            tuple(EVACUATE_PREFIX + zone for zone in deleted),
        )
        self.replicas.apply_changes(OPERATOR_PREFIX, update)

    def snapshot(self, revision: int, *zones: str) -> None:
        entries = [evacuation(zone, revision) for zone in zones]
        self.replicas.apply_snapshot(OPERATOR_PREFIX, entries, revision)

    def follow(self, source: "Daemon") -> None:
        changes = source.replicas.by_prefix[OPERATOR_PREFIX].changes_since(self.revision)
        if changes is None:
            return
        if changes.is_complete:
            self.replicas.apply_snapshot(OPERATOR_PREFIX, changes.entries, changes.revision)
        else:
            update = WatchUpdate(changes.entries, changes.revision, changes.deleted)
            self.replicas.apply_changes(OPERATOR_PREFIX, update)


def evacuation(zone: str, revision: int) -> KvEntry:
    return KvEntry(EVACUATE_PREFIX + zone, b"{}", revision, revision)


def run_with_daemon(check) -> None:
    async def scenario():
        check(Daemon())

    run_on_virtual_clock(scenario())


def test_the_key_alone_names_the_zone():
    """A malformed value must not keep a zone in service."""
    assert decode_operator_entry("op/evacuate/z1", b"{}") == EvacuationOrder("z1")
    assert decode_operator_entry("op/evacuate/z1", b"\xff") == EvacuationOrder("z1")
    assert decode_operator_entry("op/evacuate/", b"{}") is None
    assert evacuated_zone("op/evacuate/z1") == "z1"
    assert [evacuated_zone(key) for key in ("op/evacuate/", "op/config", "op/version/m")] == [
        None,
        None,
        None,
    ]


def test_an_evacuation_is_logged_and_ends_with_its_key():
    def check(daemon: Daemon) -> None:
        daemon.context.directory.put(ListedTarget("t1", "s", "h", 1, "z1"))
        daemon.context.directory.put(ListedTarget("t2", "s", "h", 2, "z2"))
        daemon.context.list_confirmed_at_seconds = daemon.context.now_seconds() - 0.25
        daemon.update(4, "z1")
        usable = daemon.context.directory.usable("s", daemon.context.now_seconds())
        assert [target.instance for target in usable] == ["t2"]
        daemon.update(6, deleted=("z1",))
        assert len(daemon.context.directory.usable("s", daemon.context.now_seconds())) == 2
        begun, ended = daemon.events
        assert begun == ZoneEvacuated(
            zone="z1",
            revision=4,
            list_age_seconds=0.25,
            zones_evacuated=1,
            targets_excluded={"s": 1},
        )
        assert isinstance(ended, EvacuationEnded)
        assert (ended.zone, ended.revision, ended.zones_evacuated) == ("z1", 4, 0)
        assert ended.targets_excluded == {"s": 0}

    run_with_daemon(check)


def test_targets_of_a_zone_that_is_taken_back_are_cold():
    """Otherwise all daemons would fill the zone's engines, which may be cold, at once."""

    def check(daemon: Daemon) -> None:
        target = ListedTarget("t1", "s", "h", 1, "z1")
        daemon.context.directory.put(target)
        row = ServiceRow(name="s", cold_seconds=3.0, cold_requests_per_second=17.0)
        table = TableDocument(1, {"service/s": StoredRow(1, row)})
        daemon.context.daemon.view.replace_if_newer(table)
        daemon.update(4, "z1")
        daemon.update(6, deleted=("z1",))
        now_seconds = daemon.context.now_seconds()
        cold_sends = daemon.context.cold_sends
        assert cold_sends.warmth(target, now_seconds) is Warmth.COLD
        assert cold_sends.targets.until_seconds(target.start) == now_seconds + 3.0

    run_with_daemon(check)


def test_a_zone_evacuated_twice_is_back_after_one_deletion():
    """A count of orders, or a second event, would keep the zone out or look like a new one."""

    def check(daemon: Daemon) -> None:
        daemon.update(4, "z1")
        daemon.update(5, "z1")
        assert len(daemon.events) == 1
        assert daemon.context.directory.eligibility.evacuations["z1"].revision == 5
        daemon.update(6, deleted=("z1",))
        daemon.update(7, deleted=("z1",))
        assert daemon.zones == set()
        assert len(daemon.events) == 2

    run_with_daemon(check)


def test_a_late_deletion_does_not_end_a_later_evacuation():
    """A watch may deliver changes after a peer has delivered later ones."""

    def check(daemon: Daemon) -> None:
        daemon.update(4, "z1")
        daemon.update(8, "z1")
        daemon.update(6, deleted=("z1",))
        assert daemon.zones == {"z1"}
        daemon.update(9, deleted=("z1",))
        daemon.update(8, "z1")
        assert daemon.zones == set()

    run_with_daemon(check)


def test_other_deletions_of_operators_are_ignored():
    """The newest table and versions stay in force when their entries are deleted."""

    def check(daemon: Daemon) -> None:
        daemon.update(4, "z1")
        for key in ("op/config", "op/version/m", "op/retire/v", "op/evacuate/"):
            update = WatchUpdate((), 5, (key,))
            daemon.replicas.apply_changes(OPERATOR_PREFIX, update)
        assert daemon.zones == {"z1"}
        assert len(daemon.events) == 1

    run_with_daemon(check)


def test_a_snapshot_begins_and_ends_evacuations():
    """A daemon that starts during one, or whose history was forgotten, gets only a snapshot."""

    def check(daemon: Daemon) -> None:
        daemon.snapshot(4, "z1")
        assert daemon.zones == {"z1"}
        daemon.snapshot(3)
        assert daemon.zones == {"z1"}
        daemon.snapshot(9, "z2")
        assert daemon.zones == {"z2"}

    run_with_daemon(check)


def test_a_follower_learns_of_an_end_that_its_source_has_skipped():
    """The source's history was forgotten, so no change that it knows deletes the key."""

    async def scenario():
        source, follower = Daemon(), Daemon()
        for daemon in (source, follower):
            daemon.snapshot(2)
        follower.update(4, "z1")
        source.snapshot(6)
        source.update(7, "z2")
        second_follower = Daemon()
        second_follower.snapshot(2)
        second_follower.follow(source)
        follower.follow(second_follower)
        assert follower.zones == source.zones == {"z2"}

    run_on_virtual_clock(scenario())


class EvacuationMachine(RuleBasedStateMachine):
    """Puts, deletions and snapshots reach daemons late, repeated and in any order.

    The naive twin is the set of evacuated zones by revision of the service: a daemon whose replica
    is complete up to a revision must know exactly the zones evacuated at that revision.
    """

    @initialize()
    def set_up(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.service = Service()
        self.zones_at = {1: frozenset()}
        self.daemons = self.loop.run_until_complete(self._make_daemons())
        for daemon in self.daemons[:2]:
            self._call(daemon.replicas.apply_snapshot, OPERATOR_PREFIX, (), 1)
        self.updates: list[tuple[int, WatchUpdate]] = []
        self.snapshots: list[tuple[tuple[KvEntry, ...], int]] = []

    async def _make_daemons(self) -> list[Daemon]:
        return [Daemon() for _ in range(3)]

    def _call(self, function, *arguments) -> None:
        async def call():
            function(*arguments)

        self.loop.run_until_complete(call())

    @rule(zone=st.sampled_from(ZONES), is_deleted=st.booleans())
    def operators_change_an_evacuation(self, zone: str, is_deleted: bool) -> None:
        before = self.zones_at[self.service.revision]
        if is_deleted:
            self.service.delete(EVACUATE_PREFIX + zone)
            after = before - {zone}
        else:
            self.service.put(EVACUATE_PREFIX + zone, b"{}")
            after = before | {zone}
        self.zones_at[self.service.revision] = after

    @rule(number=st.integers(0, 2))
    def a_watch_sends_changes(self, number: int) -> None:
        revision = self.daemons[number].revision
        update = self.service.changes_after(revision) if revision else None
        if update is not None:
            self.updates.append((number, update))

    @rule(number=st.integers(0, 2))
    def a_watch_is_current(self, number: int) -> None:
        self.a_watch_sends_changes(number)
        if self.updates and self.updates[-1][0] == number:
            update = self.updates[-1][1]
            self._call(self.daemons[number].replicas.apply_changes, OPERATOR_PREFIX, update)

    @rule(number=st.integers(0, 2))
    def a_daemon_reads_a_snapshot(self, number: int) -> None:
        entries, revision = tuple(self.service.entries.values()), self.service.revision
        replicas = self.daemons[number].replicas
        self._call(replicas.apply_snapshot, OPERATOR_PREFIX, entries, revision)

    @rule(draw=st.integers(0, 100))
    def changes_arrive(self, draw: int) -> None:
        if self.updates:
            number, update = self.updates[draw % len(self.updates)]
            daemon = self.daemons[number]
            self._call(daemon.replicas.apply_changes, OPERATOR_PREFIX, update)

    @rule()
    def a_snapshot_is_read(self) -> None:
        self.snapshots.append((tuple(self.service.entries.values()), self.service.revision))

    @rule(number=st.integers(0, 2), draw=st.integers(0, 100))
    def a_snapshot_arrives(self, number: int, draw: int) -> None:
        if self.snapshots:
            entries, revision = self.snapshots[draw % len(self.snapshots)]
            daemon = self.daemons[number]
            self._call(daemon.replicas.apply_snapshot, OPERATOR_PREFIX, entries, revision)

    @rule(number=st.integers(0, 2), source=st.integers(0, 2))
    def a_daemon_polls_another(self, number: int, source: int) -> None:
        self._call(self.daemons[number].follow, self.daemons[source])

    @rule(number=st.integers(0, 2))
    def a_daemon_restarts(self, number: int) -> None:
        self.daemons[number] = self.loop.run_until_complete(self._make_daemons())[0]
        self.updates = [entry for entry in self.updates if entry[0] != number]

    @invariant()
    def daemons_know_the_zones_of_their_revision(self) -> None:
        for daemon in self.daemons:
            if daemon.revision:
                assert daemon.zones == self.zones_at[daemon.revision]
            else:
                assert not daemon.zones

    def teardown(self) -> None:
        if hasattr(self, "loop"):
            self.loop.close()


TestEvacuations = EvacuationMachine.TestCase
TestEvacuations.settings = settings(max_examples=150, stateful_step_count=50, deadline=None)


async def _wait_until_known(run: SpreadRun, attribute: str, key: str) -> float:
    """Wait until all reachable daemons have seen a change of a key; return the time taken."""
    loop = asyncio.get_running_loop()
    started_at_seconds = loop.time()
    async with asyncio.timeout(2 * EVACUATION_BOUND_SECONDS):
        while any(key not in getattr(daemon, attribute) for daemon in run.living()):
            await asyncio.sleep(0.01)
    return loop.time() - started_at_seconds


@pytest.mark.parametrize("is_deleted", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_changes_reach_the_followers_of_a_daemon_that_dies_before_passing_them_on(seed, is_deleted):
    """Guards against a zone that stays in use, or out of use, behind a relaying daemon's death."""

    async def scenario():
        run = SpreadRun(40, seed=seed)
        key = EVACUATE_PREFIX + "z1"
        if is_deleted:
            run.service.put(key, b"{}")
        await run.start()
        await run.wait_until_settled()
        (root,) = run.watchers()
        if is_deleted:
            run.service.delete(key)
        else:
            run.service.put(key, b"{}")
        attribute = "deleted_keys" if is_deleted else "put_keys"
        while key not in getattr(root, attribute):
            await asyncio.sleep(0.0001)
        run.kill(root)
        assert await _wait_until_known(run, attribute, key) < EVACUATION_BOUND_SECONDS
        await run.stop()

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_a_daemon_that_the_service_rejects_learns_of_an_evacuation_from_others(seed):
    async def scenario():
        run = SpreadRun(12, seed=seed)
        await run.start()
        await run.wait_until_settled()
        run.reject_calls(run.rng.choice(run.living()))
        run.service.put(EVACUATE_PREFIX + "z1", b"{}")
        seconds = await _wait_until_known(run, "put_keys", EVACUATE_PREFIX + "z1")
        assert seconds < EVACUATION_BOUND_SECONDS
        await run.stop()

    run_on_virtual_clock(scenario())


def test_a_table_change_leaves_evacuations_in_force():
    """A new table replaces routes and services, not what operators have evacuated."""

    def check(daemon: Daemon) -> None:
        daemon.update(4, "z1")
        value = msgspec.json.encode(desired_state(3))
        update = WatchUpdate((KvEntry("op/config", value, 5, 5),), 5, ())
        daemon.replicas.apply_changes(OPERATOR_PREFIX, update)
        assert daemon.context.table_revision == 3
        assert daemon.zones == {"z1"}

    run_with_daemon(check)
