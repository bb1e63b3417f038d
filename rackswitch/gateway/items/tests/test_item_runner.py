"""How runs of items affect the state of their engines, and reports to quarantine."""

import asyncio
import itertools

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
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
    """Sends the same pieces in each run at the given intervals, and the same end after a delay."""

    def __init__(
        self,
        pieces,
        end: ItemRunEnd,
        end_delay_seconds: float,
        *intervals_seconds: float,
        was_sent=True,
    ):
        self._pieces = pieces
        self._end = ItemRunEnded(end, "as scripted", was_sent)
        self._end_delay_seconds = end_delay_seconds
        self._intervals_seconds = intervals_seconds or (0.0,)

    async def run(self, target, request, first_piece_timeout_seconds, next_piece_timeout_seconds):
        for piece, interval_seconds in zip(
            self._pieces, itertools.cycle(self._intervals_seconds), strict=False
        ):
            await asyncio.sleep(interval_seconds)
            yield piece
        await asyncio.sleep(self._end_delay_seconds)
        yield self._end


class RecordingQuarantine(NoQuarantine):
    """Records the reported ends of runs."""

    def __init__(self):
        self.reports = []

    def record_failure(self, fingerprint, target):
        self.reports.append("broke")

    def record_answer(self, fingerprint_of):
        self.reports.append("answered")

    def record_not_run(self, fingerprint_of):
        self.reports.append("not run")


def make_runner(engine, quarantine=None) -> tuple[ItemRunner, JobLedger]:
    context = make_gateway_context("a", KvStore())
    context.targets[ENGINE.instance] = Target(ENGINE.instance, ENGINE.url, "z")
    runner = ItemRunner(context, engine, None, EnginePaces(), quarantine or NoQuarantine())
    return runner, JobLedger(make_job())


async def run_item(runner: ItemRunner, ledger: JobLedger) -> ItemRunEnded:
    progress = ledger.items["i0"]
    ledger.record_start(progress)
    return await runner.run(ledger, progress, ENGINE)


@pytest.mark.parametrize(
    ("others_progress", "pieces", "is_in_cooldown"),
    [
        # The run was queued at an engine that progresses with other runs.
        (True, [], False),
        (False, [], True),
        # The run had begun before it stalled.
        (True, [TextPiece(1, "a", 1)], True),
    ],
)
def test_a_queued_run_causes_no_engine_cooldown_while_others_progress(
    others_progress, pieces, is_in_cooldown
):
    async def scenario():
        engine = ScriptedEngine(pieces, ItemRunEnd.SILENT, FIRST_PIECE_TIMEOUT_SECONDS)
        runner, ledger = make_runner(engine)
        run_task = asyncio.create_task(run_item(runner, ledger))
        await asyncio.sleep(FIRST_PIECE_TIMEOUT_SECONDS * 0.9)
        now_seconds = runner._context.now_seconds()
        if others_progress:
            runner.paces.record_interval(ENGINE.start, 0.04, now_seconds)
        await run_task
        return runner._context.targets[ENGINE.instance].open_until_seconds > now_seconds

    assert run_on_virtual_clock(scenario()) is is_in_cooldown


@pytest.mark.parametrize(("urgency", "is_in_cooldown"), [(5, True), (7, False)])
def test_a_displaceable_run_that_times_out_causes_no_engine_cooldown(urgency, is_in_cooldown):
    async def scenario():
        engine = ScriptedEngine([TextPiece(1, "a", 1)], ItemRunEnd.SILENT, 1.2)
        runner, ledger = make_runner(engine)
        progress = ledger.items["i0"]
        ledger.record_start(progress)
        run_task = asyncio.create_task(runner.run(ledger, progress, ENGINE, urgency))
        await asyncio.sleep(1.0)
        now_seconds = runner._context.now_seconds()
        runner.paces.record_interval(ENGINE.start, 0.04, now_seconds)
        await run_task
        return runner._context.targets[ENGINE.instance].open_until_seconds > now_seconds

    assert run_on_virtual_clock(scenario()) is is_in_cooldown


@pytest.mark.parametrize("spare_seconds_per_piece", [None, 0.04, 0.05])
def test_a_run_moves_to_a_faster_engine_if_that_saves_time(spare_seconds_per_piece):
    async def scenario():
        pieces = [TextPiece(number, "a", 1) for number in range(1, 101)]
        runner, ledger = make_runner(ScriptedEngine(pieces, ItemRunEnd.COMPLETE, 0.0, 0.05))
        if spare_seconds_per_piece is not None:
            runner.spare["s"] = SpareCapacity("e2", spare_seconds_per_piece, 1, {"m": 1})
        ended = await run_item(runner, ledger)
        return ended.end, ledger.items["i0"].moves, runner.spare

    end, moves, spare = run_on_virtual_clock(scenario())
    assert moves == (spare_seconds_per_piece == 0.04)
    assert (end is ItemRunEnd.COMPLETE) is (moves == 0)
    assert all(capacity.free_slots == 1 - moves for capacity in spare.values())


