"""Calls to a full service, with and without queues, on a clock that jumps."""

import asyncio
import json
from dataclasses import replace

import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.callers.request_dispatcher import PAUSE_SECONDS, RequestDispatcher
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.outcomes import MayHaveRun, NotRun, NotRunReason
from rackswitch.requests import Call, TargetAnswer, TargetFailed
from rackswitch.routing import ListedTarget, ReportedLoad, Target, TargetEstimate
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import Handling, RouteChoice, RouteRow
from rackswitch.telemetry.events import CallDecided, RoomSeen
from rackswitch.tenants import Caller

WORK_SECONDS = 0.04
DESK = "desk"


class FullTargets:
    """Targets that work on so many calls at once and begin no others; keeps what ran."""

    kept_seconds = 1.0

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

    def places(self, service):
        free = max(0, self.slots - self.running)
        return [
            TargetEstimate("t0", self.slots, self.slots - free, 0.0, 1.0, WORK_SECONDS, 0.0, 0.001)
        ]


class TellingTargets(FullTargets):
    """Targets of which each answer says how full they are, as read from its head."""

    def __init__(self, slots: int, others: int):
        super().__init__(slots)
        self.others = others
        self.context = None

    async def forward(self, target, call, deadline_seconds, fresh_connection):
        result = await super().forward(target, call, deadline_seconds, fresh_connection)
        at_work = self.running + self.others
        word = ReportedLoad(
            min(self.slots, at_work),
            max(0, at_work - self.slots),
            self.slots,
            1.0,
            self.context.now_seconds(),
        )
        self.context.load_estimator.heard(target.start, target.service, word)
        return result


class HoldsFirst(NoQuarantine):
    """Lets requests wait until they are free; keeps which ones would have claimed a trial."""

    def __init__(self):
        self.is_free = asyncio.Event()
        self.claims_asked: list[bool] = []

    async def admit(self, fingerprint_of, deadline_seconds, may_claim=True):
        self.claims_asked.append(may_claim)
        await self.is_free.wait()


class Front:
    """A request front before targets that may be full, with its decisions."""

    def __init__(
        self,
        targets: FullTargets,
        queues_calls: bool = True,
        places: bool = True,
        chooser_places: bool = False,
    ):
        self.context = make_gateway_context("a", KvStore())
        self.context.settings = replace(self.context.settings, queues_calls=queues_calls)
        self.list_target()
        self.targets = targets
        self.decided: list[CallDecided] = []
        self.seen: list[RoomSeen] = []
        self.context.daemon.log = self
        chooser = TargetChooser(self.context)
        more = {"places_of": targets.places} if places else {}
        if chooser_places:
            more = {"places_of": chooser.places}
        self.front = RequestDispatcher(self.context, chooser, targets, NoQuarantine(), **more)

    def write(self, event) -> None:
        if isinstance(event, CallDecided):
            self.decided.append(event)
        if isinstance(event, RoomSeen):
            self.seen.append(event)

    def list_target(self) -> None:
        self.context.directory.put(ListedTarget("t0", DESK, "h", 1, "z"))
        self.context.targets.setdefault("t0", Target("t0", "http://h:1", "z"))

    def unlist_target(self) -> None:
        self.context.directory.disown("t0")

    def call(self, name, rank=0, tenant="a", left_seconds=0.8, once=False, **more):
        route = RouteRow(
            name=f"checks-{rank}",
            choices=(RouteChoice(serves=DESK),),
            handling=Handling.ONCE if once else Handling.REPEATABLE,
            goal_seconds=0.2,
            caller_class=rank,
            most_attempts=2,
        )
        call = Call(name, "h", "POST", "/", (), b"b", Caller(tenant))
        deadline_seconds = self.context.now_seconds() + left_seconds
        log = self.front.new_log(route)
        return asyncio.create_task(
            self.front.call(route, call, deadline_seconds, log, **more), name=name
        )


def served(tasks) -> list[str]:
    """Return the names of the calls that were answered, in the order in which they were made."""
    return [
        task.get_name()
        for task in tasks
        if not task.cancelled() and isinstance(task.result().outcome, TargetAnswer)
    ]


async def crowd(front: Front, count: int, **how) -> list[asyncio.Task]:
    tasks = [front.call(f"r{number}", **how) for number in range(count)]
    await asyncio.sleep(0)
    return tasks


def test_where_calls_are_not_queued_they_are_tried_again_as_before():
    async def scenario():
        targets = FullTargets(0)
        front = Front(targets, queues_calls=False)
        answer = await front.call("r")
        return answer, targets.sends, front.decided

    answer, sends, decided = run_virtual(scenario())
    assert isinstance(answer.outcome, NotRun)
    assert answer.outcome.reason is NotRunReason.NO_TARGET
    # Two attempts by the route and eight refusals, a pause after each.
    assert answer.attempts == len(sends) == 10
    gaps = [later[0] - sooner[0] for sooner, later in zip(sends, sends[1:], strict=False)]
    assert gaps == pytest.approx([PAUSE_SECONDS + 0.001] * 9)
    assert decided == []


