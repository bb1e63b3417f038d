"""The ledgers held by this daemon, and calls to ledgers held by others."""

import asyncio
import contextlib
import itertools
from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec

from rackswitch.clients.kv import KvRead
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.ledger_store import (
    NOT_HELD_HERE,
    HeldLedger,
    LedgerStore,
    ledger_problem,
    ledger_role,
)
from rackswitch.daemon.peers import LedgerAnswer
from rackswitch.daemon.roles import ROLE_PREFIX, RoleManager
from rackswitch.daemon.sample_runner import SampleFailed, SampleRunner
from rackswitch.leases import rank_candidates
from rackswitch.membership import MemberUpdate
from rackswitch.peers import peers_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.samples import (
    Batch,
    Draw,
    DrawComplete,
    DrawHandOver,
    DrawRefused,
    DrawWrite,
    Sample,
    SampleOrder,
    StepPlan,
)
from rackswitch.table import TrainerRow
from rackswitch.telemetry.events import LedgerLoaded, SampleEnded

__all__ = ["LedgerManager"]

TICK_SECONDS = 0.2
RETRY_DELAY_SECONDS = 0.05
FORWARD_TIMEOUT_SECONDS = 35.0
SAMPLE_RUN_TIMEOUT_SECONDS = 150.0
PEER_CHECK_INTERVAL_SECONDS = 0.5
"""Between checks whether a daemon that runs a sample is still alive."""

T = TypeVar("T")


