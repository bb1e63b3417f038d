"""Items of jobs at engines that their owner shares with others, and that may leave."""

import asyncio
import math
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.items import item_starter
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.item_starter import ItemStarter
from rackswitch.gateway.items.step_ranks import SURPLUS_LIFE_SECONDS
from rackswitch.gateway.jobs.owned_job import OwnedJob, new_owned_job
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.jobs import EngineCapacity, EngineLoad, Job, JobItem, SlackOrder, TextPiece
from rackswitch.jobs.schedule import FIRST_PIECES_PER_TOKEN
from rackswitch.platform.item_runs import ItemRunEnd, ItemRunEnded
from rackswitch.platform.orders import EngineReport
from rackswitch.routing import ListedTarget, Target
from rackswitch.routing.reported_load import ReportedLoad
from rackswitch.standins.kv_store import KvStore
from rackswitch.table import (
    Handling,
    RouteChoice,
    RouteRow,
    ServiceRow,
    StoredRow,
    TableDocument,
    index_routes,
)

SLOTS = 6
PIECE_SECONDS = 0.04
TICK_SECONDS = 0.05
DRAIN_SECONDS = 3.0
OFF = PolicySettings(
    steps_by_slack=False,
    room_shared=False,
    memory_counted=False,
    urgency_told=False,
    runs_leave=False,
    runs_move=False,
)
ON = PolicySettings(runs_move=False, urgency_told=True)


def route(name: str, path: str, rank: int, handling: Handling = Handling.BATCH) -> StoredRow:
    row = RouteRow(
        name=name,
        choices=(RouteChoice(serves="s"),),
        host="h",
        path_prefix=path,
        handling=handling,
        caller_class=rank,
        due_seconds=7.5,
    )
    return StoredRow(1, row)


TABLE = TableDocument(
    1,
    {
        "route/first": route("first", "/first", 0),
        "route/second": route("second", "/second", 1),
        "service/s": StoredRow(1, ServiceRow(name="s", slots=SLOTS, models=("m",))),
    },
)


@dataclass
class SharedEngines:
    """Engines that several owners fill: a queue each, and a text of known pieces for each item."""

    lengths: dict[str, int]
    tells_load: bool = True
    running: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    queues: dict[str, list[asyncio.Event]] = field(default_factory=lambda: defaultdict(list))
    gone: set[str] = field(default_factory=set)
    at_work: dict[str, str] = field(default_factory=dict)
    requests: list = field(default_factory=list)
    max_queued: int = 0

    async def run(self, target, request, first_patience_seconds, next_patience_seconds):
        name, item = target.instance, request.item.item_id
        assert item not in self.at_work, "two engines work on one item"
        self.requests.append((name, request))
        if name in self.gone:
            yield ItemRunEnded(ItemRunEnd.SILENT, "cannot connect", was_sent=False)
            return
        self.at_work[item] = name
        try:
            await self._slot(name)
            try:
                if self.tells_load:
                    yield EngineLoad(self.running[name], len(self.queues[name]))
                for number in range(request.after_piece + 1, self.lengths[item] + 1):
                    await asyncio.sleep(PIECE_SECONDS)
                    if name in self.gone:
                        yield ItemRunEnded(ItemRunEnd.BROKEN, "reset")
                        return
                    yield TextPiece(number, f"{item}:{number}", 1)
                yield ItemRunEnded(ItemRunEnd.WHOLE)
            finally:
                self._free(name)
        finally:
            del self.at_work[item]

    async def _slot(self, name: str) -> None:
        if self.running[name] < SLOTS:
            self.running[name] += 1
            return
        turn = asyncio.Event()
        self.queues[name].append(turn)
        self.max_queued = max(self.max_queued, len(self.queues[name]))
        try:
            await turn.wait()
        except asyncio.CancelledError:
            if turn.is_set():
                self._free(name)
            else:
                self.queues[name].remove(turn)
            raise

    def _free(self, name: str) -> None:
        if self.queues[name]:
            self.queues[name].pop(0).set()
        else:
            self.running[name] -= 1


