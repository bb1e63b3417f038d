"""Starting items at engines that several owners share, and moving runs from leaving engines."""

import asyncio
import math
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

import msgspec
import pytest

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.items import item_starter
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.item_starter import ItemStarter
from rackswitch.gateway.items.step_ranks import SURPLUS_LIFETIME_SECONDS
from rackswitch.gateway.jobs.owned_job import OwnedJob, new_owned_job
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.tests.support import NoQuarantine, make_gateway_context
from rackswitch.jobs import EngineCapacity, EngineLoad, Job, JobItem, SlackOrder, TextPiece
from rackswitch.jobs.schedule import INITIAL_PIECES_PER_TOKEN
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
    """Engines shared by several owners, each with a queue; every item has a fixed text."""

    lengths: dict[str, int]
    reports_load: bool = True
    running: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    waiters: dict[str, list[asyncio.Event]] = field(default_factory=lambda: defaultdict(list))
    ended_engines: set[str] = field(default_factory=set)
    engine_by_item: dict[str, str] = field(default_factory=dict)
    requests: list = field(default_factory=list)
    max_queued: int = 0

    async def run(self, target, request, first_piece_timeout_seconds, next_piece_timeout_seconds):
        name, item = target.instance, request.item.item_id
        assert item not in self.engine_by_item, "two engines work on one item"
        self.requests.append((name, request))
        if name in self.ended_engines:
            yield ItemRunEnded(ItemRunEnd.SILENT, "cannot connect", was_sent=False)
            return
        self.engine_by_item[item] = name
        try:
            await self._acquire_slot(name)
            try:
                if self.reports_load:
                    yield EngineLoad(self.running[name], len(self.waiters[name]))
                for number in range(request.after_piece + 1, self.lengths[item] + 1):
                    await asyncio.sleep(PIECE_SECONDS)
                    if name in self.ended_engines:
                        yield ItemRunEnded(ItemRunEnd.INTERRUPTED, "reset")
                        return
                    yield TextPiece(number, f"{item}:{number}", 1)
                yield ItemRunEnded(ItemRunEnd.COMPLETE)
            finally:
                self._release_slot(name)
        finally:
            del self.engine_by_item[item]

    async def _acquire_slot(self, name: str) -> None:
        if self.running[name] < SLOTS:
            self.running[name] += 1
            return
        slot_granted = asyncio.Event()
        self.waiters[name].append(slot_granted)
        self.max_queued = max(self.max_queued, len(self.waiters[name]))
        try:
            await slot_granted.wait()
        except asyncio.CancelledError:
            if slot_granted.is_set():
                self._release_slot(name)
            else:
                self.waiters[name].remove(slot_granted)
            raise

    def _release_slot(self, name: str) -> None:
        if self.waiters[name]:
            self.waiters[name].pop(0).set()
        else:
            self.running[name] -= 1


class Owner:
    """One daemon's item starter, with engines that it shares with other owners."""

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
        self.context.daemon.view.replace_if_newer(TABLE)
        self.context.routes = index_routes(TABLE)
        for number in range(count):
            self.list_engine(f"e{number}")
        reported_load = ReportedLoad(0, 0, SLOTS, pace, self.context.now_seconds())
        self.context.load_estimator.record_report("of another engine@0", "s", reported_load)
        paces = EnginePaces()
        self.runner = ItemRunner(self.context, engines, None, paces, NoQuarantine())
        self.wake = asyncio.Event()
        self.starter = ItemStarter(self.context, self.runner, self.wake)
        self.owned: dict[str, OwnedJob] = {}

    def change_first_route(self, **fields) -> None:
        """Put a table in force whose first route has these fields."""
        document = self.context.daemon.view.document
        revision = document.revision + 1
        row = msgspec.structs.replace(document.rows["route/first"].row, **fields)
        table = TableDocument(revision, {**document.rows, "route/first": StoredRow(revision, row)})
        self.context.daemon.view.replace_if_newer(table)
        self.context.routes = index_routes(table)

    def list_engine(self, name: str, **listing_fields) -> None:
        listed = ListedTarget(name, "s", "h", 1, "z", SLOTS, versions={"m": 1}, **listing_fields)
        self.context.directory.put(listed)
        self.context.targets.setdefault(name, Target(name, listed.url, "z"))

    def add_job(self, job: Job) -> None:
        found = self.context.routes.find(job.host, job.path)
        now_seconds = self.context.now_seconds()
        self.owned[job.job_id] = new_owned_job(job, 1, [], found, now_seconds)

    async def run_for(self, seconds: float) -> None:
        """Start items like the job manager, for a time or until all are complete."""
        until_seconds = self.context.now_seconds() + seconds
        while self.context.now_seconds() < until_seconds and not self.is_complete():
            self.starter.start_items(self.owned)
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), TICK_SECONDS)
            except TimeoutError:
                continue

    def is_complete(self) -> bool:
        return all(
            progress.result is not None
            for owned in self.owned.values()
            for progress in owned.ledger.items.values()
        )


