"""Guards against lost, duplicate or too stale samples under faults."""

import asyncio
import random
from dataclasses import replace

import msgspec
import pytest

from rackswitch.daemon.ledger_manager import LedgerManager
from rackswitch.daemon.ledger_store import LedgerStore, ledger_role
from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.sample_runner import SampleFailed
from rackswitch.daemon.tests.support import make_context, run_on_virtual_clock
from rackswitch.membership import MemberState, MemberUpdate, VmEntry
from rackswitch.peers.links import PeerUnreachable
from rackswitch.samples import (
    Batch,
    Draw,
    DrawHandOver,
    GroupPlan,
    Sample,
    SampleLabel,
    SampleLedger,
    SampleOrder,
    StepPlan,
)
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import ModelRow, StoredRow, TableDocument, TrainerRow

DAEMONS = 3
STEPS = 4
BOUND = 1
TRAINER = TrainerRow(
    name="t", token_sha256="", model="m", concurrency=8, staleness_bound_versions=BOUND
)
TABLE = TableDocument(
    revision=1,
    rows={"trainer/t": StoredRow(1, TRAINER), "model/m": StoredRow(1, ModelRow(name="m"))},
)


class FakeRunner:
    """Makes samples with the current version of the weights."""

    def __init__(self, rng: random.Random):
        self.version = 1
        self.rng = rng

    async def run(self, order):
        first = self.version
        await asyncio.sleep(self.rng.expovariate(2.0))
        spans = ((first, 3),) if first == self.version else ((first, 2), (self.version, 1))
        return Sample(
            step=order.step,
            index=order.index,
            group=order.group,
            attempt=order.attempt,
            seed=order.seed,
            text=str(order.seed),
            tokens=3,
            label=SampleLabel(spans=spans),
        )


class LocalLedgerKeeper(LedgerManager):
    """Runs all samples on this daemon, since the test has no network."""

    async def _run_on_fleet(self, order):
        return await self._runner.run(order)


class Trainer:
    """Draws through random daemons; may restart from its last checkpoint."""

    def __init__(self, runner: FakeRunner, keepers: list[LedgerManager], rng: random.Random):
        self.runner = runner
        self.keepers = keepers
        self.rng = rng
        self.epoch = 0
        self.violations: list[str] = []
        self.received = 0

    def plan(self, step: int) -> StepPlan:
        groups = (GroupPlan(prompt=f"{step}a", samples=6), GroupPlan(prompt=f"{step}b", samples=5))
        return StepPlan(step=step, groups=groups)

    async def call(self, operation: str, message: msgspec.Struct) -> bytes | None:
        """Call a daemon; the answer may be lost."""
        keeper = self.rng.choice(self.keepers)
        work = asyncio.create_task(keeper.call_here("t", operation, msgspec.json.encode(message)))
        try:
            answer = await asyncio.wait_for(work, 4.0)
        except TimeoutError:
            return None
        if self.rng.random() < 0.15 or answer.status != 200:
            return None
        return answer.body

    async def train(self, restarts: bool) -> None:
        for step in range(1, STEPS + 1):
            received_samples: dict[int, Sample] = {}
            acknowledged = 0
            checkpoint: tuple[int, dict[int, Sample]] = (0, {})
            while not await self.draw_batch(step, acknowledged, received_samples):
                acknowledged = self.acknowledged
                if self.rng.random() < 0.15:
                    # A new version is published during the step.
                    self.runner.version += 1
                if restarts and self.rng.random() < 0.05:
                    acknowledged, received_samples = checkpoint[0], dict(checkpoint[1])
                    self.epoch += 1
                elif self.rng.random() < 0.3:
                    checkpoint = (acknowledged, dict(received_samples))
            if sorted(received_samples) != list(range(11)):
                self.violations.append(
                    f"step {step}: missing or extra samples: {sorted(received_samples)}"
                )
            self.runner.version += 1

    async def draw_batch(
        self, step: int, acknowledged: int, received_samples: dict[int, Sample]
    ) -> bool:
        """Draw one batch; return whether the step is complete."""
        self.acknowledged = acknowledged
        draw = Draw(
            step=step,
            acknowledged_batch=acknowledged,
            policy_version=self.runner.version,
            trainer_epoch=self.epoch,
            most_samples=4,
            wait_seconds=1.0,
        )
        body = await self.call("draw", draw)
        if body is None:
            await asyncio.sleep(0.3)
            await self.call("plan", self.plan(step))
            await self.call("plan", self.plan(step + 1))
            return False
        batch = msgspec.json.decode(body, type=Batch)
        if batch.step_complete:
            return True
        if batch.batch <= acknowledged:
            return False
        for sample in batch.samples:
            self.received += 1
            if sample.index in received_samples or sample.step != step:
                self.violations.append(f"step {step}: sample {sample.index} twice")
            received_samples[sample.index] = sample
            if self.runner.version - sample.label.oldest_version > BOUND:
                self.violations.append(f"step {step}: sample {sample.index} is too old")
        self.acknowledged = batch.batch
        return False