class Owner:
    """The item starter of one daemon, over engines that it shares."""

    def __init__(
        self,
        name: str,
        engines: SharedEngines,
        count: int,
        policy: PolicySettings,
        pace: float | None = 1.0,
    ):
        self.context = make_gateway_context(name, KvStore())
        self.context.settings = replace(self.context.settings, drain_seconds=DRAIN_SECONDS)
        self.context.policy = policy
        self.context.daemon.view.offer(TABLE)
        self.context.routes = index_routes(TABLE)
        for number in range(count):
            self.list_engine(f"e{number}")
        word = ReportedLoad(0, 0, SLOTS, pace, self.context.now_seconds())
        self.context.load_estimator.heard("of another engine@0", "s", word)
        paces = EnginePaces()
        self.runner = ItemRunner(self.context, engines, None, paces, NoQuarantine())
        self.wake = asyncio.Event()
        self.starter = ItemStarter(self.context, self.runner, self.wake)
        self.owned: dict[str, OwnedJob] = {}

    def list_engine(self, name: str, **given) -> None:
        listed = ListedTarget(name, "s", "h", 1, "z", SLOTS, versions={"m": 1}, **given)
        self.context.directory.put(listed)
        self.context.targets.setdefault(name, Target(name, listed.url, "z"))

    def own(self, job: Job) -> None:
        found = self.context.routes.find(job.host, job.path)
        now_seconds = self.context.now_seconds()
        self.owned[job.job_id] = new_owned_job(job, 1, [], found, now_seconds)

    async def work(self, seconds: float) -> None:
        """Look after the items as the job keeper does, for a time or until all are whole."""
        until_seconds = self.context.now_seconds() + seconds
        while self.context.now_seconds() < until_seconds and not self.is_whole():
            self.starter.start_items(self.owned)
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), TICK_SECONDS)
            except TimeoutError:
                continue

    def is_whole(self) -> bool:
        return all(
            progress.result is not None
            for owned in self.owned.values()
            for progress in owned.ledger.items.values()
        )


def make_step(job_id: str, lengths: list[int], path: str = "/first", wanted: int = 0) -> Job:
    items = tuple(
        JobItem(
            item_id=f"{job_id}-{number}",
            path=path,
            headers=(),
            body=b"",
            tokens=100_000,
            expected_tokens=pieces / FIRST_PIECES_PER_TOKEN,
            group=f"g{number}",
        )
        for number, pieces in enumerate(lengths)
    )
    return Job(job_id=job_id, host="h", path=path, items=items, model="m", wanted_groups=wanted)


def lengths_of(*jobs: Job) -> dict[str, int]:
    return {
        item.item_id: round(item.expected_tokens * FIRST_PIECES_PER_TOKEN)
        for job in jobs
        for item in job.items
    }


def check_texts(owner: Owner, engines: SharedEngines) -> None:
    for owned in owner.owned.values():
        for item_id, progress in owned.ledger.items.items():
            wanted = [f"{item_id}:{n}" for n in range(1, engines.lengths[item_id] + 1)]
            assert progress.result is not None
            assert progress.result.completed
            assert progress.result.text.split("\n") == wanted


@pytest.mark.parametrize(
    ("policy", "pace", "moves"), [(ON, 1.0, True), (OFF, 1.0, False), (ON, None, False)]
)
def test_a_long_run_leaves_an_engine_before_its_end_and_a_short_one_stays(policy, pace, moves):
    async def scenario():
        step = make_step("j", [120, 40])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, policy, pace)
        owner.own(step)
        await owner.work(0.5)
        owner.list_engine("e0", draining=True)
        owner.list_engine("e1")
        await owner.work(DRAIN_SECONDS - 0.01)
        engines.gone.add("e0")
        at_notice_end = [(name, request.item.item_id) for name, request in engines.requests]
        await owner.work(10.0)
        check_texts(owner, engines)
        return at_notice_end, engines.requests

    at_notice_end, requests = run_virtual(scenario())
    assert at_notice_end[:2] == [("e0", "j-0"), ("e0", "j-1")]
    assert at_notice_end[2:] == ([("e1", "j-0")] if moves else [])
    # It goes on behind its last piece, whether it left or was broken.
    assert requests[-1][0] == "e1"
    assert requests[-1][1].after_piece > 0


