"""Choice of a call's target by policy, reported load and results of earlier calls."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.callers.target_choice import DEFAULT_POLICY, TargetChooser
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.requests import TargetAnswer, TargetFailed
from rackswitch.routing import POLICIES, ListedTarget, ReportedLoad, RoutedRequest, Target, WorkKind
from rackswitch.standins.kv_store import KvStore

TARGETS = [ListedTarget(f"t{number}", "s", "h", number, "z", 6) for number in range(4)]
ANSWER = TargetAnswer(200, (), b"")
FULL = TargetFailed(False, "the target did not begin: status 503")


def make_chooser():
    context = make_gateway_context("a", KvStore())
    for target in TARGETS:
        context.directory.put(target)
        context.targets[target.instance] = Target(
            target.instance, target.url, "z", start=target.start
        )
    return context, TargetChooser(context)


def report_loads(context, running: dict[str, int], pace: float | None):
    """Record a load report of each target; `running` counts requests by instance, 0 by default."""
    for target in TARGETS:
        count = running.get(target.instance, 0)
        report = ReportedLoad(min(6, count), max(0, count - 6), 6, pace, context.now_seconds())
        context.load_estimator.record_report(target.start, "s", report)


def count_picks(chooser, times=200) -> Counter:
    return Counter(chooser.pick("s", set()).instance for _ in range(times))


def test_avoids_targets_that_report_a_queue():
    async def scenario():
        context, chooser = make_chooser()
        report_loads(context, {"t0": 18, "t1": 18}, pace=1.0)
        return count_picks(chooser)

    assert set(run_on_virtual_clock(scenario())) == {"t2", "t3"}


def test_uses_the_default_policy_for_services_without_reported_pace():
    async def scenario(has_reports):
        context, chooser = make_chooser()
        context.rng.seed(5)
        # Reports of other services must not change the choice.
        context.load_estimator.record_report("x@0", "other", ReportedLoad(0, 0, 6, 1.0, 0.0))
        chosen = []
        for number in range(200):
            if has_reports:
                report_loads(context, {"t0": 18, "t1": number % 7}, pace=None)
            target = chooser.pick("s", set())
            sent_request = chooser.record_send(target)
            chooser.target_state(target).record_start(20.0, ())
            if number % 3:
                chooser.target_state(target).record_end(20.0)
                chooser.record_end(sent_request, ANSWER)
            elif has_reports:
                chooser.record_failure(target, FULL)
            chosen.append(target.instance)
        return chosen

    def choose_by_policy():
        """Make the same choices with the policy alone."""
        rng = random.Random(5)
        policy = POLICIES.get(DEFAULT_POLICY)(rng)
        targets = [Target(target.instance, target.url, "z") for target in TARGETS]
        chosen = []
        for number in range(200):
            target = policy.choose(RoutedRequest(0.0, 20.0, (), 0.0), targets)
            target.record_start(20.0, ())
            if number % 3:
                target.record_end(20.0)
            chosen.append(target.name)
        return chosen

    assert run_on_virtual_clock(scenario(True)) == choose_by_policy()
    assert run_on_virtual_clock(scenario(False)) == choose_by_policy()


def test_refusal_overrides_reported_free_slots():
    async def scenario():
        context, chooser = make_chooser()
        report_loads(context, {"t0": 0, "t1": 5, "t2": 5, "t3": 5}, pace=1.0)
        before = count_picks(chooser)
        chooser.record_failure(TARGETS[0], FULL)
        return before, count_picks(chooser)

    before, after = run_on_virtual_clock(scenario())
    assert before["t0"] > 80
    assert after["t0"] == 0


def test_avoids_a_failing_target_despite_its_reported_load():
    async def scenario():
        context, chooser = make_chooser()
        report_loads(context, {"t1": 5, "t2": 5, "t3": 5}, pace=1.0)
        failed = TargetAnswer(500, (), b"")
        for _ in range(4):
            sent_request = chooser.record_send(TARGETS[0])
            chooser.record_end(sent_request, failed)
        return count_picks(chooser)

    assert run_on_virtual_clock(scenario())["t0"] < 10


def test_avoids_an_unresponsive_target_despite_its_reported_load():
    async def scenario():
        context, chooser = make_chooser()
        report_loads(context, {"t1": 5, "t2": 5, "t3": 5}, pace=1.0)
        chooser.record_failure(TARGETS[0], TargetFailed(True, "no answer", is_unresponsive=True))
        return count_picks(chooser)

    assert run_on_virtual_clock(scenario())["t0"] == 0


def test_keeps_the_estimate_of_the_chosen_target():
    async def scenario():
        context, chooser = make_chooser()
        report_loads(context, {"t0": 8}, pace=1.5)
        target = chooser.pick("s", {"t1", "t2", "t3"})
        return chooser.target_state(target).estimate

    estimate = run_on_virtual_clock(scenario())
    assert (estimate.instance, estimate.running, estimate.waiting, estimate.pace) == (
        "t0",
        6,
        2,
        1.5,
    )


@pytest.mark.parametrize(("status", "is_recorded"), [(200, True), (400, False), (429, False)])
def test_only_successful_calls_change_the_typical_run_time(status, is_recorded):
    async def scenario():
        context, chooser = make_chooser()
        report_loads(context, {}, pace=1.0)
        initial_seconds = context.load_estimator.typical_run_seconds("s", WorkKind.CALL)
        for _ in range(20):
            sent_request = chooser.record_send(TARGETS[0])
            await asyncio.sleep(0.001)
            chooser.record_end(sent_request, TargetAnswer(status, (), b""))
        return context.load_estimator.typical_run_seconds("s", WorkKind.CALL), initial_seconds

    typical_seconds, initial_seconds = run_on_virtual_clock(scenario())
    assert (typical_seconds < initial_seconds) is is_recorded


@pytest.mark.parametrize(("waited_seconds", "is_slow"), [(1.0, True), (0.01, False)])
def test_cancelled_calls_count_with_the_time_they_waited(waited_seconds, is_slow):
    async def scenario():
        context, chooser = make_chooser()
        report_loads(context, {}, pace=1.0)
        for _ in range(3):
            sent_request = chooser.record_send(TARGETS[0])
            await asyncio.sleep(waited_seconds)
            chooser.record_end(sent_request, None)
        report_loads(context, {}, pace=1.0)
        now_seconds = context.now_seconds()
        return context.load_estimator.estimate(TARGETS[0], WorkKind.CALL, 1.0, now_seconds).pace

    pace = run_on_virtual_clock(scenario())
    assert pace > 2.0 if is_slow else pace == pytest.approx(1.0)


def test_with_admission_uses_load_reports_without_pace():
    async def scenario():
        context, chooser = make_chooser()
        context.settings = replace(context.settings, queues_calls=True)
        report_loads(context, {"t0": 18, "t1": 18}, pace=None)
        return count_picks(chooser), chooser.estimates("s")

    chosen, estimates = run_on_virtual_clock(scenario())
    assert set(chosen) == {"t2", "t3"}
    assert {estimate.instance: estimate.free_slots for estimate in estimates} == {
        "t0": 0.0,
        "t1": 0.0,
        "t2": 6.0,
        "t3": 6.0,
    }


def test_with_admission_detects_a_slow_target_that_reports_no_pace():
    async def scenario():
        context, chooser = make_chooser()
        context.settings = replace(context.settings, queues_calls=True)
        for _ in range(12):
            for target in TARGETS:
                report_loads(context, {}, pace=None)
                sent_request = chooser.record_send(target)
                await asyncio.sleep(0.3 if target.instance == "t0" else 0.05)
                chooser.record_end(sent_request, ANSWER)
        return count_picks(chooser)

    assert run_on_virtual_clock(scenario())["t0"] < 10
