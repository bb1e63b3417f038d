"""Slots and memory, the two bounds of an engine's room."""

import math
import random

import msgspec
import pytest

from rackswitch.jobs import (
    BEGIN_PATIENCE_SECONDS,
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
from rackswitch.jobs.schedule import FIRST_PIECES_PER_TOKEN
from rackswitch.jobs.tests.support import make_job


def make_tokens_item(
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


def make_tokens_ledger(items: list[JobItem]) -> JobLedger:
    return JobLedger(msgspec.structs.replace(make_job(), items=tuple(items)))


def runs_of(ledger: JobLedger) -> list[LocalRun]:
    return [LocalRun(ledger, progress, "e", "e@1", 0.0) for progress in ledger.items.values()]


def test_a_run_holds_its_prompt_and_its_text():
    forecast = LengthForecast()
    progress = ItemProgress(make_tokens_item("a", 1000, 500.0))
    assert item_tokens(progress, forecast) == pytest.approx(1500.0)
    progress.pieces = ["x"] * 40
    # It is longer than expected: half of what is there is taken to be still lacking.
    assert item_tokens(progress, forecast) == pytest.approx(1000 + 60 / FIRST_PIECES_PER_TOKEN)


def test_a_text_does_not_become_longer_than_it_may_and_without_a_guess_it_becomes_so_long():
    forecast = LengthForecast()
    bounded = ItemProgress(make_tokens_item("a", 1000, 500.0, max_out=200))
    assert item_tokens(bounded, forecast) == 1200
    unguessed = ItemProgress(make_tokens_item("a", 1000, 0.0, max_out=300))
    assert item_tokens(unguessed, forecast) == 1300


def test_runs_of_one_group_hold_their_prompt_once():
    forecast = LengthForecast()
    ledger = make_tokens_ledger(
        [
            make_tokens_item("a", 1000, 500.0),
            make_tokens_item("b", 1000, 500.0),
            make_tokens_item("c", 260, 100.0, group="h"),
        ]
    )
    runs = runs_of(ledger)
    assert tokens_held(runs, forecast) == 1260
    assert tokens_at_end(runs, forecast) == pytest.approx(1260 + 1100)
    ledger.items["a"].pieces = ["x"] * 5
    assert tokens_held(runs, forecast) == pytest.approx(1260 + 5 / FIRST_PIECES_PER_TOKEN)


def test_what_others_hold_counts_while_the_word_is_new():
    memory = EngineMemory()
    assert memory.free_tokens("e@1", 5000.0, 0.0) == math.inf
    memory.heard("e@1", 9000, 20_000, 4000.0, now_seconds=0.0)
    assert memory.free_tokens("e@1", 6000.0, 0.5) == 20_000 - 6000 - 5000
    assert memory.free_tokens("e@1", 6000.0, 5.0) == 20_000 - 6000
    # Nothing of it counts for another start, nor does a word without a total.
    assert memory.free_tokens("e@2", 0.0, 0.5) == math.inf
    memory.heard("e@2", 9000, 0, 0.0, 0.0)
    assert memory.free_tokens("e@2", 0.0, 0.5) == math.inf
    memory.keep_only(["e@2"])
    assert memory.free_tokens("e@1", 6000.0, 0.5) == math.inf


@pytest.mark.parametrize(
    ("own", "queued", "others", "slots"),
    [
        (0, 0, 0, 6),
        (2, 0, 0, 4),
        (2, 0, 3, 1),
        # Full by the last word: one goes into the queue, and brings news when it begins.
        (2, 0, 4, 1),
        (0, 0, 9, 1),
        # It is there, so no more follow it, whatever the word was.
        (1, 1, 0, 0),
        (3, 2, 0, -1),
        # All slots are this owner's.
        (6, 0, 0, 0),
        (6, 0, 2, 0),
    ],
)
def test_an_owner_queues_at_most_one_run_beyond_what_it_knows_of(own, queued, others, slots):
    assert free_capacity(6, own, queued, others, math.inf).slots == slots


def test_with_shares_off_each_owner_takes_all_slots_for_its_own():
    for own in range(7):
        room = free_capacity(6, own, own_queued=2, others_runs=5, free_tokens=9.0, is_shared=False)
        assert (room.slots, room.tokens) == (6 - own, 9.0)


def test_no_run_goes_where_memory_would_run_out():
    ledger = make_tokens_ledger([make_tokens_item(f"i{n}", 0, 4000.0) for n in range(6)])
    rooms = [
        EngineCapacity("small", "s", 6, 0.04, {"m": 1}, 6, runs=1, free_tokens=9000.0),
        EngineCapacity("large", "s", 6, 0.08, {"m": 1}, 6, runs=1, free_tokens=90_000.0),
    ]
    forecast = LengthForecast()
    starts = plan_starts(
        [ledger], rooms, {"j": "s"}, {"j": 0.0}, 0.0, tokens_of=lambda p: item_tokens(p, forecast)
    )
    at = [start.instance for start in starts]
    assert at.count("small") == 2
    assert at.count("large") == 4


def test_without_memory_counted_items_start_as_before():
    ledger = make_tokens_ledger([make_tokens_item(f"i{n}", 0, 4000.0) for n in range(6)])
    room = EngineCapacity("small", "s", 6, 0.04, {"m": 1}, 6, runs=1, free_tokens=0.0)
    assert len(plan_starts([ledger], [room], {"j": "s"}, {"j": 0.0}, 0.0)) == 6


def test_an_engine_without_runs_takes_one_that_is_larger_than_it():
    ledger = make_tokens_ledger([make_tokens_item(f"i{n}", 0, 4000.0) for n in range(2)])
    room = EngineCapacity("e", "s", 6, 0.04, {"m": 1}, 6, free_tokens=100.0)
    starts = plan_starts(
        [ledger], [room], {"j": "s"}, {"j": 0.0}, 0.0, tokens_of=lambda progress: 4000.0
    )
    assert len(starts) == 1


def test_smaller_items_do_not_take_the_memory_that_a_large_one_waits_for():
    """One engine: 10 tokens are free, 100 are wanted first, and small ones come for ever."""
    items = [make_tokens_item("large", 0, 100.0), make_tokens_item("tiny", 0, 5.0)]
    ledger = make_tokens_ledger(items)
    rooms = [EngineCapacity("e", "s", 5, 0.04, {"m": 1}, 6, runs=1, free_tokens=10.0)]
    forecast = LengthForecast()

    def plan() -> list[str]:
        starts = plan_starts(
            [ledger], rooms, {"j": "s"}, {"j": 0.0}, 0.0,
            tokens_of=lambda p: item_tokens(p, forecast),
        )  # fmt: skip
        return [start.progress.item.item_id for start in starts]

    assert plan() == []
    rooms[0] = EngineCapacity("e", "s", 5, 0.04, {"m": 1}, 6, runs=1, free_tokens=105.0)
    assert plan() == ["large", "tiny"]


def test_a_run_that_has_brought_no_piece_in_time_is_queued():
    ledger = make_tokens_ledger([make_tokens_item("a", 0, 10.0), make_tokens_item("b", 0, 10.0)])
    runs = LocalRuns()
    for run in runs_of(ledger):
        runs.began(run)
    assert runs.queued("e@1", BEGIN_PATIENCE_SECONDS / 2) == 0
    assert runs.queued("e@1", BEGIN_PATIENCE_SECONDS) == 2
    ledger.items["a"].accept(TextPiece(1, "x", 1), 0)
    assert runs.queued("e@1", BEGIN_PATIENCE_SECONDS) == 1
    for run in runs.at("e@1"):
        runs.ended(run)
        runs.ended(run)
    assert runs.by_start == {}


class SharedEngine:
    """Begins runs as slots are free, and tells its load to whoever has one begin."""

    def __init__(self, slots: int):
        self.slots = slots
        self.running: list[tuple[int, int]] = []
        self.queue: list[tuple[int, int]] = []


def test_owners_with_old_words_overshoot_by_one_run_each_and_leave_no_slot_idle():
    """Random ends and starts of several owners; a plan each 0.05 s by each."""
    rng = random.Random(11)
    slots, owners = 6, 4
    for _ in range(20):
        others_words = [EngineOccupancy() for _ in range(owners)]
        engine = SharedEngine(slots)
        now, serial, idle_ticks = 0.0, 0, 0
        for _ in range(400):
            now += 0.05
            engine.running = [run for run in engine.running if rng.random() > 0.06]
            for number, words in enumerate(others_words):
                own = sum(owner == number for owner, _ in engine.running + engine.queue)
                queued = sum(owner == number for owner, _ in engine.queue)
                words.own["e"] = own
                others = words.others_last("e") or 0
                room = free_capacity(slots, own, queued, others, math.inf)
                for _ in range(max(0, room.slots)):
                    serial += 1
                    engine.queue.append((number, serial))
                while engine.queue and len(engine.running) < slots:
                    begun = engine.queue.pop(0)
                    engine.running.append(begun)
                    from_owner = others_words[begun[0]]
                    from_owner.own["e"] = sum(
                        owner == begun[0] for owner, _ in engine.running + engine.queue
                    )
                    from_owner.heard("e", EngineLoad(len(engine.running), len(engine.queue)), now)
            # Each has at most one in the queue, and what it sent before it heard of any other.
            assert len(engine.queue) <= owners * slots
            idle_ticks = idle_ticks + 1 if len(engine.running) < slots else 0
            assert idle_ticks <= 2
        assert len(engine.queue) <= owners
