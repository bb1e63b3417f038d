"""A long randomised run over whole daemons, with faults at any time, alone or two together.

The schedule of faults and the load follow from the seed. Violations are counted outside
of the daemons: by callers, the trainer, services' and engines' own records, and the edits
that were accepted.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp
import msgspec

from rackswitch.demo.fleet import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    TRAINER_TOKEN,
    EmbeddedFleet,
    FleetProfile,
)
from rackswitch.demo.main import wait_ready
from rackswitch.registry import Registry
from rackswitch.standins.callers import CallerStandIn
from rackswitch.standins.faults import FaultOrder
from rackswitch.standins.trainer import TrainerStandIn, false_labels
from rackswitch.table import DaemonRow

__all__ = ["FAULTS", "Campaign", "CampaignReport"]

ARRIVALS_PER_SECOND = 25.0
EDITS_PER_SECOND = 1.5
FAULT_PAUSE_SECONDS = (0.3, 2.5)
FAULT_LIFE_SECONDS = (0.3, 3.0)
HEALING_TIMEOUT_SECONDS = 60.0
TWO_AT_ONCE_SHARE = 0.3
CALL_TIMEOUT_SECONDS = 20.0

Fault = Callable[["Campaign"], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")


@dataclass(slots=True)
class CampaignReport:
    """What a campaign saw.

    Attributes
    ----------
    violations : list of str
        Empty if everything that must hold did.
    """

    seed: int
    seconds: float
    violations: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    completed: int = 0
    not_run: int = 0
    in_doubt: int = 0
    samples: int = 0
    steps: int = 0
    edits_accepted: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    beliefs: list[str] = field(default_factory=list)


class Campaign:
    """One run.

    Parameters
    ----------
    profile : FleetProfile
        The fleet's shape.
    seed : int
        Seed of load and faults.
    daemons : int
        Number of daemons.
    """

    def __init__(self, profile: FleetProfile, seed: int, daemons: int = 4):
        self.fleet = EmbeddedFleet(
            profile, seed, daemon_count=daemons, lease_seconds=2.0, tokens_per_second=2000.0
        )
        self.rng = random.Random(seed)
        self.report = CampaignReport(seed, 0.0)
        self.accepted: dict[str, int] = {}
        self._profile = profile
        self._next_daemon = daemons
        self._calls: set[asyncio.Task[None]] = set()
        self._replacements: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> CampaignReport:
        """Load the fleet and break it for a time, then heal it and count."""
        await self.fleet.start()
        await wait_ready(self.fleet)
        self.fleet.store.versions[self._profile.model] = {1}
        self.caller = CallerStandIn(CALLER_TOKEN, self.fleet.urls(), self.report.seed)
        self.trainer = TrainerStandIn(
            "nightly",
            TRAINER_TOKEN,
            self._profile.model,
            self.fleet.urls(),
            self.fleet.store.url,
            scored=True,
            seed=self.report.seed,
        )
        work = [
            asyncio.create_task(self._call_callers()),
            asyncio.create_task(self._edit()),
            asyncio.create_task(self._break()),
        ]
        training = asyncio.create_task(self.trainer.run(1_000_000))
        await asyncio.sleep(seconds)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        self._heal()
        await asyncio.gather(*self._replacements)
        await self._settle(training)
        await self._count(seconds)
        await self.caller.close()
        await self.fleet.stop()
        return self.report

    def renew_urls(self) -> None:
        """Let the balancer know which daemons there are."""
        self.caller.urls = self.fleet.urls()
        self.trainer.urls = self.fleet.urls()

    async def replace_daemon(self, planned: bool) -> None:
        """Take a daemon away, planned or not, and bring another.

        What has begun is carried through although the campaign ends meanwhile: a daemon
        that is stopped halfway is none that any fleet could have.
        """
        task = asyncio.create_task(self._replace_daemon(planned))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)
        await asyncio.shield(task)

    async def _replace_daemon(self, planned: bool) -> None:
        name = self.rng.choice(sorted(self.fleet.daemons))
        leaving = self.fleet.daemons.pop(name)
        self.renew_urls()
        if planned:
            await leaving.stop()
        else:
            await leaving.crash()
        if leaving.context.broken is not None:
            self.report.violations.append(f"{name}: {leaving.context.broken}")
        number = self._next_daemon
        self._next_daemon += 1
        await self.fleet.start_daemon(f"d{number}", number)
        self.renew_urls()

    def life_seconds(self) -> float:
        """Return how long the next fault lasts."""
        return self.rng.uniform(*FAULT_LIFE_SECONDS)

    async def _call_callers(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(ARRIVALS_PER_SECOND))
            number += 1
            task = asyncio.create_task(self._call(number))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    async def _call(self, number: int) -> None:
        profile = self._profile
        kind = number % 4
        if kind == 0:
            await self.caller.complete(profile.model, f"page {number % 7}", 48, number)
        elif kind == 1:
            await self.caller.complete(profile.application, f"form {number}", 32, number, False)
        elif kind == 2:
            await self.caller.call_service(profile.service, f"look/{number}", b"", None)
        else:
            key = f"key-{self.report.seed}-{number}"
            body = f"job {number}".encode()
            calls = [self.caller.call_service(profile.service, f"jobs/{number}", body, key)]
            await asyncio.gather(*calls)

    async def _edit(self) -> None:
        """Two writers race on one row, and each adds rows of its own."""
        number = 0
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(EDITS_PER_SECOND))
                number += 1
                await asyncio.gather(*(self._edit_once(session, w, number) for w in "ab"))

    async def _edit_once(self, session: aiohttp.ClientSession, writer: str, number: int) -> None:
        own = DaemonRow(name=f"row-{writer}-{number}")
        shared = DaemonRow(name="row-shared", draining=bool(number % 2))
        body = msgspec.json.encode(
            {"changes": [{"row": own}, {"row": shared}], "edit_id": f"{writer}{number}"}
        )
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = self.rng.choice(self.fleet.urls()) + "/admin/v1/edits"
        try:
            async with session.post(url, data=body, headers=headers) as answer:
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return
        if answer.status == 200:
            self.accepted[f"daemon/{own.name}"] = msgspec.json.decode(content)["revision"]

    async def _break(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE_SECONDS))
            count = 2 if self.rng.random() < TWO_AT_ONCE_SHARE else 1
            names = self.rng.sample(FAULTS.names(), count)
            self.report.faults.update(names)
            await asyncio.gather(*(FAULTS.get(name)(self) for name in names))

    def _beliefs(self) -> list[str]:
        """Return what each daemon believes and waits for, and what the trainer last heard."""
        now_seconds = asyncio.get_running_loop().time()
        lines = [f"trainer's last refusals: {list(self.trainer.last_refusals)}"]
        for engine in self.fleet.engines.values():
            lines.append(f"engine {engine.name}: version {engine.version}, {engine.gate.order}")
        for name, daemon in self.fleet.daemons.items():
            view = daemon.context.view
            members = {
                member: f"{known.update.state.name} {known.update.incarnation}"
                for member, known in daemon.context.membership.members.items()
            }
            roles = {
                role: lease.held.fencing if lease.held is not None else None
                for role, lease in daemon.roles.roles.items()
            }
            targets = {
                target.name: (target.version, round(target.open_until_seconds - now_seconds, 1))
                for target in daemon.targets.targets.values()
            }
            lines.append(
                f"{name}: table {view.revision} confirmed={view.is_confirmed(now_seconds)} "
                f"members={members} roles={roles} targets={targets}"
            )
            lines.append(f"{name}: holds {daemon.ledgers.held_fencings()}")
            lines.extend(f"{name}: {state}" for state in daemon.context.duty_states())
        return lines

    def _heal(self) -> None:
        fleet = self.fleet
        gates = [fleet.kv.gate, fleet.store.gate, fleet.scorer.gate]
        for gate in [*gates, *(service.gate for service in fleet.services)]:
            gate.set(FaultOrder())
        for engine in fleet.engines.values():
            engine.gate.set(FaultOrder())
            engine.slow_factor = 1.0
        for daemon in fleet.daemons.values():
            daemon.context.links.blocked.clear()

    async def _settle(self, training: asyncio.Task[None]) -> None:
        """Wait for two more whole steps, all calls' ends, and one table everywhere."""
        goal = self.trainer.record.steps + 2
        try:
            async with asyncio.timeout(HEALING_TIMEOUT_SECONDS):
                while self.trainer.record.steps < goal and not training.done():
                    await asyncio.sleep(0.05)
                while len({d.context.view.revision for d in self.fleet.daemons.values()}) > 1:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.report.violations.append("the fleet did not recover after the faults ended")
            self.report.beliefs = self._beliefs()
        training.cancel()
        await asyncio.gather(training, return_exceptions=True)
        if self._calls:
            _, pending = await asyncio.wait(self._calls, timeout=CALL_TIMEOUT_SECONDS)
            if pending:
                self.report.violations.append(f"{len(pending)} calls without a final answer")

    async def _count(self, seconds: float) -> None:
        runs: Counter[str] = Counter()
        for service in self.fleet.services:
            runs.update(service.runs_by_key)
        record = self.caller.record
        report = self.report
        report.seconds = seconds
        report.violations += self.caller.violations(dict(runs))
        report.violations += self.trainer.record.violations()
        report.violations += self.fleet.broken_invariants()
        labels = false_labels(self.trainer.labels, self.fleet.engines.values())
        if labels:
            report.violations.append(f"{labels} samples with a false label")
        for daemon in self.fleet.daemons.values():
            rows = daemon.context.view.document.rows
            gone = [key for key in self.accepted if key not in rows]
            if gone:
                report.violations.append(f"accepted edits not in force: {gone[:3]}")
        report.completed = record.completed
        report.not_run = record.not_run
        report.in_doubt = record.may_have_run + record.failed
        report.samples = self.trainer.record.samples
        report.steps = self.trainer.record.steps
        report.edits_accepted = len(self.accepted)
        report.refusals = Counter(record.details)