def test_nothing_is_refused_or_waits_while_there_is_room():
    async def scenario():
        front = Front(FullTargets(100))
        tasks = await crowd(front, 4)
        await asyncio.gather(*tasks)
        return served(tasks), [event.outcome for event in front.decided]

    names, outcomes = run_virtual(scenario())
    assert len(names) == 4
    assert outcomes == ["sent"] * 4


def test_a_freed_place_wakes_the_next_call_and_nobody_polls():
    async def scenario():
        targets = FullTargets(4)
        front = Front(targets, places=False)
        tasks = await crowd(front, 8, left_seconds=3.0)
        await asyncio.gather(*tasks)
        return served(tasks), targets

    names, targets = run_virtual(scenario())
    assert len(names) == 8
    assert len(targets.sends) <= 10
    assert len(set(targets.ran)) == len(targets.ran) == 8


def test_ranks_go_in_order_and_reward_calls_last():
    async def scenario():
        targets = FullTargets(4)
        front = Front(targets, places=False)
        await crowd(front, 5)
        waiting = [
            front.call("reward", 0, left_seconds=2.0, reward_of="a"),
            front.call("low", 7),
            front.call("high", 1),
        ]
        await asyncio.gather(*waiting)
        return targets.ran

    ran = run_virtual(scenario())
    assert ran.index("high") < ran.index("low") < ran.index("reward")


def test_a_call_that_cannot_be_served_in_time_is_refused_at_once_with_a_time():
    async def scenario():
        targets = FullTargets(4, work_seconds=0.5)
        front = Front(targets, places=False)
        tasks = await crowd(front, 30)
        began_seconds = front.context.now_seconds()
        late = front.call("late", 5)
        answer = await late
        now_seconds = front.context.now_seconds()
        for task in tasks:
            task.cancel()
        return answer, now_seconds - began_seconds, now_seconds, front.decided

    answer, took_seconds, now_seconds, decided = run_virtual(scenario())
    assert answer.outcome.reason is NotRunReason.OVERLOADED
    assert took_seconds < 0.02
    assert now_seconds < answer.outcome.retry_at_seconds < now_seconds + 0.4
    [line] = [event for event in decided if event.request == "late"]
    assert line.outcome.startswith("refused: ")
    assert line.come_back_seconds > 0


def test_a_caller_that_leaves_takes_no_place():
    async def scenario():
        targets = FullTargets(4)
        front = Front(targets, places=False)
        tasks = await crowd(front, 6, left_seconds=3.0)
        await asyncio.sleep(0.01)
        tasks[5].cancel()
        await asyncio.wait(tasks)
        room = front.front._rooms._service(DESK).room
        return targets.ran, len(room.room), room.limit.in_flight

    ran, waiting, in_flight = run_virtual(scenario())
    assert "r5" not in ran
    assert (waiting, in_flight) == (0, 0)


def test_a_killed_daemon_with_a_full_room_has_run_nothing_twice():
    async def scenario():
        targets = FullTargets(4)
        front = Front(targets, places=False)
        tasks = await crowd(front, 40, left_seconds=3.0)
        await asyncio.sleep(0.06)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        sent = list(targets.ran)
        await asyncio.sleep(2.0)
        # Its callers go to another daemon.
        other = Front(targets, places=False)
        names = served(tasks)
        left = [f"r{number}" for number in range(40) if f"r{number}" not in sent]
        await asyncio.gather(*(other.call(name, left_seconds=9.0) for name in left[:8]))
        return sent, names, targets.ran

    sent, names, ran = run_virtual(scenario())
    assert 0 < len(names) < 40
    assert len(set(ran)) == len(ran)
    assert ran[: len(sent)] == sent


def test_when_all_targets_go_waiting_calls_are_told_and_none_has_run():
    async def scenario():
        targets = FullTargets(4, work_seconds=0.3)
        front = Front(targets, places=False)
        tasks = await crowd(front, 8, left_seconds=3.0)
        await asyncio.sleep(0.01)
        front.unlist_target()
        newcomer = await front.call("new")
        await asyncio.wait(tasks)
        refused = [task.result().outcome for task in tasks if task.get_name() not in targets.ran]
        return newcomer, refused

    newcomer, refused = run_virtual(scenario())
    assert newcomer.outcome.reason is NotRunReason.NO_TARGET
    assert refused
    assert all(isinstance(outcome, NotRun) for outcome in refused)


