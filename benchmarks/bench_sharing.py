"""Step times of trainers whose owners share uneven engines, against one that knows all.

Engines are a small fluid model in steps of 10 ms: six runs at once, a queue by urgency,
each further run slows the others a little. The owners' decisions are the shipped code.

    python benchmarks/bench_sharing.py
"""

import heapq
import json
import random
import sys
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles

from rackswitch.jobs import (
    BEGIN_PATIENCE_SECONDS,
    EngineCapacity,
    EngineLoad,
    EngineOccupancy,
    ItemPhase,
    ItemProgress,
    Job,
    JobItem,
    JobLedger,
    LengthForecast,
    PieceIntervals,
    SlackOrder,
    TextPiece,
    available_paces,
    free_capacity,
    plan_starts,
    should_move,
    spare_capacities,
    urgency_levels,
    urgency_of,
)

RESULTS = Path(__file__).parent / "results"
STEP_SECONDS = 0.01
TICK_SECONDS = 0.05
RUN_SECONDS = 60.0
INTERVAL_SECONDS, DUE_SECONDS, TRAIN_SECONDS = 4.0, 7.5, 1.0
SLOTS = 6
USUAL_SECONDS = 0.04
BATCH_SHARE = 0.01
FIRST_PIECE_TIMEOUT_SECONDS = 2.0
MEDIAN_PIECES, LONG_SHARE, LONG_TIMES = 18, 0.1, 5
LENGTH_SPREAD = 0.25
MEAN_PIECES = 26.0
GROUPS = ((4, 4), (5, 5), (4, 4), (10, 9))
RANKS = (1, 0, 1, 1)


@dataclass(frozen=True, slots=True)
class Way:
    """Which of the mechanisms are on."""

    name: str
    by_slack: bool = True
    shares_room: bool = True
    tells_urgency: bool = True
    knows_all: bool = False
    one_owner: bool = False


WAYS = (
    Way("before", False, False, False),
    Way("order alone", True, False, False),
    Way("room alone", False, True, False),
    Way("urgency alone", False, False, True),
    Way("order and room", tells_urgency=False),
    Way("all"),
    Way("one with guesses", one_owner=True),
    Way("one that knows all", tells_urgency=False, knows_all=True),
)


@dataclass(slots=True)
class Run:
    owner: "Owner"
    ledger: JobLedger
    progress: ItemProgress
    began_seconds: float
    made: float = 0.0
    gaps: PieceIntervals = field(default_factory=PieceIntervals)


@dataclass(slots=True)
class Engine:
    name: str
    pace: float
    running: list[Run] = field(default_factory=list)
    queue: list[tuple[int, int, Run]] = field(default_factory=list)

    def seconds_per_piece(self) -> float:
        return USUAL_SECONDS * self.pace * (1 + BATCH_SHARE * len(self.running))

    def load(self) -> EngineLoad:
        return EngineLoad(len(self.running), len(self.queue))


@dataclass(slots=True)
class Owner:
    """One daemon with the jobs that it owns."""

    jobs: dict[str, JobLedger] = field(default_factory=dict)
    due_seconds: dict[str, float] = field(default_factory=dict)
    class_of: dict[str, int] = field(default_factory=dict)
    occupancy: EngineOccupancy = field(default_factory=EngineOccupancy)
    forecast: LengthForecast = field(default_factory=LengthForecast)
    next_plan_seconds: float = 0.0


@dataclass(slots=True)
class Trainer:
    number: int
    owner: Owner
    items_per_group: int
    step: int = 0
    next_seconds: float = 0.0
    asked_seconds: dict[str, float] = field(default_factory=dict)
    took_seconds: list[float] = field(default_factory=list)