@pytest.mark.parametrize("spare_is_listed", [False, True])
def test_a_run_with_alternating_intervals_does_not_move_to_an_equally_fast_engine(spare_is_listed):
    # Guards against moves between equal engines on a busy VM: the median of alternating intervals
    # is far above their mean, and all engines may have slowed since the spare one was planned.
    async def scenario():
        pieces = [TextPiece(number, "a", 1) for number in range(1, 101)]
        engine = ScriptedEngine(pieces, ItemRunEnd.COMPLETE, 0.0, 0.004, 0.034)
        runner, ledger = make_runner(engine)
        runner.spare["s"] = SpareCapacity("e2", 0.01 if spare_is_listed else 0.019, 1, {"m": 1})
        if spare_is_listed:
            spare = ListedTarget("e2", "s", "h", 2, "z", 12, False, {"m": 1})
            runner._context.directory.entries["e2"] = spare
            runner.paces.record_interval(spare.start, 0.019, runner._context.now_seconds())
        await run_item(runner, ledger)
        return ledger.items["i0"].moves

    assert run_on_virtual_clock(scenario()) == 0


def test_records_the_load_reported_in_a_stream():
    async def scenario():
        runner, ledger = make_runner(
            ScriptedEngine([EngineLoad(7, 2), TextPiece(1, "a", 1)], ItemRunEnd.COMPLETE, 0.0)
        )
        await run_item(runner, ledger)
        return runner.occupancy.other_runs(ENGINE.instance, runner._context.now_seconds())

    assert run_on_virtual_clock(scenario()) == 9


class FakeOrderClient:
    """Returns prepared reports; engines without one do not answer."""

    def __init__(self, reports_by_instance):
        self._reports_by_instance = reports_by_instance

    async def report(self, target):
        return self._reports_by_instance.get(target.instance, NoReport("no answer"))


def test_polling_records_reported_loads_and_ignores_engines_without_report():
    async def scenario():
        context = make_gateway_context("a", KvStore())
        for name in ("e1", "e2"):
            context.directory.put(ListedTarget(name, "s", "h", 1, "z", 12, False, {"m": 1}))
        occupancy = EngineOccupancy()
        order_client = FakeOrderClient(
            {"e1": EngineReport({"m": 1}, False, 0, waiting=3, running=12)}
        )
        await LoadPoller(context, order_client, occupancy).poll("s")
        now_seconds = context.now_seconds()
        return occupancy.other_runs("e1", now_seconds), occupancy.other_runs("e2", now_seconds)

    assert run_on_virtual_clock(scenario()) == (15, 0)


@pytest.mark.parametrize(
    ("end", "was_sent", "report"),
    [
        (ItemRunEnd.INTERRUPTED, True, "broke"),
        (ItemRunEnd.SILENT, True, "broke"),
        # An item that could not be sent cannot have caused the engine's end.
        (ItemRunEnd.SILENT, False, "not run"),
        (ItemRunEnd.NOT_RUN, True, "not run"),
        (ItemRunEnd.MISDIRECTED, True, "not run"),
        (ItemRunEnd.FAILED, True, "answered"),
        (ItemRunEnd.IMPOSSIBLE, True, "answered"),
        (ItemRunEnd.COMPLETE, True, "answered"),
    ],
)
def test_reports_the_end_of_a_run_to_quarantine(end, was_sent, report):
    async def scenario():
        quarantine = RecordingQuarantine()
        engine = ScriptedEngine([TextPiece(1, "a", 1)], end, 0.1, was_sent=was_sent)
        await run_item(*make_runner(engine, quarantine))
        return quarantine.reports

    assert run_on_virtual_clock(scenario()) == [report]


@pytest.mark.parametrize(("pieces", "reports"), [(1, ["broke"]), (10, ["broke"]), (40, [])])
def test_a_run_interrupted_after_much_progress_is_not_suspected(pieces, reports):
    async def scenario():
        quarantine = RecordingQuarantine()
        pieces_of_run = [TextPiece(number + 1, "a", 1) for number in range(pieces)]
        engine = ScriptedEngine(pieces_of_run, ItemRunEnd.INTERRUPTED, 0.0, 0.04)
        await run_item(*make_runner(engine, quarantine))
        return quarantine.reports

    assert run_on_virtual_clock(scenario()) == reports
