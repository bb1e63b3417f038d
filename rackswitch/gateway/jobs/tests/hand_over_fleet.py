"""Job managers with engines that generate pieces at a fixed rate, to detect stalls and repeats."""

import asyncio
import random
import time
from collections import defaultdict
from itertools import pairwise

from rackswitch.clients.kv import KvUnavailable, Operation, TxnPart
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.jobs.job_outcomes import JobCreated
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.tests.fault_injection_run import (
    ENGINES,
    SLOTS,
    DaemonProcess,
    FleetLinks,
    piece_text,
)
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.jobs import Job, JobItem, TextPiece
from rackswitch.platform.item_runs import ItemRunEnd, ItemRunEnded
from rackswitch.standins.kv_store import KvStore

PIECE_INTERVAL_SECONDS = 0.04
FULL_LOAD_ITEMS = ENGINES * SLOTS


class Engines:
    """The pieces that all engines generated, each with its time and the requesting daemon."""

    def __init__(self, pieces: int):
        self.pieces = pieces
        self.generated: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
        self.running: dict[str, int] = defaultdict(int)
        self.max_concurrent_runs = 0

    def repeated_pieces(self) -> int:
        """Return the number of pieces that were generated more than once."""
        return sum(
            len(generated) - len({number for number, _, _ in generated})
            for generated in self.generated.values()
        )

    def longest_stall_seconds(self) -> float:
        """Return the longest interval between two pieces of an item, minus the regular interval."""
        stalls = [
            later - earlier - PIECE_INTERVAL_SECONDS
            for generated in self.generated.values()
            for (_, earlier, _), (_, later, _) in pairwise(generated)
        ]
        return max(stalls, default=0.0)


class SteadyRunner(ItemRunner):
    """Generates the pieces of each running item at a fixed rate."""

    def __init__(self, context, engines: Engines):
        super().__init__(context, None, None, EnginePaces(), NoQuarantine())
        self._steady_engines = engines

    async def _stream(self, ledger, progress, target, intervals, urgency) -> ItemRunEnded:
        item_id = progress.item.item_id
        engines = self._steady_engines
        engines.running[item_id] += 1
        engines.max_concurrent_runs = max(engines.max_concurrent_runs, engines.running[item_id])
        try:
            while progress.last_number < engines.pieces:
                await asyncio.sleep(PIECE_INTERVAL_SECONDS)
                number = progress.last_number + 1
                at_seconds = asyncio.get_running_loop().time()
                engines.generated[item_id].append((number, at_seconds, self._context.daemon_name))
                progress.accept(TextPiece(number, piece_text(item_id, number), 1), 0)
        finally:
            engines.running[item_id] -= 1
        return ItemRunEnded(ItemRunEnd.COMPLETE)


def make_batch(job_id: str = "j", items: int = FULL_LOAD_ITEMS) -> Job:
    return Job(
        job_id=job_id,
        host="h",
        path="/",
        items=tuple(
            JobItem(item_id=f"{job_id}-{n}", path="/", headers=(), body=b"", tokens=1)
            for n in range(items)
        ),
        model="m",
        submitted_at_unix_seconds=time.time(),
    )


class HandOverFleet:
    """A fleet of daemons with one key-value service and its engines."""

    def __init__(self, names: str = "abc", pieces: int = 100, policy: PolicySettings | None = None):
        self.kv = KvStore()
        self.rng = random.Random(7)
        self.engines = Engines(pieces)
        self.processes: dict[str, DaemonProcess] = {}
        self._policy = policy or PolicySettings()
        for name in names:
            self.start(name)

    def start(self, name: str) -> DaemonProcess:
        """Start a new process of a daemon."""
        process = DaemonProcess(
            name,
            self.kv,
            self.rng,
            make_runner=lambda context, rng: SteadyRunner(context, self.engines),
        )
        process.context.policy = self._policy
        process.context.daemon.links = FleetLinks(self.processes)
        self.processes[name] = process
        process.start()
        return process

    def set_service_down(self, service_down: bool) -> None:
        """Make the key-value service unreachable for all daemons, or reachable again."""
        for process in self.processes.values():
            process.faults.down = service_down

    async def submit(self, name: str, job: Job) -> None:
        assert isinstance(await self.processes[name].job_manager.submit(job), JobCreated)

    def owners(self, job_id: str = "j") -> list[str]:
        """Return the daemons that run a job and assume that they own it."""
        return [
            name
            for name, process in self.processes.items()
            if process.context.daemon.has_tasks
            and job_id in process.job_manager.owned
            and not process.job_manager.owned[job_id].awaits_claim
        ]

    def workers(self, job_id: str = "j") -> list[str]:
        """Return the daemons that run a job."""
        return [
            name
            for name, process in self.processes.items()
            if process.context.daemon.has_tasks and job_id in process.job_manager.owned
        ]

    async def listed(self, job_id: str = "j") -> list[str]:
        """Return the listed items as stored in the service; check that their texts are complete."""
        reader = JobStore(make_gateway_context("reader", self.kv))
        stored = await reader.load_results(job_id, 0)
        assert not isinstance(stored, KvUnavailable)
        for result in stored:
            pieces = [piece_text(result.item_id, n + 1) for n in range(self.engines.pieces)]
            assert result.completed
            assert result.text.split("\n") == pieces
        return [result.item_id for result in stored]

    async def wait_complete(self, job: Job, seconds: float = 60.0) -> None:
        """Wait until every item of a job is listed, each once."""
        async with asyncio.timeout(seconds):
            while len(await self.listed(job.job_id)) < len(job.items):
                await asyncio.sleep(0.05)
        listed = await self.listed(job.job_id)
        assert sorted(listed) == sorted(item.item_id for item in job.items)

    async def kv_put(self, key: str, value: bytes) -> None:
        """Write an entry to the key-value service as a daemon outside of this fleet."""
        writer = make_gateway_context("writer", self.kv)
        await writer.kv.txn([TxnPart((), (Operation(key, value),))])

    async def stop_all(self) -> None:
        for process in self.processes.values():
            assert process.context.daemon.violated_invariant is None
            await process.context.daemon.cancel_all()
