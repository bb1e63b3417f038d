"""A fleet, its targets and its callers on a clock that jumps, with faults that follow from a seed.

One request ends each target that begins it and comes back at any daemon. Others are healthy, and
some targets end for other reasons.
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
from rackswitch.gateway.tests.support import break_at_random, make_gateway_context, make_member
from rackswitch.peers.links import PeerUnreachable
from rackswitch.quarantine import ProbeOutcome
from rackswitch.routing import ListedTarget
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore

CONTROL = "control/"
ENDING = "ending"
NAMES = ("a", "b", "c", "d")
TARGETS = 5
CONTACT_SECONDS = 3.0
COPY_SECONDS = 0.1
MAX_ATTEMPTS = 2
TIMEOUT_SECONDS = 40.0
"""Healthy requests are items of a job here: they wait that long."""
FAULTS = ("cut", "outage", "crash", "crash all", "slow")
CALM_SECONDS = (1.0, 6.0)
FAULT_SECONDS = (0.5, 5.0)
BASE_UNIX_SECONDS = 1_770_000_000.0


@dataclass(slots=True)
class SimulatedTarget:
    """A target's process, and what runs on it."""

    number: int
    is_up: bool = True
    starts: int = 1
    runs: list[asyncio.Future] = field(default_factory=list)

    def listed(self) -> ListedTarget:
        name = f"t{self.number}"
        return ListedTarget(name, "s", "h", self.number, "z", started_at_unix_ms=self.starts)


@dataclass(frozen=True, slots=True)
class Send:
    """The ending request, as it reached a target."""

    at_seconds: float
    in_touch: bool


class FleetLinks:
    """Calls between the daemons of a run; who is cut off hears nothing."""

    def __init__(self, run: "QuarantineRun", own: "Node"):
        self._run = run
        self._own = own

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        node = self._run.nodes[peer.daemon]
        await asyncio.sleep(0.01)
        if node.is_cut or self._own.is_cut:
            await asyncio.sleep(timeout_seconds)
            return PeerUnreachable("cut off")
        return node.quarantine.told(message)


class Node:
    """One process of a daemon: its copy of the entries, and what it knows of ends."""

    def __init__(self, run: "QuarantineRun", name: str):
        self.run = run
        self.faults = KvFaults(delay_seconds=run.delay_seconds, down=run.service_is_down)
        self.context = make_gateway_context(
            name, run.store, run.rng.randrange(1 << 30), self.faults
        )
        self.context.daemon.links = FleetLinks(run, self)
        self.is_cut = False
        self.disrupted_seconds = self.context.now_seconds()
        self.quarantine = run.keeper_kind(self.context, lambda: self._copy.revision > 0)
        self._copy = PrefixReplica(CONTROL)
        members = [vm_entry(other, make_member()) for other in NAMES]
        self.context.daemon.membership.learn_listed(members, self.context.now_seconds())
        for target in run.targets:
            self.context.directory.put(target.listed())
        self.context.daemon.spawn_duty(self.quarantine.run())
        self.context.daemon.spawn_duty(self._follow())

    async def _follow(self) -> None:
        """Keep the copy, a little behind the service."""
        while True:
            read = await self.context.kv.read(CONTROL, is_prefix=True)
            if not isinstance(read, KvUnavailable):
                self._take(read)
            await asyncio.sleep(COPY_SECONDS * (0.5 + self.context.rng.random()))

    def _take(self, read) -> None:
        before = dict(self._copy.entries)
        news = PrefixReplica(CONTROL, entries=before).replace(read.entries, read.revision)
        for entry in news.entries:
            if entry.key.startswith(ENDS_PREFIX):
                self.quarantine.record_put(entry)
            elif entry.key.startswith(TRIALS_PREFIX):
                self.quarantine.trial_put(entry)
        for key in news.deleted:
            if key.startswith(ENDS_PREFIX):
                self.quarantine.record_deleted(key)
            elif key.startswith(TRIALS_PREFIX):
                self.quarantine.trial_deleted(key)
        self._copy.replace(read.entries, read.revision)

    @property
    def serves(self) -> bool:
        """A daemon that has read nothing yet knows no routes either."""
        return self._copy.revision > 0

    @property
    def in_touch(self) -> bool:
        return self.context.now_seconds() >= self.disrupted_seconds + CONTACT_SECONDS

    async def send(self, fingerprint: str, work_seconds: float, tried: set[int]) -> str:
        """Send a request to one target; return how that went."""
        up = [target for target in self.run.targets if target.number not in tried]
        target = self.run.rng.choice(up or self.run.targets)
        tried.add(target.number)
        patience_seconds = self.context.now_seconds() + 1.0
        held = await self.quarantine.admit(lambda: fingerprint, patience_seconds)
        if held is not None:
            return "held"
        listed = target.listed()
        if not target.is_up:
            self.quarantine.not_run(lambda: fingerprint)
            return "not there"
        if await self.run.runs(target, self, fingerprint, work_seconds):
            self.quarantine.answered(lambda: fingerprint)
            return "answered"
        self.quarantine.broke(fingerprint, listed)
        return "broke"

    async def crash(self) -> None:
        await self.context.daemon.cancel_all()


