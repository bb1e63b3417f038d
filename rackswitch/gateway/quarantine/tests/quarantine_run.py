"""Seeded simulation of daemons, targets and callers on a virtual clock, with random faults.

One request, the lethal one, ends each target that begins it and is retried at random daemons. All
other requests are healthy. Some targets end for other reasons.
"""

import asyncio
import random
from dataclasses import dataclass, field
from unittest.mock import patch

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.quarantine.end_reporter import ENDS_PREFIX
from rackswitch.gateway.quarantine.quarantine_manager import TRIALS_PREFIX, QuarantineManager
from rackswitch.gateway.store.member_entries import vm_entry
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.gateway.tests.support import inject_random_faults, make_gateway_context, make_member
from rackswitch.peers.links import PeerUnreachable
from rackswitch.quarantine import ProbeOutcome
from rackswitch.routing import ListedTarget
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore

CONTROL = "control/"
LETHAL_FINGERPRINT = "ending"
DAEMON_NAMES = ("a", "b", "c", "d")
TARGET_COUNT = 5
SETTLING_SECONDS = 3.0
POLL_SECONDS = 0.1
MAX_ATTEMPTS = 2
CALLER_TIMEOUT_SECONDS = 40.0
"""How long the caller of a healthy request retries it."""
FAULTS = ("cut", "outage", "crash", "crash all", "slow")
FAULT_INTERVAL_SECONDS = (1.0, 6.0)
FAULT_SECONDS = (0.5, 5.0)
BASE_UNIX_SECONDS = 1_770_000_000.0


@dataclass(slots=True)
class SimulatedTarget:
    """A target's process and its runs."""

    number: int
    is_up: bool = True
    starts: int = 1
    runs: list[asyncio.Future] = field(default_factory=list)

    def listed(self) -> ListedTarget:
        name = f"t{self.number}"
        return ListedTarget(name, "s", "h", self.number, "z", started_at_unix_ms=self.starts)


@dataclass(frozen=True, slots=True)
class LethalSend:
    """One send of the lethal request to a target."""

    at_seconds: float
    is_settled: bool


class SimulatedLinks:
    """Calls between the simulated daemons; a partitioned daemon receives none."""

    def __init__(self, run: "QuarantineRun", own_process: "DaemonProcess"):
        self._run = run
        self._own_process = own_process

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        process = self._run.processes[peer.daemon]
        await asyncio.sleep(0.01)
        if process.is_partitioned or self._own_process.is_partitioned:
            await asyncio.sleep(timeout_seconds)
            return PeerUnreachable("cut off")
        return process.quarantine.receive_record(message)