def test_what_an_engine_says_is_left_goes_before_the_usual_bound():
    async def scenario():
        step = make_step("j", [50])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.own(step)
        await owner.work(0.1)
        owner.list_engine("e0", draining=True, leaving_in_seconds=1.0)
        owner.list_engine("e1")
        await owner.work(0.2)
        return [name for name, _ in engines.requests]

    assert run_virtual(scenario()) == ["e0", "e1"]


def test_an_engine_whose_entry_goes_without_a_word_is_left_too():
    async def scenario():
        step = make_step("j", [150])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.own(step)
        await owner.work(0.1)
        owner.list_engine("e1")
        owner.context.directory.disown("e0")
        await owner.work(10.0)
        check_texts(owner, engines)
        return [name for name, _ in engines.requests]

    assert run_virtual(scenario()) == ["e0", "e1"]


@pytest.mark.parametrize(("single_version", "wanted"), [(False, ["e0", "e1"]), (True, ["e0"])])
def test_a_text_that_one_version_must_make_stays_and_no_item_is_blamed(
    monkeypatch, single_version, wanted
):
    blamed = []
    monkeypatch.setattr(NoQuarantine, "broke", lambda *given: blamed.append(given))

    async def scenario():
        step = make_step("j", [150])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.own(step)
        owner.owned["j"].ledger.single_version = single_version
        await owner.work(0.1)
        owner.list_engine("e0", draining=True)
        owner.list_engine("e1")
        await owner.work(1.0)
        return [name for name, _ in engines.requests]

    assert run_virtual(scenario()) == wanted
    assert blamed == []


def test_a_timeout_that_is_not_the_runs_own_goes_on_up(monkeypatch):
    async def fail(*given):
        raise TimeoutError

    async def scenario():
        step = make_step("j", [10])
        owner = Owner("a", SharedEngines(lengths_of(step)), 1, ON)
        owner.own(step)
        monkeypatch.setattr(ItemRunner, "_stream", fail)
        ledger = owner.owned["j"].ledger
        with pytest.raises(TimeoutError):
            await owner.runner.run(
                ledger, ledger.items["j-0"], owner.context.directory.entries["e0"]
            )
        assert owner.runner.own_runs.by_start == {}

    run_virtual(scenario())


def test_runs_leave_only_as_fast_as_there_are_free_slots():
    async def scenario():
        leaving, full = make_step("j", [150] * SLOTS), make_step("k", [150] * (SLOTS - 2))
        engines = SharedEngines(lengths_of(leaving, full))
        owner = Owner("a", engines, 1, ON)
        owner.own(leaving)
        await owner.work(0.1)
        owner.list_engine("e1")
        owner.own(full)
        await owner.work(0.3)
        owner.list_engine("e0", draining=True)
        await owner.work(1.0)
        return [name for name, _ in engines.requests][2 * SLOTS - 2 :], engines.max_queued

    assert run_virtual(scenario()) == (["e1", "e1"], 0)


def test_engines_are_told_slack_and_rank_and_the_same_for_all_with_it_off():
    def told(policy: PolicySettings, pace: float | None = 1.0) -> dict[str, int]:
        async def scenario():
            # The least slack first: late already, soon late, in time.
            steps = [
                make_step("late", [250]),
                make_step("tight", [170]),
                make_step("easy", [10, 10, 90], wanted=2),
                make_step("second", [10], path="/second"),
            ]
            engines = SharedEngines(lengths_of(*steps))
            owner = Owner("a", engines, 2, policy, pace)
            for step in steps:
                owner.own(step)
            await owner.work(0.1)
            return {request.item.item_id: request.urgency for _, request in engines.requests}

        return run_virtual(scenario())

    levels = told(ON)
    in_order = ["late-0", "tight-0", "easy-0", "second-0", "easy-2"]
    assert sorted(in_order, key=lambda item: levels[item]) == in_order
    assert len({levels[item] for item in in_order}) == len(in_order)
    assert set(told(OFF).values()) == {5}
    assert set(told(ON, pace=None).values()) == {5}


