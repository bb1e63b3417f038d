"""What the runs of items show of engines."""

import asyncio

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import FIRST_PIECE_TIMEOUT_SECONDS, ItemRunner
from rackswitch.gateway.items.load_poller import LoadPoller
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.jobs import EngineLoad, EngineOccupancy, JobLedger, SpareCapacity, TextPiece
from rackswitch.jobs.tests.support import make_job
from rackswitch.platform.item_runs import ItemRunEnd, ItemRunEnded
from rackswitch.platform.orders import EngineReport, NoReport
from rackswitch.routing import ListedTarget, Target
from rackswitch.standins.kv_store import KvStore

ENGINE = ListedTarget("e1", "s", "h", 1, "z", 12, False, {"m": 1})


class ScriptedEngine:
    """Brings the same pieces at each run, and the same end after a time."""

    def __init__(
        self, pieces, end: ItemRunEnd, after_seconds: float, gap_seconds=0.0, was_sent=True
    ):
        self._pieces = pieces
        self._end = ItemRunEnded(end, "as scripted", was_sent)
        self._after_seconds = after_seconds
        self._gap_seconds = gap_seconds

    async def run(self, target, request, first_patience_seconds, next_patience_seconds):
        for piece in self._pieces:
            await asyncio.sleep(self._gap_seconds)
            yield piece
        await asyncio.sleep(self._after_seconds)
        yield self._end


class ToldQuarantine(NoQuarantine):
    """Keeps what it is told."""

    def __init__(self):
        self.told = []

    def broke(self, fingerprint, target):
        self.told.append("broke")

    def answered(self, fingerprint_of):
        self.told.append("answered")

    def not_run(self, fingerprint_of):
        self.told.append("not run")


def make_runner(engine, quarantine=None) -> tuple[ItemRunner, JobLedger]:
    context = make_gateway_context("a", KvStore())
    context.targets[ENGINE.instance] = Target(ENGINE.instance, ENGINE.url, "z")
    runner = ItemRunner(context, engine, None, EnginePaces(), quarantine or NoQuarantine())
    return runner, JobLedger(make_job())


async def run_first(runner: ItemRunner, ledger: JobLedger) -> ItemRunEnded:
    progress = ledger.items["i0"]
    ledger.started(progress)
    return await runner.run(ledger, progress, ENGINE)


@pytest.mark.parametrize(
    ("others_go_on", "pieces", "is_closed"),
    [
        # It waited in the queue of an engine that works on others.
        (True, [], False),
        (False, [], True),
        # It had begun, and then stood still.
        (True, [TextPiece(1, "a", 1)], True),
    ],
)
def test_a_run_that_waits_in_a_queue_does_not_close_its_engine(others_go_on, pieces, is_closed):
    async def scenario():
        engine = ScriptedEngine(pieces, ItemRunEnd.SILENT, FIRST_PIECE_TIMEOUT_SECONDS)
        runner, ledger = make_runner(engine)
        work = asyncio.create_task(run_first(runner, ledger))
        await asyncio.sleep(FIRST_PIECE_TIMEOUT_SECONDS * 0.9)
        now_seconds = runner._context.now_seconds()
        if others_go_on:
            runner.paces.note(ENGINE.start, 0.04, now_seconds)
        await work
        return runner._context.targets[ENGINE.instance].open_until_seconds > now_seconds

    assert run_virtual(scenario()) is is_closed


@pytest.mark.parametrize(("urgency", "is_closed"), [(5, True), (7, False)])
def test_a_run_that_more_urgent_ones_may_displace_does_not_close_its_engine(urgency, is_closed):
    async def scenario():
        engine = ScriptedEngine([TextPiece(1, "a", 1)], ItemRunEnd.SILENT, 1.2)
        runner, ledger = make_runner(engine)
        progress = ledger.items["i0"]
        ledger.started(progress)
        work = asyncio.create_task(runner.run(ledger, progress, ENGINE, urgency))
        await asyncio.sleep(1.0)
        now_seconds = runner._context.now_seconds()
        runner.paces.note(ENGINE.start, 0.04, now_seconds)
        await work
        return runner._context.targets[ENGINE.instance].open_until_seconds > now_seconds

    assert run_virtual(scenario()) is is_closed


