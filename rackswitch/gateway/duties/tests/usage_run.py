"""Several daemons that report one fleet's usage, seen from the operators' API."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.duties.duty_turn import DUTIES_KEY, DUTIES_ROLE, note_record
from rackswitch.gateway.duties.fenced_record import FencedRecord
from rackswitch.gateway.duties.usage_gathering import GatheredUsage
from rackswitch.gateway.duties.usage_reporter import REPORTS_KEY, UsageReporter
from rackswitch.gateway.tests.support import (
    break_at_random,
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
NAMES = ("a", "b", "c")
FAULTS = ("crash", "cut off", "lapse", "slow", "lost answers")
CALM_SECONDS = (0.5, 6.0)
FAULT_SECONDS = (0.5, 6.0)


@dataclass(frozen=True, slots=True)
class Report:
    """A report as it left its holder."""

    sent_seconds: float
    holder: str
    fencing: int
    window: int
    counts: tuple[tuple[str, int], ...]
    taken: bool


class FakeClient:
    """The operators' API: takes reports, late ones too, and does not answer each."""

    def __init__(self, run: "UsageRun"):
        self._run = run

    async def report_usage(self, holder: Holder, window: int, counts: dict) -> DutyAnswer:
        rng = self._run.rng
        now_seconds = asyncio.get_running_loop().time()
        lost = rng.random() < 0.2
        busy = not lost and rng.random() < 0.2
        content = tuple(sorted(counts.items()))
        self._run.reports.append(
            Report(now_seconds, holder.daemon, holder.fencing, window, content, not busy)
        )
        await asyncio.sleep(1.0 if lost else 0.01)
        if lost:
            return DutyAnswer(DutyOutcome.UNKNOWN, "no answer")
        outcome = DutyOutcome.BUSY if busy else DutyOutcome.TAKEN
        return DutyAnswer(outcome, "")


class FakeGathering:
    """Each gathering brings something else: what is reported must not depend on that."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    async def gather(self, window: int) -> GatheredUsage:
        await asyncio.sleep(self._rng.choice((0.01, 0.01, 0.9)))
        return GatheredUsage(Counter({"t": self._rng.randrange(1, 1 << 40)}), answered=1)


class NaiveTurns(OrderTurns):
    """Reports as soon as the role is held, whoever reported before and however long ago."""

    def may_order_from_seconds(self, group: str, turn_seconds: float) -> float:
        return float("-inf")

    def may_send(self, entered_at_seconds: float, now_seconds: float) -> bool:
        return True


class ForgetfulRecord(FencedRecord):
    """Forgets, when it is read, what was fixed and is not surely sent."""

    async def _read(self):
        reports = await super()._read()
        if reports is not None:
            first = reports.open[0].window - 1 if reports.open else reports.last_fixed
            self.value = UsageReports(first, [])
        return self.value


class ForgetfulKeeper(UsageReporter):
    """Gathers again what it is not sure to have sent, in place of repeating it."""

    def __init__(self, context, turns, *others):
        super().__init__(context, turns, *others)
        self._kept = ForgetfulRecord(context, turns, REPORTS_KEY, UsageReports())


class UsageRun:
    """Daemons and the API, broken at random."""

    def __init__(self, seed: int, naive_turns: bool = False, keeper: type = UsageReporter):
        self.rng = random.Random(seed)
        self.kv = KvStore()
        self.reports: list[Report] = []
        self._naive_turns = naive_turns
        self._keeper_kind = keeper
        self._contexts: dict[str, object] = {}
        self._faults = {name: KvFaults() for name in NAMES}

    async def run(self, seconds: float) -> None:
        for name in NAMES:
            self._start(name)
        breaking = asyncio.create_task(break_at_random(self.rng, CALM_SECONDS, FAULTS, self._fault))
        await asyncio.sleep(seconds)
        breaking.cancel()
        await asyncio.gather(breaking, return_exceptions=True)
        for faults in self._faults.values():
            faults.down, faults.lost_answer, faults.late_effect = False, 0.0, 0.0
            faults.delay_seconds = 0.002
        for name in NAMES:
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
        if self._naive_turns:
            turns.order_turns = NaiveTurns(name)
        wall_clock = asyncio.get_running_loop().time
        gathering = FakeGathering(self.rng)
        keeper = self._keeper_kind(context, turns, FakeClient(self), gathering, WINDOWS, wall_clock)
        context.daemon.spawn_duty(roles.run())
        context.daemon.spawn_duty(keeper.run())
        context.daemon.spawn_duty(self._follow(name, turns))

    async def _follow(self, name: str, turns: TurnManager) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            if not self._faults[name].down:
                for entry in self.kv.read(DUTIES_KEY).entries:
                    note_record(turns, entry)

    async def _fault(self, kind: str) -> None:
        name = self.rng.choice(NAMES)
        seconds = self.rng.uniform(*FAULT_SECONDS)
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
        """Return what an API that checks no fencing number must not see."""
        found = turn_violations(self.reports, TURN_SECONDS)
        contents: dict[int, set] = {}
        for report in self.reports:
            if report.taken:
                contents.setdefault(report.window, set()).add(report.counts)
        found += [f"window {w}: {len(c)} contents" for w, c in contents.items() if len(c) > 1]
        return found

    def windows_taken(self) -> set[int]:
        return {report.window for report in self.reports if report.taken}
