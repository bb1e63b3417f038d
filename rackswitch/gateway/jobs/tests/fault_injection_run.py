"""A simulated fleet of job managers under random concurrent faults, checked by a reader."""

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
    NoLoadPoller,
    NoQuarantine,
    inject_random_faults,
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

CONTROL_PREFIX = "control/"
ENGINES = 3
SLOTS = 4
REPLICA_INTERVAL_SECONDS = 0.3
FAULT_DURATION_SECONDS = (0.5, 7.0)
FAULT_FREE_SECONDS = (0.2, 2.0)
READ_INTERVAL_SECONDS = 0.4
FAULTS = ("crash", "freeze", "cut off", "lapse", "lost_answer", "late_effect", "lost_request")
FAULTS_WITH_STOPS = (*FAULTS, "stop", "stop", "stop", "outage")
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
    """A connection of a daemon that can be suspended; calls and replies wait meanwhile."""

    def __init__(self, store: KvStore, rng: random.Random, faults: KvFaults):
        super().__init__(store, rng, faults)
        self.running = asyncio.Event()
        self.running.set()

    async def _answers(self) -> bool:
        await self.running.wait()
        answered = await super()._answers()
        await self.running.wait()
        return answered

    async def txn(self, parts):
        await self.running.wait()
        done = await super().txn(parts)
        await self.running.wait()
        return done


class RandomRunner(ItemRunner):
    """Generates texts without engines; some runs are interrupted and some fail."""

    def __init__(self, context, rng: random.Random):
        super().__init__(context, None, None, EnginePaces(), NoQuarantine())
        self._rng = rng

    async def _stream(self, ledger, progress, target, intervals, urgency) -> ItemRunEnded:
        while True:
            await asyncio.sleep(self._rng.expovariate(4.0))
            number = progress.last_number + 1
            text = piece_text(progress.item.item_id, number)
            fault = progress.accept(TextPiece(number, text, 1), 0)
            if fault is not None:
                return ItemRunEnded(ItemRunEnd.INTERRUPTED, fault.detail)
            draw = self._rng.random()
            if draw < 0.05:
                return ItemRunEnded(ItemRunEnd.INTERRUPTED, "stream interrupted")
            if draw < 0.06:
                return ItemRunEnded(ItemRunEnd.FAILED, "status 500")
            if draw < 0.2:
                return ItemRunEnded(ItemRunEnd.COMPLETE)


class UnfencedJobStore(JobStore):
    """Appends after the last known position without a check of the ownership."""

    async def append(self, job_id, owner_revision, position, results):
        key = f"{RESULTS_PREFIX}{job_id}/{position:08d}"
        part = TxnPart((), (Operation(key, pack_results(results)),))
        done = await self._txn(part)
        return done if isinstance(done, JobNotStored) else Appended(results)


class FleetLinks:
    """Calls between the daemons of a run; suspended and dead daemons do not reply."""

    def __init__(self, processes: dict[str, "DaemonProcess"]):
        self._nodes = processes

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        process = self._nodes[peer.daemon]
        if not process.kv.running.is_set() or not process.context.daemon.has_tasks:
            await asyncio.sleep(timeout_seconds)
            return PeerUnreachable("no reply")
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._answer(process, message)
        except TimeoutError:
            return PeerUnreachable("no reply within the timeout")
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return PeerUnreachable("its process has ended")

    async def _answer(self, process: "DaemonProcess", message):
        if isinstance(message, pb.HandOverRequest):
            return await process.job_manager.receive_hand_over(message)
        assert isinstance(message, pb.YieldJobRequest)
        checkpoint = await process.job_manager.release_job(
            message.job_id, message.owner_revision, message.daemon
        )
        if checkpoint is None:
            return pb.YieldJobReply(worked_on=False)
        return pb.YieldJobReply(worked_on=True, checkpoint=pack_checkpoint(checkpoint))