async def _kv_fault(campaign: Campaign, order: FaultOrder) -> None:
    campaign.fleet.kv.gate.set(order)
    await asyncio.sleep(campaign.life_seconds())
    campaign.fleet.kv.gate.set(FaultOrder())


@FAULTS.register("kv outage")
async def _kv_outage(campaign: Campaign) -> None:
    await _kv_fault(campaign, FaultOrder(mode="freeze"))


@FAULTS.register("kv lost answers")
async def _kv_lost_answers(campaign: Campaign) -> None:
    await _kv_fault(campaign, FaultOrder(mode="cut_after", share=0.3))


@FAULTS.register("kv slow")
async def _kv_slow(campaign: Campaign) -> None:
    await _kv_fault(campaign, FaultOrder(slow_seconds=0.3))


@FAULTS.register("leases lapse")
async def _leases_lapse(campaign: Campaign) -> None:
    campaign.fleet.kv.lapse_leases()
    campaign.fleet.kv.break_watches()


@FAULTS.register("daemon dies")
async def _daemon_dies(campaign: Campaign) -> None:
    await campaign.replace_daemon(planned=False)


@FAULTS.register("daemon stops")
async def _daemon_stops(campaign: Campaign) -> None:
    await campaign.replace_daemon(planned=True)


@FAULTS.register("daemons cut off from each other")
async def _cut(campaign: Campaign) -> None:
    names = sorted(campaign.fleet.daemons)
    half = set(campaign.rng.sample(names, len(names) // 2))
    for name, daemon in campaign.fleet.daemons.items():
        daemon.context.links.blocked |= set(names) - half if name in half else half
    await asyncio.sleep(campaign.life_seconds())
    for daemon in campaign.fleet.daemons.values():
        daemon.context.links.blocked.clear()


@FAULTS.register("engine crashes")
async def _engine_crashes(campaign: Campaign) -> None:
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    engine.gate.set(FaultOrder(mode="cut_before"))
    engine.break_streams()
    await asyncio.sleep(campaign.life_seconds())
    engine.gate.set(FaultOrder())


@FAULTS.register("engine freezes")
async def _engine_freezes(campaign: Campaign) -> None:
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    engine.gate.set(FaultOrder(mode="freeze"))
    await asyncio.sleep(campaign.life_seconds())
    engine.gate.set(FaultOrder())


@FAULTS.register("engine slows tenfold")
async def _engine_slows(campaign: Campaign) -> None:
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    engine.slow_factor = 10.0
    await asyncio.sleep(campaign.life_seconds())
    engine.slow_factor = 1.0


@FAULTS.register("weight swap fails partway")
async def _swap_fails(campaign: Campaign) -> None:
    campaign.rng.choice(list(campaign.fleet.engines.values())).swap.fail_next += 1


@FAULTS.register("late order of a former holder")
async def _late_order(campaign: Campaign) -> None:
    """An engine that ignores fencing numbers takes an old order."""
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    if engine.version is not None and engine.version > 1 and not engine.loading:
        engine.version -= 1


@FAULTS.register("service loses answers")
async def _service_loses_answers(campaign: Campaign) -> None:
    service = campaign.rng.choice(campaign.fleet.services)
    mode = campaign.rng.choice(["cut_after", "cut_before", "refuse"])
    service.gate.set(FaultOrder(mode=mode, share=0.5))
    await asyncio.sleep(campaign.life_seconds())
    service.gate.set(FaultOrder())


@FAULTS.register("scorer refuses")
async def _scorer_refuses(campaign: Campaign) -> None:
    campaign.fleet.scorer.gate.set(FaultOrder(mode="refuse", share=0.7))
    await asyncio.sleep(campaign.life_seconds())
    campaign.fleet.scorer.gate.set(FaultOrder())
