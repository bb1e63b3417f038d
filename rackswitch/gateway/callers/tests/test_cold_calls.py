"""Calls to services whose targets are cold, on a virtual clock."""

import asyncio
from bisect import bisect_right
from collections import Counter
from dataclasses import replace

import pytest
from msgspec.structs import replace as replace_row

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.callers.tests.test_call_admission import (
    SERVICE,
    DispatcherHarness,
    FullTargets,
    served,
    start_calls,
)
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.requests import TargetAnswer, TargetFailed
from rackswitch.routing import ListedTarget, Target, WorkKind
from rackswitch.table import Handling, RouteChoice, RouteRow, ServiceRow, StoredRow, TableDocument
from rackswitch.warmup import RAMP_SECONDS

INTERVAL_SECONDS = 1 / 13.8
"""Of a single daemon."""

SETTLED_SECONDS = 2.2
ROW = ServiceRow(name=SERVICE, cold_seconds=3.0, cold_requests_per_second=17.0)
SILENT = TargetFailed(True, "no answer", is_unresponsive=True)


def table(*kinds: Handling) -> TableDocument:
    routes = {
        f"route/{kind.value}": StoredRow(
            1,
            RouteRow(name=kind.value, choices=(RouteChoice(serves=SERVICE),), handling=kind),
        )
        for kind in kinds
    }
    return TableDocument(1, {f"service/{SERVICE}": StoredRow(1, ROW), **routes})


class ColdHarness(DispatcherHarness):
    """A dispatcher whose service has the cold target t0."""

    def __init__(self, targets=None, left_seconds=60.0, document=None, **options):
        super().__init__(targets or FullTargets(100), **options)
        self.context.settings = replace(
            self.context.settings, cold_rate_factor=1.5, cold_rate_slack=5.0
        )
        self.context.daemon.view.replace_if_newer(document or table(Handling.REPEATABLE))
        self.list_with_cold("t0", left_seconds)
        self.context.daemon.spawn(self.context.cold_sends.run())

    def list_with_cold(self, name: str, left_seconds: float) -> None:
        listed = ListedTarget(name, SERVICE, "h", 1, "z", 6, cold_left_seconds=left_seconds)
        self.context.directory.put(listed)
        self.context.targets.setdefault(name, Target(name, listed.url, "z"))
        self.context.cold_sends.record_entry(listed, 10)


def max_within_a_second(times_seconds: list[float]) -> int:
    return max(
        bisect_right(times_seconds, at + 1.0) - position
        for position, at in enumerate(times_seconds)
    )


@pytest.mark.parametrize("queues_calls", [True, False])
def test_calls_wait_for_the_budget_by_rank(queues_calls):
    """Guards against a burst of calls at a cold target, and against calls out of order."""

    async def scenario():
        harness = ColdHarness(queues_calls=queues_calls)
        await asyncio.sleep(SETTLED_SECONDS)
        first = [harness.call(f"r{n}", timeout_seconds=9.0, reward_of="t") for n in range(6)]
        await asyncio.sleep(0.01)
        urgent = harness.call("urgent", timeout_seconds=9.0)
        await asyncio.gather(*first, urgent)
        await harness.context.daemon.cancel_all()
        return harness.targets.sends, served([*first, urgent])

    sends, served_names = run_on_virtual_clock(scenario())
    times_seconds = [at for at, _ in sends]
    intervals_seconds = [
        later - earlier for earlier, later in zip(times_seconds, times_seconds[1:], strict=False)
    ]
    assert min(intervals_seconds) >= INTERVAL_SECONDS - 1e-9
    # Waiting calls use each send as soon as it is allowed.
    assert max(intervals_seconds) <= INTERVAL_SECONDS + 0.01
    assert max_within_a_second(times_seconds) <= 15
    assert len(served_names) == 7
    assert [name for _, name in sends].index("urgent") == 1


def test_calls_that_cannot_be_in_time_are_refused_at_once():
    """Guards against calls that wait in vain, and against a retry time that helps nobody."""

    async def scenario():
        harness = ColdHarness()
        await asyncio.sleep(SETTLED_SECONDS)
        began_seconds = harness.context.now_seconds()
        tasks = await start_calls(harness, 20)
        await asyncio.sleep(0.05)
        refused = [task.result().outcome for task in tasks if task.done()]
        refused = [outcome for outcome in refused if isinstance(outcome, NotRun)]
        await asyncio.gather(*tasks)
        await harness.context.daemon.cancel_all()
        return began_seconds, refused, served(tasks)

    began_seconds, refused, served_names = run_on_virtual_clock(scenario())
    # Sends after the first are possible each 0.072 s, and the latency target is 0.2 s.
    assert len(refused) >= 15
    assert len(served_names) >= 1
    assert {outcome.reason for outcome in refused} == {NotRunReason.OVERLOADED}
    assert all(outcome.retry_at_seconds > began_seconds for outcome in refused)