def test_targets_that_are_back_get_one_call_at_first():
    async def scenario():
        targets = FullTargets(4)
        front = Front(targets, places=False)
        front.unlist_target()
        await front.call("gone")
        front.list_target()
        tasks = await crowd(front, 6, left_seconds=3.0)
        at_once = len(targets.sends)
        await asyncio.gather(*tasks)
        others = [task.result().outcome for task in tasks if task.get_name() not in served(tasks)]
        return at_once, served(tasks), others, targets.ran

    at_once, names, others, ran = run_virtual(scenario())
    assert at_once <= 2
    # They go in the order in which they came.
    assert len(names) >= 4
    assert names == ran == [f"r{number}" for number in range(len(names))]
    assert all(outcome.reason is NotRunReason.OVERLOADED for outcome in others)


def test_a_call_that_waits_for_its_quarantine_holds_no_place():
    async def scenario():
        targets = FullTargets(4)
        front = Front(targets, places=False)
        front.front._quarantine = quarantine = HoldsFirst()
        held = front.call("held", left_seconds=3.0)
        await asyncio.sleep(0.01)
        room = front.front._rooms._service(DESK).room
        in_flight = room.limit.in_flight
        quarantine.is_free.set()
        await held
        return in_flight, targets.ran, quarantine.claims_asked

    assert run_virtual(scenario()) == (0, ["held"], [False, True])


def test_a_call_without_room_claims_no_trial():
    async def scenario():
        targets = FullTargets(4, work_seconds=0.5)
        front = Front(targets, places=False)
        front.front._quarantine = quarantine = HoldsFirst()
        quarantine.is_free.set()
        tasks = await crowd(front, 30)
        asked_before = len(quarantine.claims_asked)
        await front.call("late", 5)
        asked = quarantine.claims_asked[asked_before:]
        for task in tasks:
            task.cancel()
        return asked

    assert run_virtual(scenario()) == [False]


@pytest.mark.parametrize(("others", "is_crowded"), [(0, False), (12, True)])
def test_what_targets_tell_with_their_answers_moves_the_limit(others, is_crowded):
    async def scenario():
        targets = TellingTargets(6, others)
        front = Front(targets, chooser_places=True)
        targets.context = front.context
        first_limit = front.front._rooms._service(DESK).room.limit.limit
        for number in range(6):
            await asyncio.gather(front.call(f"a{number}"), front.call(f"b{number}"))
        return first_limit, front.front._rooms._service(DESK).room.limit.limit

    first_limit, limit = run_virtual(scenario())
    assert limit < first_limit if is_crowded else limit > first_limit


def test_a_word_of_free_slots_lets_through_what_could_not_wait():
    async def scenario(age_seconds: float):
        targets = TellingTargets(6, 0)
        front = Front(targets, chooser_places=True)
        targets.context = front.context
        await front.call("tells")
        limit = front.front._rooms._service(DESK).room.limit
        limit.limit = limit.in_flight = 1
        await asyncio.sleep(age_seconds)
        return (await front.call("urgent", 1, left_seconds=0.06)).outcome

    assert isinstance(run_virtual(scenario(0.0)), TargetAnswer)
    assert isinstance(run_virtual(scenario(0.2)), NotRun)


def test_a_single_failure_is_repeated_and_many_are_not_multiplied():
    async def scenario(count: int):
        targets = FullTargets(1000)
        for number in range(count):
            targets.failing[f"r{number}"] = TargetFailed(True, "no whole answer: reset")
        front = Front(targets)
        for number in range(count):
            await front.call(f"r{number}")
        return len(targets.sends)

    assert run_virtual(scenario(1)) == 2
    assert run_virtual(scenario(200)) <= 200 + 10 + 2


def test_a_call_that_may_have_run_is_never_called_unrun():
    async def scenario():
        targets = FullTargets(4)
        targets.failing["r"] = TargetFailed(True, "no whole answer: reset")
        front = Front(targets)
        return (await front.call("r", once=True)).outcome, targets.ran

    outcome, ran = run_virtual(scenario())
    assert isinstance(outcome, MayHaveRun)
    assert ran == ["r"]


def test_what_is_told_of_a_room_names_tenants_and_waits():
    async def scenario():
        targets = FullTargets(4, work_seconds=1.5)
        front = Front(targets, places=False)
        tasks = [front.call(f"r{n}", tenant=f"t{n % 2}", left_seconds=9.0) for n in range(5)]
        await asyncio.sleep(1.1)
        for task in tasks:
            task.cancel()
        return front.seen

    [seen] = run_virtual(scenario())
    assert seen.service == DESK
    assert set(seen.tenant_shares) == {"t0", "t1"}
    assert json.dumps(seen.tenant_shares)