class DaemonProcess:
    """One process of a daemon with its replica of the stored entries and its quarantine."""

    def __init__(self, run: "QuarantineRun", name: str):
        self.run = run
        self.faults = KvFaults(delay_seconds=run.delay_seconds, down=run.store_is_down)
        self.context = make_gateway_context(
            name, run.store, run.rng.randrange(1 << 30), self.faults
        )
        self.context.daemon.links = SimulatedLinks(run, self)
        self.is_partitioned = False
        self.partition_end_seconds = self.context.now_seconds()
        self.quarantine = run.manager_class(self.context, lambda: self._replica.revision > 0)
        self._replica = PrefixReplica(CONTROL)
        members = [vm_entry(other, make_member()) for other in DAEMON_NAMES]
        self.context.daemon.membership.update_from_complete_list(
            members, self.context.now_seconds()
        )
        for target in run.targets:
            self.context.directory.put(target.listed())
        self.context.daemon.spawn_duty(self.quarantine.run())
        self.context.daemon.spawn_duty(self._poll_store())

    async def _poll_store(self) -> None:
        """Update the replica from the key-value store at random intervals."""
        while True:
            read = await self.context.kv.read(CONTROL, is_prefix=True)
            if not isinstance(read, KvUnavailable):
                self._apply(read)
            await asyncio.sleep(POLL_SECONDS * (0.5 + self.context.rng.random()))

    def _apply(self, read) -> None:
        before = dict(self._replica.entries)
        changes = PrefixReplica(CONTROL, entries=before).replace(read.entries, read.revision)
        for entry in changes.entries:
            if entry.key.startswith(ENDS_PREFIX):
                self.quarantine.record_put(entry)
            elif entry.key.startswith(TRIALS_PREFIX):
                self.quarantine.trial_put(entry)
        for key in changes.deleted:
            if key.startswith(ENDS_PREFIX):
                self.quarantine.record_deleted(key)
            elif key.startswith(TRIALS_PREFIX):
                self.quarantine.trial_deleted(key)
        self._replica.replace(read.entries, read.revision)

    @property
    def is_ready(self) -> bool:
        """Whether the daemon has read the store; before that it knows no routes."""
        return self._replica.revision > 0

    @property
    def is_settled(self) -> bool:
        return self.context.now_seconds() >= self.partition_end_seconds + SETTLING_SECONDS

    async def send(self, fingerprint: str, work_seconds: float, tried: set[int]) -> str:
        """Send a request to one target; return the outcome."""
        untried = [target for target in self.run.targets if target.number not in tried]
        target = self.run.rng.choice(untried or self.run.targets)
        tried.add(target.number)
        wait_until_seconds = self.context.now_seconds() + 1.0
        hold = await self.quarantine.admit(lambda: fingerprint, wait_until_seconds)
        if hold is not None:
            return "held"
        listed = target.listed()
        if not target.is_up:
            self.quarantine.record_not_run(lambda: fingerprint)
            return "not there"
        if await self.run.runs(target, self, fingerprint, work_seconds):
            self.quarantine.record_answer(lambda: fingerprint)
            return "answered"
        self.quarantine.record_failure(fingerprint, listed)
        return "broke"

    async def crash(self) -> None:
        await self.context.daemon.cancel_all()