def make_step(job_id: str, lengths: list[int], path: str = "/first", wanted_groups: int = 0) -> Job:
    items = tuple(
        JobItem(
            item_id=f"{job_id}-{number}",
            path=path,
            headers=(),
            body=b"",
            tokens=100_000,
            expected_tokens=pieces / INITIAL_PIECES_PER_TOKEN,
            group=f"g{number}",
        )
        for number, pieces in enumerate(lengths)
    )
    return Job(
        job_id=job_id, host="h", path=path, items=items, model="m", wanted_groups=wanted_groups
    )


def lengths_of(*jobs: Job) -> dict[str, int]:
    return {
        item.item_id: round(item.expected_tokens * INITIAL_PIECES_PER_TOKEN)
        for job in jobs
        for item in job.items
    }


def check_complete_texts(owner: Owner, engines: SharedEngines) -> None:
    for owned in owner.owned.values():
        for item_id, progress in owned.ledger.items.items():
            expected_pieces = [f"{item_id}:{n}" for n in range(1, engines.lengths[item_id] + 1)]
            assert progress.result is not None
            assert progress.result.completed
            assert progress.result.text.split("\n") == expected_pieces


@pytest.mark.parametrize(
    ("policy", "pace", "moves"), [(ON, 1.0, True), (OFF, 1.0, False), (ON, None, False)]
)
def test_moves_only_long_runs_from_a_leaving_engine(policy, pace, moves):
    async def scenario():
        step = make_step("j", [120, 40])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, policy, pace)
        owner.add_job(step)
        await owner.run_for(0.5)
        owner.list_engine("e0", draining=True)
        owner.list_engine("e1")
        await owner.run_for(DRAIN_SECONDS - 0.01)
        engines.ended_engines.add("e0")
        requests_at_notice_end = [
            (name, request.item.item_id) for name, request in engines.requests
        ]
        await owner.run_for(10.0)
        check_complete_texts(owner, engines)
        return requests_at_notice_end, engines.requests

    requests_at_notice_end, requests = run_on_virtual_clock(scenario())
    assert requests_at_notice_end[:2] == [("e0", "j-0"), ("e0", "j-1")]
    assert requests_at_notice_end[2:] == ([("e1", "j-0")] if moves else [])
    # The run continues after its last piece, whether it was moved or interrupted.
    assert requests[-1][0] == "e1"
    assert requests[-1][1].after_piece > 0


def test_a_stated_remaining_time_overrides_the_drain_time():
    async def scenario():
        step = make_step("j", [50])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.add_job(step)
        await owner.run_for(0.1)
        owner.list_engine("e0", draining=True, leaving_in_seconds=1.0)
        owner.list_engine("e1")
        await owner.run_for(0.2)
        return [name for name, _ in engines.requests]

    assert run_on_virtual_clock(scenario()) == ["e0", "e1"]


def test_moves_runs_from_an_engine_that_is_no_longer_listed():
    async def scenario():
        step = make_step("j", [150])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.add_job(step)
        await owner.run_for(0.1)
        owner.list_engine("e1")
        owner.context.directory.remove_replaced("e0")
        await owner.run_for(10.0)
        check_complete_texts(owner, engines)
        return [name for name, _ in engines.requests]

    assert run_on_virtual_clock(scenario()) == ["e0", "e1"]