class DaemonProcess:
    """One process of a daemon: its session, its replica of the control entries, its jobs."""

    def __init__(
        self,
        name: str,
        kv: KvStore,
        rng: random.Random,
        store_class: type[JobStore] = JobStore,
        make_runner: Callable[[GatewayContext, random.Random], ItemRunner] | None = None,
    ):
        self.faults = KvFaults()
        self.context = make_gateway_context(name, kv, rng.randrange(1 << 30), self.faults)
        self.kv = StallingKv(kv, rng, self.faults)
        self.context.daemon.kv = self.kv
        self.context.daemon.view.replace_if_newer(TABLE)
        self.context.routes = index_routes(TABLE)
        for number in range(ENGINES):
            listed = ListedTarget(f"e{number}", "s", "h", 1, "z", SLOTS, False, {"m": 1})
            self.context.directory.put(listed)
            self.context.targets[listed.instance] = Target(listed.instance, listed.url, "z")
        self.replica_updated = asyncio.Event()
        self.presence = Presence(self.context, 1, self.replica_updated)
        self.session = Session(
            self.context,
            lambda: self.job_manager.session_lost(),
            lambda: bool(self.job_manager.owned),
        )
        runner = (make_runner or RandomRunner)(self.context, rng)
        store = store_class(self.context)
        self.job_manager = JobManager(self.context, self.session, store, runner, NoLoadPoller())
        self._replica = PrefixReplica(CONTROL_PREFIX)
        self._members: dict[str, object] = {}

    def start(self) -> None:
        duties = (
            self.presence.run(),
            self.session.run(),
            self._poll_control_entries(),
            self.job_manager.run(),
        )
        for duty in duties:
            self.context.daemon.spawn_duty(duty)

    async def stop(self) -> None:
        """Stop as planned: notify the others, hand over the jobs, end the lease and all tasks."""
        self.context.daemon.stopping = True
        self.context.daemon.membership.leave()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_GRACE_SECONDS):
                await self.presence.announce_leaving()
                await self.job_manager.hand_over()
        await self.session.end()
        await self.context.daemon.cancel_all()

    async def _poll_control_entries(self) -> None:
        """Update the replica at random intervals, so that it lags behind the service."""
        while True:
            await asyncio.sleep(REPLICA_INTERVAL_SECONDS * (0.5 + self.context.rng.random()))
            read = await self.kv.read(CONTROL_PREFIX, is_prefix=True)
            self.context.store_reachability.record_result(self.context.now_seconds(), read)
            if isinstance(read, KvUnavailable):
                continue
            changes = self._replica.replace(read.entries, read.revision)
            for entry in changes.entries:
                self._apply_put(entry)
            for key in changes.deleted:
                self._apply_deleted(key)
            self.replica_updated.set()

    def _apply_put(self, entry) -> None:
        if entry.key.startswith(MEMBERS_PREFIX):
            name = entry.key.removeprefix(MEMBERS_PREFIX)
            member = decode_member(entry.value)
            self._members[name] = vm_entry(name, member)
            self.context.member_entries[name] = member
            self._update_membership()
        elif entry.key.startswith(JOBS_PREFIX):
            self.job_manager.marker_put(entry)
        elif entry.key.startswith(OWNERS_PREFIX):
            self.job_manager.owner_put(entry)

    def _apply_deleted(self, key: str) -> None:
        if key.startswith(MEMBERS_PREFIX):
            self._members.pop(key.removeprefix(MEMBERS_PREFIX), None)
            self._update_membership()
        elif key.startswith(OWNERS_PREFIX):
            self.job_manager.owner_deleted(key)

    def _update_membership(self) -> None:
        members = list(self._members.values())
        self.context.daemon.membership.update_from_complete_list(
            members, self.context.now_seconds()
        )


@dataclass(slots=True)
class ReadHistory:
    """The results that readers received; detects results that disappear or change."""

    positions: dict[tuple[str, int], JobResult] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def record_read(self, job_id: str, results: list[JobResult]) -> None:
        """Record a read of a job's results from position 0 on."""
        ids = [result.item_id for result in results]
        if len(ids) != len(set(ids)):
            self.violations.append(f"{job_id}: an item is listed twice")
        for position, result in enumerate(results):
            lines = result.text.split("\n")
            expected = [piece_text(result.item_id, n + 1) for n in range(len(lines))]
            if result.completed and lines != expected:
                self.violations.append(f"{job_id}: the text at {position} is not the item's own")
            earlier = self.positions.setdefault((job_id, position), result)
            if earlier != result:
                self.violations.append(f"{job_id}: position {position} changed")