class QuarantineRun:
    """One seeded run; tests check `sends` and `unserved`."""

    def __init__(self, seed: int, manager_class: type = QuarantineManager):
        self.rng = random.Random(seed)
        self.manager_class = manager_class
        self.store = KvStore()
        self.store_is_down = False
        self.delay_seconds = 0.002
        self.targets = [SimulatedTarget(number) for number in range(TARGET_COUNT)]
        self.processes: dict[str, DaemonProcess] = {}
        self.sends: list[LethalSend] = []
        self.lethal_ends: list[float] = []
        self.served = 0
        self.unserved: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    async def simulate(self, seconds: float) -> None:
        with (
            patch("rackswitch.gateway.quarantine.end_detector.probe_target", self._probe),
            patch.object(
                GatewayContext, "unix_seconds", lambda ctx: BASE_UNIX_SECONDS + ctx.now_seconds()
            ),
        ):
            self.processes = {name: DaemonProcess(self, name) for name in DAEMON_NAMES}
            coroutines = (
                self._lethal_caller(),
                self._healthy_callers(),
                self._unrelated_ends(),
                self._faults(),
            )
            tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
            await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*self._tasks)
            for process in self.processes.values():
                await process.crash()

    def late_sends(self) -> int:
        """Count lethal sends by settled daemons after all had time to learn of the third end."""
        if len(self.lethal_ends) < 3:
            return 0
        from_seconds = sorted(self.lethal_ends)[2] + SETTLING_SECONDS
        return sum(send.is_settled and send.at_seconds > from_seconds for send in self.sends)

    async def runs(
        self, target: SimulatedTarget, process: DaemonProcess, fingerprint: str, work_seconds: float
    ) -> bool:
        """Run a request at a target; return False if the target ends under it."""
        target_ended: asyncio.Future = asyncio.get_running_loop().create_future()
        target.runs.append(target_ended)
        if fingerprint == LETHAL_FINGERPRINT:
            now_seconds = process.context.now_seconds()
            self.sends.append(LethalSend(now_seconds, process.is_settled))
            await asyncio.sleep(0.1)
            if target.is_up:
                self.lethal_ends.append(process.context.now_seconds())
                self._end_target(target)
            return False
        done, _ = await asyncio.wait((target_ended,), timeout=work_seconds)
        if not done:
            target.runs.remove(target_ended)
        return not done

    def _end_target(self, target: SimulatedTarget) -> None:
        target.is_up = False
        for run in target.runs:
            run.set_result(None)
        target.runs.clear()
        self._spawn(self._restart_target(target))

    async def _restart_target(self, target: SimulatedTarget) -> None:
        await asyncio.sleep(self.rng.uniform(1.4, 3.5))
        target.starts += 1
        target.is_up = True
        for process in self.processes.values():
            process.context.directory.put(target.listed())

    async def _probe(self, host: str, port: int, timeout_seconds: float) -> ProbeOutcome:
        await asyncio.sleep(0.005)
        return ProbeOutcome.ANSWERED if self.targets[port].is_up else ProbeOutcome.REFUSED

    async def _lethal_caller(self) -> None:
        while True:
            await asyncio.sleep(self.rng.choice((0.03, 0.3, 1.5)))
            self._spawn(self._lethal_request(self.rng.choice(DAEMON_NAMES)))

    async def _lethal_request(self, name: str) -> None:
        process, tried = self.processes[name], set()
        for _ in range(MAX_ATTEMPTS):
            if not process.is_ready or self.processes[name] is not process:
                return
            if await process.send(LETHAL_FINGERPRINT, 0.1, tried) in ("held", "not there"):
                return

    async def _healthy_callers(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(6.0))
            number += 1
            self._spawn(self._healthy_request(f"healthy-{number}"))

    async def _healthy_request(self, fingerprint: str) -> None:
        work_seconds = self.rng.choice((0.05, 0.5, 2.0))
        tried: set[int] = set()
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                while True:
                    process = self.processes[self.rng.choice(DAEMON_NAMES)]
                    if (
                        process.is_ready
                        and await process.send(fingerprint, work_seconds, tried) == "answered"
                    ):
                        self.served += 1
                        return
                    if len(tried) >= TARGET_COUNT:
                        tried.clear()
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.unserved.append(fingerprint)

    async def _unrelated_ends(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))
            running = [target for target in self.targets if target.is_up]
            if running:
                self._end_target(self.rng.choice(running))

    async def _faults(self) -> None:
        await inject_random_faults(self.rng, FAULT_INTERVAL_SECONDS, FAULTS, self._fault)

    async def _fault(self, kind: str) -> None:
        duration_seconds = self.rng.uniform(*FAULT_SECONDS)
        daemon_names = (
            [self.rng.choice(DAEMON_NAMES)] if kind in ("cut", "crash") else list(DAEMON_NAMES)
        )
        if kind.startswith("crash"):
            await asyncio.gather(*(self._restart_daemon(name) for name in daemon_names))
            return
        self._set_fault(kind, daemon_names, True)
        await asyncio.sleep(duration_seconds)
        self._set_fault(kind, daemon_names, False)

    def _set_fault(self, kind: str, daemon_names: list[str], is_active: bool) -> None:
        if kind == "outage":
            self.store_is_down = is_active
        if kind == "slow":
            self.delay_seconds = 0.06 if is_active else 0.002
        for name in daemon_names:
            process = self.processes[name]
            if kind == "cut":
                process.is_partitioned = is_active
                process.partition_end_seconds = (
                    process.context.now_seconds() + SETTLING_SECONDS * 2 * is_active
                )
            process.faults.down = self.store_is_down or process.is_partitioned
            process.faults.delay_seconds = self.delay_seconds

    async def _restart_daemon(self, name: str) -> None:
        await self.processes[name].crash()
        await asyncio.sleep(0.3)
        self.processes[name] = DaemonProcess(self, name)

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
