"""Accepted edits stay, whatever the key-value service does to the writers."""

import asyncio
import random

import msgspec
import pytest

from rackswitch.clients.kv import KvUnavailable, Operation, TxnPart
from rackswitch.daemon.table_keeper import EditUnavailable, EditUnknown, TableKeeper
from rackswitch.daemon.tests.support import make_context, run_virtual
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import DaemonRow, Edit, EditDone, RowChange, TableDocument, apply_edit

SEEDS = range(40)
WRITERS = 3
EDITS_EACH = 12


def make_edit(writer: int, number: int) -> Edit:
    """Each writer's edits add one row of its own and race on a shared one."""
    own = DaemonRow(name=f"w{writer}-{number}")
    shared = DaemonRow(name="shared", draining=bool(number % 2))
    return Edit(
        edit_id=f"{writer}/{number}",
        operator=f"op{writer}",
        at_unix_seconds=0.0,
        changes=(RowChange(row=own, if_revision=0), RowChange(row=shared)),
    )


class NaiveKeeper(TableKeeper):
    """Writes without a condition and takes a lost answer for a refusal."""

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


async def race(seed: int, kind: type[TableKeeper]) -> list[str]:
    """Let writers race under faults; return what was wrong at the end."""
    rng = random.Random(seed)
    store = KvStore()
    faults = KvFaults(lost_request=0.1, lost_answer=0.15, late_effect=0.1, refused=0.05)
    faults.stale_read = 0.2
    results: dict[str, object] = {}
    wrong: list[str] = []

    async def writer(number: int) -> None:
        context = make_context(f"d{number}", store, rng, faults)
        keeper = kind(context, _no_news)
        for count in range(EDITS_EACH):
            edit = make_edit(number, count)
            for tries in range(2):
                # An automation sends an unanswered edit once more.
                results[edit.edit_id] = await keeper.submit(edit, may_be_retry=tries > 0)
                if not isinstance(results[edit.edit_id], EditUnknown | EditUnavailable):
                    break
            await asyncio.sleep(rng.random())

    async def outages() -> None:
        for _ in range(4):
            await asyncio.sleep(rng.random() * 20)
            faults.down = True
            await asyncio.sleep(rng.random() * 5)
            faults.down = False

    await asyncio.gather(outages(), *(writer(number) for number in range(WRITERS)))
    await asyncio.sleep(10)
    document = msgspec.json.decode(store.read("table").entries[0].value, type=TableDocument)
    for edit_id, result in results.items():
        writer_number, count = edit_id.split("/")
        present = f"daemon/w{writer_number}-{count}" in document.rows
        if isinstance(result, EditDone) and not present:
            wrong.append(f"accepted edit {edit_id} is gone")
        if isinstance(result, EditUnavailable) and present:
            wrong.append(f"refused edit {edit_id} is there")
    identities = [edit.edit_id for edit in document.edits]
    if len(identities) != len(set(identities)):
        wrong.append("an edit was applied twice")
    return wrong


async def _no_news() -> None:
    pass


@pytest.mark.parametrize("seed", SEEDS)
def test_accepted_edits_stay(seed):
    assert run_virtual(race(seed, TableKeeper)) == []


def test_without_conditions_edits_are_lost():
    assert any(run_virtual(race(seed, NaiveKeeper)) for seed in range(5))


def test_while_the_service_is_down_only_a_first_try_is_certainly_not_accepted():
    async def attempt():
        context = make_context("d0", KvStore(), random.Random(1), KvFaults(down=True))
        keeper = TableKeeper(context, _no_news)
        first = await keeper.submit(make_edit(0, 0), may_be_retry=False)
        return first, await keeper.submit(make_edit(0, 0))

    first, again = run_virtual(attempt())
    assert isinstance(first, EditUnavailable)
    assert isinstance(again, EditUnknown)


def test_dry_run_writes_nothing():
    async def attempt():
        store = KvStore()
        context = make_context("d0", store, random.Random(1))
        result = await TableKeeper(context, _no_news).submit(make_edit(0, 0), dry_run=True)
        return result, store.read("table").entries

    result, entries = run_virtual(attempt())
    assert result == EditDone(1)
    assert entries == ()


def test_a_daemon_that_hears_from_nobody_is_not_ready():
    async def boot():
        context = make_context("d0", KvStore(), random.Random(1), KvFaults(down=True))
        keeper = TableKeeper(context, _no_news)
        await keeper.boot()
        return keeper.is_ready

    assert run_virtual(boot()) is False
