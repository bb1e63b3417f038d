"""Fleets that keep copies current, without a network, on a clock that jumps."""

import asyncio
import random
from dataclasses import dataclass, field, replace

from rackswitch.clients.kv import (
    KvEntry,
    KvUnavailable,
    Operation,
    TxnPart,
    WatchNews,
    latest_news,
)
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, decode_member, vm_entry
from rackswitch.gateway.store.presence import Presence
from rackswitch.gateway.store.replica_set import ReplicaHandlers
from rackswitch.gateway.store.watching import ReplicaManager
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
    """The key-value service: its entries, and a sign of each change.

    Attributes
    ----------
    priced : float
        Calls so far; a renewal or an old reading counts a tenth.
    """

    store: KvStore = field(default_factory=KvStore)
    history: list[tuple[int, str, KvEntry | None]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    priced: float = 0.0

    def put(self, key: str, value: bytes) -> None:
        self.store.txn([TxnPart((), (Operation(key, value),))])
        self.note_changes()

    def note_changes(self) -> None:
        changes = [(entry.mod_revision, entry.key, entry) for entry in self.store.changed]
        changes += [(revision, key, None) for key, revision in self.store.deleted]
        self.store.changed.clear()
        self.store.deleted.clear()
        if changes:
            self.history.extend(changes)
            self.changed.set()
            self.changed = asyncio.Event()

    def news(self, prefix: str, revision: int) -> WatchNews:
        self.note_changes()
        newer = [
            change
            for change in self.history
            if change[0] > revision and change[1].startswith(prefix)
        ]
        return latest_news(
            [entry for _, _, entry in newer if entry is not None],
            [(key, at) for at, key, entry in newer if entry is None],
            self.store.revision,
        )


class WatchedKv(FaultyKv):
    """One daemon's connection to a service that can be watched."""

    def __init__(self, service: Service, rng: random.Random):
        super().__init__(service.store, rng, KvFaults())
        self._service = service

    async def read(self, key, is_prefix=False, keys_only=False, may_be_stale=False):
        self._service.priced += 0.1 if may_be_stale else 1.0
        return await super().read(key, is_prefix)

    async def keep_lease(self, lease_id):
        self._service.priced += 0.1
        return await super().keep_lease(lease_id)

    async def grant_lease(self, life_seconds):
        self._service.priced += 1.0
        return await super().grant_lease(life_seconds)

    async def txn(self, parts):
        self._service.priced += 1.0
        done = await super().txn(parts)
        self._service.note_changes()
        return done

    async def watch(self, key, from_revision):
        revision = from_revision
        wait_seconds = 0.0
        while True:
            self._service.priced += 1.0
            deadline_seconds = asyncio.get_running_loop().time() + wait_seconds
            news = self._service.news(key, revision)
            while not (news.entries or news.deleted):
                try:
                    async with asyncio.timeout_at(deadline_seconds):
                        await self._service.changed.wait()
                except TimeoutError:
                    break
                news = self._service.news(key, revision)
            await asyncio.sleep(self.faults.delay_seconds)
            if self._rng.random() < self.faults.refused:
                yield KvUnavailable("turned away", effect_unknown=False)
                return
            revision = max(revision, news.revision)
            wait_seconds = WATCH_SECONDS
            yield WatchNews(news.entries, revision, news.deleted)


class SimulatedDaemon:
    """One daemon: its copies, its entry, and when it learnt of each change."""

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
        self._members: dict[str, object] = {}
        handlers = {
            CONTROL: ReplicaHandlers(self._member_put, self._member_deleted),
            STATE: ReplicaHandlers(self._state_put, lambda key: None),
        }
        self.replica_manager = ReplicaManager(self.context, handlers, EnginePaces(), CONTROL)
        self.presence = Presence(self.context, 1, self.replica_manager.looked)

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
        self.context.daemon.membership.learn_listed(members, self.context.now_seconds())

    def _state_put(self, entry: KvEntry) -> None:
        self.received_at_seconds.setdefault(entry.value.decode(), self.context.now_seconds())


class FleetLinks:
    """Calls between the daemons of a run; one that is dead does not answer."""

    def __init__(self, run: "SpreadRun", zone: str):
        self._run = run
        self._zone = zone

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        node = self._run.nodes[peer.daemon]
        same_zone = node.zone == self._zone
        transit_seconds = SAME_ZONE_LATENCY_SECONDS if same_zone else OTHER_ZONE_LATENCY_SECONDS
        if not node.alive:
            await asyncio.sleep(timeout_seconds)
            return PeerUnreachable("no answer")
        try:
            async with asyncio.timeout(timeout_seconds):
                await asyncio.sleep(transit_seconds)
                reply = await node.replica_manager.server.serve(message)
                await asyncio.sleep(transit_seconds if node.alive else timeout_seconds)
        except TimeoutError:
            return PeerUnreachable("no answer in time")
        node.served += 1
        return reply


class SpreadRun:
    """A fleet that starts within a moment, as after a loss of everything."""

    def __init__(self, daemons: int, zones: int = 6, seed: int = 1):
        self.rng = random.Random(seed)
        self.service = Service()
        names = [(f"d{number:03d}", f"z{number % zones}") for number in range(daemons)]
        self.nodes = {
            name: SimulatedDaemon(name, zone, self.service, self.rng) for name, zone in names
        }
        self._tasks: list[tuple[SimulatedDaemon, asyncio.Task[None]]] = []

    async def start(self) -> None:
        self.service.put(STATE + "a", b"first")
        for node in self.nodes.values():
            node.context.daemon.links = FleetLinks(self, node.zone)
            for task in (node.replica_manager.run(), node.presence.run()):
                delay_seconds = self.rng.uniform(0.0, START_SECONDS)
                self._tasks.append((node, asyncio.create_task(_run_after(delay_seconds, task))))

    async def stop(self) -> None:
        for _, task in self._tasks:
            task.cancel()
        await asyncio.gather(*(task for _, task in self._tasks), return_exceptions=True)

    def kill(self, node: SimulatedDaemon) -> None:
        """End a daemon without a word, as a loss of power does."""
        node.alive = False
        for owner, task in self._tasks:
            if owner is node:
                task.cancel()

    def turn_away(self, node: SimulatedDaemon) -> None:
        """Have the service refuse all calls of a daemon from now on."""
        node.context.kv.faults.refused = 1.0

    def living(self) -> list[SimulatedDaemon]:
        return [node for node in self.nodes.values() if node.alive]

    def watchers(self) -> list[SimulatedDaemon]:
        return [node for node in self.living() if not node.replica_manager.followed]

    async def settled(self, limit_seconds: float = 10.0) -> float:
        """Wait until one daemon watches and all others follow; return how long that took."""
        loop = asyncio.get_running_loop()
        started_at_seconds = loop.time()
        async with asyncio.timeout(limit_seconds):
            while not self._is_settled():
                await asyncio.sleep(0.01)
        return loop.time() - started_at_seconds

    def _is_settled(self) -> bool:
        living = self.living()
        names = {node.context.daemon_name for node in living}
        is_complete = all(node.replica_manager.is_complete for node in living)
        followed = {node.replica_manager.followed for node in living} - {""}
        return is_complete and len(self.watchers()) == 1 and followed <= names

    async def spread(self, value: str, limit_seconds: float = 10.0) -> list[float]:
        """Change something; return after how long each daemon knew of it that can hear of it."""
        loop = asyncio.get_running_loop()
        started_at_seconds = loop.time()
        self.service.put(STATE + "a", value.encode())
        living = [node for node in self.living() if not node.context.kv.faults.refused]
        async with asyncio.timeout(limit_seconds):
            while not all(value in node.received_at_seconds for node in living):
                await asyncio.sleep(0.01)
        return sorted(node.received_at_seconds[value] - started_at_seconds for node in living)


async def _run_after(delay_seconds: float, task) -> None:
    await asyncio.sleep(delay_seconds)
    await task