class FaultInjectionRun:
    """A fleet of daemons that accept, run and hand over jobs under random faults."""

    def __init__(
        self, seed: int, store_class: type[JobStore] = JobStore, faults: Sequence[str] = FAULTS
    ):
        self._faults = faults
        self.rng = random.Random(seed)
        self.kv = KvStore()
        self.history = ReadHistory()
        self.jobs = make_jobs(self.rng, 6)
        self._store_class = store_class
        self.processes: dict[str, DaemonProcess] = {}
        self.accepted: set[str] = set()

    async def run(self, seconds: float) -> None:
        for name in ("a", "b", "c"):
            self._start(name)
        injecting = inject_random_faults(
            self.rng, FAULT_FREE_SECONDS, self._faults, self._inject_fault
        )
        tasks = [asyncio.create_task(duty) for duty in (self._submit(), self._read(), injecting)]
        await asyncio.sleep(seconds)
        tasks[2].cancel()
        await asyncio.gather(tasks[2], return_exceptions=True)
        self._clear_faults()
        await self._wait_until_complete()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for name, process in self.processes.items():
            if process.context.daemon.violated_invariant is not None:
                self.history.violations.append(
                    f"{name}: {process.context.daemon.violated_invariant}"
                )
            await process.context.daemon.cancel_all()

    def _start(self, name: str) -> None:
        self.processes[name] = DaemonProcess(name, self.kv, self.rng, self._store_class)
        self.processes[name].context.daemon.links = FleetLinks(self.processes)  # type: ignore[assignment]
        self.processes[name].start()

    async def _submit(self) -> None:
        for job in self.jobs:
            while job.job_id not in self.accepted:
                process = self.rng.choice(list(self.processes.values()))
                outcome = await process.job_manager.submit(job)
                if isinstance(outcome, JobCreated | JobKnown):
                    self.accepted.add(job.job_id)
                await asyncio.sleep(self.rng.uniform(0.1, 2.0))

    async def _read(self) -> None:
        """Read as trainers do, from owners with a valid lease and from the key-value service."""
        reader = JobStore(make_gateway_context("reader", self.kv))
        while True:
            await asyncio.sleep(READ_INTERVAL_SECONDS * self.rng.random())
            for job in self.jobs:
                for process in self.processes.values():
                    owned = process.job_manager.owned.get(job.job_id)
                    if (
                        owned is not None
                        and process.session.is_valid()
                        and process.kv.running.is_set()
                    ):
                        self.history.record_read(job.job_id, list(owned.ledger.listed))
                stored = await reader.load_results(job.job_id, 0)
                if not isinstance(stored, KvUnavailable):
                    self.history.record_read(job.job_id, stored)

    async def _inject_fault(self, kind: str) -> None:
        name = self.rng.choice(list(self.processes))
        process = self.processes[name]
        seconds = self.rng.uniform(*FAULT_DURATION_SECONDS)
        if kind == "crash":
            await process.context.daemon.cancel_all()
            await asyncio.sleep(seconds)
            if self.processes[name] is process:
                self._start(name)
        elif kind == "stop":
            await process.stop()
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            if self.processes[name] is process:
                self._start(name)
        elif kind == "outage":
            await self._outage(seconds)
        elif kind == "freeze":
            process.kv.running.clear()
            await asyncio.sleep(seconds)
            process.kv.running.set()
        elif kind == "cut off":
            process.faults.down = True
            await asyncio.sleep(seconds)
            process.faults.down = False
        elif kind == "lapse":
            self.kv.end_lease(process.session.lease_id or 0)
        else:
            for other in self.processes.values():
                setattr(other.faults, kind, self.rng.uniform(0.1, 0.6))
            await asyncio.sleep(seconds)
            for other in self.processes.values():
                setattr(other.faults, kind, 0.0)

    async def _outage(self, seconds: float) -> None:
        """Make the service unreachable, also for daemons that start meanwhile."""
        until_seconds = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until_seconds:
            for process in self.processes.values():
                process.faults.down = True
            await asyncio.sleep(0.05)
        for process in self.processes.values():
            process.faults.down = False

    def _clear_faults(self) -> None:
        for name, process in list(self.processes.items()):
            process.kv.running.set()
            process.faults.down = False
            process.faults.lost_answer = process.faults.late_effect = (
                process.faults.lost_request
            ) = 0.0
            if not process.context.daemon.has_tasks:
                self._start(name)

    async def _wait_until_complete(self) -> None:
        """Wait until all results of all jobs are listed."""
        reader = JobStore(make_gateway_context("settler", self.kv))
        missing = {job.job_id: len(job.items) for job in self.jobs}
        for _ in range(600):
            await asyncio.sleep(0.5)
            for job_id, total in list(missing.items()):
                stored = await reader.load_results(job_id, 0)
                if len(stored) == total:
                    self.history.record_read(job_id, stored)
                    del missing[job_id]
            if not missing:
                return
        self.history.violations.append(
            f"incomplete after all faults were cleared: {sorted(missing)}"
        )
