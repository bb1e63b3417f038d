"""Runs of items in the load picture, and where the picture sends them."""

import asyncio
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.item_starter import ItemStarter
from rackswitch.gateway.items.tests.test_item_runner import ScriptedEngine
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.jobs import JobLedger, SpareCapacity, TextPiece, plan_starts, spare_capacities
from rackswitch.jobs.tests.support import make_job
from rackswitch.platform.item_runs import ItemRunEnd
from rackswitch.routing import ListedTarget, ReportedLoad, Target, WorkKind
from rackswitch.standins.kv_store import KvStore
from rackswitch.telemetry import DecisionLog

ENGINES = [
    ListedTarget(f"e{number}", "s", "h", number, "z", 12, False, {"m": 1}) for number in (1, 2)
]


def make_runner(engine=None) -> ItemRunner:
    context = make_gateway_context("a", KvStore())
    for listed in ENGINES:
        context.directory.put(listed)
        context.targets[listed.instance] = Target(listed.instance, listed.url, "z")
    return ItemRunner(context, engine, None, EnginePaces(), NoQuarantine())


def tell(runner, listed, running=0, waiting=0, pace: float | None = 1.0):
    now_seconds = runner._context.now_seconds()
    word = ReportedLoad(running, waiting, 12, pace, now_seconds)
    runner._context.load_estimator.heard(listed.start, "s", word)


def rooms_of(runner):
    starter = ItemStarter(runner._context, runner, asyncio.Event())
    return starter._engine_rooms({"s"}, starter._sharing({"s"}), runner._context.now_seconds())


def starts_of(runner) -> list[str]:
    ledger = JobLedger(make_job())
    job_id = ledger.job.job_id
    rooms = rooms_of(runner)
    return [
        start.instance for start in plan_starts([ledger], rooms, {job_id: "s"}, {job_id: 9.0}, 0.0)
    ]


async def run_first(runner, ledger):
    progress = ledger.items["i0"]
    ledger.started(progress)
    return await runner.run(ledger, progress, ENGINES[0])


def test_items_go_past_an_engine_that_others_have_filled():
    async def scenario():
        runner = make_runner()
        tell(runner, ENGINES[0], running=12, waiting=6)
        tell(runner, ENGINES[1])
        return starts_of(runner)

    assert set(run_virtual(scenario())) == {"e2"}


def test_rooms_of_engines_that_tell_no_pace_know_nothing_of_the_picture():
    async def scenario():
        runner = make_runner()
        before = rooms_of(runner)
        for listed in ENGINES:
            tell(runner, listed, running=12, waiting=6, pace=None)
            runner._context.load_estimator.refused(listed.start, runner._context.now_seconds())
        return before, rooms_of(runner)

    before, after = run_virtual(scenario())
    assert before == after
    assert all(room.place is None for room in after)


@pytest.mark.parametrize("end", [ItemRunEnd.WHOLE, ItemRunEnd.NOT_RUN, ItemRunEnd.BROKEN])
def test_a_run_counts_while_it_goes_on_and_not_after(end):
    async def scenario():
        runner = make_runner(ScriptedEngine([TextPiece(1, "a", 1)], end, 0.5))
        tell(runner, ENGINES[0])
        work = asyncio.create_task(run_first(runner, JobLedger(make_job())))
        await asyncio.sleep(0.1)
        during = runner.loads.place(ENGINES[0], runner._context.now_seconds())
        await work
        return during, runner.loads.place(ENGINES[0], runner._context.now_seconds())

    during, after = run_virtual(scenario())
    assert during.running == 1
    # The refusal is newer than the word by which the engine was free.
    assert (after.free_slots == 0) is (end is ItemRunEnd.NOT_RUN)
    assert (after.running == 0) is (end is not ItemRunEnd.NOT_RUN)


def test_a_run_that_is_cancelled_is_counted_out():
    async def scenario():
        runner = make_runner(ScriptedEngine([], ItemRunEnd.WHOLE, 9.0))
        tell(runner, ENGINES[0])
        work = asyncio.create_task(run_first(runner, JobLedger(make_job())))
        await asyncio.sleep(0.1)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        return runner.loads.place(ENGINES[0], runner._context.now_seconds()).running

    assert run_virtual(scenario()) == 0


@pytest.mark.parametrize(("pace", "moves"), [(2.5, 1), (1.0, 0)])
def test_a_run_moves_by_what_is_believed_of_its_engine(pace, moves):
    async def scenario():
        texts = [TextPiece(number, "a", 1) for number in range(1, 101)]
        gap_seconds = 0.04 * pace
        runner = make_runner(ScriptedEngine(texts, ItemRunEnd.WHOLE, 0.0, gap_seconds))
        tell(runner, ENGINES[0], pace=pace)
        tell(runner, ENGINES[1], pace=1.0)
        runner.spare["s"] = SpareCapacity("e2", 0.04, 1, {"m": 1})
        ledger = JobLedger(make_job())
        await run_first(runner, ledger)
        return ledger.items["i0"].moves

    assert run_virtual(scenario()) == moves


def test_an_engine_that_others_have_filled_is_no_room_to_move_to():
    async def scenario():
        runner = make_runner()
        tell(runner, ENGINES[0], pace=1.2)
        tell(runner, ENGINES[1], running=12, waiting=1, pace=0.6)
        return spare_capacities(rooms_of(runner))

    assert run_virtual(scenario())["s"].instance == "e1"


def test_what_decided_a_run_stands_in_its_line(monkeypatch):
    async def scenario():
        runner = make_runner(ScriptedEngine([TextPiece(1, "a", 1)], ItemRunEnd.WHOLE, 0.1))
        lines = []
        monkeypatch.setattr(DecisionLog, "write", lambda log, event: lines.append(event))
        tell(runner, ENGINES[0], running=12, waiting=3, pace=1.5)
        run_seconds = runner._context.load_estimator.usual_run_seconds("s", WorkKind.TEXT)
        await asyncio.sleep(0.2)
        await run_first(runner, JobLedger(make_job()))
        return lines[-1].place, run_seconds

    place, run_seconds = run_virtual(scenario())
    assert place.word_age_seconds == pytest.approx(0.2, abs=0.01)
    assert place.slots == 12
    assert place.wait_seconds > run_seconds / 12


@pytest.mark.parametrize("queues_calls", [True, False])
def test_where_callers_may_press_engines_without_a_pace_are_shared_too(queues_calls):
    async def scenario():
        runner = make_runner()
        context = runner._context
        context.settings = replace(context.settings, queues_calls=queues_calls)
        tell(runner, ENGINES[0], pace=None)
        return ItemStarter(context, runner, asyncio.Event())._sharing({"s"})

    assert bool(run_virtual(scenario())) is queues_calls
