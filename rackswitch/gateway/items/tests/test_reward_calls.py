"""Second reward calls where the first stays without an answer."""

import asyncio
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.items.reward_calls import RewardCalls, RewardCallState, is_good
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.requests import Call, TargetAnswer
from rackswitch.routing import ListedTarget, RegionMap, ReportedLoad, Target
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import Handling, RouteChoice, RouteRow

SLOTS = 6
CALL_SECONDS = 0.2
LEARNT_CALLS = 40
ROUTE = RouteRow(
    name="rewards",
    choices=(RouteChoice(serves="s"),),
    host="h",
    handling=Handling.REPEATABLE,
    most_attempts=2,
    timeout_seconds=4.0,
    goal_seconds=1.0,
)
SINGLE_ATTEMPT_ROUTE = msgspec.structs.replace(ROUTE, most_attempts=1)


@dataclass
class Targets:
    """Answers calls in the order in which they are sent, each after its time.

    Attributes
    ----------
    call_seconds, statuses : list
        Time and status of the next answers; others are typical ones with status 200.
    """

    call_seconds: list[float] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    sent: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    keep_alive_seconds: float = 4.0

    async def forward(self, target, call, deadline_seconds, fresh_connection):
        name = target.instance
        self.sent.append(name)
        call_seconds = self.call_seconds.pop(0) if self.call_seconds else CALL_SECONDS
        status = self.statuses.pop(0) if self.statuses else 200
        try:
            await asyncio.sleep(call_seconds)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        return TargetAnswer(status, (), name.encode())


class Rewards:
    """One daemon's reward calls to two targets in two regions."""

    def __init__(self, has_regions: bool = True):
        self.targets = targets = Targets()
        self.context = context = make_gateway_context("a", KvStore())
        if has_regions:
            regions = {"z": "g", "y": "p"}
            context.settings = replace(context.settings, zone="z", region_of_zone=regions)
            context.directory.eligibility.regions = RegionMap("z", regions)
        for name in ("t0", "t1"):
            listed = ListedTarget(name, "s", "h", 1, "z", SLOTS)
            context.directory.put(listed)
            context.targets[name] = Target(name, listed.url, "z", start=listed.start)
        dispatcher = RequestDispatcher(context, TargetChooser(context), targets, NoQuarantine())
        self.calls = RewardCalls(context, dispatcher)
        self.report_load(0)

    def report_load(self, running: int) -> None:
        now_seconds = self.context.now_seconds()
        for listed in self.context.directory.entries.values():
            reported = ReportedLoad(running, 0, SLOTS, None, now_seconds)
            self.context.load_estimator.record_report(listed.start, "s", reported)

    async def call(self, number: int = 0, route: RouteRow = ROUTE):
        call = Call(f"r{number}", "h", "POST", "/", (), b"")
        deadline_seconds = self.context.now_seconds() + route.timeout_seconds
        state = RewardCallState()
        answer = await self.calls.call(route, call, deadline_seconds, "t", state)
        return answer, state

    async def learn(self, *call_seconds: float) -> None:
        """Make calls that take the typical time, then set the times of the next ones."""
        for number in range(LEARNT_CALLS):
            self.report_load(0)
            await self.call(number)
        self.targets.call_seconds.extend(call_seconds)
        self.targets.sent.clear()
        self.report_load(0)


def test_a_call_at_a_slow_target_is_answered_by_another_one_and_cancelled():
    """Guards against a step that waits seconds for one reward call at a slow target."""

    async def scenario():
        rewards = Rewards()
        await rewards.learn(2.0)
        began_seconds = rewards.context.now_seconds()
        answer, state = await rewards.call()
        first, second = rewards.targets.sent
        assert answer.instance == second != first
        assert answer.attempts == 2
        assert state.is_hedged
        assert rewards.context.now_seconds() - began_seconds < 4 * CALL_SECONDS
        assert rewards.targets.cancelled == [first]
        assert rewards.context.targets[first].own_requests == 0

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(
    ("has_regions", "running", "route"),
    [(False, 0, ROUTE), (True, 3 * SLOTS, ROUTE), (True, 0, SINGLE_ATTEMPT_ROUTE)],
    ids=["no regions", "targets full", "one attempt"],
)
def test_no_second_call_without_regions_or_free_slots_or_attempts(has_regions, running, route):
    """Guards against second calls in earlier deployments, at full targets, or beyond the route."""

    async def scenario():
        rewards = Rewards(has_regions)
        await rewards.learn(1.0)
        rewards.report_load(running)
        _, state = await rewards.call(route=route)
        assert not state.is_hedged
        assert len(rewards.targets.sent) == 1
        assert rewards.targets.cancelled == []

    run_on_virtual_clock(scenario())


def test_a_slow_service_gets_few_second_calls():
    """Guards against hedges that overload a service which is slow for all calls."""

    async def scenario():
        rewards = Rewards()
        await rewards.learn(*[1.0] * 1000)
        results = []
        for number in range(100):
            rewards.report_load(0)
            results.append(await rewards.call(number))
        assert all(is_good(answer) for answer, _ in results)
        assert sum(state.is_hedged for _, state in results) <= 0.1 * (100 + LEARNT_CALLS) + 1

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize(("second_status", "failures"), [(200, 0), (500, 2)])
def test_a_failed_first_call_waits_for_the_second(second_status, failures):
    """Guards against giving up an answer that is on its way, and against a lost failure count."""

    async def scenario():
        rewards = Rewards()
        await rewards.learn(0.5, 0.3)
        rewards.targets.statuses = [500, second_status]
        answer, state = await rewards.call()
        assert state.is_hedged
        assert is_good(answer) is (second_status == 200)
        assert answer.failures == failures

    run_on_virtual_clock(scenario())


def test_a_cancelled_reward_call_leaves_no_call_behind():
    """Guards against calls that run on after their job has been handed over."""

    async def scenario():
        rewards = Rewards()
        await rewards.learn(1.0, 1.0)
        task = asyncio.create_task(rewards.call())
        await asyncio.sleep(2.5 * CALL_SECONDS)
        assert len(rewards.targets.sent) == 2
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert len(rewards.targets.cancelled) == 2

    run_on_virtual_clock(scenario())
