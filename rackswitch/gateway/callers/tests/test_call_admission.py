"""Calls to a full service, with and without admission, on a virtual clock."""

import asyncio
import json
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.callers.request_dispatcher import (
    REFUSED_RETRY_DELAY_SECONDS,
    RequestDispatcher,
)
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.outcomes import MayHaveRun, NotRun, NotRunReason
from rackswitch.requests import Call, TargetAnswer, TargetFailed
from rackswitch.routing import ListedTarget, ReportedLoad, Target, TargetEstimate
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import Handling, RouteChoice, RouteRow
from rackswitch.telemetry.events import AdmissionState, CallDecided
from rackswitch.tenants import Caller

WORK_SECONDS = 0.04
SERVICE = "desk"


class FullTargets:
    """Targets that refuse calls beyond `slots`; records the calls that ran."""

    keep_alive_seconds = 1.0

    def __init__(self, slots: int, work_seconds: float = WORK_SECONDS):
        self.slots = slots
        self.work_seconds = work_seconds
        self.running = 0
        self.max_running = 0
        self.ran: list[str] = []
        self.sends: list[tuple[float, str]] = []
        self.failing: dict[str, TargetFailed] = {}

    async def forward(self, target, call, deadline_seconds, fresh_connection):
        self.sends.append((asyncio.get_running_loop().time(), call.request_id))
        await asyncio.sleep(0.001)
        if call.request_id in self.failing:
            self.ran.append(call.request_id)
            return self.failing[call.request_id]
        if self.running >= self.slots:
            return TargetFailed(False, "the target did not begin: status 503")
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.ran.append(call.request_id)
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        return TargetAnswer(200, (), b"")

    def estimates(self, service):
        free = max(0, self.slots - self.running)
        return [
            TargetEstimate("t0", self.slots, self.slots - free, 0.0, 1.0, WORK_SECONDS, 0.0, 0.001)
        ]


class ReportingTargets(FullTargets):
    """Targets whose answers report their load."""

    def __init__(self, slots: int, other_requests: int):
        super().__init__(slots)
        self.other_requests = other_requests
        self.context = None

    async def forward(self, target, call, deadline_seconds, fresh_connection):
        result = await super().forward(target, call, deadline_seconds, fresh_connection)
        request_count = self.running + self.other_requests
        report = ReportedLoad(
            min(self.slots, request_count),
            max(0, request_count - self.slots),
            self.slots,
            1.0,
            self.context.now_seconds(),
        )
        self.context.load_estimator.record_report(target.start, target.service, report)
        return result


class HoldingQuarantine(NoQuarantine):
    """Holds requests until `released` is set; records the `may_claim` flags."""

    def __init__(self):
        self.released = asyncio.Event()
        self.claim_flags: list[bool] = []

    async def admit(self, fingerprint_of, deadline_seconds, may_claim=True):
        self.claim_flags.append(may_claim)
        await self.released.wait()


class DispatcherHarness:
    """A request dispatcher with simulated targets; records admission events."""

    def __init__(
        self,
        targets: FullTargets,
        queues_calls: bool = True,
        has_estimates: bool = True,
        use_chooser_estimates: bool = False,
    ):
        self.context = make_gateway_context("a", KvStore())
        self.context.settings = replace(self.context.settings, queues_calls=queues_calls)
        self.list_target()
        self.targets = targets
        self.decisions: list[CallDecided] = []
        self.service_events: list[AdmissionState] = []
        self.context.daemon.log = self
        chooser = TargetChooser(self.context)
        options = {"estimates_of": targets.estimates} if has_estimates else {}
        if use_chooser_estimates:
            options = {"estimates_of": chooser.estimates}
        self.dispatcher = RequestDispatcher(
            self.context, chooser, targets, NoQuarantine(), **options
        )

    def write(self, event) -> None:
        if isinstance(event, CallDecided):
            self.decisions.append(event)
        if isinstance(event, AdmissionState):
            self.service_events.append(event)

    def list_target(self) -> None:
        self.context.directory.put(ListedTarget("t0", SERVICE, "h", 1, "z"))
        self.context.targets.setdefault("t0", Target("t0", "http://h:1", "z"))

    def unlist_target(self) -> None:
        self.context.directory.remove_replaced("t0")

    def call(self, name, rank=0, tenant="a", timeout_seconds=0.8, once=False, **options):
        route = RouteRow(
            name=f"checks-{rank}",
            choices=(RouteChoice(serves=SERVICE),),
            handling=Handling.ONCE if once else Handling.REPEATABLE,
            goal_seconds=0.2,
            caller_class=rank,
            most_attempts=2,
        )
        call = Call(name, "h", "POST", "/", (), b"b", Caller(tenant))
        deadline_seconds = self.context.now_seconds() + timeout_seconds
        log = self.dispatcher.new_log(route)
        return asyncio.create_task(
            self.dispatcher.call(route, call, deadline_seconds, log, **options), name=name
        )


