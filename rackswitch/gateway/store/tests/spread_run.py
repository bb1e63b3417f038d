"""Simulated fleets that keep replicas current, without a network, on a virtual clock."""

import asyncio
import random
from dataclasses import dataclass, field, replace

from rackswitch.clients.kv import (
    KvEntry,
    KvUnavailable,
    Operation,
    TxnPart,
    WatchUpdate,
    latest_update,
)
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, decode_member, vm_entry
from rackswitch.gateway.store.presence import Presence
from rackswitch.gateway.store.replica_manager import ReplicaManager
from rackswitch.gateway.store.replica_set import ReplicaHandlers
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.peers.links import PeerUnreachable
from rackswitch.standins.faulty_kv import FaultyKv, KvFaults
from rackswitch.standins.kv_store import KvStore

CONTROL = "control/"
STATE = "op/"
WATCH_SECONDS = 0.7
START_SECONDS = 0.3
SAME_ZONE_LATENCY_SECONDS = 0.0002
OTHER_ZONE_LATENCY_SECONDS = 0.001


@dataclass(slots=True)
class Service:
    """The key-value service: its entries, and a notification of each change.

    Attributes
    ----------
    billed_calls : float
        Calls so far; a lease renewal or a stale read counts as 0.1 calls.
    """

    store: KvStore = field(default_factory=KvStore)
    history: list[tuple[int, str, KvEntry | None]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    billed_calls: float = 0.0

    def put(self, key: str, value: bytes) -> None:
        self.store.txn([TxnPart((), (Operation(key, value),))])
        self.record_changes()

    def delete(self, key: str) -> None:
        self.store.txn([TxnPart((), (Operation(key, None),))])
        self.record_changes()

    def record_changes(self) -> None:
        changes = [(entry.mod_revision, entry.key, entry) for entry in self.store.changed]
        changes += [(revision, key, None) for key, revision in self.store.deleted]
        self.store.changed.clear()
        self.store.deleted.clear()
        if changes:
            self.history.extend(changes)
            self.changed.set()
            self.changed = asyncio.Event()

    def changes_after(self, prefix: str, revision: int) -> WatchUpdate:
        self.record_changes()
        newer = [
            change
            for change in self.history
            if change[0] > revision and change[1].startswith(prefix)
        ]
        return latest_update(
            [entry for _, _, entry in newer if entry is not None],
            [(key, at) for at, key, entry in newer if entry is None],
            self.store.revision,
        )


class WatchedKv(FaultyKv):
    """One daemon's connection to the service, with watches."""

    def __init__(self, service: Service, rng: random.Random):
        super().__init__(service.store, rng, KvFaults())
        self._service = service

    async def read(self, key, is_prefix=False, keys_only=False, may_be_stale=False):
        self._service.billed_calls += 0.1 if may_be_stale else 1.0
        return await super().read(key, is_prefix)

    async def renew_lease(self, lease_id):
        self._service.billed_calls += 0.1
        return await super().renew_lease(lease_id)

    async def grant_lease(self, ttl_seconds):
        self._service.billed_calls += 1.0
        return await super().grant_lease(ttl_seconds)

    async def txn(self, parts):
        self._service.billed_calls += 1.0
        result = await super().txn(parts)
        self._service.record_changes()
        return result

    async def watch(self, key, from_revision):
        revision = from_revision
        wait_seconds = 0.0
        while True:
            self._service.billed_calls += 1.0
            deadline_seconds = asyncio.get_running_loop().time() + wait_seconds
            update = self._service.changes_after(key, revision)
            while not (update.entries or update.deleted):
                try:
                    async with asyncio.timeout_at(deadline_seconds):
                        await self._service.changed.wait()
                except TimeoutError:
                    break
                update = self._service.changes_after(key, revision)
            await asyncio.sleep(self.faults.delay_seconds)
            if self._rng.random() < self.faults.refused:
                yield KvUnavailable("call rejected", effect_unknown=False)
                return
            revision = max(revision, update.revision)
            wait_seconds = WATCH_SECONDS
            yield WatchUpdate(update.entries, revision, update.deleted)


class SimulatedDaemon:
    """One daemon: its replicas, its entry, and when it received each change."""

    def __init__(self, name: str, zone: str, service: Service, rng: random.Random):
        self.context = make_gateway_context(name, service.store, rng.randrange(1 << 30))
        self.context.daemon.kv = WatchedKv(service, self.context.rng)
        self.context.settings = replace(self.context.settings, zone=zone)
        membership = self.context.daemon.membership
        membership.own = replace(membership.own, zone=zone)
        self.zone = zone
        self.alive = True
        self.served = 0
        self.received_at_seconds: dict[str, float] = {}
        self.put_keys: set[str] = set()
        self.deleted_keys: set[str] = set()
        self._members: dict[str, object] = {}
        handlers = {
            CONTROL: ReplicaHandlers(self._member_put, self._member_deleted),
            STATE: ReplicaHandlers(self._state_put, self.deleted_keys.add),
        }
        self.replica_manager = ReplicaManager(self.context, handlers, EnginePaces(), CONTROL)
        self.presence = Presence(self.context, 1, self.replica_manager.members_read)

    def _member_put(self, entry: KvEntry) -> None:
        name = entry.key.removeprefix(MEMBERS_PREFIX)
        member = decode_member(entry.value)
        self.context.member_entries[name] = member
        self._members[name] = vm_entry(name, member)
        self._update_membership()

    def _member_deleted(self, key: str) -> None:
        self._members.pop(key.removeprefix(MEMBERS_PREFIX), None)
        self._update_membership()

    def _update_membership(self) -> None:
        members = list(self._members.values())
        self.context.daemon.membership.update_from_complete_list(
            members, self.context.now_seconds()
        )

    def _state_put(self, entry: KvEntry) -> None:
        self.put_keys.add(entry.key)
        self.received_at_seconds.setdefault(entry.value.decode(), self.context.now_seconds())


class FleetLinks:
    """Calls between the daemons of a run; a dead daemon does not answer."""

    def __init__(self, run: "SpreadRun", zone: str):
        self._run = run
        self._zone = zone
        self.silent_at_seconds: dict[str, float] = {}

    def record_silence(self, daemon: str) -> None:
        self.silent_at_seconds[daemon] = asyncio.get_running_loop().time()

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        daemon = self._run.daemons[peer.daemon]
        same_zone = daemon.zone == self._zone
        transit_seconds = SAME_ZONE_LATENCY_SECONDS if same_zone else OTHER_ZONE_LATENCY_SECONDS
        if not daemon.alive:
            await asyncio.sleep(timeout_seconds)
            return PeerUnreachable("no answer")
        try:
            async with asyncio.timeout(timeout_seconds):
                await asyncio.sleep(transit_seconds)
                reply = await daemon.replica_manager.server.serve(message)
                await asyncio.sleep(transit_seconds if daemon.alive else timeout_seconds)
        except TimeoutError:
            return PeerUnreachable("no answer in time")
        daemon.served += 1
        return reply


class SpreadRun:
    """A fleet whose daemons all start within `START_SECONDS`."""

    def __init__(self, daemons: int, zones: int = 6, seed: int = 1):
        self.rng = random.Random(seed)
        self.service = Service()
        daemon_zones = [(f"d{number:03d}", f"z{number % zones}") for number in range(daemons)]
        self.daemons = {
            name: SimulatedDaemon(name, zone, self.service, self.rng) for name, zone in daemon_zones
        }
        self._tasks: list[tuple[SimulatedDaemon, asyncio.Task[None]]] = []

    async def start(self) -> None:
        self.service.put(STATE + "a", b"first")
        for daemon in self.daemons.values():
            daemon.context.daemon.links = FleetLinks(self, daemon.zone)
            for coroutine in (daemon.replica_manager.run(), daemon.presence.run()):
                delay_seconds = self.rng.uniform(0.0, START_SECONDS)
                self._tasks.append(
                    (daemon, asyncio.create_task(_run_after(delay_seconds, coroutine)))
                )

    async def stop(self) -> None:
        for _, task in self._tasks:
            task.cancel()
        await asyncio.gather(*(task for _, task in self._tasks), return_exceptions=True)

    def kill(self, daemon: SimulatedDaemon) -> None:
        """End a daemon without a planned stop."""
        daemon.alive = False
        for owner, task in self._tasks:
            if owner is daemon:
                task.cancel()

    def reject_calls(self, daemon: SimulatedDaemon) -> None:
        """Make the service reject all calls of a daemon."""
        daemon.context.kv.faults.refused = 1.0

    def living(self) -> list[SimulatedDaemon]:
        return [daemon for daemon in self.daemons.values() if daemon.alive]

    def watchers(self) -> list[SimulatedDaemon]:
        return [daemon for daemon in self.living() if not daemon.replica_manager.followed]

    async def wait_until_settled(self, limit_seconds: float = 10.0) -> float:
        """Wait until one daemon watches and all others follow; return the time taken."""
        loop = asyncio.get_running_loop()
        started_at_seconds = loop.time()
        async with asyncio.timeout(limit_seconds):
            while not self._is_settled():
                await asyncio.sleep(0.01)
        return loop.time() - started_at_seconds

    def _is_settled(self) -> bool:
        living = self.living()
        living_names = {daemon.context.daemon_name for daemon in living}
        all_complete = all(daemon.replica_manager.is_complete for daemon in living)
        followed = {daemon.replica_manager.followed for daemon in living} - {""}
        return all_complete and len(self.watchers()) == 1 and followed <= living_names

    async def propagate(self, value: str, limit_seconds: float = 10.0) -> list[float]:
        """Change an entry; return the sorted delays until each reachable daemon received it."""
        loop = asyncio.get_running_loop()
        started_at_seconds = loop.time()
        self.service.put(STATE + "a", value.encode())
        living = [daemon for daemon in self.living() if not daemon.context.kv.faults.refused]
        async with asyncio.timeout(limit_seconds):
            while not all(value in daemon.received_at_seconds for daemon in living):
                await asyncio.sleep(0.01)
        return sorted(daemon.received_at_seconds[value] - started_at_seconds for daemon in living)


async def _run_after(delay_seconds: float, coroutine) -> None:
    await asyncio.sleep(delay_seconds)
    await coroutine