class LedgerManager:
    """Serves trainers from the ledgers held here, and forwards other calls to their holders.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    roles : RoleManager
        Leases on roles.
    runner : SampleRunner
        Generates samples on this daemon.
    """

    __slots__ = (
        "_context",
        "_held",
        "_holders",
        "_roles",
        "_runner",
        "_store",
        "_round_robin",
        "_wake",
    )

    def __init__(self, context: DaemonContext, roles: RoleManager, runner: SampleRunner):
        self._context = context
        self._roles = roles
        self._store = LedgerStore(context, roles)
        self._runner = runner
        self._held: dict[str, HeldLedger] = {}
        self._holders: dict[str, str] = {}
        self._round_robin = itertools.count()
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Load and drop ledgers as roles change, and start their sample orders."""
        while True:
            # `asyncio.wait_for` can lose a cancellation that arrives together with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            for trainer in list(self._context.view.rows(TrainerRow)):
                await self._update_ledger(trainer)

    def held_fencings(self) -> dict[str, int]:
        """Return the trainers whose ledgers are held here, with their fencing numbers."""
        return {trainer: held.fencing for trainer, held in self._held.items()}

    async def call(self, trainer: str, operation: str, body: bytes) -> LedgerAnswer:
        """Execute a trainer's call on the daemon that holds its ledger."""
        answer = await self.call_here(trainer, operation, body)
        if answer.status != NOT_HELD_HERE:
            return answer
        for daemon in await self._candidate_holders(trainer):
            answer = await self._forward(daemon, trainer, operation, body)
            if answer.status != NOT_HELD_HERE:
                self._holders[trainer] = daemon
                return answer
        self._holders.pop(trainer, None)
        return ledger_problem(503, "ledger-moving", "No daemon holds this trainer's ledger now.")

    async def call_here(self, trainer: str, operation: str, body: bytes) -> LedgerAnswer:
        """Execute a trainer's call if its ledger is held here."""
        held = self._held.get(trainer)
        if held is None or not self._store.may_act(trainer, held):
            return LedgerAnswer(NOT_HELD_HERE, b"")
        if operation == "plan":
            return await self._plan(trainer, held, msgspec.json.decode(body, type=StepPlan))
        return await self._draw(trainer, held, msgspec.json.decode(body, type=Draw))

    async def _candidate_holders(self, trainer: str) -> list[str]:
        """Return daemons that may hold the ledger: last known, on record, then by rank."""
        own = self._context.settings.daemon
        role = ledger_role(trainer)
        candidates = [self._holders[trainer]] if trainer in self._holders else []
        candidates += rank_candidates(role, self._context.membership.live())[:2]
        if trainer not in self._holders:
            read = await self._context.kv.read(ROLE_PREFIX + role)
            if isinstance(read, KvRead) and read.entries:
                candidates.insert(0, read.entries[0].value.decode().split(" ")[0])
        return [daemon for daemon in dict.fromkeys(candidates) if daemon != own]

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

    async def _update_ledger(self, trainer: TrainerRow) -> None:
        held = self._held.get(trainer.name)
        if held is not None and not self._store.may_act(trainer.name, held):
            del self._held[trainer.name]
            held.changed.set()
            held = None
        if held is None:
            if self._roles.may_act(ledger_role(trainer.name)):
                await self._take_over(trainer)
            return
        held.ledger.update_staleness(trainer.staleness_bound_versions, 0)
        free_slots = int(trainer.concurrency) - len(held.ledger.running)
        if free_slots <= 0 or self._context.stopping:
            return
        orders = held.ledger.next_orders(free_slots, trainer.idle_weight, trainer.staleness_weight)
        for order in orders:
            self._context.spawn(self._run_order(held, order))

    async def _take_over(self, trainer: TrainerRow) -> None:
        held = await self._store.load(trainer)
        if held is not None:
            self._held[trainer.name] = held
            self._context.log.write(LedgerLoaded(trainer=trainer.name, fencing=held.fencing))

    async def _run_order(self, held: HeldLedger, order: SampleOrder) -> None:
        began_seconds = self._context.now_seconds()
        result = await self._run_on_fleet(order)
        self._context.log.write(
            SampleEnded(
                trainer=order.trainer,
                step=order.step,
                index=order.index,
                attempt=order.attempt,
                elapsed_seconds=round(self._context.now_seconds() - began_seconds, 3),
                outcome="made" if isinstance(result, Sample) else result.detail,
            )
        )
        if isinstance(result, Sample):
            held.ledger.record_finished_sample(result)
        else:
            held.ledger.record_failed_order(order, result.unlabelled)
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        held.changed.set()
        self._wake.set()

    async def _run_on_fleet(self, order: SampleOrder) -> Sample | SampleFailed:
        """Run an order on one of the fleet's daemons, chosen round-robin."""
        live = self._context.membership.live() or [self._context.settings.daemon]
        daemon = live[next(self._round_robin) % len(live)]
        peer = self._context.membership.address(daemon)
        if daemon == self._context.settings.daemon or peer is None:
            return await self._runner.run(order)
        message = pb.RunSampleRequest(order=msgspec.json.encode(order))
        call = self._context.links.call(
            peer, lambda stub: stub.RunSample, message, SAMPLE_RUN_TIMEOUT_SECONDS
        )
        reply = await self._call_while_alive(peer, call)
        if isinstance(reply, PeerUnreachable):
            return SampleFailed(reply.detail)
        if reply.sample in (b"", b"unlabelled"):
            return SampleFailed("failed at a peer", unlabelled=reply.sample == b"unlabelled")
        return msgspec.json.decode(reply.sample, type=Sample)

    async def _call_while_alive(
        self, peer: MemberUpdate, call: Coroutine[Any, Any, T | PeerUnreachable]
    ) -> T | PeerUnreachable:
        """Wait for a long call to a peer; cancel it once the peer is dead.

        A peer that lost power or its network does not close the connection.
        """
        work = asyncio.create_task(call)
        try:
            while not work.done():
                await asyncio.wait((work,), timeout=PEER_CHECK_INTERVAL_SECONDS)
                if not work.done() and self._context.membership.is_gone(peer):
                    return PeerUnreachable(f"{peer.daemon} is dead")
            return work.result()
        finally:
            work.cancel()

    async def _plan(self, trainer: str, held: HeldLedger, plan: StepPlan) -> LedgerAnswer:
        async with held.lock:
            refusal = held.ledger.record_plan(plan)
            if refusal is not None:
                return ledger_problem(409, "plan-differs", refusal.detail)
            answer = await self._store.put_plan(trainer, plan)
        self._wake.set()
        return answer

    async def _draw(self, trainer: str, held: HeldLedger, draw: Draw) -> LedgerAnswer:
        deadline_seconds = self._context.now_seconds() + draw.wait_seconds
        while True:
            held.changed.clear()
            is_past_deadline = self._context.now_seconds() >= deadline_seconds
            answer = await self._try_draw(
                trainer, held, draw, 1 if is_past_deadline else draw.most_samples
            )
            if answer is not None:
                return answer
            if is_past_deadline:
                return self._batch(held, draw, draw.acknowledged_batch, False, ())
            timeout_seconds = max(0.0, deadline_seconds - self._context.now_seconds())
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_seconds):
                    await held.changed.wait()

    async def _try_draw(
        self, trainer: str, held: HeldLedger, draw: Draw, min_samples: int
    ) -> LedgerAnswer | None:
        async with held.lock:
            while True:
                if not self._store.may_act(trainer, held):
                    return LedgerAnswer(NOT_HELD_HERE, b"")
                if not self._is_table_usable():
                    detail = "The holder's table is not confirmed, so the bound may have changed."
                    return ledger_problem(503, "table-unconfirmed", detail)
                self._refresh_rules(trainer, held)
                decision = held.ledger.draw(draw, min_samples)
                if isinstance(decision, DrawRefused):
                    return ledger_problem(409, "draw-refused", decision.detail)
                if isinstance(decision, DrawComplete):
                    return self._batch(held, draw, draw.acknowledged_batch, True, ())
                if isinstance(decision, DrawHandOver):
                    return self._batch(held, draw, decision.batch, False, decision.samples)
                if not isinstance(decision, DrawWrite):
                    return None
                failure = await self._store.write(trainer, held, decision.record)
                self._wake.set()
                if failure is not None:
                    return failure

    def _is_table_usable(self) -> bool:
        """Return whether the local staleness bound may be used."""
        if self._context.settings.freshness.trainers != "refuse":
            return True
        return self._context.view.is_confirmed(self._context.now_seconds())

    def _refresh_rules(self, trainer: str, held: HeldLedger) -> None:
        row = self._context.view.row(TrainerRow, trainer)
        if row is not None:
            held.ledger.update_staleness(row.staleness_bound_versions, 0)

    def _batch(
        self,
        held: HeldLedger,
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