@pytest.mark.parametrize(
    ("single_version", "expected_engines"), [(False, ["e0", "e1"]), (True, ["e0"])]
)
def test_keeps_single_version_texts_in_place_and_suspects_no_item(
    monkeypatch, single_version, expected_engines
):
    suspected = []
    monkeypatch.setattr(NoQuarantine, "record_failure", lambda *args: suspected.append(args))

    async def scenario():
        step = make_step("j", [150])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.change_first_route(single_version=single_version)
        owner.add_job(step)
        await owner.run_for(0.1)
        owner.list_engine("e0", draining=True)
        owner.list_engine("e1")
        await owner.run_for(1.0)
        return [name for name, _ in engines.requests]

    assert run_on_virtual_clock(scenario()) == expected_engines
    assert suspected == []


def test_a_timeout_inside_a_run_is_raised_to_the_caller(monkeypatch):
    async def fail(*args):
        raise TimeoutError

    async def scenario():
        step = make_step("j", [10])
        owner = Owner("a", SharedEngines(lengths_of(step)), 1, ON)
        owner.add_job(step)
        monkeypatch.setattr(ItemRunner, "_stream", fail)
        ledger = owner.owned["j"].ledger
        with pytest.raises(TimeoutError):
            await owner.runner.run(
                ledger, ledger.items["j-0"], owner.context.directory.entries["e0"]
            )
        assert owner.runner.own_runs.by_start == {}

    run_on_virtual_clock(scenario())


def test_moves_runs_only_to_free_slots():
    async def scenario():
        leaving, full = make_step("j", [150] * SLOTS), make_step("k", [150] * (SLOTS - 2))
        engines = SharedEngines(lengths_of(leaving, full))
        owner = Owner("a", engines, 1, ON)
        owner.add_job(leaving)
        await owner.run_for(0.1)
        owner.list_engine("e1")
        owner.add_job(full)
        await owner.run_for(0.3)
        owner.list_engine("e0", draining=True)
        await owner.run_for(1.0)
        return [name for name, _ in engines.requests][2 * SLOTS - 2 :], engines.max_queued

    assert run_on_virtual_clock(scenario()) == (["e1", "e1"], 0)


def test_sends_urgency_by_slack_and_rank_only_if_enabled():
    def urgencies_with(policy: PolicySettings, pace: float | None = 1.0) -> dict[str, int]:
        async def scenario():
            # By slack, least first: late already, soon late, in time.
            steps = [
                make_step("late", [250]),
                make_step("tight", [170]),
                make_step("easy", [10, 10, 90], wanted_groups=2),
                make_step("second", [10], path="/second"),
            ]
            engines = SharedEngines(lengths_of(*steps))
            owner = Owner("a", engines, 2, policy, pace)
            for step in steps:
                owner.add_job(step)
            await owner.run_for(0.1)
            return {request.item.item_id: request.urgency for _, request in engines.requests}

        return run_on_virtual_clock(scenario())

    urgencies = urgencies_with(ON)
    expected_order = ["late-0", "tight-0", "easy-0", "second-0", "easy-2"]
    assert sorted(expected_order, key=lambda item: urgencies[item]) == expected_order
    assert len({urgencies[item] for item in expected_order}) == len(expected_order)
    assert set(urgencies_with(OFF).values()) == {5}
    assert set(urgencies_with(ON, pace=None).values()) == {5}


def test_two_owners_fill_shared_engines_without_long_queues():
    def max_queued(policy: PolicySettings) -> int:
        async def scenario():
            steps = [make_step(name, [30] * 20) for name in ("j", "k")]
            engines = SharedEngines(lengths_of(*steps))
            owners = [Owner(step.job_id, engines, 2, policy) for step in steps]
            # The first owner fills the engines; the second finds out by its first runs.
            owners[0].add_job(steps[0])
            first_task = asyncio.create_task(owners[0].run_for(30.0))
            await asyncio.sleep(0.3)
            owners[1].add_job(steps[1])
            await asyncio.gather(first_task, owners[1].run_for(30.0))
            for owner in owners:
                check_complete_texts(owner, engines)
            return engines.max_queued

        return run_on_virtual_clock(scenario())

    assert max_queued(OFF) >= SLOTS
    # Without a load report, an owner sends its first runs at once.
    assert max_queued(ON) <= SLOTS


