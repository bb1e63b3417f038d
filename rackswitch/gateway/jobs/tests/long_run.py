"""Gateways' job keepers on one clock that jumps, with faults two at a time, seen from outside."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from rackswitch.clients.kv import KvUnavailable, Operation, TxnPart
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_outcomes import Appended, JobCreated, JobKnown, JobNotStored
from rackswitch.gateway.jobs.job_records import (
    JOBS_PREFIX,
    OWNERS_PREFIX,
    RESULTS_PREFIX,
    pack_checkpoint,
    pack_results,
)
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, decode_member, vm_entry
from rackswitch.gateway.store.presence import Presence
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.gateway.store.session import Session
from rackswitch.gateway.tests.support import (
    NoLooks,
    NoQuarantine,
    break_at_random,
    make_gateway_context,
)
from rackswitch.jobs import Job, JobItem, JobResult, TextPiece
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.platform.item_runs import ItemRunEnd, ItemRunEnded
from rackswitch.routing import ListedTarget, Target
from rackswitch.standins.faulty_kv import FaultyKv, KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import (
    Handling,
    RouteChoice,
    RouteRow,
    ServiceRow,
    StoredRow,
    TableDocument,
    index_routes,
)

CONTROL = "control/"
ENGINES = 3
SLOTS = 4
COPY_SECONDS = 0.3
FAULT_SECONDS = (0.5, 7.0)
CALM_SECONDS = (0.2, 2.0)
READ_SECONDS = 0.4
FAULTS = ("crash", "freeze", "cut off", "lapse", "lost_answer", "late_effect", "lost_request")
STOPS = (*FAULTS, "stop", "stop", "stop", "outage")
STOP_GRACE_SECONDS = 6.0

ROUTE = RouteRow(
    name="samples",
    choices=(RouteChoice(serves="s"),),
    host="h",
    path_prefix="/",
    handling=Handling.BATCH,
    most_attempts=3,
    due_seconds=10.0,
    keep_seconds=10_000.0,
)
TABLE = TableDocument(
    1,
    {
        "route/samples": StoredRow(1, ROUTE),
        "service/s": StoredRow(1, ServiceRow(name="s", slots=SLOTS, models=("m",))),
    },
)


def piece_text(item_id: str, number: int) -> str:
    return f"{item_id}:{number}"


def make_jobs(rng: random.Random, count: int) -> list[Job]:
    return [
        Job(
            job_id=f"j{number}",
            host="h",
            path="/",
            items=tuple(
                JobItem(item_id=f"j{number}-{item}", path="/", headers=(), body=b"", tokens=1)
                for item in range(rng.randrange(5, 40))
            ),
            model="m",
            submitted_at_unix_seconds=time.time(),
        )
        for number in range(count)
    ]


class StallingKv(FaultyKv):
    """A connection that a frozen daemon does not get round to: calls and answers wait."""

    def __init__(self, store: KvStore, rng: random.Random, faults: KvFaults):
        super().__init__(store, rng, faults)
        self.runs = asyncio.Event()
        self.runs.set()

    async def _answers(self) -> bool:
        await self.runs.wait()
        answered = await super()._answers()
        await self.runs.wait()
        return answered

    async def txn(self, parts):
        await self.runs.wait()
        done = await super().txn(parts)
        await self.runs.wait()
        return done


class RandomRunner(ItemRunner):
    """Makes texts without engines: some runs break, some fail, all are the item's own."""

    def __init__(self, context, rng: random.Random):
        super().__init__(context, None, None, EnginePaces(), NoQuarantine())
        self._rng = rng

    async def _stream(self, ledger, progress, target, gaps, urgency) -> ItemRunEnded:
        while True:
            await asyncio.sleep(self._rng.expovariate(4.0))
            number = progress.last_number + 1
            text = piece_text(progress.item.item_id, number)
            fault = progress.accept(TextPiece(number, text, 1), 0)
            if fault is not None:
                return ItemRunEnded(ItemRunEnd.BROKEN, fault.detail)
            chance = self._rng.random()
            if chance < 0.05:
                return ItemRunEnded(ItemRunEnd.BROKEN, "broken off")
            if chance < 0.06:
                return ItemRunEnded(ItemRunEnd.FAILED, "status 500")
            if chance < 0.2:
                return ItemRunEnded(ItemRunEnd.WHOLE)


class NaiveJobStore(JobStore):
    """Appends where it believes the end to be, asking nobody whether the job is its own."""

    async def append(self, job_id, owner_revision, position, results):
        key = f"{RESULTS_PREFIX}{job_id}/{position:08d}"
        part = TxnPart((), (Operation(key, pack_results(results)),))
        done = await self._txn(part)
        return done if isinstance(done, JobNotStored) else Appended(results)