class Play:
    """One run of trainers, owners and engines on one clock."""

    def __init__(self, way: Way, load: float, seed: int):
        self.way = way
        self.rng = random.Random(seed)
        self.engines = {f"e{n}": Engine(f"e{n}", self.rng.uniform(0.8, 1.6)) for n in range(19)}
        self.now = 0.0
        self.sends = 0
        self.lengths: dict[int, int] = {}
        self.waits_seconds: list[float] = []
        one = Owner()
        rate = sum(SLOTS / (USUAL_SECONDS * e.pace * 1.06) for e in self.engines.values())
        items = load * rate * INTERVAL_SECONDS / MEAN_PIECES
        groups = sum(groups for groups, _ in GROUPS)
        per_group = max(1, round(items / groups))
        self.trainers = [
            Trainer(
                n,
                one if way.knows_all or way.one_owner else Owner(),
                per_group,
                next_seconds=n * 1.0,
            )
            for n in range(len(GROUPS))
        ]
        self.owners = list({id(t.owner): t.owner for t in self.trainers}.values())

    def play(self) -> None:
        while self.now < RUN_SECONDS:
            for trainer in self.trainers:
                self._ask(trainer)
            for owner in self.owners:
                if self.now >= owner.next_plan_seconds:
                    self._plan(owner)
                    owner.next_plan_seconds = self.now + TICK_SECONDS
            for engine in self.engines.values():
                self._work(engine)
            for trainer in self.trainers:
                self._look(trainer)
            self.now += STEP_SECONDS

    def _ask(self, trainer: Trainer) -> None:
        if self.now < trainer.next_seconds or len(trainer.asked_seconds) > 1:
            return
        groups, wanted = GROUPS[trainer.number]
        job_id = f"t{trainer.number}-{trainer.step}"
        items = tuple(
            self._item(f"{job_id}-{group}-{n}", f"g{group}")
            for group in range(groups)
            for n in range(trainer.items_per_group)
        )
        job = Job(job_id=job_id, host="h", path="/", items=items, model="m", wanted_groups=wanted)
        trainer.owner.jobs[job_id] = JobLedger(job)
        trainer.owner.due_seconds[job_id] = self.now + DUE_SECONDS
        trainer.owner.class_of[job_id] = RANKS[trainer.number]
        trainer.asked_seconds[job_id] = self.now
        trainer.step += 1
        trainer.next_seconds = max(trainer.next_seconds + INTERVAL_SECONDS, self.now)

    def _item(self, item_id: str, group: str) -> JobItem:
        pieces = MEDIAN_PIECES * self.rng.lognormvariate(0.0, LENGTH_SPREAD)
        if self.rng.random() < LONG_SHARE:
            pieces *= LONG_TIMES
        pieces = max(1, round(pieces))
        guess = pieces if self.way.knows_all else pieces * self.rng.lognormvariate(0.0, 0.5)
        item = JobItem(
            item_id=item_id, path="/", headers=(), body=b"", tokens=10_000,
            expected_tokens=guess * 50, group=group,
        )  # fmt: skip
        self.lengths[id(item)] = pieces
        return item

    def _rooms(self, owner: Owner) -> list[EngineCapacity]:
        rooms = []
        for engine in self.engines.values():
            own = owner.occupancy.own.get(engine.name, 0)
            if self.way.shares_room:
                others = owner.occupancy.others_last(engine.name) or 0
            else:
                others = owner.occupancy.others(engine.name, self.now)
            queued = sum(
                run.owner is owner and self.now >= run.began_seconds + BEGIN_PATIENCE_SECONDS
                for _, _, run in engine.queue
            )
            room = free_capacity(SLOTS, own, queued, others, float("inf"), self.way.shares_room)
            rooms.append(
                EngineCapacity(
                    engine.name,
                    "s",
                    room.slots,
                    USUAL_SECONDS * engine.pace,
                    {"m": 1},
                    SLOTS,
                    own + others,
                )  # fmt: skip
            )
        return rooms

    def _plan(self, owner: Owner) -> None:
        rooms = self._rooms(owner)
        services = dict.fromkeys(owner.jobs, "s")
        paces = available_paces(rooms)
        order = SlackOrder(services, owner.due_seconds, owner.class_of, paces, owner.forecast)
        starts = plan_starts(
            owner.jobs.values(), rooms, services, owner.due_seconds, self.now, owner.forecast,
            order=order if self.way.by_slack else None,
        )  # fmt: skip
        for start in starts:
            start.ledger.started(start.progress)
            owner.occupancy.began(start.instance)
            urgency = 5
            if self.way.tells_urgency:
                rank = owner.class_of[start.ledger.job.job_id]
                levels = urgency_levels(rank, ())
                slack = order.start_by_seconds(start.ledger, start.progress) - self.now
                surplus = order.is_surplus(start.ledger, start.progress)
                urgency = urgency_of(slack, surplus, rank == min(RANKS), levels)
            self.sends += 1
            run = Run(owner, start.ledger, start.progress, self.now)
            heapq.heappush(self.engines[start.instance].queue, (urgency, self.sends, run))
        waiting = any(ledger.waiting(self.now) for ledger in owner.jobs.values())
        if self.way.shares_room:
            rooms = [room for room in rooms if room.runs < room.slots]
        spare = {} if waiting else spare_capacities(rooms)
        if "s" in spare:
            self._move(owner, spare["s"])

    def _move(self, owner: Owner, spare) -> None:
        for engine in self.engines.values():
            for run in list(engine.running):
                left = owner.forecast.remaining_pieces(run.progress)
                pace = run.gaps.seconds_per_piece()
                if run.owner is owner and should_move(
                    pace, spare, engine.name, left, run.progress.moves
                ):
                    run.progress.moves += 1
                    spare.free_slots -= 1
                    self._end(engine, run)
                    run.ledger.broke(run.progress, engine.name, self.now)

    def _end(self, engine: Engine, run: Run) -> None:
        if run in engine.running:
            engine.running.remove(run)
        run.owner.occupancy.ended(engine.name)
        run.owner.next_plan_seconds = self.now

    def _work(self, engine: Engine) -> None:
        for entry in list(engine.queue):
            run = entry[2]
            ended = run.ledger.ended
            if ended or self.now >= run.began_seconds + FIRST_PIECE_TIMEOUT_SECONDS:
                engine.queue.remove(entry)
                heapq.heapify(engine.queue)
                self._end(engine, run)
                if not ended:
                    run.ledger.broke(run.progress, engine.name, self.now)
        while engine.queue and len(engine.running) < SLOTS:
            run = heapq.heappop(engine.queue)[2]
            engine.running.append(run)
            self.waits_seconds.append(self.now - run.began_seconds)
            run.owner.occupancy.heard(engine.name, engine.load(), self.now)
        made = STEP_SECONDS / engine.seconds_per_piece()
        for run in list(engine.running):
            if run.ledger.ended:
                self._end(engine, run)
                continue
            run.made += made
            while run.made >= 1.0:
                run.made -= 1.0
                self._piece(engine, run)

    def _piece(self, engine: Engine, run: Run) -> None:
        progress = run.progress
        if progress.phase is not ItemPhase.RUNNING:
            return
        progress.accept(TextPiece(progress.last_number + 1, "", 1), 0)
        run.gaps.piece_came(self.now)
        if progress.last_number >= self.lengths[id(progress.item)]:
            run.owner.forecast.note(progress.item.expected_tokens, progress.last_number)
            self._end(engine, run)
            run.ledger.whole(progress)

    def _look(self, trainer: Trainer) -> None:
        for job_id, asked_seconds in list(trainer.asked_seconds.items()):
            ledger = trainer.owner.jobs[job_id]
            lacking = {
                progress.item.group for progress in ledger.items.values() if progress.result is None
            }
            groups, wanted = GROUPS[trainer.number]
            if groups - len(lacking) < wanted:
                continue
            trainer.took_seconds.append(self.now - asked_seconds)
            ledger.end()
            del trainer.asked_seconds[job_id], trainer.owner.jobs[job_id]
            if len(trainer.asked_seconds) == 1:
                trainer.next_seconds = max(trainer.next_seconds, self.now + TRAIN_SECONDS)