def test_starts_items_only_where_reported_memory_is_free():
    async def scenario():
        step = make_step("j", [100, 100])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 2, ON)
        small, large = (owner.context.directory.entries[name] for name in ("e0", "e1"))
        for target, total in ((small, 6000), (large, 60_000)):
            report = EngineReport({"m": 1}, False, 0, 0, 1, 500, total)
            owner.runner.occupancy.record_load(target.instance, EngineLoad(1, 0), 0.0)
            owner.runner.record_memory(target, report)
        owner.runner.paces.record_interval(large.start, 0.08, owner.context.now_seconds())
        owner.add_job(step)
        await owner.run_for(0.1)
        return sorted(name for name, _ in engines.requests)

    # Each item will use 5,000 tokens: the faster engine has memory for only one.
    assert run_on_virtual_clock(scenario()) == ["e0", "e1"]


@pytest.mark.parametrize(("policy", "pace"), [(OFF, 1.0), (OFF, None), (ON, None)])
def test_plans_without_order_and_memory_if_disabled_or_without_a_pace(monkeypatch, policy, pace):
    """Capacities are slots less own runs, with others' runs only while their report is current."""
    plan_calls = []

    def plan(ledgers, capacities, services, due, now, forecast, longest, rng, order, tokens_of):
        plan_calls.append((list(capacities), due, longest, order, tokens_of))
        return []

    monkeypatch.setattr(item_starter, "plan_starts", plan)
    # No item starts, so they become overdue.
    monkeypatch.setattr(item_starter, "plan_overdue_starts", lambda *args: [])

    async def scenario():
        rng = random.Random(2)
        owner = Owner("a", SharedEngines({}), 4, policy, pace)
        owner.add_job(make_step("j", [10]))
        expected_capacities = []
        for _ in range(30):
            now_seconds = owner.context.now_seconds()
            occupancy = owner.runner.occupancy
            capacities = []
            for listed in owner.context.directory.usable("s", now_seconds):
                if rng.random() < 0.5:
                    occupancy.own_runs[listed.instance] = rng.randint(0, SLOTS)
                if rng.random() < 0.3:
                    load = EngineLoad(rng.randint(0, SLOTS), rng.randint(0, 3))
                    occupancy.record_load(listed.instance, load, now_seconds)
                    report = EngineReport({"m": 1}, False, 0, 0, 0, 900, 1000)
                    owner.runner.record_memory(listed, report)
                own_count = occupancy.own_runs.get(listed.instance, 0)
                others = occupancy.other_runs(listed.instance, now_seconds)
                capacities.append((listed.instance, SLOTS - own_count, own_count + others))
            owner.starter.start_items(owner.owned)
            expected_capacities.append(capacities)
            await asyncio.sleep(rng.uniform(0.1, 0.9))
        return expected_capacities, {"j": owner.owned["j"].due_seconds}

    expected_capacities, due = run_on_virtual_clock(scenario())
    for (capacities, planned_due_seconds, longest, order, tokens_of), expected in zip(
        plan_calls, expected_capacities, strict=True
    ):
        assert [
            (capacity.instance, capacity.free_slots, capacity.runs) for capacity in capacities
        ] == expected
        assert all(
            capacity.slots == SLOTS and capacity.free_tokens == math.inf for capacity in capacities
        )
        assert (planned_due_seconds, longest, order, tokens_of) == (due, True, None, None)