class FleetLinks:
    """Calls between the daemons of a run: a frozen or dead one does not answer."""

    def __init__(self, nodes: dict[str, "Node"]):
        self._nodes = nodes

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        node = self._nodes[peer.daemon]
        if not node.kv.runs.is_set() or not node.context.daemon.has_tasks:
            await asyncio.sleep(timeout_seconds)
            return PeerUnreachable("no answer")
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._answer(node, message)
        except TimeoutError:
            return PeerUnreachable("no answer in time")
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return PeerUnreachable("its process has ended")

    async def _answer(self, node: "Node", message):
        if isinstance(message, pb.HandOverRequest):
            return await node.keeper.receive(message)
        assert isinstance(message, pb.YieldJobRequest)
        checkpoint = await node.keeper.yield_job(
            message.job_id, message.owner_revision, message.daemon
        )
        if checkpoint is None:
            return pb.YieldJobReply(worked_on=False)
        return pb.YieldJobReply(worked_on=True, checkpoint=pack_checkpoint(checkpoint))


class Node:
    """One process of a daemon: its session, its copy of the entries, its jobs."""

    def __init__(
        self,
        name: str,
        kv: KvStore,
        rng: random.Random,
        store_kind: type[JobStore] = JobStore,
        runner_kind: Callable[[GatewayContext, random.Random], ItemRunner] | None = None,
    ):
        self.faults = KvFaults()
        self.context = make_gateway_context(name, kv, rng.randrange(1 << 30), self.faults)
        self.kv = StallingKv(kv, rng, self.faults)
        self.context.daemon.kv = self.kv
        self.context.daemon.view.offer(TABLE)
        self.context.routes = index_routes(TABLE)
        for number in range(ENGINES):
            listed = ListedTarget(f"e{number}", "s", "h", 1, "z", SLOTS, False, {"m": 1})
            self.context.directory.put(listed)
            self.context.targets[listed.instance] = Target(listed.instance, listed.url, "z")
        self.looked = asyncio.Event()
        self.presence = Presence(self.context, 1, self.looked)
        self.session = Session(
            self.context, lambda: self.keeper.session_lost(), lambda: bool(self.keeper.owned)
        )
        runner = (runner_kind or RandomRunner)(self.context, rng)
        store = store_kind(self.context)
        self.keeper = JobManager(self.context, self.session, store, runner, NoLooks())
        self._copy = PrefixReplica(CONTROL)
        self._members: dict[str, object] = {}

    def start(self) -> None:
        duties = (self.presence.run(), self.session.run(), self._follow(), self.keeper.run())
        for duty in duties:
            self.context.daemon.spawn_duty(duty)

    async def stop(self) -> None:
        """Stop as planned: tell, hand over, give the lease back, end."""
        self.context.daemon.stopping = True
        self.context.daemon.membership.leave()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_GRACE_SECONDS):
                await self.presence.tell_leaving()
                await self.keeper.hand_over()
        await self.session.end()
        await self.context.daemon.cancel_all()

    async def _follow(self) -> None:
        """Keep the copy, some time behind the service."""
        while True:
            await asyncio.sleep(COPY_SECONDS * (0.5 + self.context.rng.random()))
            read = await self.kv.read(CONTROL, is_prefix=True)
            self.context.contact.note(self.context.now_seconds(), read)
            if isinstance(read, KvUnavailable):
                continue
            news = self._copy.replace(read.entries, read.revision)
            for entry in news.entries:
                self._put(entry)
            for key in news.deleted:
                self._deleted(key)
            self.looked.set()

    def _put(self, entry) -> None:
        if entry.key.startswith(MEMBERS_PREFIX):
            name = entry.key.removeprefix(MEMBERS_PREFIX)
            member = decode_member(entry.value)
            self._members[name] = vm_entry(name, member)
            self.context.member_entries[name] = member
            self._tell_members()
        elif entry.key.startswith(JOBS_PREFIX):
            self.keeper.marker_put(entry)
        elif entry.key.startswith(OWNERS_PREFIX):
            self.keeper.owner_put(entry)

    def _deleted(self, key: str) -> None:
        if key.startswith(MEMBERS_PREFIX):
            self._members.pop(key.removeprefix(MEMBERS_PREFIX), None)
            self._tell_members()
        elif key.startswith(OWNERS_PREFIX):
            self.keeper.owner_deleted(key)

    def _tell_members(self) -> None:
        members = list(self._members.values())
        self.context.daemon.membership.learn_listed(members, self.context.now_seconds())


@dataclass(slots=True)
class Seen:
    """What readers have been told, counted outside of the daemons."""

    positions: dict[tuple[str, int], JobResult] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def read(self, job_id: str, results: list[JobResult]) -> None:
        """Take in a job's results from position 0 on."""
        ids = [result.item_id for result in results]
        if len(ids) != len(set(ids)):
            self.violations.append(f"{job_id}: an item stands twice")
        for position, result in enumerate(results):
            lines = result.text.split("\n")
            whole = [piece_text(result.item_id, n + 1) for n in range(len(lines))]
            if result.completed and lines != whole:
                self.violations.append(f"{job_id}: the text at {position} is not the item's own")
            before = self.positions.setdefault((job_id, position), result)
            if before != result:
                self.violations.append(f"{job_id}: position {position} changed")


