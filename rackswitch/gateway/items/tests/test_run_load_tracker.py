"""How runs of items change the load estimates, and how estimates choose their engines."""

import asyncio
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
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


def report_load(runner, listed, running=0, waiting=0, pace: float | None = 1.0):
    now_seconds = runner._context.now_seconds()
    reported_load = ReportedLoad(running, waiting, 12, pace, now_seconds)
    runner._context.load_estimator.record_report(listed.start, "s", reported_load)


def capacities_of(runner):
    starter = ItemStarter(runner._context, runner, asyncio.Event())
    return starter._engine_capacities(
        {"s"}, starter._load_based_services({"s"}), runner._context.now_seconds()
    )


def started_engines(runner) -> list[str]:
    ledger = JobLedger(make_job())
    job_id = ledger.job.job_id
    engines = capacities_of(runner)
    return [
        start.instance
        for start in plan_starts([ledger], engines, {job_id: "s"}, {job_id: 9.0}, 0.0)
    ]


async def run_item(runner, ledger):
    progress = ledger.items["i0"]
    ledger.record_start(progress)
    return await runner.run(ledger, progress, ENGINES[0])


def test_does_not_start_items_at_an_engine_filled_by_others():
    async def scenario():
        runner = make_runner()
        report_load(runner, ENGINES[0], running=12, waiting=6)
        report_load(runner, ENGINES[1])
        return started_engines(runner)

    assert set(run_on_virtual_clock(scenario())) == {"e2"}


def test_capacities_ignore_the_load_estimate_of_engines_without_a_pace():
    async def scenario():
        runner = make_runner()
        capacities_before = capacities_of(runner)
        for listed in ENGINES:
            report_load(runner, listed, running=12, waiting=6, pace=None)
            runner._context.load_estimator.record_refusal(
                listed.start, runner._context.now_seconds()
            )
        return capacities_before, capacities_of(runner)

    capacities_before, capacities_after = run_on_virtual_clock(scenario())
    assert capacities_before == capacities_after
    assert all(engine.estimate is None for engine in capacities_after)


@pytest.mark.parametrize("end", [ItemRunEnd.COMPLETE, ItemRunEnd.NOT_RUN, ItemRunEnd.INTERRUPTED])
def test_counts_a_run_only_until_its_end(end):
    async def scenario():
        runner = make_runner(ScriptedEngine([TextPiece(1, "a", 1)], end, 0.5))
        report_load(runner, ENGINES[0])
        run_task = asyncio.create_task(run_item(runner, JobLedger(make_job())))
        await asyncio.sleep(0.1)
        during_run = runner.load_tracker.estimate(ENGINES[0], runner._context.now_seconds())
        await run_task
        return during_run, runner.load_tracker.estimate(ENGINES[0], runner._context.now_seconds())

    during_run, after_run = run_on_virtual_clock(scenario())
    assert during_run.running == 1
    # The refusal is newer than the load report that showed free slots.
    assert (after_run.free_slots == 0) is (end is ItemRunEnd.NOT_RUN)
    assert (after_run.running == 0) is (end is not ItemRunEnd.NOT_RUN)


def test_does_not_count_a_cancelled_run():
    async def scenario():
        runner = make_runner(ScriptedEngine([], ItemRunEnd.COMPLETE, 9.0))
        report_load(runner, ENGINES[0])
        run_task = asyncio.create_task(run_item(runner, JobLedger(make_job())))
        await asyncio.sleep(0.1)
        run_task.cancel()
        await asyncio.gather(run_task, return_exceptions=True)
        return runner.load_tracker.estimate(ENGINES[0], runner._context.now_seconds()).running

    assert run_on_virtual_clock(scenario()) == 0


@pytest.mark.parametrize(("pace", "moves"), [(2.5, 1), (1.0, 0)])
def test_moves_a_run_by_the_estimated_pace_of_its_engine(pace, moves):
    async def scenario():
        pieces = [TextPiece(number, "a", 1) for number in range(1, 101)]
        interval_seconds = 0.04 * pace
        runner = make_runner(ScriptedEngine(pieces, ItemRunEnd.COMPLETE, 0.0, interval_seconds))
        report_load(runner, ENGINES[0], pace=pace)
        report_load(runner, ENGINES[1], pace=1.0)
        runner.spare["s"] = SpareCapacity("e2", 0.04, 1, {"m": 1})
        ledger = JobLedger(make_job())
        await run_item(runner, ledger)
        return ledger.items["i0"].moves

    assert run_on_virtual_clock(scenario()) == moves


def test_an_engine_filled_by_others_is_no_spare_capacity():
    async def scenario():
        runner = make_runner()
        report_load(runner, ENGINES[0], pace=1.2)
        report_load(runner, ENGINES[1], running=12, waiting=1, pace=0.6)
        return spare_capacities(capacities_of(runner))

    assert run_on_virtual_clock(scenario())["s"].instance == "e1"


def test_logs_the_estimate_of_the_engine_with_the_run(monkeypatch):
    async def scenario():
        runner = make_runner(ScriptedEngine([TextPiece(1, "a", 1)], ItemRunEnd.COMPLETE, 0.1))
        logged_events = []
        monkeypatch.setattr(DecisionLog, "write", lambda log, event: logged_events.append(event))
        report_load(runner, ENGINES[0], running=12, waiting=3, pace=1.5)
        run_seconds = runner._context.load_estimator.typical_run_seconds("s", WorkKind.TEXT)
        await asyncio.sleep(0.2)
        await run_item(runner, JobLedger(make_job()))
        return logged_events[-1].place, run_seconds

    estimate, run_seconds = run_on_virtual_clock(scenario())
    assert estimate.word_age_seconds == pytest.approx(0.2, abs=0.01)
    assert estimate.slots == 12
    assert estimate.wait_seconds > run_seconds / 12


@pytest.mark.parametrize("queues_calls", [True, False])
def test_queued_calls_make_services_load_based_without_a_pace(queues_calls):
    async def scenario():
        runner = make_runner()
        context = runner._context
        context.settings = replace(context.settings, queues_calls=queues_calls)
        report_load(runner, ENGINES[0], pace=None)
        return ItemStarter(context, runner, asyncio.Event())._load_based_services({"s"})

    assert bool(run_on_virtual_clock(scenario())) is queues_calls
