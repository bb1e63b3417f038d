"""Which targets calls go to, and what decides."""

import asyncio
import random
from collections import Counter
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.callers.target_choice import POLICY, TargetChooser
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


def tell(context, running: dict[str, int], pace: float | None):
    """Let each target say a word now."""
    for target in TARGETS:
        count = running.get(target.instance, 0)
        word = ReportedLoad(min(6, count), max(0, count - 6), 6, pace, context.now_seconds())
        context.load_estimator.heard(target.start, "s", word)


def picks(chooser, times=200) -> Counter:
    return Counter(chooser.pick("s", set()).instance for _ in range(times))


def test_calls_avoid_what_others_have_filled():
    async def scenario():
        context, chooser = make_chooser()
        tell(context, {"t0": 18, "t1": 18}, pace=1.0)
        return picks(chooser)

    assert set(run_virtual(scenario())) == {"t2", "t3"}


def test_services_that_tell_no_pace_are_chosen_from_as_before():
    async def scenario(is_told):
        context, chooser = make_chooser()
        context.rng.seed(5)
        # A service whose targets tell their pace changes nothing for others.
        context.load_estimator.heard("x@0", "other", ReportedLoad(0, 0, 6, 1.0, 0.0))
        chosen = []
        for number in range(200):
            if is_told:
                tell(context, {"t0": 18, "t1": number % 7}, pace=None)
            target = chooser.pick("s", set())
            sent = chooser.sent(target)
            chooser.load(target).begin(20.0, ())
            if number % 3:
                chooser.load(target).end(20.0)
                chooser.ended(sent, ANSWER)
            elif is_told:
                chooser.note_failure(target, FULL)
            chosen.append(target.instance)
        return chosen

    def plain():
        """Make the same choices by the policy alone."""
        rng = random.Random(5)
        policy = POLICIES.get(POLICY)(rng)
        targets = [Target(target.instance, target.url, "z") for target in TARGETS]
        chosen = []
        for number in range(200):
            target = policy.choose(RoutedRequest(0.0, 20.0, (), 0.0), targets)
            target.begin(20.0, ())
            if number % 3:
                target.end(20.0)
            chosen.append(target.name)
        return chosen

    assert run_virtual(scenario(True)) == plain()
    assert run_virtual(scenario(False)) == plain()


def test_a_target_that_does_not_begin_is_full_whatever_its_word_says():
    async def scenario():
        context, chooser = make_chooser()
        tell(context, {"t0": 0, "t1": 5, "t2": 5, "t3": 5}, pace=1.0)
        before = picks(chooser)
        chooser.note_failure(TARGETS[0], FULL)
        return before, picks(chooser)

    before, after = run_virtual(scenario())
    assert before["t0"] > 80
    assert after["t0"] == 0


def test_a_target_that_sounds_good_and_fails_loses_its_calls():
    async def scenario():
        context, chooser = make_chooser()
        tell(context, {"t1": 5, "t2": 5, "t3": 5}, pace=1.0)
        failed = TargetAnswer(500, (), b"")
        for _ in range(4):
            sent = chooser.sent(TARGETS[0])
            chooser.ended(sent, failed)
        return picks(chooser)

    assert run_virtual(scenario())["t0"] < 10


def test_a_target_that_sounds_good_and_is_silent_gets_no_call():
    async def scenario():
        context, chooser = make_chooser()
        tell(context, {"t1": 5, "t2": 5, "t3": 5}, pace=1.0)
        chooser.note_failure(TARGETS[0], TargetFailed(True, "no answer", silent=True))
        return picks(chooser)

    assert run_virtual(scenario())["t0"] == 0


def test_what_decided_is_kept_with_the_call():
    async def scenario():
        context, chooser = make_chooser()
        tell(context, {"t0": 8}, pace=1.5)
        target = chooser.pick("s", {"t1", "t2", "t3"})
        return chooser.load(target).place

    place = run_virtual(scenario())
    assert (place.instance, place.running, place.waiting, place.pace) == ("t0", 6, 2, 1.5)


@pytest.mark.parametrize(("status", "is_learnt"), [(200, True), (400, False), (429, False)])
def test_only_served_calls_tell_how_long_work_takes(status, is_learnt):
    async def scenario():
        context, chooser = make_chooser()
        tell(context, {}, pace=1.0)
        first_seconds = context.load_estimator.usual_run_seconds("s", WorkKind.CALL)
        for _ in range(20):
            sent = chooser.sent(TARGETS[0])
            await asyncio.sleep(0.001)
            chooser.ended(sent, TargetAnswer(status, (), b""))
        return context.load_estimator.usual_run_seconds("s", WorkKind.CALL), first_seconds

    usual_seconds, first_seconds = run_virtual(scenario())
    assert (usual_seconds < first_seconds) is is_learnt


@pytest.mark.parametrize(("waited_seconds", "is_slow"), [(1.0, True), (0.01, False)])
def test_a_call_whose_caller_left_shows_at_least_the_time_that_it_waited(waited_seconds, is_slow):
    async def scenario():
        context, chooser = make_chooser()
        tell(context, {}, pace=1.0)
        for _ in range(3):
            sent = chooser.sent(TARGETS[0])
            await asyncio.sleep(waited_seconds)
            chooser.ended(sent, None)
        tell(context, {}, pace=1.0)
        now_seconds = context.now_seconds()
        return context.load_estimator.place(TARGETS[0], WorkKind.CALL, 1.0, now_seconds).pace

    pace = run_virtual(scenario())
    assert pace > 2.0 if is_slow else pace == pytest.approx(1.0)


def test_where_callers_may_press_words_without_a_pace_count_too():
    async def scenario():
        context, chooser = make_chooser()
        context.settings = replace(context.settings, queues_calls=True)
        tell(context, {"t0": 18, "t1": 18}, pace=None)
        return picks(chooser), chooser.places("s")

    chosen, places = run_virtual(scenario())
    assert set(chosen) == {"t2", "t3"}
    assert {place.instance: place.free_slots for place in places} == {
        "t0": 0.0,
        "t1": 0.0,
        "t2": 6.0,
        "t3": 6.0,
    }


def test_a_slow_target_that_tells_no_pace_is_found_out_where_callers_may_press():
    async def scenario():
        context, chooser = make_chooser()
        context.settings = replace(context.settings, queues_calls=True)
        for _ in range(12):
            for target in TARGETS:
                tell(context, {}, pace=None)
                sent = chooser.sent(target)
                await asyncio.sleep(0.3 if target.instance == "t0" else 0.05)
                chooser.ended(sent, ANSWER)
        return picks(chooser)

    assert run_virtual(scenario())["t0"] < 10
