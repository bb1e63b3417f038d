"""Runs that wait at full engines while others are idle, seen from the trainers' steps."""

import random
from dataclasses import dataclass, field

import pytest

from rackswitch.gateway.items.item_runner import FIRST_PIECE_PATIENCE_SECONDS
from rackswitch.jobs import IdleRoom, QueuedRun, idle_rooms, leaves_queue
from rackswitch.jobs.queues import QUEUE_PATIENCE_SECONDS
from rackswitch.jobs.schedule import EngineRoom
from rackswitch.jobs.stragglers import MOST_MOVES

RUN = QueuedRun("e0", "s", "m", 2, 10.0, 0)
LATE_SECONDS = 10.0 + QUEUE_PATIENCE_SECONDS


def idle(instance="e1", service="s", slots=1, version=2) -> IdleRoom:
    return IdleRoom(instance, service, slots, {"m": version})


def test_a_run_leaves_for_an_idle_engine_that_can_run_it_once_it_has_waited():
    assert leaves_queue(RUN, [idle()], LATE_SECONDS)
    assert not leaves_queue(RUN, [idle()], LATE_SECONDS - 0.01)
    for room in (idle("e0"), idle(service="t"), idle(slots=0), idle(version=1)):
        assert not leaves_queue(RUN, [room], LATE_SECONDS)
    often = QueuedRun("e0", "s", "m", 2, 10.0, MOST_MOVES)
    assert not leaves_queue(often, [idle()], LATE_SECONDS)


def test_each_idle_slot_takes_one_run():
    rooms = [idle(slots=2)]
    assert [leaves_queue(RUN, rooms, LATE_SECONDS) for _ in range(3)] == [True, True, False]


def test_what_other_daemons_run_there_counts():
    def room(runs: int, slots: int = 8) -> EngineRoom:
        return EngineRoom("e", "s", 4, 0.04, {}, slots, runs)

    assert [r.slots for r in idle_rooms([room(6), room(8), room(9), room(0, slots=0)])] == [2]


ENGINES, SLOTS, OWNERS, ITEMS, TICK_SECONDS = 22, 8, 4, 96, 0.05
SLOW, SLOWER = 4, 3.5
"""Engines that have just turned slow, which no owner knows yet, and by how much."""


@dataclass
class Item:
    owner: int
    work_seconds: float
    sent_seconds: float = 0.0
    moves: int = 0


@dataclass
class Engine:
    """Works on so many items at once, in the order in which they came."""

    slower: float = 1.0
    running: list[tuple[float, Item]] = field(default_factory=list)
    queue: list[Item] = field(default_factory=list)

    def step(self, now_seconds: float) -> list[Item]:
        done = [item for ends, item in self.running if ends <= now_seconds]
        self.running = [entry for entry in self.running if entry[0] > now_seconds]
        while self.queue and len(self.running) < SLOTS:
            item = self.queue.pop(0)
            self.running.append((now_seconds + item.work_seconds * self.slower, item))
        return done

    @property
    def runs(self) -> int:
        return len(self.running) + len(self.queue)


def step_ends(seed: int, leave: bool) -> list[float]:
    """Return when the last item begins of each of four steps that are asked for together."""
    rng = random.Random(seed)
    engines = [Engine(SLOWER if number < SLOW else 1.0) for number in range(ENGINES)]
    places = [[0] * ENGINES for _ in range(OWNERS)]
    waiting = [
        [Item(owner, rng.lognormvariate(-0.8, 0.9)) for _ in range(ITEMS)]
        for owner in range(OWNERS)
    ]
    ends = [0.0] * OWNERS
    now_seconds = 0.0
    while any(waiting) or any(engine.runs for engine in engines):
        told = [engine.runs for engine in engines]
        for number, engine in enumerate(engines):
            before = {id(item) for _, item in engine.running}
            for item in engine.step(now_seconds):
                places[item.owner][number] -= 1
            for _, item in engine.running:
                if id(item) not in before:
                    ends[item.owner] = now_seconds
        for owner in range(OWNERS):
            while waiting[owner] and min(places[owner]) < SLOTS:
                # Each owner sees its own runs, and the others' as they were a moment ago.
                best = min(range(ENGINES), key=lambda n: (places[owner][n], told[n], rng.random()))
                item = waiting[owner].pop(0)
                item.sent_seconds = now_seconds
                engines[best].queue.append(item)
                places[owner][best] += 1
            rooms = _idle(places[owner], told) if leave and not waiting[owner] else []
            _leave_queues(owner, engines, places[owner], waiting[owner], rooms, now_seconds)
        now_seconds += TICK_SECONDS
    return ends


def _idle(places: list[int], told: list[int]) -> list[IdleRoom]:
    return idle_rooms(
        EngineRoom(str(n), "s", SLOTS - places[n], 0.04, {"m": 1}, SLOTS, told[n])
        for n in range(ENGINES)
    )


def _leave_queues(owner, engines, places, waiting, rooms, now_seconds) -> None:
    for number, engine in enumerate(engines):
        for item in [item for item in engine.queue if item.owner == owner]:
            run = QueuedRun(str(number), "s", "m", 1, item.sent_seconds, item.moves)
            # Whatever the rooms, an engine that has not begun a run for so long is given up.
            is_silent = now_seconds >= item.sent_seconds + FIRST_PIECE_PATIENCE_SECONDS
            if is_silent or leaves_queue(run, rooms, now_seconds):
                engine.queue.remove(item)
                places[number] -= 1
                item.moves += 1
                waiting.append(item)


def test_the_last_item_of_steps_that_are_asked_for_together_begins_sooner():
    stayed = [at for seed in range(12) for at in step_ends(seed, leave=False)]
    left = [at for seed in range(12) for at in step_ends(seed, leave=True)]
    assert sum(left) < 0.8 * sum(stayed)
    assert max(left) < max(stayed)


@pytest.mark.parametrize("seed", range(3))
def test_no_item_is_lost_or_sent_round(seed):
    assert all(end > 0 for end in step_ends(seed, leave=True))
