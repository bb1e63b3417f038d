"""The ledgers that this daemon holds, and the way to those held elsewhere."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field

import msgspec
from loguru import logger

from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.peers import LedgerAnswer
from rackswitch.daemon.roles import ROLE_PREFIX, RoleKeeper
from rackswitch.daemon.sample_runner import SampleFailed, SampleRunner
from rackswitch.leases import rank_candidates
from rackswitch.peers import peers_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.platform.kv import Compare, KvRead, KvUnavailable, Operation, TxnPart
from rackswitch.samples import (
    Batch,
    Draw,
    DrawComplete,
    DrawHandOver,
    DrawRefused,
    DrawWrite,
    LedgerRecord,
    Sample,
    SampleLedger,
    SampleOrder,
    StepPlan,
)
from rackswitch.table import TrainerRow
from rackswitch.web import Problem

__all__ = ["LedgerKeeper", "ledger_role"]

TICK_SECONDS = 0.2
RETRY_SECONDS = 0.05
NOT_HELD_HERE = 421
FORWARD_TIMEOUT_SECONDS = 35.0
RUN_TIMEOUT_SECONDS = 150.0
MOST_PLAN_BYTES = 900_000
COME_BACK_SECONDS = 0.5


def ledger_role(trainer: str) -> str:
    """Return the role whose holder keeps a trainer's ledger."""
    return f"ledger/{trainer}"


