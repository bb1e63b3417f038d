"""The capacity of an engine, limited by slots and memory."""

import math
import random

import msgspec
import pytest

from rackswitch.jobs import (
    BEGIN_TIMEOUT_SECONDS,
    EngineCapacity,
    EngineLoad,
    EngineMemory,
    EngineOccupancy,
    ItemProgress,
    JobItem,
    JobLedger,
    LengthForecast,
    LocalRun,
    LocalRuns,
    TextPiece,
    free_capacity,
    item_tokens,
    plan_starts,
    tokens_at_end,
    tokens_held,
)
from rackswitch.jobs.schedule import INITIAL_PIECES_PER_TOKEN
from rackswitch.jobs.tests.support import make_job


def make_item_with_tokens(
    name: str, prompt: int, expected: float, max_out: int = 100_000, group: str = "g"
) -> JobItem:
    return JobItem(
        item_id=name,
        path="/",
        headers=(),
        body=b"",
        tokens=prompt + max_out,
        expected_tokens=expected,
        group=group,
        prompt_tokens=prompt,
    )


def make_ledger_with_items(items: list[JobItem]) -> JobLedger:
    return JobLedger(msgspec.structs.replace(make_job(), items=tuple(items)))


def runs_of(ledger: JobLedger) -> list[LocalRun]:
    return [LocalRun(ledger, progress, "e", "e@1", 0.0) for progress in ledger.items.values()]


def test_run_uses_memory_for_its_prompt_and_its_text():
    forecast = LengthForecast()
    progress = ItemProgress(make_item_with_tokens("a", 1000, 500.0))
    assert item_tokens(progress, forecast) == pytest.approx(1500.0)
    progress.pieces = ["x"] * 40
    # A text longer than expected is forecast to grow by half its present length.
    assert item_tokens(progress, forecast) == pytest.approx(1000 + 60 / INITIAL_PIECES_PER_TOKEN)


def test_text_length_is_limited_and_equals_the_limit_without_an_estimate():
    forecast = LengthForecast()
    limited = ItemProgress(make_item_with_tokens("a", 1000, 500.0, max_out=200))
    assert item_tokens(limited, forecast) == 1200
    without_estimate = ItemProgress(make_item_with_tokens("a", 1000, 0.0, max_out=300))
    assert item_tokens(without_estimate, forecast) == 1300


def test_prompt_of_a_group_is_counted_once():
    forecast = LengthForecast()
    ledger = make_ledger_with_items(
        [
            make_item_with_tokens("a", 1000, 500.0),
            make_item_with_tokens("b", 1000, 500.0),
            make_item_with_tokens("c", 260, 100.0, group="h"),
        ]
    )
    runs = runs_of(ledger)
    assert tokens_held(runs, forecast) == 1260
    assert tokens_at_end(runs, forecast) == pytest.approx(1260 + 1100)
    ledger.items["a"].pieces = ["x"] * 5
    assert tokens_held(runs, forecast) == pytest.approx(1260 + 5 / INITIAL_PIECES_PER_TOKEN)


def test_memory_of_others_counts_until_the_report_expires():
    memory = EngineMemory()
    assert memory.free_tokens("e@1", 5000.0, 0.0) == math.inf
    memory.record_usage("e@1", 9000, 20_000, 4000.0, now_seconds=0.0)
    assert memory.free_tokens("e@1", 6000.0, 0.5) == 20_000 - 6000 - 5000
    assert memory.free_tokens("e@1", 6000.0, 5.0) == 20_000 - 6000
    # The report does not count for another start; a report without a total is ignored.
    assert memory.free_tokens("e@2", 0.0, 0.5) == math.inf
    memory.record_usage("e@2", 9000, 0, 0.0, 0.0)
    assert memory.free_tokens("e@2", 0.0, 0.5) == math.inf
    memory.keep_only(["e@2"])
    assert memory.free_tokens("e@1", 6000.0, 0.5) == math.inf


@pytest.mark.parametrize(
    ("own", "queued", "others", "slots"),
    [
        (0, 0, 0, 6),
        (2, 0, 0, 4),
        (2, 0, 3, 1),
        # Full by the last report: one run may be queued, whose start brings a new report.
        (2, 0, 4, 1),
        (0, 0, 9, 1),
        # A run is queued already, so no more follow, whatever the report said.
        (1, 1, 0, 0),
        (3, 2, 0, -1),
        # This owner's runs use all slots.
        (6, 0, 0, 0),
        (6, 0, 2, 0),
    ],
)
def test_owner_queues_at_most_one_run_beyond_the_free_slots(own, queued, others, slots):
    assert free_capacity(6, own, queued, others, math.inf).slots == slots


def test_without_sharing_each_owner_uses_all_slots():
    for own in range(7):
        capacity = free_capacity(
            6, own, own_queued=2, others_runs=5, free_tokens=9.0, is_shared=False
        )
        assert (capacity.slots, capacity.tokens) == (6 - own, 9.0)