def served(tasks) -> list[str]:
    """Return the names of the calls that were answered, in the order in which they were made."""
    return [
        task.get_name()
        for task in tasks
        if not task.cancelled() and isinstance(task.result().outcome, TargetAnswer)
    ]


async def start_calls(harness: DispatcherHarness, count: int, **options) -> list[asyncio.Task]:
    tasks = [harness.call(f"r{number}", **options) for number in range(count)]
    await asyncio.sleep(0)
    return tasks


def test_without_admission_refused_calls_are_retried_after_a_delay():
    async def scenario():
        targets = FullTargets(0)
        harness = DispatcherHarness(targets, queues_calls=False)
        answer = await harness.call("r")
        return answer, targets.sends, harness.decisions

    answer, sends, decisions = run_on_virtual_clock(scenario())
    assert isinstance(answer.outcome, NotRun)
    assert answer.outcome.reason is NotRunReason.NO_TARGET
    # Two attempts by the route and eight refusals, each followed by a delay.
    assert answer.attempts == len(sends) == 10
    intervals_seconds = [
        later[0] - earlier[0] for earlier, later in zip(sends, sends[1:], strict=False)
    ]
    assert intervals_seconds == pytest.approx([REFUSED_RETRY_DELAY_SECONDS + 0.001] * 9)
    assert decisions == []


def test_sends_all_calls_at_once_while_slots_are_free():
    async def scenario():
        harness = DispatcherHarness(FullTargets(100))
        tasks = await start_calls(harness, 4)
        await asyncio.gather(*tasks)
        return served(tasks), [event.outcome for event in harness.decisions]

    names, outcomes = run_on_virtual_clock(scenario())
    assert len(names) == 4
    assert outcomes == ["sent"] * 4


def test_queued_calls_are_sent_when_a_slot_becomes_free():
    async def scenario():
        targets = FullTargets(4)
        harness = DispatcherHarness(targets, has_estimates=False)
        tasks = await start_calls(harness, 8, timeout_seconds=3.0)
        await asyncio.gather(*tasks)
        return served(tasks), targets

    names, targets = run_on_virtual_clock(scenario())
    assert len(names) == 8
    assert len(targets.sends) <= 10
    assert len(set(targets.ran)) == len(targets.ran) == 8


def test_sends_by_rank_and_reward_calls_last():
    async def scenario():
        targets = FullTargets(4)
        harness = DispatcherHarness(targets, has_estimates=False)
        await start_calls(harness, 5)
        waiting = [
            harness.call("reward", 0, timeout_seconds=2.0, reward_of="a"),
            harness.call("low", 7),
            harness.call("high", 1),
        ]
        await asyncio.gather(*waiting)
        return targets.ran

    ran = run_on_virtual_clock(scenario())
    assert ran.index("high") < ran.index("low") < ran.index("reward")