async def train(
    seed: int, restarts: bool = False, timeout_seconds: float = 3000.0
) -> tuple[list[str], int]:
    rng = random.Random(seed)
    store = KvStore()
    faults = KvFaults(lost_request=0.06, lost_answer=0.1, late_effect=0.06, stale_read=0.05)
    runner = FakeRunner(rng)
    keepers: list[LedgerManager] = []

    def start_daemon(name: str) -> LedgerManager:
        context = make_context(name, store, rng, faults)
        context.view.replace_if_newer(TABLE)
        context.view.confirm(1, float("inf"))
        entries = [VmEntry(f"d{n}", "h", 1, "z", False) for n in range(DAEMONS)]
        context.membership.update_from_vm_list(entries, 0.0)
        roles = RoleManager(context, lambda: [ledger_role("t")])
        keeper = LocalLedgerKeeper(context, roles, runner)
        context.spawn(roles.run())
        context.spawn(keeper.run())
        return keeper

    keepers.extend(start_daemon(f"d{number}") for number in range(DAEMONS))
    invariant_errors: list[str] = []

    async def inject_faults() -> None:
        while True:
            await asyncio.sleep(rng.random() * 6)
            kind = rng.randrange(4)
            if kind == 0:
                number = rng.randrange(DAEMONS)
                await keepers[number]._context.cancel_all()
                keepers[number] = start_daemon(f"d{number}")
            elif kind == 1:
                for lease_id in list(store.leases):
                    store.end_lease(lease_id)
            elif kind == 2:
                faults.down = True
                await asyncio.sleep(rng.random() * 4)
                faults.down = False
            invariant_errors.extend(
                str(k._context.violated_invariant) for k in keepers if k._context.violated_invariant
            )

    faults_task = asyncio.create_task(inject_faults())
    trainer = Trainer(runner, keepers, rng)
    async with asyncio.timeout(timeout_seconds):
        await trainer.train(restarts)
    faults_task.cancel()
    for keeper in keepers:
        await keeper._context.cancel_all()
    return trainer.violations + invariant_errors, trainer.received


@pytest.mark.parametrize("seed", range(24))
def test_each_sample_arrives_once_under_faults(seed):
    violations, received = run_on_virtual_clock(train(seed))
    assert violations == []
    assert received == STEPS * 11


@pytest.mark.parametrize("seed", range(8))
def test_restarted_trainer_gets_lost_samples_again(seed):
    violations, received = run_on_virtual_clock(train(seed, restarts=True))
    assert violations == []
    assert received >= STEPS * 11


def test_holder_with_an_unconfirmed_table_refuses_draws():
    async def draw():
        context = make_context("d0", KvStore(), random.Random(1))
        context.view.replace_if_newer(TABLE)
        roles = RoleManager(context, lambda: [ledger_role("t")])
        await roles.update_roles()
        keeper = LocalLedgerKeeper(context, roles, FakeRunner(random.Random(1)))
        context.spawn(keeper.run())
        await asyncio.sleep(1.0)
        message = Draw(step=1, acknowledged_batch=0, policy_version=1)
        return await keeper.call_here("t", "draw", msgspec.json.encode(message))

    answer = run_on_virtual_clock(draw())
    assert answer.status == 503
    assert b"table-unconfirmed" in answer.body


def test_cancellation_during_wake_up_is_not_lost():
    async def cancel():
        context = make_context("d0", KvStore(), random.Random(1))
        roles = RoleManager(context, lambda: [])
        keeper = LocalLedgerKeeper(context, roles, FakeRunner(random.Random(1)))
        task = asyncio.create_task(keeper.run())
        for _ in range(2):
            await asyncio.sleep(0)
        keeper._wake.set()
        await asyncio.sleep(0)
        task.cancel()
        for _ in range(20):
            await asyncio.sleep(0)
        return task.done()

    assert run_on_virtual_clock(cancel())


def test_without_a_stored_record_a_new_holder_cannot_continue(monkeypatch):
    """Without durable records, a new holder cannot complete the step correctly."""

    async def record_in_memory(self, trainer, held, record):
        held.ledger.record_write(record)

    monkeypatch.setattr(LedgerStore, "write", record_in_memory)
    try:
        violations, _ = run_on_virtual_clock(train(1, timeout_seconds=120.0))
    except TimeoutError:
        violations = ["the trainer's step was never complete"]
    assert violations