def test_a_daemon_that_is_no_sender_refuses_until_the_target_is_warm():
    """Guards against sends by all daemons, and a retry time at which it is refused again."""

    async def scenario():
        harness = ColdHarness(left_seconds=2.5)
        # The view of a daemon that has just started has not settled.
        answer = await harness.call("r")
        until_seconds = harness.context.cold_sends.targets.until_seconds("t0@0")
        sends = list(harness.targets.sends)
        await asyncio.sleep(5.1)
        later = await harness.call("r2")
        await harness.context.daemon.cancel_all()
        return answer.outcome, until_seconds, sends, later.outcome

    outcome, until_seconds, sends, later = run_on_virtual_clock(scenario())
    assert outcome.reason is NotRunReason.OVERLOADED
    ramp_end_seconds = until_seconds + RAMP_SECONDS
    assert ramp_end_seconds <= outcome.retry_at_seconds <= ramp_end_seconds + RAMP_SECONDS
    assert sends == []
    assert isinstance(later, TargetAnswer)


def test_a_daemon_that_has_not_read_the_members_sends_nothing():
    """Guards against daemons that start together and each take themselves for the only sender."""

    async def scenario():
        harness = ColdHarness()
        harness.context.cold_sends.is_view_complete = lambda: False
        await asyncio.sleep(SETTLED_SECONDS)
        answer = await harness.call("r")
        await harness.context.daemon.cancel_all()
        return answer.outcome, harness.targets.sends

    outcome, sends = run_on_virtual_clock(scenario())
    assert outcome.reason is NotRunReason.OVERLOADED
    assert sends == []


def test_warm_targets_are_preferred_and_release_waiting_calls():
    """Guards against sends to a cold target beside a warm one, and calls that miss a warm one."""

    async def scenario():
        harness = ColdHarness()
        await asyncio.sleep(SETTLED_SECONDS)
        waiting = [harness.call(f"w{n}", timeout_seconds=9.0, reward_of="t") for n in range(4)]
        await asyncio.sleep(0.01)
        harness.list_with_cold("t1", 0.0)
        await asyncio.sleep(0.15)
        released = len(served(task for task in waiting if task.done()))
        picks = Counter(harness.dispatcher._chooser.pick(SERVICE, set()).instance for _ in "123")
        await harness.context.daemon.cancel_all()
        return released, picks

    released, picks = run_on_virtual_clock(scenario())
    assert released == 4
    assert picks == {"t1": 3}


@pytest.mark.parametrize(
    ("kinds", "sends_per_second"),
    [((Handling.REPEATABLE,), 13.8), ((Handling.REPEATABLE, Handling.BATCH), 6.44)],
)
def test_items_and_calls_share_the_rate(kinds, sends_per_second):
    """Guards against items and calls that each use the whole rate of a cold target."""

    async def scenario():
        harness = ColdHarness(document=table(*kinds))
        await asyncio.sleep(SETTLED_SECONDS)
        cold_sends, context = harness.context.cold_sends, harness.context
        target = context.directory.entries["t0"]
        rates = [cold_sends.send_rate(target, kind, context.now_seconds()) for kind in WorkKind]
        sent = [cold_sends.try_send(target, kind, "r") for kind in (*WorkKind, *WorkKind)]
        estimates = TargetChooser(context).estimates(SERVICE)
        await context.daemon.cancel_all()
        return rates, sent, [estimate.slots for estimate in estimates]

    rates, sent, slots = run_on_virtual_clock(scenario())
    # Half of the rate has a single sender, with up to 7 sends in any second.
    assert rates == pytest.approx([sends_per_second] * 2)
    assert sent == [True, True, False, False]
    assert slots == [1]


@pytest.mark.parametrize("is_cold", [True, False])
def test_failures_of_a_cold_target_leave_no_marks(is_cold):
    """Guards against a target that is avoided, once it is warm, for its slowness while cold."""

    async def scenario():
        harness = ColdHarness(left_seconds=60.0 if is_cold else 0.0)
        context, chooser = harness.context, harness.dispatcher._chooser
        target = context.directory.entries["t0"]
        before = chooser._estimate(target, chooser.target_state(target), 0.0).pace
        for _ in range(4):
            sent = chooser.record_send(target)
            await asyncio.sleep(0.3)
            chooser.record_end(sent, SILENT)
            chooser.record_failure(target, TargetFailed(True, "reset"))
            chooser.record_end(chooser.record_send(target), TargetAnswer(500, (), b""))
        chooser.record_failure(target, SILENT)
        now_seconds = context.now_seconds()
        after = chooser._estimate(target, chooser.target_state(target), now_seconds).pace
        await context.daemon.cancel_all()
        return after / before, chooser.target_state(target).open_until_seconds

    pace_ratio, open_until_seconds = run_on_virtual_clock(scenario())
    assert (pace_ratio == 1.0) is is_cold
    assert (open_until_seconds == 0.0) is is_cold


def test_without_cold_terms_calls_are_sent_as_before():
    """Guards against a limit where the table's row states no cold time."""

    async def scenario(has_entry):
        row = replace_row(ROW, cold_seconds=0.0)
        document = TableDocument(1, {f"service/{SERVICE}": StoredRow(1, row)})
        harness = ColdHarness(left_seconds=60.0 if has_entry else 0.0, document=document)
        harness.context.rng.seed(1)
        tasks = await start_calls(harness, 12)
        await asyncio.gather(*tasks)
        await harness.context.daemon.cancel_all()
        return harness.targets.sends, served(tasks)

    assert run_on_virtual_clock(scenario(True)) == run_on_virtual_clock(scenario(False))