def test_two_owners_fill_shared_engines_without_long_queues():
    def max_queued(policy: PolicySettings) -> int:
        async def scenario():
            steps = [make_step(name, [30] * 20) for name in ("j", "k")]
            engines = SharedEngines(lengths_of(*steps))
            owners = [Owner(step.job_id, engines, 2, policy) for step in steps]
            # The first fills the engines; the second learns of that by its first runs.
            owners[0].own(steps[0])
            first = asyncio.create_task(owners[0].work(30.0))
            await asyncio.sleep(0.3)
            owners[1].own(steps[1])
            await asyncio.gather(first, owners[1].work(30.0))
            for owner in owners:
                check_texts(owner, engines)
            return engines.max_queued

        return run_virtual(scenario())

    assert max_queued(OFF) >= SLOTS
    # Before any word of an engine there is nothing to go by, so the first ones are sent at once.
    assert max_queued(ON) <= SLOTS


def test_an_engines_report_tells_of_its_memory_and_large_items_go_elsewhere():
    async def scenario():
        step = make_step("j", [100, 100])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 2, ON)
        small, large = (owner.context.directory.entries[name] for name in ("e0", "e1"))
        for target, total in ((small, 6000), (large, 60_000)):
            report = EngineReport({"m": 1}, False, 0, 0, 1, 500, total)
            owner.runner.occupancy.heard(target.instance, EngineLoad(1, 0), 0.0)
            owner.runner.hear_memory(target, report)
        owner.runner.paces.note(large.start, 0.08, owner.context.now_seconds())
        owner.own(step)
        await owner.work(0.1)
        return sorted(name for name, _ in engines.requests)

    # Each item will hold 5,000 tokens: one fits the small one, which is the faster.
    assert run_virtual(scenario()) == ["e0", "e1"]


@pytest.mark.parametrize(("policy", "pace"), [(OFF, 1.0), (OFF, None), (ON, None)])
def test_switched_off_or_without_a_pace_the_plan_is_made_from_what_it_was(
    monkeypatch, policy, pace
):
    """Slots less own runs, others' runs while their word is new, no order and no memory."""
    seen = []

    def plan(ledgers, rooms, services, due, now, forecast, longest, rng, order, tokens_of):
        seen.append((list(rooms), due, longest, order, tokens_of))
        return []

    monkeypatch.setattr(item_starter, "plan_starts", plan)

    async def scenario():
        rng = random.Random(2)
        owner = Owner("a", SharedEngines({}), 4, policy, pace)
        owner.own(make_step("j", [10]))
        wanted = []
        for _ in range(30):
            now_seconds = owner.context.now_seconds()
            occupancy = owner.runner.occupancy
            rooms = []
            for listed in owner.context.directory.usable("s", now_seconds):
                if rng.random() < 0.5:
                    occupancy.own[listed.instance] = rng.randint(0, SLOTS)
                if rng.random() < 0.3:
                    load = EngineLoad(rng.randint(0, SLOTS), rng.randint(0, 3))
                    occupancy.heard(listed.instance, load, now_seconds)
                    report = EngineReport({"m": 1}, False, 0, 0, 0, 900, 1000)
                    owner.runner.hear_memory(listed, report)
                own = occupancy.own.get(listed.instance, 0)
                others = occupancy.others(listed.instance, now_seconds)
                rooms.append((listed.instance, SLOTS - own, own + others))
            owner.starter.start_items(owner.owned)
            wanted.append(rooms)
            await asyncio.sleep(rng.uniform(0.1, 0.9))
        return wanted, {"j": owner.owned["j"].due_seconds}

    wanted, due = run_virtual(scenario())
    for (rooms, told_due, longest, order, tokens_of), expected in zip(seen, wanted, strict=True):
        assert [(room.instance, room.free_slots, room.runs) for room in rooms] == expected
        assert all(room.slots == SLOTS and room.free_tokens == math.inf for room in rooms)
        assert (told_due, longest, order, tokens_of) == (due, True, None, None)