def test_refuses_a_call_at_once_if_it_cannot_be_served_in_time():
    async def scenario():
        targets = FullTargets(4, work_seconds=0.5)
        harness = DispatcherHarness(targets, has_estimates=False)
        tasks = await start_calls(harness, 30)
        began_seconds = harness.context.now_seconds()
        late_call = harness.call("late", 5)
        answer = await late_call
        now_seconds = harness.context.now_seconds()
        for task in tasks:
            task.cancel()
        return answer, now_seconds - began_seconds, now_seconds, harness.decisions

    answer, took_seconds, now_seconds, decisions = run_on_virtual_clock(scenario())
    assert answer.outcome.reason is NotRunReason.OVERLOADED
    assert took_seconds < 0.02
    assert now_seconds < answer.outcome.retry_at_seconds < now_seconds + 0.4
    [decision] = [event for event in decisions if event.request == "late"]
    assert decision.outcome.startswith("refused: ")
    assert decision.come_back_seconds > 0


def test_cancelled_call_holds_no_slot_and_no_queue_entry():
    async def scenario():
        targets = FullTargets(4)
        harness = DispatcherHarness(targets, has_estimates=False)
        tasks = await start_calls(harness, 6, timeout_seconds=3.0)
        await asyncio.sleep(0.01)
        tasks[5].cancel()
        await asyncio.wait(tasks)
        admission = harness.dispatcher._service_admission._service(SERVICE).admission
        return targets.ran, len(admission.queue), admission.limit.in_flight

    ran, waiting, in_flight = run_on_virtual_clock(scenario())
    assert "r5" not in ran
    assert (waiting, in_flight) == (0, 0)


def test_no_call_runs_twice_after_a_daemon_with_a_full_queue_dies():
    async def scenario():
        targets = FullTargets(4)
        harness = DispatcherHarness(targets, has_estimates=False)
        tasks = await start_calls(harness, 40, timeout_seconds=3.0)
        await asyncio.sleep(0.06)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        sent = list(targets.ran)
        await asyncio.sleep(2.0)
        # Callers retry the rest at another daemon.
        other = DispatcherHarness(targets, has_estimates=False)
        names = served(tasks)
        unsent_names = [f"r{number}" for number in range(40) if f"r{number}" not in sent]
        await asyncio.gather(*(other.call(name, timeout_seconds=9.0) for name in unsent_names[:8]))
        return sent, names, targets.ran

    sent, names, ran = run_on_virtual_clock(scenario())
    assert 0 < len(names) < 40
    assert len(set(ran)) == len(ran)
    assert ran[: len(sent)] == sent


def test_refuses_queued_calls_when_the_last_target_goes():
    async def scenario():
        targets = FullTargets(4, work_seconds=0.3)
        harness = DispatcherHarness(targets, has_estimates=False)
        tasks = await start_calls(harness, 8, timeout_seconds=3.0)
        await asyncio.sleep(0.01)
        harness.unlist_target()
        new_call = await harness.call("new")
        await asyncio.wait(tasks)
        refused = [task.result().outcome for task in tasks if task.get_name() not in targets.ran]
        return new_call, refused

    new_call, refused = run_on_virtual_clock(scenario())
    assert new_call.outcome.reason is NotRunReason.NO_TARGET
    assert refused
    assert all(isinstance(outcome, NotRun) for outcome in refused)


def test_sends_at_most_two_probe_calls_to_targets_that_are_listed_again():
    async def scenario():
        targets = FullTargets(4)
        harness = DispatcherHarness(targets, has_estimates=False)
        harness.unlist_target()
        await harness.call("gone")
        harness.list_target()
        tasks = await start_calls(harness, 6, timeout_seconds=3.0)
        sent_at_once = len(targets.sends)
        await asyncio.gather(*tasks)
        refused_outcomes = [
            task.result().outcome for task in tasks if task.get_name() not in served(tasks)
        ]
        return sent_at_once, served(tasks), refused_outcomes, targets.ran

    sent_at_once, names, refused_outcomes, ran = run_on_virtual_clock(scenario())
    assert sent_at_once <= 2
    # Calls of one rank are sent in the order of their arrival.
    assert len(names) >= 4
    assert names == ran == [f"r{number}" for number in range(len(names))]
    assert all(outcome.reason is NotRunReason.OVERLOADED for outcome in refused_outcomes)


