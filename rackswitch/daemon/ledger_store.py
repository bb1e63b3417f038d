"""Storage of a trainer's ledger in the key-value service: its record and plans."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from rackswitch.clients.kv import Compare, KvRead, KvUnavailable, Operation, TxnPart
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.peers import LedgerAnswer
from rackswitch.daemon.roles import ROLE_PREFIX, RoleManager
from rackswitch.samples import LedgerRecord, SampleLedger, StepPlan
from rackswitch.table import TrainerRow
from rackswitch.web.problems import Problem

__all__ = ["NOT_HELD_HERE", "HeldLedger", "LedgerStore", "ledger_problem", "ledger_role"]

NOT_HELD_HERE = 421
RETRY_AFTER_SECONDS = 0.5
MAX_PLAN_BYTES = 900_000


def ledger_role(trainer: str) -> str:
    """Return the role whose holder manages a trainer's ledger."""
    return f"ledger/{trainer}"


@dataclass(slots=True)
class HeldLedger:
    """A ledger in memory, on the daemon that holds its role.

    Attributes
    ----------
    fencing : int
        The fencing number under which it was loaded.
    mod_revision : int
        Last known revision of the record in the service.
    changed : asyncio.Event
        Set when draws that wait should check the ledger again.
    """

    ledger: SampleLedger
    fencing: int
    mod_revision: int
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class LedgerStore:
    """Reads ledgers, and writes them under the fence of the ledger's role.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    roles : RoleManager
        Leases on roles.
    """

    __slots__ = ("_context", "_roles")

    def __init__(self, context: DaemonContext, roles: RoleManager):
        self._context = context
        self._roles = roles

    def may_act(self, trainer: str, held: HeldLedger) -> bool:
        """Return whether this daemon may act on the ledger at this moment."""
        role = ledger_role(trainer)
        return self._roles.may_act(role) and self._roles.fencing(role) == held.fencing

    async def load(self, trainer: TrainerRow) -> HeldLedger | None:
        """Load a ledger from its record and plans; None if the service does not answer."""
        fencing = self._roles.fencing(ledger_role(trainer.name))
        record_read = await self._context.kv.read(_record_key(trainer.name))
        plans_read = await self._context.kv.read(_plans_prefix(trainer.name), is_prefix=True)
        if isinstance(record_read, KvUnavailable) or isinstance(plans_read, KvUnavailable):
            return None
        record, mod_revision = _decode_record(record_read)
        ledger = SampleLedger(trainer.name, trainer.model, record, trainer.scorer)
        ledger.update_staleness(trainer.staleness_bound_versions, 0)
        for entry in plans_read.entries:
            ledger.record_plan(msgspec.json.decode(entry.value, type=StepPlan))
        return HeldLedger(ledger, fencing, mod_revision)

    async def put_plan(self, trainer: str, plan: StepPlan) -> LedgerAnswer:
        """Store a step's plan; the operation is idempotent."""
        encoded = msgspec.json.encode(plan)
        if len(encoded) > MAX_PLAN_BYTES:
            detail = f"The encoded plan may have at most {MAX_PLAN_BYTES} bytes."
            return ledger_problem(413, "plan-too-large", detail)
        key = f"{_plans_prefix(trainer)}{plan.step:012d}"
        fence = self._roles.fence(ledger_role(trainer))
        done = await self._context.kv.txn([TxnPart((fence,), (Operation(key, encoded),))])
        if isinstance(done, KvUnavailable):
            return ledger_problem(503, "store-unavailable", "The plan may not have been stored.")
        if not done[0].succeeded:
            self._roles.record_loss(ledger_role(trainer))
            return LedgerAnswer(NOT_HELD_HERE, b"")
        return LedgerAnswer(200, b'{"planned":true}')

    async def write(
        self, trainer: str, held: HeldLedger, record: LedgerRecord
    ) -> LedgerAnswer | None:
        """Write the record under the role's fence; return None once it is known to be stored."""
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
            return ledger_problem(503, "store-unavailable", "The hand-over could not be stored.")
        if not isinstance(done, KvUnavailable) and done[0].succeeded:
            held.mod_revision = done[0].revision
            held.ledger.record_write(record)
            return None
        read = await self._context.kv.read(key)
        if isinstance(read, KvUnavailable):
            return ledger_problem(
                503, "store-unavailable", "The hand-over may not have been stored."
            )
        # The role is read after the record. If this daemon still holds the role, it wrote the
        # record too, in this attempt or in an earlier one that went unanswered.
        if not await self._still_holds(trainer, held):
            return LedgerAnswer(NOT_HELD_HERE, b"")
        present, mod_revision = _decode_record(read)
        if mod_revision < held.mod_revision:
            return ledger_problem(
                503, "store-unavailable", "The service returned an outdated record."
            )
        held.mod_revision = mod_revision
        if present == held.ledger.record:
            return ledger_problem(503, "store-unavailable", "The hand-over was not stored.")
        held.ledger.record_write(present)
        return None

    async def _still_holds(self, trainer: str, held: HeldLedger) -> bool:
        role = ledger_role(trainer)
        read = await self._context.kv.read(ROLE_PREFIX + role)
        if isinstance(read, KvUnavailable) or not self.may_act(trainer, held):
            return False
        if read.entries and read.entries[0].create_revision == held.fencing:
            return True
        self._roles.record_loss(role)
        return False


def _record_key(trainer: str) -> str:
    return f"ledgers/{trainer}"


def _plans_prefix(trainer: str) -> str:
    return f"plans/{trainer}/"


def _decode_record(read: KvRead) -> tuple[LedgerRecord, int]:
    if not read.entries:
        return LedgerRecord(), 0
    entry = read.entries[0]
    return msgspec.json.decode(entry.value, type=LedgerRecord), entry.mod_revision


def ledger_problem(status: int, name: str, detail: str) -> LedgerAnswer:
    """Return a refusal with the delay before a retry."""
    problem = Problem(status, name, detail, "no", RETRY_AFTER_SECONDS)
    return LedgerAnswer(status, msgspec.json.encode(problem))