def test_with_a_pace_told_the_plan_is_made_with_order_room_and_memory(monkeypatch):
    seen = []

    def plan(ledgers, rooms, services, due, now, forecast, longest, rng, order, tokens_of):
        seen.append((rooms[0].free_slots, rooms[0].free_tokens, order, tokens_of))
        return []

    monkeypatch.setattr(item_starter, "plan_starts", plan)

    async def scenario():
        owner = Owner("a", SharedEngines({}), 1, ON)
        owner.own(make_step("j", [10]))
        listed = owner.context.directory.entries["e0"]
        owner.runner.occupancy.heard("e0", EngineLoad(4, 0), owner.context.now_seconds())
        report = EngineReport({"m": 1}, False, 0, 0, 4, 900, 1000)
        owner.runner.hear_memory(listed, report)
        owner.starter.start_items(owner.owned)

    run_virtual(scenario())
    [(free_slots, free_tokens, order, tokens_of)] = seen
    assert (free_slots, free_tokens) == (SLOTS - 4, 100)
    assert isinstance(order, SlackOrder)
    assert tokens_of is not None


def test_which_groups_are_surplus_is_found_anew_after_a_while():
    async def scenario():
        step = make_step("j", [10, 20, 30], wanted=2)
        owner = Owner("a", SharedEngines({}), 1, ON)
        owner.own(step)
        ledger = owner.owned["j"].ledger
        surplus = []
        for seconds in (0.0, SURPLUS_LIFE_SECONDS - 0.01, 0.02):
            await asyncio.sleep(seconds)
            order = owner.starter._ranks.order(owner.owned, {"j": "s"}, [], owner.runner.forecast)
            items = ledger.items.items()
            surplus.append([key for key, item in items if order.is_surplus(ledger, item)])
            ledger.items["j-1"].pieces = ["x"] * 100
        return surplus

    assert run_virtual(scenario()) == [["j-2"], ["j-2"], ["j-1"]]


def test_only_the_services_whose_engines_tell_their_pace_are_shared(monkeypatch):
    seen = {}

    def plan(ledgers, rooms, services, due, now, forecast, longest, rng, order, tokens_of):
        free = {room.service: room.free_slots for room in rooms}
        for service in services.values():
            seen[service] = (free[service], order is not None, tokens_of is not None)
        return []

    monkeypatch.setattr(item_starter, "plan_starts", plan)

    async def scenario():
        owner = Owner("a", SharedEngines({}), 1, ON)
        other = replace(owner.context.directory.entries["e0"], instance="t0", service="t")
        owner.context.directory.put(other)
        owner.context.targets["t0"] = Target("t0", other.url, "z")
        row = RouteRow(
            name="third",
            choices=(RouteChoice(serves="t"),),
            host="h",
            path_prefix="/third",
            handling=Handling.BATCH,
        )
        table = TableDocument(1, {**TABLE.rows, "route/third": StoredRow(1, row)})
        owner.context.routes = index_routes(table)
        owner.own(make_step("j", [10]))
        owner.own(make_step("k", [10], path="/third"))
        for name in ("e0", "t0"):
            owner.runner.occupancy.heard(name, EngineLoad(4, 0), owner.context.now_seconds())
        await asyncio.sleep(2.0)
        owner.starter.start_items(owner.owned)

    run_virtual(scenario())
    assert seen == {"s": (SLOTS - 4, True, True), "t": (SLOTS, False, False)}


def test_an_old_word_that_an_engine_is_full_keeps_no_large_item_and_no_move_from_it():
    async def scenario():
        step = make_step("j", [100])
        owner = Owner("a", SharedEngines(lengths_of(step)), 1, ON)
        listed = owner.context.directory.entries["e0"]
        owner.runner.occupancy.heard("e0", EngineLoad(SLOTS, 0), owner.context.now_seconds())
        owner.runner.hear_memory(listed, EngineReport({"m": 1}, False, 0, 0, SLOTS, 900, 1000))
        spare = []
        for seconds in (0.1, 2.0):
            await asyncio.sleep(seconds)
            owner.own(make_step("none", []))
            owner.starter.start_items(owner.owned)
            spare.append(set(owner.runner.spare))
        owner.owned = {}
        owner.own(step)
        await owner.work(0.2)
        return spare, [name for name, _ in owner.runner._engines.requests]

    # The item will hold 5,000 tokens, more than the engine has: it refuses that itself.
    assert run_virtual(scenario()) == ([set(), {"s"}], ["e0"])