def figures(way: Way, load: float, seeds: range) -> dict[str, float]:
    """Return what the trainers and the engines' queues saw, over all seeds."""
    by_rank: dict[int, list[float]] = {rank: [] for rank in RANKS}
    waits: list[float] = []
    for seed in seeds:
        play = Play(way, load, seed)
        play.play()
        waits += play.waits_seconds
        for trainer in play.trainers:
            # A step that is open at the end has taken at least so long.
            open_ = [play.now - asked for asked in trainer.asked_seconds.values()]
            late = [took for took in open_ if took > DUE_SECONDS]
            by_rank[RANKS[trainer.number]] += trainer.took_seconds + late
    times = [took for all_ in by_rank.values() for took in all_]
    found = {
        "steps": len(times),
        "mean_seconds": sum(times) / len(times),
        "p95_seconds": quantiles(times, n=20)[-1],
        "late_share": sum(took > DUE_SECONDS for took in times) / len(times),
        "queue_p99_seconds": quantiles(waits, n=100)[-1],
    }
    found |= {f"p95_seconds_rank_{rank}": quantiles(t, n=20)[-1] for rank, t in by_rank.items()}
    return {name: round(value, 3) for name, value in found.items()}


def main() -> None:
    """Play all ways at three loads."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    results = {}
    for load in (0.7, 0.9, 1.1):
        for way in WAYS:
            results[f"{way.name} at {load}"] = found = figures(way, load, seeds)
            print(f"{way.name:20} {load}", found, flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "sharing.json").write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