def test_plans_with_order_capacity_and_memory_if_engines_report_a_pace(monkeypatch):
    plan_calls = []

    def plan(ledgers, capacities, services, due, now, forecast, longest, rng, order, tokens_of):
        plan_calls.append((capacities[0].free_slots, capacities[0].free_tokens, order, tokens_of))
        return []

    monkeypatch.setattr(item_starter, "plan_starts", plan)

    async def scenario():
        owner = Owner("a", SharedEngines({}), 1, ON)
        owner.add_job(make_step("j", [10]))
        listed = owner.context.directory.entries["e0"]
        owner.runner.occupancy.record_load("e0", EngineLoad(4, 0), owner.context.now_seconds())
        report = EngineReport({"m": 1}, False, 0, 0, 4, 900, 1000)
        owner.runner.record_memory(listed, report)
        owner.starter.start_items(owner.owned)

    run_on_virtual_clock(scenario())
    [(free_slots, free_tokens, order, tokens_of)] = plan_calls
    assert (free_slots, free_tokens) == (SLOTS - 4, 100)
    assert isinstance(order, SlackOrder)
    assert tokens_of is not None


def test_surplus_groups_are_recomputed_after_their_lifetime():
    async def scenario():
        step = make_step("j", [10, 20, 30], wanted_groups=2)
        owner = Owner("a", SharedEngines({}), 1, ON)
        owner.add_job(step)
        ledger = owner.owned["j"].ledger
        surplus = []
        for seconds in (0.0, SURPLUS_LIFETIME_SECONDS - 0.01, 0.02):
            await asyncio.sleep(seconds)
            order = owner.starter._step_ranks.order(
                owner.owned, {"j": "s"}, [], owner.runner.forecast
            )
            items = ledger.items.items()
            surplus.append([key for key, item in items if order.is_surplus(ledger, item)])
            ledger.items["j-1"].pieces = ["x"] * 100
        return surplus

    assert run_on_virtual_clock(scenario()) == [["j-2"], ["j-2"], ["j-1"]]


def test_only_services_with_reported_paces_share_engines(monkeypatch):
    planned_by_service = {}

    def plan(ledgers, capacities, services, due, now, forecast, longest, rng, order, tokens_of):
        free = {capacity.service: capacity.free_slots for capacity in capacities}
        for service in services.values():
            planned_by_service[service] = (free[service], order is not None, tokens_of is not None)
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
        owner.add_job(make_step("j", [10]))
        owner.add_job(make_step("k", [10], path="/third"))
        for name in ("e0", "t0"):
            owner.runner.occupancy.record_load(name, EngineLoad(4, 0), owner.context.now_seconds())
        await asyncio.sleep(2.0)
        owner.starter.start_items(owner.owned)

    run_on_virtual_clock(scenario())
    assert planned_by_service == {"s": (SLOTS - 4, True, True), "t": (SLOTS, False, False)}


def test_an_outdated_load_report_blocks_no_item_and_no_move():
    async def scenario():
        step = make_step("j", [100])
        owner = Owner("a", SharedEngines(lengths_of(step)), 1, ON)
        listed = owner.context.directory.entries["e0"]
        owner.runner.occupancy.record_load("e0", EngineLoad(SLOTS, 0), owner.context.now_seconds())
        owner.runner.record_memory(listed, EngineReport({"m": 1}, False, 0, 0, SLOTS, 900, 1000))
        spare = []
        for seconds in (0.1, 2.0):
            await asyncio.sleep(seconds)
            owner.add_job(make_step("none", []))
            owner.starter.start_items(owner.owned)
            spare.append(set(owner.runner.spare))
        owner.owned = {}
        owner.add_job(step)
        await owner.run_for(0.2)
        return spare, [name for name, _ in owner.runner._item_client.requests]

    # The item will use 5,000 tokens, more than the engine has: the engine itself refuses it.
    assert run_on_virtual_clock(scenario()) == ([set(), {"s"}], ["e0"])