def test_call_held_by_the_quarantine_holds_no_slot():
    async def scenario():
        targets = FullTargets(4)
        harness = DispatcherHarness(targets, has_estimates=False)
        harness.dispatcher._quarantine = quarantine = HoldingQuarantine()
        held = harness.call("held", timeout_seconds=3.0)
        await asyncio.sleep(0.01)
        admission = harness.dispatcher._service_admission._service(SERVICE).admission
        in_flight = admission.limit.in_flight
        quarantine.released.set()
        await held
        return in_flight, targets.ran, quarantine.claim_flags

    assert run_on_virtual_clock(scenario()) == (0, ["held"], [False, True])


def test_refused_call_claims_no_trial():
    async def scenario():
        targets = FullTargets(4, work_seconds=0.5)
        harness = DispatcherHarness(targets, has_estimates=False)
        harness.dispatcher._quarantine = quarantine = HoldingQuarantine()
        quarantine.released.set()
        tasks = await start_calls(harness, 30)
        count_before = len(quarantine.claim_flags)
        await harness.call("late", 5)
        new_claim_flags = quarantine.claim_flags[count_before:]
        for task in tasks:
            task.cancel()
        return new_claim_flags

    assert run_on_virtual_clock(scenario()) == [False]


@pytest.mark.parametrize(("other_requests", "is_saturated"), [(0, False), (12, True)])
def test_load_reports_of_answers_adjust_the_limit(other_requests, is_saturated):
    async def scenario():
        targets = ReportingTargets(6, other_requests)
        harness = DispatcherHarness(targets, use_chooser_estimates=True)
        targets.context = harness.context
        initial_limit = harness.dispatcher._service_admission._service(
            SERVICE
        ).admission.limit.limit
        for number in range(6):
            await asyncio.gather(harness.call(f"a{number}"), harness.call(f"b{number}"))
        return initial_limit, harness.dispatcher._service_admission._service(
            SERVICE
        ).admission.limit.limit

    initial_limit, limit = run_on_virtual_clock(scenario())
    assert limit < initial_limit if is_saturated else limit > initial_limit


def test_recent_report_of_free_slots_admits_an_urgent_call():
    async def scenario(age_seconds: float):
        targets = ReportingTargets(6, 0)
        harness = DispatcherHarness(targets, use_chooser_estimates=True)
        targets.context = harness.context
        await harness.call("tells")
        limit = harness.dispatcher._service_admission._service(SERVICE).admission.limit
        limit.limit = limit.in_flight = 1
        await asyncio.sleep(age_seconds)
        return (await harness.call("urgent", 1, timeout_seconds=0.06)).outcome

    assert isinstance(run_on_virtual_clock(scenario(0.0)), TargetAnswer)
    assert isinstance(run_on_virtual_clock(scenario(0.2)), NotRun)


def test_retry_budget_limits_retries_of_failed_calls():
    async def scenario(count: int):
        targets = FullTargets(1000)
        for number in range(count):
            targets.failing[f"r{number}"] = TargetFailed(True, "no whole answer: reset")
        harness = DispatcherHarness(targets)
        for number in range(count):
            await harness.call(f"r{number}")
        return len(targets.sends)

    assert run_on_virtual_clock(scenario(1)) == 2
    assert run_on_virtual_clock(scenario(200)) <= 200 + 10 + 2


def test_call_that_may_have_run_is_not_reported_as_not_run():
    async def scenario():
        targets = FullTargets(4)
        targets.failing["r"] = TargetFailed(True, "no whole answer: reset")
        harness = DispatcherHarness(targets)
        return (await harness.call("r", once=True)).outcome, targets.ran

    outcome, ran = run_on_virtual_clock(scenario())
    assert isinstance(outcome, MayHaveRun)
    assert ran == ["r"]


def test_service_event_lists_tenant_shares():
    async def scenario():
        targets = FullTargets(4, work_seconds=1.5)
        harness = DispatcherHarness(targets, has_estimates=False)
        tasks = [harness.call(f"r{n}", tenant=f"t{n % 2}", timeout_seconds=9.0) for n in range(5)]
        await asyncio.sleep(1.1)
        for task in tasks:
            task.cancel()
        return harness.service_events

    [event] = run_on_virtual_clock(scenario())
    assert event.service == SERVICE
    assert set(event.tenant_shares) == {"t0", "t1"}
    assert json.dumps(event.tenant_shares)