def test_no_run_starts_where_memory_would_run_out():
    ledger = make_ledger_with_items([make_item_with_tokens(f"i{n}", 0, 4000.0) for n in range(6)])
    engines = [
        EngineCapacity("small", "s", 6, 0.04, {"m": 1}, 6, runs=1, free_tokens=9000.0),
        EngineCapacity("large", "s", 6, 0.08, {"m": 1}, 6, runs=1, free_tokens=90_000.0),
    ]
    forecast = LengthForecast()
    starts = plan_starts(
        [ledger], engines, {"j": "s"}, {"j": 0.0}, 0.0, tokens_of=lambda p: item_tokens(p, forecast)
    )
    instances = [start.instance for start in starts]
    assert instances.count("small") == 2
    assert instances.count("large") == 4


def test_memory_is_ignored_without_token_counts():
    ledger = make_ledger_with_items([make_item_with_tokens(f"i{n}", 0, 4000.0) for n in range(6)])
    engine = EngineCapacity("small", "s", 6, 0.04, {"m": 1}, 6, runs=1, free_tokens=0.0)
    assert len(plan_starts([ledger], [engine], {"j": "s"}, {"j": 0.0}, 0.0)) == 6


def test_idle_engine_accepts_a_run_that_exceeds_its_memory():
    ledger = make_ledger_with_items([make_item_with_tokens(f"i{n}", 0, 4000.0) for n in range(2)])
    engine = EngineCapacity("e", "s", 6, 0.04, {"m": 1}, 6, free_tokens=100.0)
    starts = plan_starts(
        [ledger], [engine], {"j": "s"}, {"j": 0.0}, 0.0, tokens_of=lambda progress: 4000.0
    )
    assert len(starts) == 1


def test_smaller_items_do_not_take_the_memory_reserved_for_a_large_one():
    """10 tokens are free at the only engine, and the item of 100 tokens comes first."""
    items = [make_item_with_tokens("large", 0, 100.0), make_item_with_tokens("tiny", 0, 5.0)]
    ledger = make_ledger_with_items(items)
    engines = [EngineCapacity("e", "s", 5, 0.04, {"m": 1}, 6, runs=1, free_tokens=10.0)]
    forecast = LengthForecast()

    def plan() -> list[str]:
        starts = plan_starts(
            [ledger], engines, {"j": "s"}, {"j": 0.0}, 0.0,
            tokens_of=lambda p: item_tokens(p, forecast),
        )  # fmt: skip
        return [start.progress.item.item_id for start in starts]

    assert plan() == []
    engines[0] = EngineCapacity("e", "s", 5, 0.04, {"m": 1}, 6, runs=1, free_tokens=105.0)
    assert plan() == ["large", "tiny"]


def test_run_without_a_piece_in_time_counts_as_queued():
    ledger = make_ledger_with_items(
        [make_item_with_tokens("a", 0, 10.0), make_item_with_tokens("b", 0, 10.0)]
    )
    runs = LocalRuns()
    for run in runs_of(ledger):
        runs.add(run)
    assert runs.queued_count("e@1", BEGIN_TIMEOUT_SECONDS / 2) == 0
    assert runs.queued_count("e@1", BEGIN_TIMEOUT_SECONDS) == 2
    ledger.items["a"].accept(TextPiece(1, "x", 1), 0)
    assert runs.queued_count("e@1", BEGIN_TIMEOUT_SECONDS) == 1
    for run in runs.runs_at("e@1"):
        runs.remove(run)
        runs.remove(run)
    assert runs.by_start == {}


class SharedEngine:
    """Starts runs as slots become free, and reports its load to the owner of each started run."""

    def __init__(self, slots: int):
        self.slots = slots
        self.running: list[tuple[int, int]] = []
        self.queue: list[tuple[int, int]] = []


def test_owners_with_outdated_reports_queue_few_runs_and_leave_no_slot_idle():
    """Several owners plan every 0.05 s; runs end at random."""
    rng = random.Random(11)
    slots, owners = 6, 4
    for _ in range(20):
        occupancies = [EngineOccupancy() for _ in range(owners)]
        engine = SharedEngine(slots)
        now_seconds, run_number, idle_ticks = 0.0, 0, 0
        for _ in range(400):
            now_seconds += 0.05
            engine.running = [run for run in engine.running if rng.random() > 0.06]
            for number, occupancy in enumerate(occupancies):
                own = sum(owner == number for owner, _ in engine.running + engine.queue)
                queued = sum(owner == number for owner, _ in engine.queue)
                occupancy.own_runs["e"] = own
                others = occupancy.last_reported_other_runs("e") or 0
                capacity = free_capacity(slots, own, queued, others, math.inf)
                for _ in range(max(0, capacity.slots)):
                    run_number += 1
                    engine.queue.append((number, run_number))
                while engine.queue and len(engine.running) < slots:
                    started_run = engine.queue.pop(0)
                    engine.running.append(started_run)
                    owner_occupancy = occupancies[started_run[0]]
                    owner_occupancy.own_runs["e"] = sum(
                        owner == started_run[0] for owner, _ in engine.running + engine.queue
                    )
                    owner_occupancy.record_load(
                        "e", EngineLoad(len(engine.running), len(engine.queue)), now_seconds
                    )
            # Each has at most one run queued, besides those sent before its first report.
            assert len(engine.queue) <= owners * slots
            idle_ticks = idle_ticks + 1 if len(engine.running) < slots else 0
            assert idle_ticks <= 2
        assert len(engine.queue) <= owners