@pytest.mark.parametrize("policy", [ON, OFF])
@pytest.mark.parametrize("seed", range(6))
def test_completes_all_texts_although_engines_end(seed, policy):
    """Some engines announce their end and some do not; others load weights meanwhile."""

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
            owners[number % 2].add_job(step)
        owner_tasks = [asyncio.create_task(owner.run_for(60.0)) for owner in owners]
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        ended_names = rng.sample([f"e{n}" for n in range(6)], 2)
        for name in ended_names:
            if rng.random() < 0.5:
                for owner in owners:
                    owner.list_engine(name, draining=True, leaving_in_seconds=rng.choice([None, 1]))
        for owner in owners:
            loading_engine = rng.choice([name for name in owner.context.directory.entries])
            owner.context.loads.record_order(loading_engine, "m", 1, owner.context.now_seconds())
        await asyncio.sleep(rng.uniform(0.5, 2.5))
        engines.ended_engines.update(ended_names)
        await asyncio.sleep(0.5)
        for owner in owners:
            for name in ended_names:
                owner.context.directory.remove_replaced(name)
        await asyncio.gather(*owner_tasks)
        for owner in owners:
            check_complete_texts(owner, engines)
            assert owner.runner.own_runs.by_start == {}
            assert all(count == 0 for count in owner.runner.occupancy.own_runs.values())

    run_on_virtual_clock(scenario())


@pytest.mark.parametrize("seed", range(4))
def test_no_engine_idles_for_long_while_items_wait(seed):
    """Guards against items that starve although an engine is free.

    The owners have outdated load reports, and some items are surplus. The bound is 0.1 s and two
    ticks.
    """

    async def scenario():
        rng = random.Random(seed)
        steps = [
            make_step(f"j{n}", [rng.choice([5, 20, 60]) for _ in range(60)], wanted_groups=20 * n)
            for n in range(3)
        ]
        engines = SharedEngines(lengths_of(*steps))
        owners = [Owner(f"d{n}", engines, 3, ON) for n in range(3)]
        for owner, step in zip(owners, steps, strict=True):
            owner.add_job(step)
        owner_tasks = [asyncio.create_task(owner.run_for(60.0)) for owner in owners]
        idle_seconds: dict[str, float] = defaultdict(float)
        worst_seconds = 0.0
        while not all(task.done() for task in owner_tasks):
            await asyncio.sleep(0.01)
            now_seconds = owners[0].context.now_seconds()
            items_wait = any(
                owned.ledger.startable_items(now_seconds)
                for owner in owners
                for owned in owner.owned.values()
            )
            for name in ("e0", "e1", "e2"):
                is_idle = items_wait and engines.running[name] < SLOTS
                idle_seconds[name] = idle_seconds[name] + 0.01 if is_idle else 0.0
                worst_seconds = max(worst_seconds, idle_seconds[name])
        for owner in owners:
            check_complete_texts(owner, engines)
        return worst_seconds

    assert run_on_virtual_clock(scenario()) <= 0.1 + 2 * TICK_SECONDS


def test_decodes_an_item_without_prompt_tokens():
    item = make_step("j", [1]).items[0]
    fields = msgspec.json.decode(msgspec.json.encode(item))
    assert msgspec.convert(fields[:-1], JobItem) == item


def test_reserves_a_slot_for_a_moved_run_until_its_item_may_start_again():
    async def scenario():
        step = make_step("j", [150])
        engines = SharedEngines(lengths_of(step))
        owner = Owner("a", engines, 1, ON)
        owner.add_job(step)
        await owner.run_for(0.5)
        owner.list_engine("e0", draining=True)
        free_slots = []
        for _ in range(3):
            now_seconds = owner.context.now_seconds()
            capacities = [EngineCapacity("e1", "s", 1, PIECE_SECONDS, {"m": 1}, SLOTS, SLOTS - 1)]
            order = owner.starter._step_ranks.order(
                owner.owned, {"j": "s"}, capacities, owner.runner.forecast
            )
            owner.starter._leaving_run_mover.move_runs(
                capacities, order, frozenset({"s"}), now_seconds
            )
            free_slots.append(capacities[0].free_slots)
            await asyncio.sleep(0.03)
        return free_slots

    # Planned; reserved during the retry delay; free again for the plan that starts the item.
    assert run_on_virtual_clock(scenario()) == [0, 0, 1]