def test_without_the_check_at_hand_over_stale_samples_are_handed_over(monkeypatch):
    """Checking staleness only at the end of a sample is not enough."""
    monkeypatch.setattr(SampleLedger, "_drop_stale", lambda self, step: None)

    def hand_over_unchecked(self, batch):
        indices = self.record.batches[batch - 1]
        samples = tuple(self.bodies[(self.record.step, index)] for index in indices)
        return DrawHandOver(batch, samples)

    monkeypatch.setattr(SampleLedger, "_hand_over", hand_over_unchecked)
    results = []
    for seed in range(6):
        try:
            results.append(run_on_virtual_clock(train(seed, timeout_seconds=300.0))[0])
        except (KeyError, TimeoutError):
            results.append([])
    assert any("too old" in line for result in results for line in result)


class SlowFailingLinks:
    """Fails each call after a delay."""

    def __init__(self, seconds: float):
        self._seconds = seconds

    async def call(self, *arguments: object) -> PeerUnreachable:
        await asyncio.sleep(self._seconds)
        return PeerUnreachable("the end")


def make_order() -> SampleOrder:
    return SampleOrder(
        trainer="t",
        model="m",
        step=1,
        index=0,
        group=0,
        attempt=1,
        prompt="p",
        seed=1,
        max_tokens=3,
    )


@pytest.mark.parametrize("change", ["dead", "another process", "forgotten"])
def test_order_at_a_dead_daemon_is_abandoned(change):
    # Guards against orders at a dead daemon that block the step until they time out.
    async def scenario():
        context = make_context("a", KvStore(), random.Random(1))
        keeper = LedgerManager(context, RoleManager(context, lambda: []), None)
        peer = MemberUpdate("b", "127.0.0.1", 1, "z", 5, MemberState.ALIVE)
        context.membership.merge(peer, 0.0)

        context.links = SlowFailingLinks(1e9)
        # Orders are distributed round-robin, and b is the second live daemon.
        next(keeper._round_robin)
        task = asyncio.create_task(keeper._run_on_fleet(make_order()))
        await asyncio.sleep(5.0)
        assert not task.done()
        if change == "forgotten":
            del context.membership.members["b"]
        elif change == "dead":
            context.membership.merge(replace(peer, state=MemberState.DEAD), 5.0)
        else:
            context.membership.merge(replace(peer, incarnation=6), 5.0)
        await asyncio.sleep(2.0)
        assert task.done()
        assert isinstance(task.result(), SampleFailed)

    run_on_virtual_clock(scenario())


def test_order_at_a_leaving_daemon_is_not_abandoned():
    async def scenario():
        context = make_context("a", KvStore(), random.Random(1))
        keeper = LedgerManager(context, RoleManager(context, lambda: []), None)
        peer = MemberUpdate("b", "127.0.0.1", 1, "z", 5, MemberState.ALIVE)
        context.membership.merge(peer, 0.0)

        context.links = SlowFailingLinks(20.0)
        next(keeper._round_robin)
        task = asyncio.create_task(keeper._run_on_fleet(make_order()))
        await asyncio.sleep(1.0)
        context.membership.merge(replace(peer, state=MemberState.LEAVING), 1.0)
        assert (await task).detail == "the end"

    run_on_virtual_clock(scenario())


def test_plan_of_a_former_holder_is_not_stored():
    async def scenario():
        kv = KvStore()
        contexts = [make_context(name, kv, random.Random(1)) for name in ("a", "b")]
        role = ledger_role("t")
        role_managers = [RoleManager(context, lambda: [role]) for context in contexts]
        stores = [LedgerStore(*pair) for pair in zip(contexts, role_managers, strict=True)]
        plan = StepPlan(step=1, groups=(GroupPlan(prompt="p", samples=1, max_tokens=3, seed=1),))
        other = StepPlan(step=1, groups=(GroupPlan(prompt="q", samples=1, max_tokens=3, seed=1),))
        await role_managers[0].update_roles()
        assert (await stores[0].put_plan("t", plan)).status == 200
        # The service grants the role to another daemon without notifying the former holder.
        kv.end_lease(role_managers[0].roles[role].held.lease_id)
        await role_managers[1].update_roles()
        assert role_managers[0].may_act(role) and role_managers[1].may_act(role)
        assert (await stores[0].put_plan("t", other)).status != 200
        loaded = await stores[1].load(TRAINER)
        assert loaded.ledger.plans[1] == plan
        assert not role_managers[0].may_act(role)

    run_on_virtual_clock(scenario())
