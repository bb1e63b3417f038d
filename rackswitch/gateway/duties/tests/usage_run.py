"""Simulation of daemons that report usage to the operators' API, under random faults."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.duties.duty_turn import DUTIES_KEY, DUTIES_ROLE, record_duty_entry
from rackswitch.gateway.duties.fenced_record import FencedRecord
from rackswitch.gateway.duties.usage_gathering import GatheredUsage
from rackswitch.gateway.duties.usage_reporter import REPORTS_KEY, UsageReporter
from rackswitch.gateway.tests.support import (
    inject_random_faults,
    make_gateway_context,
    turn_violations,
)
from rackswitch.gateway.turns import TurnManager
from rackswitch.leases import OrderTurns
from rackswitch.platform.duty_calls import DutyAnswer, DutyOutcome, Holder
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.usage import UsageReports, UsageWindows

WINDOWS = UsageWindows(5.0, 10.0)
TURN_SECONDS = 3.0
DAEMONS = ("a", "b", "c")
FAULT_KINDS = ("crash", "cut off", "lapse", "slow", "lost answers")
FAULT_INTERVAL_SECONDS = (0.5, 6.0)
FAULT_DURATION_SECONDS = (0.5, 6.0)


@dataclass(frozen=True, slots=True)
class Report:
    """A report as sent by its holder."""

    sent_seconds: float
    holder: str
    fencing: int
    window: int
    counts: tuple[tuple[str, int], ...]
    accepted: bool


class FakeDutyClient:
    """Client of a simulated operators' API that rejects or leaves unanswered some reports."""

    def __init__(self, run: "UsageRun"):
        self._run = run

    async def report_usage(self, holder: Holder, window: int, counts: dict) -> DutyAnswer:
        rng = self._run.rng
        now_seconds = asyncio.get_running_loop().time()
        is_lost = rng.random() < 0.2
        is_busy = not is_lost and rng.random() < 0.2
        content = tuple(sorted(counts.items()))
        self._run.reports.append(
            Report(now_seconds, holder.daemon, holder.fencing, window, content, not is_busy)
        )
        await asyncio.sleep(1.0 if is_lost else 0.01)
        if is_lost:
            return DutyAnswer(DutyOutcome.UNKNOWN, "no answer")
        outcome = DutyOutcome.BUSY if is_busy else DutyOutcome.ACCEPTED
        return DutyAnswer(outcome, "")


class FakeGatherer:
    """Returns different counts on every call: a window's report must not change all the same."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    async def gather(self, window: int) -> GatheredUsage:
        await asyncio.sleep(self._rng.choice((0.01, 0.01, 0.9)))
        return GatheredUsage(Counter({"t": self._rng.randrange(1, 1 << 40)}), answered=1)


class NoTurns(OrderTurns):
    """Faulty turns: never wait for the former holder's turn to end."""

    def may_order_from_seconds(self, group: str, turn_seconds: float) -> float:
        return float("-inf")

    def may_send(self, entered_at_seconds: float, now_seconds: float) -> bool:
        return True


class ForgetfulRecord(FencedRecord):
    """Faulty record: drops stored reports that are not confirmed when it is read."""

    async def _read(self):
        reports = await super()._read()
        if reports is not None:
            last_confirmed_window = (
                reports.open[0].window - 1 if reports.open else reports.last_fixed
            )
            self.value = UsageReports(last_confirmed_window, [])
        return self.value


class RegatheringReporter(UsageReporter):
    """Faulty reporter: gathers unconfirmed windows again instead of repeating the report."""

    def __init__(self, context, turns, *arguments):
        super().__init__(context, turns, *arguments)
        self._record = ForgetfulRecord(context, turns, REPORTS_KEY, UsageReports())


class UsageRun:
    """Daemons and the API under random faults."""

    def __init__(self, seed: int, skip_turns: bool = False, reporter_kind: type = UsageReporter):
        self.rng = random.Random(seed)
        self.kv = KvStore()
        self.reports: list[Report] = []
        self._skip_turns = skip_turns
        self._reporter_kind = reporter_kind
        self._contexts: dict[str, object] = {}
        self._faults = {name: KvFaults() for name in DAEMONS}

    async def run(self, seconds: float) -> None:
        for name in DAEMONS:
            self._start(name)
        fault_task = asyncio.create_task(
            inject_random_faults(self.rng, FAULT_INTERVAL_SECONDS, FAULT_KINDS, self._inject_fault)
        )
        await asyncio.sleep(seconds)
        fault_task.cancel()
        await asyncio.gather(fault_task, return_exceptions=True)
        for faults in self._faults.values():
            faults.down, faults.lost_answer, faults.late_effect = False, 0.0, 0.0
            faults.delay_seconds = 0.002
        for name in DAEMONS:
            if not self._contexts[name].daemon.has_tasks:
                self._start(name)
        await asyncio.sleep(40.0)
        for context in self._contexts.values():
            await context.daemon.cancel_all()

    def _start(self, name: str) -> None:
        context = make_gateway_context(
            name, self.kv, self.rng.randrange(1 << 30), self._faults[name]
        )
        self._contexts[name] = context
        roles = RoleManager(context.daemon, lambda: [DUTIES_ROLE])
        turns = TurnManager(context, roles)
        if self._skip_turns:
            turns.order_turns = NoTurns(name)
        wall_clock = asyncio.get_running_loop().time
        gatherer = FakeGatherer(self.rng)
        reporter = self._reporter_kind(
            context, turns, FakeDutyClient(self), gatherer, WINDOWS, wall_clock
        )
        context.daemon.spawn_duty(roles.run())
        context.daemon.spawn_duty(reporter.run())
        context.daemon.spawn_duty(self._follow(name, turns))

    async def _follow(self, name: str, turns: TurnManager) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            if not self._faults[name].down:
                for entry in self.kv.read(DUTIES_KEY).entries:
                    record_duty_entry(turns, entry)

    async def _inject_fault(self, kind: str) -> None:
        name = self.rng.choice(DAEMONS)
        seconds = self.rng.uniform(*FAULT_DURATION_SECONDS)
        faults = self._faults[name]
        if kind == "crash":
            context = self._contexts[name]
            await context.daemon.cancel_all()
            await asyncio.sleep(seconds)
            if self._contexts[name] is context:
                self._start(name)
        elif kind == "cut off":
            faults.down = True
            await asyncio.sleep(seconds)
            faults.down = False
        elif kind == "slow":
            faults.delay_seconds = 0.4
            await asyncio.sleep(seconds)
            faults.delay_seconds = 0.002
        elif kind == "lost answers":
            faults.lost_answer, faults.late_effect = 0.4, 0.3
            await asyncio.sleep(seconds)
            faults.lost_answer, faults.late_effect = 0.0, 0.0
        else:
            for lease_id in list(self.kv.leases):
                self.kv.end_lease(lease_id)

    def violations(self) -> list[str]:
        """Return violations visible to an API that does not check fencing numbers."""
        problems = turn_violations(self.reports, TURN_SECONDS)
        contents: dict[int, set] = {}
        for report in self.reports:
            if report.accepted:
                contents.setdefault(report.window, set()).add(report.counts)
        problems += [
            f"window {window}: {len(counts)} contents"
            for window, counts in contents.items()
            if len(counts) > 1
        ]
        return problems

    def accepted_windows(self) -> set[int]:
        return {report.window for report in self.reports if report.accepted}
