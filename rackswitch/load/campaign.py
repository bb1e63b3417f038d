"""A randomised run of an embedded fleet under load and faults, one or two at a time.

The seed determines the load and the schedule of faults. Violations are detected outside the
daemons: by callers, the trainer, the records of services and engines, and accepted edits.
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
FAULT_INTERVAL_SECONDS = (0.3, 2.5)
FAULT_DURATION_SECONDS = (0.3, 3.0)
RECOVERY_TIMEOUT_SECONDS = 60.0
TWO_FAULTS_PROBABILITY = 0.3
CALL_TIMEOUT_SECONDS = 20.0

Fault = Callable[["Campaign"], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")


@dataclass(slots=True)
class CampaignReport:
    """The result of a campaign.

    Attributes
    ----------
    violations : list of str
        Violated guarantees; empty if the run passed.
    not_run, in_doubt : int
        Calls that were refused before they ran, and calls that may have run or failed.
    beliefs : list of str
        State of the daemons and the trainer, if the fleet did not recover.
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
    """One run of load and faults.

    Parameters
    ----------
    profile : FleetProfile
        Profile of the fleet.
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
        """Apply load and faults for a time, then clear the faults and collect the results."""
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
        background_tasks = [
            asyncio.create_task(self._send_calls()),
            asyncio.create_task(self._edit()),
            asyncio.create_task(self._inject_faults()),
        ]
        training_task = asyncio.create_task(self.trainer.run(1_000_000))
        await asyncio.sleep(seconds)
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)
        self._clear_faults()
        await asyncio.gather(*self._replacements)
        await self._wait_for_recovery(training_task)
        await self._collect_results(seconds)
        await self.caller.close()
        await self.fleet.stop()
        return self.report

    def update_urls(self) -> None:
        """Send further calls to the present daemons only."""
        self.caller.urls = self.fleet.urls()
        self.trainer.urls = self.fleet.urls()

    async def replace_daemon(self, planned: bool) -> None:
        """Stop or crash a daemon and start a new one.

        A replacement in progress is completed even if the fault task is cancelled, so that no
        daemon stays partly stopped.
        """
        task = asyncio.create_task(self._replace_daemon(planned))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)
        await asyncio.shield(task)

    async def _replace_daemon(self, planned: bool) -> None:
        name = self.rng.choice(sorted(self.fleet.daemons))
        old_daemon = self.fleet.daemons.pop(name)
        self.update_urls()
        if planned:
            await old_daemon.stop()
        else:
            await old_daemon.crash()
        if old_daemon.context.violated_invariant is not None:
            self.report.violations.append(f"{name}: {old_daemon.context.violated_invariant}")
        number = self._next_daemon
        self._next_daemon += 1
        await self.fleet.start_daemon(f"d{number}", number)
        self.update_urls()

    def draw_fault_seconds(self) -> float:
        """Draw the duration of a fault."""
        return self.rng.uniform(*FAULT_DURATION_SECONDS)

    async def _send_calls(self) -> None:
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
        """Let two writers race on one row while each adds rows of its own."""
        number = 0
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(EDITS_PER_SECOND))
                number += 1
                await asyncio.gather(*(self._edit_once(session, w, number) for w in "ab"))

    async def _edit_once(self, session: aiohttp.ClientSession, writer: str, number: int) -> None:
        own_row = DaemonRow(name=f"row-{writer}-{number}")
        shared_row = DaemonRow(name="row-shared", draining=bool(number % 2))
        body = msgspec.json.encode(
            {"changes": [{"row": own_row}, {"row": shared_row}], "edit_id": f"{writer}{number}"}
        )
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = self.rng.choice(self.fleet.urls()) + "/admin/v1/edits"
        try:
            async with session.post(url, data=body, headers=headers) as response:
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return
        if response.status == 200:
            self.accepted[f"daemon/{own_row.name}"] = msgspec.json.decode(content)["revision"]

    async def _inject_faults(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_SECONDS))
            count = 2 if self.rng.random() < TWO_FAULTS_PROBABILITY else 1
            names = self.rng.sample(FAULTS.names(), count)
            self.report.faults.update(names)
            await asyncio.gather(*(FAULTS.get(name)(self) for name in names))

    def _describe_state(self) -> list[str]:
        """Describe the state of daemons, engines and trainer if the fleet did not recover."""
        now_seconds = asyncio.get_running_loop().time()
        lines = [f"last refusals seen by the trainer: {list(self.trainer.last_refusals)}"]
        for engine in self.fleet.engines.values():
            lines.append(f"engine {engine.name}: version {engine.version}, {engine.gate.order}")
        for name, daemon in self.fleet.daemons.items():
            view = daemon.context.view
            members = {
                member: f"{member_state.update.state.name} {member_state.update.incarnation}"
                for member, member_state in daemon.context.membership.members.items()
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

    def _clear_faults(self) -> None:
        fleet = self.fleet
        gates = [fleet.kv.gate, fleet.store.gate, fleet.scorer.gate]
        for gate in [*gates, *(service.gate for service in fleet.services)]:
            gate.set(FaultOrder())
        for engine in fleet.engines.values():
            engine.gate.set(FaultOrder())
            engine.slow_factor = 1.0
        for daemon in fleet.daemons.values():
            daemon.context.links.blocked.clear()

    async def _wait_for_recovery(self, training_task: asyncio.Task[None]) -> None:
        """Wait for two more complete steps, one table revision everywhere, and all calls to end."""
        target_steps = self.trainer.record.steps + 2
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
                while self.trainer.record.steps < target_steps and not training_task.done():
                    await asyncio.sleep(0.05)
                while len({d.context.view.revision for d in self.fleet.daemons.values()}) > 1:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.report.violations.append("the fleet did not recover after the faults ended")
            self.report.beliefs = self._describe_state()
        training_task.cancel()
        await asyncio.gather(training_task, return_exceptions=True)
        if self._calls:
            _, pending = await asyncio.wait(self._calls, timeout=CALL_TIMEOUT_SECONDS)
            if pending:
                self.report.violations.append(f"{len(pending)} calls without a final response")

    async def _collect_results(self, seconds: float) -> None:
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
            report.violations.append(f"{labels} samples with a wrong label")
        for daemon in self.fleet.daemons.values():
            rows = daemon.context.view.document.rows
            missing = [key for key in self.accepted if key not in rows]
            if missing:
                report.violations.append(f"accepted edits missing from the table: {missing[:3]}")
        report.completed = record.completed
        report.not_run = record.not_run
        report.in_doubt = record.may_have_run + record.failed
        report.samples = self.trainer.record.samples
        report.steps = self.trainer.record.steps
        report.edits_accepted = len(self.accepted)
        report.refusals = Counter(record.details)


async def _kv_fault(campaign: Campaign, order: FaultOrder) -> None:
    campaign.fleet.kv.gate.set(order)
    await asyncio.sleep(campaign.draw_fault_seconds())
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
async def _leases_expire(campaign: Campaign) -> None:
    campaign.fleet.kv.lapse_leases()
    campaign.fleet.kv.break_watches()


@FAULTS.register("daemon dies")
async def _daemon_crashes(campaign: Campaign) -> None:
    await campaign.replace_daemon(planned=False)


@FAULTS.register("daemon stops")
async def _daemon_stops(campaign: Campaign) -> None:
    await campaign.replace_daemon(planned=True)


@FAULTS.register("daemons cut off from each other")
async def _daemons_partitioned(campaign: Campaign) -> None:
    names = sorted(campaign.fleet.daemons)
    half = set(campaign.rng.sample(names, len(names) // 2))
    for name, daemon in campaign.fleet.daemons.items():
        daemon.context.links.blocked |= set(names) - half if name in half else half
    await asyncio.sleep(campaign.draw_fault_seconds())
    for daemon in campaign.fleet.daemons.values():
        daemon.context.links.blocked.clear()


@FAULTS.register("engine crashes")
async def _engine_crashes(campaign: Campaign) -> None:
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    engine.gate.set(FaultOrder(mode="cut_before"))
    engine.break_streams()
    await asyncio.sleep(campaign.draw_fault_seconds())
    engine.gate.set(FaultOrder())


@FAULTS.register("engine freezes")
async def _engine_freezes(campaign: Campaign) -> None:
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    engine.gate.set(FaultOrder(mode="freeze"))
    await asyncio.sleep(campaign.draw_fault_seconds())
    engine.gate.set(FaultOrder())


@FAULTS.register("engine slows tenfold")
async def _engine_slows(campaign: Campaign) -> None:
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    engine.slow_factor = 10.0
    await asyncio.sleep(campaign.draw_fault_seconds())
    engine.slow_factor = 1.0


@FAULTS.register("weight swap fails partway")
async def _swap_fails(campaign: Campaign) -> None:
    campaign.rng.choice(list(campaign.fleet.engines.values())).swap.fail_next += 1


@FAULTS.register("late order of a former holder")
async def _stale_order(campaign: Campaign) -> None:
    """Revert an engine to an old version, as if it ignored fencing numbers."""
    engine = campaign.rng.choice(list(campaign.fleet.engines.values()))
    if engine.version is not None and engine.version > 1 and not engine.loading:
        engine.version -= 1


@FAULTS.register("service loses answers")
async def _service_loses_answers(campaign: Campaign) -> None:
    service = campaign.rng.choice(campaign.fleet.services)
    mode = campaign.rng.choice(["cut_after", "cut_before", "refuse"])
    service.gate.set(FaultOrder(mode=mode, share=0.5))
    await asyncio.sleep(campaign.draw_fault_seconds())
    service.gate.set(FaultOrder())


@FAULTS.register("scorer refuses")
async def _scorer_refuses(campaign: Campaign) -> None:
    campaign.fleet.scorer.gate.set(FaultOrder(mode="refuse", share=0.7))
    await asyncio.sleep(campaign.draw_fault_seconds())
    campaign.fleet.scorer.gate.set(FaultOrder())