class QuarantineRun:
    """One seeded run; `sends` and `unserved` are what is judged."""

    def __init__(self, seed: int, keeper_kind: type = QuarantineManager):
        self.rng = random.Random(seed)
        self.keeper_kind = keeper_kind
        self.store = KvStore()
        self.service_is_down = False
        self.delay_seconds = 0.002
        self.targets = [SimulatedTarget(number) for number in range(TARGETS)]
        self.nodes: dict[str, Node] = {}
        self.sends: list[Send] = []
        self.ends_under_it: list[float] = []
        self.served = 0
        self.unserved: list[str] = []
        self._tasks: set[asyncio.Task] = set()

    async def play(self, seconds: float) -> None:
        with (
            patch("rackswitch.gateway.quarantine.end_detector.look_at", self._look),
            patch.object(
                GatewayContext, "unix_seconds", lambda ctx: BASE_UNIX_SECONDS + ctx.now_seconds()
            ),
        ):
            self.nodes = {name: Node(self, name) for name in NAMES}
            work = (
                self._ending_caller(),
                self._healthy_callers(),
                self._other_ends(),
                self._faults(),
            )
            duties = [asyncio.create_task(duty) for duty in work]
            await asyncio.sleep(seconds)
            for duty in duties:
                duty.cancel()
            await asyncio.gather(*self._tasks)
            for node in self.nodes.values():
                await node.crash()

    def late_sends(self) -> int:
        """Return the sends that were too late, by daemons in touch."""
        if len(self.ends_under_it) < 3:
            return 0
        from_seconds = sorted(self.ends_under_it)[2] + CONTACT_SECONDS
        return sum(send.in_touch and send.at_seconds > from_seconds for send in self.sends)

    async def runs(
        self, target: SimulatedTarget, node: Node, fingerprint: str, work_seconds: float
    ) -> bool:
        """Run a request at a target; return False if the target ends under it."""
        ended: asyncio.Future = asyncio.get_running_loop().create_future()
        target.runs.append(ended)
        if fingerprint == ENDING:
            now_seconds = node.context.now_seconds()
            self.sends.append(Send(now_seconds, node.in_touch))
            await asyncio.sleep(0.1)
            if target.is_up:
                self.ends_under_it.append(node.context.now_seconds())
                self._end(target)
            return False
        done, _ = await asyncio.wait((ended,), timeout=work_seconds)
        if not done:
            target.runs.remove(ended)
        return not done

    def _end(self, target: SimulatedTarget) -> None:
        target.is_up = False
        for run in target.runs:
            run.set_result(None)
        target.runs.clear()
        self._spawn(self._start_again(target))

    async def _start_again(self, target: SimulatedTarget) -> None:
        await asyncio.sleep(self.rng.uniform(1.4, 3.5))
        target.starts += 1
        target.is_up = True
        for node in self.nodes.values():
            node.context.directory.put(target.listed())

    async def _look(self, host: str, port: int, timeout_seconds: float) -> ProbeOutcome:
        await asyncio.sleep(0.005)
        return ProbeOutcome.ANSWERED if self.targets[port].is_up else ProbeOutcome.REFUSED

    async def _ending_caller(self) -> None:
        while True:
            await asyncio.sleep(self.rng.choice((0.03, 0.3, 1.5)))
            self._spawn(self._ending_request(self.rng.choice(NAMES)))

    async def _ending_request(self, name: str) -> None:
        node, tried = self.nodes[name], set()
        for _ in range(MAX_ATTEMPTS):
            if not node.serves or self.nodes[name] is not node:
                return
            if await node.send(ENDING, 0.1, tried) in ("held", "not there"):
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
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while True:
                    node = self.nodes[self.rng.choice(NAMES)]
                    if (
                        node.serves
                        and await node.send(fingerprint, work_seconds, tried) == "answered"
                    ):
                        self.served += 1
                        return
                    if len(tried) >= TARGETS:
                        tried.clear()
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.unserved.append(fingerprint)

    async def _other_ends(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(2.0, 8.0))
            up = [target for target in self.targets if target.is_up]
            if up:
                self._end(self.rng.choice(up))

    async def _faults(self) -> None:
        await break_at_random(self.rng, CALM_SECONDS, FAULTS, self._fault)

    async def _fault(self, kind: str) -> None:
        for_seconds = self.rng.uniform(*FAULT_SECONDS)
        struck = [self.rng.choice(NAMES)] if kind in ("cut", "crash") else list(NAMES)
        if kind.startswith("crash"):
            await asyncio.gather(*(self._restart(name) for name in struck))
            return
        self._set(kind, struck, True)
        await asyncio.sleep(for_seconds)
        self._set(kind, struck, False)

    def _set(self, kind: str, struck: list[str], begins: bool) -> None:
        if kind == "outage":
            self.service_is_down = begins
        if kind == "slow":
            self.delay_seconds = 0.06 if begins else 0.002
        for name in struck:
            node = self.nodes[name]
            if kind == "cut":
                node.is_cut = begins
                node.disrupted_seconds = node.context.now_seconds() + CONTACT_SECONDS * 2 * begins
            node.faults.down = self.service_is_down or node.is_cut
            node.faults.delay_seconds = self.delay_seconds

    async def _restart(self, name: str) -> None:
        await self.nodes[name].crash()
        await asyncio.sleep(0.3)
        self.nodes[name] = Node(self, name)

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