@pytest.mark.parametrize("spare_seconds", [None, 0.04, 0.05])
def test_a_run_goes_on_where_that_gains_time(spare_seconds):
    async def scenario():
        texts = [TextPiece(number, "a", 1) for number in range(1, 101)]
        runner, ledger = make_runner(ScriptedEngine(texts, ItemRunEnd.WHOLE, 0.0, 0.05))
        if spare_seconds is not None:
            runner.spare["s"] = SpareCapacity("e2", spare_seconds, 1, {"m": 1})
        ended = await run_first(runner, ledger)
        return ended.end, ledger.items["i0"].moves, runner.spare

    end, moves, spare = run_virtual(scenario())
    assert moves == (spare_seconds == 0.04)
    assert (end is ItemRunEnd.WHOLE) is (moves == 0)
    assert all(room.free_slots == 1 - moves for room in spare.values())


def test_an_answer_tells_how_full_its_engine_is():
    async def scenario():
        runner, ledger = make_runner(
            ScriptedEngine([EngineLoad(7, 2), TextPiece(1, "a", 1)], ItemRunEnd.WHOLE, 0.0)
        )
        await run_first(runner, ledger)
        return runner.occupancy.others(ENGINE.instance, runner._context.now_seconds())

    assert run_virtual(scenario()) == 9


class Reports:
    """Answers for engines; those without an entry do not answer."""

    def __init__(self, reports):
        self._reports = reports

    async def report(self, target):
        return self._reports.get(target.instance, NoReport("no answer"))


def test_engines_are_asked_how_full_they_are_and_silent_ones_say_nothing():
    async def scenario():
        context = make_gateway_context("a", KvStore())
        for name in ("e1", "e2"):
            context.directory.put(ListedTarget(name, "s", "h", 1, "z", 12, False, {"m": 1}))
        occupancy = EngineOccupancy()
        reports = Reports({"e1": EngineReport({"m": 1}, False, 0, waiting=3, running=12)})
        await LoadPoller(context, reports, occupancy).look("s")
        now_seconds = context.now_seconds()
        return occupancy.others("e1", now_seconds), occupancy.others("e2", now_seconds)

    assert run_virtual(scenario()) == (15, 0)


@pytest.mark.parametrize(
    ("end", "was_sent", "told"),
    [
        (ItemRunEnd.BROKEN, True, "broke"),
        (ItemRunEnd.SILENT, True, "broke"),
        # It was not present at the end of an engine that it could not be sent to.
        (ItemRunEnd.SILENT, False, "not run"),
        (ItemRunEnd.NOT_RUN, True, "not run"),
        (ItemRunEnd.NOT_THERE, True, "not run"),
        (ItemRunEnd.FAILED, True, "answered"),
        (ItemRunEnd.IMPOSSIBLE, True, "answered"),
        (ItemRunEnd.WHOLE, True, "answered"),
    ],
)
def test_what_an_items_run_says_of_its_engines_end(end, was_sent, told):
    async def scenario():
        quarantine = ToldQuarantine()
        engine = ScriptedEngine([TextPiece(1, "a", 1)], end, 0.1, was_sent=was_sent)
        await run_first(*make_runner(engine, quarantine))
        return quarantine.told

    assert run_virtual(scenario()) == [told]


@pytest.mark.parametrize(("pieces", "told"), [(1, ["broke"]), (10, ["broke"]), (40, [])])
def test_a_run_that_has_brought_pieces_for_a_while_is_not_what_its_engine_ended_under(pieces, told):
    async def scenario():
        quarantine = ToldQuarantine()
        text = [TextPiece(number + 1, "a", 1) for number in range(pieces)]
        engine = ScriptedEngine(text, ItemRunEnd.BROKEN, 0.0, gap_seconds=0.04)
        await run_first(*make_runner(engine, quarantine))
        return quarantine.told

    assert run_virtual(scenario()) == told