class LongRun:
    """A fleet of daemons that take, run and hand over jobs while it is broken at random."""

    def __init__(
        self, seed: int, store_kind: type[JobStore] = JobStore, faults: Sequence[str] = FAULTS
    ):
        self._faults = faults
        self.rng = random.Random(seed)
        self.kv = KvStore()
        self.seen = Seen()
        self.jobs = make_jobs(self.rng, 6)
        self._store_kind = store_kind
        self.nodes: dict[str, Node] = {}
        self.accepted: set[str] = set()

    async def run(self, seconds: float) -> None:
        for name in ("a", "b", "c"):
            self._start(name)
        breaking = break_at_random(self.rng, CALM_SECONDS, self._faults, self._fault)
        work = [asyncio.create_task(duty) for duty in (self._submit(), self._read(), breaking)]
        await asyncio.sleep(seconds)
        work[2].cancel()
        await asyncio.gather(work[2], return_exceptions=True)
        self._heal()
        await self._settle()
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        for name, node in self.nodes.items():
            if node.context.daemon.broken is not None:
                self.seen.violations.append(f"{name}: {node.context.daemon.broken}")
            await node.context.daemon.cancel_all()

    def _start(self, name: str) -> None:
        self.nodes[name] = Node(name, self.kv, self.rng, self._store_kind)
        self.nodes[name].context.daemon.links = FleetLinks(self.nodes)  # type: ignore[assignment]
        self.nodes[name].start()

    async def _submit(self) -> None:
        for job in self.jobs:
            while job.job_id not in self.accepted:
                node = self.rng.choice(list(self.nodes.values()))
                outcome = await node.keeper.submit(job)
                if isinstance(outcome, JobCreated | JobKnown):
                    self.accepted.add(job.job_id)
                await asyncio.sleep(self.rng.uniform(0.1, 2.0))

    async def _read(self) -> None:
        """Read as trainers do: an owner that is sure of itself answers from memory."""
        reader = JobStore(make_gateway_context("reader", self.kv))
        while True:
            await asyncio.sleep(READ_SECONDS * self.rng.random())
            for job in self.jobs:
                for node in self.nodes.values():
                    owned = node.keeper.owned.get(job.job_id)
                    if owned is not None and node.session.is_sure() and node.kv.runs.is_set():
                        self.seen.read(job.job_id, list(owned.ledger.listed))
                kept = await reader.load_results(job.job_id, 0)
                if not isinstance(kept, KvUnavailable):
                    self.seen.read(job.job_id, kept)

    async def _fault(self, kind: str) -> None:
        name = self.rng.choice(list(self.nodes))
        node = self.nodes[name]
        seconds = self.rng.uniform(*FAULT_SECONDS)
        if kind == "crash":
            await node.context.daemon.cancel_all()
            await asyncio.sleep(seconds)
            if self.nodes[name] is node:
                self._start(name)
        elif kind == "stop":
            await node.stop()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            if self.nodes[name] is node:
                self._start(name)
        elif kind == "outage":
            await self._outage(seconds)
        elif kind == "freeze":
            node.kv.runs.clear()
            await asyncio.sleep(seconds)
            node.kv.runs.set()
        elif kind == "cut off":
            node.faults.down = True
            await asyncio.sleep(seconds)
            node.faults.down = False
        elif kind == "lapse":
            self.kv.end_lease(node.session.lease_id or 0)
        else:
            for other in self.nodes.values():
                setattr(other.faults, kind, self.rng.uniform(0.1, 0.6))
            await asyncio.sleep(seconds)
            for other in self.nodes.values():
                setattr(other.faults, kind, 0.0)

    async def _outage(self, seconds: float) -> None:
        """Have the service answer nobody; daemons that start meanwhile get no answer either."""
        until_seconds = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until_seconds:
            for node in self.nodes.values():
                node.faults.down = True
            await asyncio.sleep(0.05)
        for node in self.nodes.values():
            node.faults.down = False

    def _heal(self) -> None:
        for name, node in list(self.nodes.items()):
            node.kv.runs.set()
            node.faults.down = False
            node.faults.lost_answer = node.faults.late_effect = node.faults.lost_request = 0.0
            if not node.context.daemon.has_tasks:
                self._start(name)

    async def _settle(self) -> None:
        """Wait until all accepted jobs are whole."""
        reader = JobStore(make_gateway_context("settler", self.kv))
        missing = {job.job_id: len(job.items) for job in self.jobs}
        for _ in range(600):
            await asyncio.sleep(0.5)
            for job_id, total in list(missing.items()):
                kept = await reader.load_results(job_id, 0)
                if len(kept) == total:
                    self.seen.read(job_id, kept)
                    del missing[job_id]
            if not missing:
                return
        self.seen.violations.append(f"not whole after all faults were healed: {sorted(missing)}")
