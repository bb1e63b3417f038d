"""Guards against lost or duplicate edits under faults of the key-value service."""

import asyncio
import random

import msgspec
import pytest

from rackswitch.clients.kv import KvUnavailable, Operation, TxnPart
from rackswitch.daemon.table_manager import EditUnavailable, EditUnknown, TableManager
from rackswitch.daemon.tests.support import make_context, run_on_virtual_clock
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import DaemonRow, Edit, EditDone, RowChange, TableDocument, apply_edit

SEEDS = range(40)
WRITERS = 3
EDITS_PER_WRITER = 12


def make_edit(writer: int, edit_number: int) -> Edit:
    """Return an edit that adds a row of the writer and changes a shared row."""
    own_row = DaemonRow(name=f"w{writer}-{edit_number}")
    shared_row = DaemonRow(name="shared", draining=bool(edit_number % 2))
    return Edit(
        edit_id=f"{writer}/{edit_number}",
        operator=f"op{writer}",
        at_unix_seconds=0.0,
        changes=(RowChange(row=own_row, if_revision=0), RowChange(row=shared_row)),
    )


class UnconditionalTableKeeper(TableManager):
    """Writes without a condition and treats a lost answer as a refusal."""

    async def submit(self, edit, dry_run=False, may_be_retry=True):
        read = await self._context.kv.read("table")
        if isinstance(read, KvUnavailable):
            return EditUnavailable()
        document = TableDocument()
        if read.entries:
            document = msgspec.json.decode(read.entries[0].value, type=TableDocument)
        outcome = apply_edit(document, edit)
        if not hasattr(outcome, "document"):
            return outcome
        encoded = msgspec.json.encode(outcome.document)
        done = await self._context.kv.txn([TxnPart((), (Operation("table", encoded),))])
        if isinstance(done, KvUnavailable):
            return EditUnavailable()
        return EditDone(outcome.document.revision)


async def run_racing_writers(seed: int, keeper_class: type[TableManager]) -> list[str]:
    """Let writers race under faults; return the violations found at the end."""
    rng = random.Random(seed)
    store = KvStore()
    faults = KvFaults(lost_request=0.1, lost_answer=0.15, late_effect=0.1, refused=0.05)
    faults.stale_read = 0.2
    results: dict[str, object] = {}
    violations: list[str] = []

    async def writer(writer_number: int) -> None:
        context = make_context(f"d{writer_number}", store, rng, faults)
        keeper = keeper_class(context, _ignore_announcement)
        for edit_number in range(EDITS_PER_WRITER):
            edit = make_edit(writer_number, edit_number)
            for attempt_number in range(2):
                # Retry an unanswered edit once, as an automated operator would.
                results[edit.edit_id] = await keeper.submit(edit, may_be_retry=attempt_number > 0)
                if not isinstance(results[edit.edit_id], EditUnknown | EditUnavailable):
                    break
            await asyncio.sleep(rng.random())

    async def outages() -> None:
        for _ in range(4):
            await asyncio.sleep(rng.random() * 20)
            faults.down = True
            await asyncio.sleep(rng.random() * 5)
            faults.down = False

    await asyncio.gather(outages(), *(writer(writer_number) for writer_number in range(WRITERS)))
    await asyncio.sleep(10)
    document = msgspec.json.decode(store.read("table").entries[0].value, type=TableDocument)
    for edit_id, result in results.items():
        writer_number, edit_number = edit_id.split("/")
        present = f"daemon/w{writer_number}-{edit_number}" in document.rows
        if isinstance(result, EditDone) and not present:
            violations.append(f"accepted edit {edit_id} is missing")
        if isinstance(result, EditUnavailable) and present:
            violations.append(f"refused edit {edit_id} is present")
    edit_ids = [edit.edit_id for edit in document.edits]
    if len(edit_ids) != len(set(edit_ids)):
        violations.append("an edit was applied twice")
    return violations


async def _ignore_announcement() -> None:
    pass


@pytest.mark.parametrize("seed", SEEDS)
def test_accepted_edits_are_not_lost(seed):
    assert run_on_virtual_clock(run_racing_writers(seed, TableManager)) == []


def test_unconditional_writes_lose_edits():
    assert any(
        run_on_virtual_clock(run_racing_writers(seed, UnconditionalTableKeeper))
        for seed in range(5)
    )


def test_edit_during_an_outage_is_unknown_if_it_may_be_a_retry():
    async def attempt():
        context = make_context("d0", KvStore(), random.Random(1), KvFaults(down=True))
        keeper = TableManager(context, _ignore_announcement)
        first = await keeper.submit(make_edit(0, 0), may_be_retry=False)
        return first, await keeper.submit(make_edit(0, 0))

    first, again = run_on_virtual_clock(attempt())
    assert isinstance(first, EditUnavailable)
    assert isinstance(again, EditUnknown)


def test_dry_run_writes_nothing():
    async def attempt():
        store = KvStore()
        context = make_context("d0", store, random.Random(1))
        result = await TableManager(context, _ignore_announcement).submit(
            make_edit(0, 0), dry_run=True
        )
        return result, store.read("table").entries

    result, entries = run_on_virtual_clock(attempt())
    assert result == EditDone(1)
    assert entries == ()


def test_daemon_without_any_table_source_is_not_ready():
    async def boot():
        context = make_context("d0", KvStore(), random.Random(1), KvFaults(down=True))
        keeper = TableManager(context, _ignore_announcement)
        await keeper.boot()
        return keeper.is_ready

    assert run_on_virtual_clock(boot()) is False