@dataclass(slots=True)
class _HeldLedger:
    """A ledger on the daemon that holds its role.

    Attributes
    ----------
    fencing : int
        The fencing number under which it was loaded.
    mod_revision : int
        Revision of the record in the service, as last known.
    """

    ledger: SampleLedger
    fencing: int
    mod_revision: int
    news: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class LedgerKeeper:
    """Serves trainers, from the ledgers held here or through their holders.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    roles : RoleKeeper
        Leases.
    runner : SampleRunner
        Makes samples on this daemon.
    """

    __slots__ = ("_context", "_held", "_holders", "_roles", "_runner", "_turn", "_wake")

    def __init__(self, context: DaemonContext, roles: RoleKeeper, runner: SampleRunner):
        self._context = context
        self._roles = roles
        self._runner = runner
        self._held: dict[str, _HeldLedger] = {}
        self._holders: dict[str, str] = {}
        self._turn = itertools.count()
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Load and drop ledgers as roles come and go, and start their work."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), TICK_SECONDS)
            self._wake.clear()
            for trainer in list(self._context.view.rows(TrainerRow)):
                await self._tend(trainer)

    async def call(self, trainer: str, operation: str, body: bytes) -> LedgerAnswer:
        """Carry out a trainer's call wherever its ledger is held."""
        answer = await self.call_here(trainer, operation, body)
        if answer.status != NOT_HELD_HERE:
            return answer
        for daemon in await self._likely_holders(trainer):
            answer = await self._forward(daemon, trainer, operation, body)
            if answer.status != NOT_HELD_HERE:
                self._holders[trainer] = daemon
                return answer
        self._holders.pop(trainer, None)
        return _problem(503, "ledger-moving", "No daemon holds this trainer's ledger now.")

    async def call_here(self, trainer: str, operation: str, body: bytes) -> LedgerAnswer:
        """Carry out a trainer's call if its ledger is held here."""
        held = self._held.get(trainer)
        if held is None or not self._may_act(trainer, held):
            return LedgerAnswer(NOT_HELD_HERE, b"")
        if operation == "plan":
            return await self._plan(trainer, held, msgspec.json.decode(body, type=StepPlan))
        return await self._draw(trainer, held, msgspec.json.decode(body, type=Draw))

    def _may_act(self, trainer: str, held: _HeldLedger) -> bool:
        role = ledger_role(trainer)
        return self._roles.may_act(role) and self._roles.fencing(role) == held.fencing

    async def _likely_holders(self, trainer: str) -> list[str]:
        """Return daemons to ask: the last known holder, the likely ones, the one on record."""
        own = self._context.settings.daemon
        role = ledger_role(trainer)
        likely = [self._holders[trainer]] if trainer in self._holders else []
        likely += rank_candidates(role, self._context.membership.live())[:2]
        if trainer not in self._holders:
            read = await self._context.kv.read(ROLE_PREFIX + role)
            if isinstance(read, KvRead) and read.entries:
                likely.insert(0, read.entries[0].value.decode().split(" ")[0])
        return [daemon for daemon in dict.fromkeys(likely) if daemon != own]

    async def _forward(
        self, daemon: str, trainer: str, operation: str, body: bytes
    ) -> LedgerAnswer:
        peer = self._context.membership.address(daemon)
        if peer is None:
            return LedgerAnswer(NOT_HELD_HERE, b"")
        message = pb.CallLedgerRequest(trainer=trainer, operation=operation, body=body)
        reply = await self._context.links.call(
            peer, lambda stub: stub.CallLedger, message, FORWARD_TIMEOUT_SECONDS
        )
        if isinstance(reply, PeerUnreachable):
            return LedgerAnswer(NOT_HELD_HERE, b"")
        return LedgerAnswer(reply.status, reply.body)

    async def _tend(self, trainer: TrainerRow) -> None:
        held = self._held.get(trainer.name)
        if held is not None and not self._may_act(trainer.name, held):
            del self._held[trainer.name]
            held.news.set()
            held = None
        if held is None:
            if self._roles.may_act(ledger_role(trainer.name)):
                await self._load(trainer)
            return
        held.ledger.set_rules(trainer.staleness_bound_versions, 0)
        room = int(trainer.concurrency) - len(held.ledger.running)
        if room <= 0 or self._context.stopping:
            return
        orders = held.ledger.next_orders(room, trainer.idle_weight, trainer.staleness_weight)
        for order in orders:
            self._context.spawn(self._carry_out(held, order))

    async def _load(self, trainer: TrainerRow) -> None:
        """Take over a ledger from its record and plans in the service."""
        fencing = self._roles.fencing(ledger_role(trainer.name))
        record_read = await self._context.kv.read(_record_key(trainer.name))
        plans_read = await self._context.kv.read(_plans_prefix(trainer.name), is_prefix=True)
        if isinstance(record_read, KvUnavailable) or isinstance(plans_read, KvUnavailable):
            return
        record, mod_revision = _record_of(record_read)
        ledger = SampleLedger(trainer.name, trainer.model, record, trainer.scorer)
        ledger.set_rules(trainer.staleness_bound_versions, 0)
        for entry in plans_read.entries:
            ledger.learn_plan(msgspec.json.decode(entry.value, type=StepPlan))
        self._held[trainer.name] = _HeldLedger(ledger, fencing, mod_revision)
        logger.info("ledger loaded", trainer=trainer.name, step=record.step, fencing=fencing)

    async def _carry_out(self, held: _HeldLedger, order: SampleOrder) -> None:
        result = await self._run_somewhere(order)
        if isinstance(result, Sample):
            held.ledger.finished(result)
        else:
            held.ledger.failed(order, result.unlabelled)
            await asyncio.sleep(RETRY_SECONDS)
        held.news.set()
        self._wake.set()

    async def _run_somewhere(self, order: SampleOrder) -> Sample | SampleFailed:
        """Run an order on the fleet's daemons in turn, so that no one process does all."""
        live = self._context.membership.live() or [self._context.settings.daemon]
        daemon = live[next(self._turn) % len(live)]
        peer = self._context.membership.address(daemon)
        if daemon == self._context.settings.daemon or peer is None:
            return await self._runner.run(order)
        message = pb.RunSampleRequest(order=msgspec.json.encode(order))
        reply = await self._context.links.call(
            peer, lambda stub: stub.RunSample, message, RUN_TIMEOUT_SECONDS
        )
        if isinstance(reply, PeerUnreachable):
            return SampleFailed(reply.detail)
        if reply.sample in (b"", b"unlabelled"):
            return SampleFailed("failed at a peer", unlabelled=reply.sample == b"unlabelled")
        return msgspec.json.decode(reply.sample, type=Sample)

    async def _plan(self, trainer: str, held: _HeldLedger, plan: StepPlan) -> LedgerAnswer:
        encoded = msgspec.json.encode(plan)
        if len(encoded) > MOST_PLAN_BYTES:
            return _problem(413, "plan-too-large", f"A plan holds at most {MOST_PLAN_BYTES} bytes.")
        async with held.lock:
            refusal = held.ledger.learn_plan(plan)
            if refusal is not None:
                return _problem(409, "plan-differs", refusal.detail)
            key = f"{_plans_prefix(trainer)}{plan.step:012d}"
            part = TxnPart(
                compares=(self._roles.fence(ledger_role(trainer)),),
                operations=(Operation(key, encoded),),
            )
            done = await self._context.kv.txn([part])
        self._wake.set()
        if isinstance(done, KvUnavailable):
            # Planning the same step again is harmless, so the trainer may simply retry.
            return _problem(503, "store-unavailable", "The plan is not known to be kept.")
        if not done[0].succeeded:
            self._roles.lose(ledger_role(trainer))
            return LedgerAnswer(NOT_HELD_HERE, b"")
        return LedgerAnswer(200, b'{"planned":true}')

    async def _draw(self, trainer: str, held: _HeldLedger, draw: Draw) -> LedgerAnswer:
        deadline_seconds = self._context.now_seconds() + draw.wait_seconds
        while True:
            held.news.clear()
            late = self._context.now_seconds() >= deadline_seconds
            answer = await self._try_draw(trainer, held, draw, 1 if late else draw.most_samples)
            if answer is not None:
                return answer
            if late:
                return self._batch(held, draw, draw.acknowledged_batch, False, ())
            timeout_seconds = max(0.0, deadline_seconds - self._context.now_seconds())
            try:
                await asyncio.wait_for(held.news.wait(), timeout_seconds)
            except TimeoutError:
                continue

    async def _try_draw(
        self, trainer: str, held: _HeldLedger, draw: Draw, at_least: int
    ) -> LedgerAnswer | None:
        async with held.lock:
            while True:
                if not self._may_act(trainer, held):
                    return LedgerAnswer(NOT_HELD_HERE, b"")
                if not self._may_trust_table():
                    detail = "The holder's table is not confirmed, so the bound may have changed."
                    return _problem(503, "table-unconfirmed", detail)
                self._refresh_rules(trainer, held)
                decision = held.ledger.draw(draw, at_least)
                if isinstance(decision, DrawRefused):
                    return _problem(409, "draw-refused", decision.detail)
                if isinstance(decision, DrawComplete):
                    return self._batch(held, draw, draw.acknowledged_batch, True, ())
                if isinstance(decision, DrawHandOver):
                    return self._batch(held, draw, decision.batch, False, decision.samples)
                if not isinstance(decision, DrawWrite):
                    return None
                failure = await self._write(trainer, held, decision.record)
                self._wake.set()
                if failure is not None:
                    return failure

    def _may_trust_table(self) -> bool:
        """Return whether the staleness bound in force here is known to be the newest."""
        if self._context.settings.freshness.trainers != "refuse":
            return True
        return self._context.view.is_confirmed(self._context.now_seconds())

    def _refresh_rules(self, trainer: str, held: _HeldLedger) -> None:
        row = self._context.view.row(TrainerRow, trainer)
        if row is not None:
            held.ledger.set_rules(row.staleness_bound_versions, 0)

    def _batch(
        self,
        held: _HeldLedger,
        draw: Draw,
        number: int,
        complete: bool,
        samples: tuple[Sample, ...],
    ) -> LedgerAnswer:
        batch = Batch(
            step=draw.step,
            batch=number,
            fencing=held.fencing,
            step_complete=complete,
            samples=samples,
        )
        return LedgerAnswer(200, msgspec.json.encode(batch))

    async def _write(
        self, trainer: str, held: _HeldLedger, record: LedgerRecord
    ) -> LedgerAnswer | None:
        """Write the record under the lease's fence; None once it is known to be in force."""
        key = _record_key(trainer)
        operations = [Operation(key, msgspec.json.encode(record))]
        if record.step > held.ledger.record.step and record.step >= 2:
            old_step = record.step - 2
            operations.append(Operation(f"{_plans_prefix(trainer)}{old_step:012d}", None))
        part = TxnPart(
            compares=(
                self._roles.fence(ledger_role(trainer)),
                Compare(key, "mod", held.mod_revision),
            ),
            operations=tuple(operations),
        )
        done = await self._context.kv.txn([part])
        if isinstance(done, KvUnavailable) and not done.effect_unknown:
            return _problem(503, "store-unavailable", "The hand-over cannot be recorded now.")
        if not isinstance(done, KvUnavailable) and done[0].succeeded:
            held.mod_revision = done[0].revision
            held.ledger.written(record)
            return None
        read = await self._context.kv.read(key)
        if isinstance(read, KvUnavailable):
            return _problem(503, "store-unavailable", "The hand-over is not known to be kept.")
        # The role is read after the record: if it is still this holder's, then so is the
        # record, written in this try or in an earlier one that went unanswered.
        if not await self._still_holds(trainer, held):
            return LedgerAnswer(NOT_HELD_HERE, b"")
        present, mod_revision = _record_of(read)
        if mod_revision < held.mod_revision:
            return _problem(503, "store-unavailable", "The service answered with an old state.")
        held.mod_revision = mod_revision
        if present == held.ledger.record:
            return _problem(503, "store-unavailable", "The hand-over was not recorded.")
        held.ledger.written(present)
        return None

    async def _still_holds(self, trainer: str, held: _HeldLedger) -> bool:
        role = ledger_role(trainer)
        read = await self._context.kv.read(ROLE_PREFIX + role)
        if isinstance(read, KvUnavailable) or not self._may_act(trainer, held):
            return False
        if read.entries and read.entries[0].create_revision == held.fencing:
            return True
        self._roles.lose(role)
        return False


def _record_key(trainer: str) -> str:
    return f"ledgers/{trainer}"


def _plans_prefix(trainer: str) -> str:
    return f"plans/{trainer}/"


def _record_of(read: KvRead) -> tuple[LedgerRecord, int]:
    if not read.entries:
        return LedgerRecord(), 0
    entry = read.entries[0]
    return msgspec.json.decode(entry.value, type=LedgerRecord), entry.mod_revision


def _problem(status: int, name: str, detail: str) -> LedgerAnswer:
    problem = Problem(status, name, detail, "no", COME_BACK_SECONDS)
    return LedgerAnswer(status, msgspec.json.encode(problem))