@pytest.mark.parametrize("policy", [ON, OFF])
@pytest.mark.parametrize("seed", range(6))
def test_engines_lost_with_a_third_of_all_runs_cost_no_text(seed, policy):
    """Some say that they leave, some do not; one comes back, and loads weights at first."""

    async def scenario():
        rng = random.Random(seed)
        steps = [
            make_step(
                f"j{n}",
                [rng.choice([5, 20, 30, 120]) for _ in range(12)],
                rng.choice(["/first", "/second"]),
                rng.choice([0, 9]),
            )
            for n in range(4)
        ]
        engines = SharedEngines(lengths_of(*steps))
        owners = [Owner(f"d{n}", engines, 6, policy) for n in range(2)]
        for number, step in enumerate(steps):
            owners[number % 2].own(step)
        works = [asyncio.create_task(owner.work(60.0)) for owner in owners]
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        lost = rng.sample([f"e{n}" for n in range(6)], 2)
        for name in lost:
            if rng.random() < 0.5:
                for owner in owners:
                    owner.list_engine(name, draining=True, leaving_in_seconds=rng.choice([None, 1]))
        for owner in owners:
            loading = rng.choice([name for name in owner.context.directory.entries])
            owner.context.loads.told(loading, "m", 1, owner.context.now_seconds())
        await asyncio.sleep(rng.uniform(0.5, 2.5))
        engines.gone.update(lost)
        await asyncio.sleep(0.5)
        for owner in owners:
            for name in lost:
                owner.context.directory.disown(name)
        await asyncio.gather(*works)
        for owner in owners:
            check_texts(owner, engines)
            assert owner.runner.own_runs.by_start == {}
            assert all(count == 0 for count in owner.runner.occupancy.own.values())

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_no_engine_is_idle_for_long_beside_waiting_items(seed):
    """Owners with old words, some items surplus: each free slot is soon used again.

    Within 0.1 s and two looks: so no item starves beside an engine that may run it.
    """

    async def scenario():
        rng = random.Random(seed)
        steps = [
            make_step(f"j{n}", [rng.choice([5, 20, 60]) for _ in range(60)], wanted=20 * n)
            for n in range(3)
        ]
        engines = SharedEngines(lengths_of(*steps))
        owners = [Owner(f"d{n}", engines, 3, ON) for n in range(3)]
        for owner, step in zip(owners, steps, strict=True):
            owner.own(step)
        works = [asyncio.create_task(owner.work(60.0)) for owner in owners]
        idle_seconds: dict[str, float] = defaultdict(float)
        worst_seconds = 0.0
        while not all(work.done() for work in works):
            await asyncio.sleep(0.01)
            now_seconds = owners[0].context.now_seconds()
            waits = any(
                owned.ledger.waiting(now_seconds)
                for owner in owners
                for owned in owner.owned.values()
            )
            for name in ("e0", "e1", "e2"):
                is_idle = waits and engines.running[name] < SLOTS
                idle_seconds[name] = idle_seconds[name] + 0.01 if is_idle else 0.0
                worst_seconds = max(worst_seconds, idle_seconds[name])
        for owner in owners:
            check_texts(owner, engines)
        return worst_seconds

    assert run_virtual(scenario()) <= 0.1 + 2 * TICK_SECONDS


def test_msgspec_reads_an_item_of_a_daemon_that_knows_no_prompt_tokens():
    item = make_step("j", [1]).items[0]
    fields = msgspec.json.decode(msgspec.json.encode(item))
    assert msgspec.convert(fields[:-1], JobItem) == item


def test_a_slot_is_kept_for_a_run_that_has_left_until_it_may_start_again():
    async def scenario():
        step = make_step("j", [150])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.own(step)
        await owner.work(0.5)
        owner.list_engine("e0", draining=True)
        free_slots = []
        for _ in range(3):
            now_seconds = owner.context.now_seconds()
            rooms = [EngineCapacity("e1", "s", 1, PIECE_SECONDS, {"m": 1}, SLOTS, SLOTS - 1)]
            order = owner.starter._ranks.order(
                owner.owned, {"j": "s"}, rooms, owner.runner.forecast
            )
            owner.starter._leave_watch.move_runs(rooms, order, frozenset({"s"}), now_seconds)
            free_slots.append(rooms[0].free_slots)
            await asyncio.sleep(0.03)
        return free_slots

    # Planned; kept while the item pauses; free again for the plan that starts it.
    assert run_virtual(scenario()) == [0, 0, 1]
