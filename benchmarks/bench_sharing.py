"""Step times of trainers whose owners share engines of different speeds.

Engines are a fluid model in steps of 10 ms: six concurrent runs, a queue ordered by urgency, and
a small slowdown per additional run. The owners' decisions use the production code. The bound is a
single owner that knows all lengths.

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
    BEGIN_TIMEOUT_SECONDS,
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
TYPICAL_PIECE_SECONDS = 0.04
BATCH_SHARE = 0.01
FIRST_PIECE_TIMEOUT_SECONDS = 2.0
MEDIAN_PIECES, LONG_SHARE, LONG_FACTOR = 18, 0.1, 5
LENGTH_SPREAD = 0.25
MEAN_PIECES = 26.0
GROUPS = ((4, 4), (5, 5), (4, 4), (10, 9))
RANKS = (1, 0, 1, 1)


@dataclass(frozen=True, slots=True)
class Variant:
    """Enabled mechanisms."""

    name: str
    by_slack: bool = True
    shares_capacity: bool = True
    sends_urgency: bool = True
    has_full_knowledge: bool = False
    has_single_owner: bool = False


VARIANTS = (
    Variant("before", False, False, False),
    Variant("order alone", True, False, False),
    Variant("room alone", False, True, False),
    Variant("urgency alone", False, False, True),
    Variant("order and room", sends_urgency=False),
    Variant("all"),
    Variant("one with guesses", has_single_owner=True),
    Variant("one that knows all", sends_urgency=False, has_full_knowledge=True),
)


@dataclass(slots=True)
class Run:
    owner: "Owner"
    ledger: JobLedger
    progress: ItemProgress
    began_seconds: float
    generated_pieces: float = 0.0
    intervals: PieceIntervals = field(default_factory=PieceIntervals)


@dataclass(slots=True)
class Engine:
    name: str
    pace: float
    running: list[Run] = field(default_factory=list)
    queue: list[tuple[int, int, Run]] = field(default_factory=list)

    def seconds_per_piece(self) -> float:
        return TYPICAL_PIECE_SECONDS * self.pace * (1 + BATCH_SHARE * len(self.running))

    def load(self) -> EngineLoad:
        return EngineLoad(len(self.running), len(self.queue))


@dataclass(slots=True)
class Owner:
    """A daemon and the jobs that it owns."""

    jobs: dict[str, JobLedger] = field(default_factory=dict)
    due_seconds: dict[str, float] = field(default_factory=dict)
    rank_by_job: dict[str, int] = field(default_factory=dict)
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
    submitted_seconds: dict[str, float] = field(default_factory=dict)
    step_seconds: list[float] = field(default_factory=list)


class Simulation:
    """Simulates trainers, owners and engines on one clock."""

    def __init__(self, variant: Variant, load: float, seed: int):
        self.variant = variant
        self.rng = random.Random(seed)
        self.engines = {f"e{n}": Engine(f"e{n}", self.rng.uniform(0.8, 1.6)) for n in range(19)}
        self.now = 0.0
        self.send_count = 0
        self.lengths: dict[int, int] = {}
        self.queue_waits_seconds: list[float] = []
        shared_owner = Owner()
        rate = sum(SLOTS / (TYPICAL_PIECE_SECONDS * e.pace * 1.06) for e in self.engines.values())
        items = load * rate * INTERVAL_SECONDS / MEAN_PIECES
        groups = sum(groups for groups, _ in GROUPS)
        per_group = max(1, round(items / groups))
        self.trainers = [
            Trainer(
                n,
                shared_owner if variant.has_full_knowledge or variant.has_single_owner else Owner(),
                per_group,
                next_seconds=n * 1.0,
            )
            for n in range(len(GROUPS))
        ]
        self.owners = list({id(t.owner): t.owner for t in self.trainers}.values())

    def simulate(self) -> None:
        while self.now < RUN_SECONDS:
            for trainer in self.trainers:
                self._submit_job(trainer)
            for owner in self.owners:
                if self.now >= owner.next_plan_seconds:
                    self._plan(owner)
                    owner.next_plan_seconds = self.now + TICK_SECONDS
            for engine in self.engines.values():
                self._advance_engine(engine)
            for trainer in self.trainers:
                self._check_jobs(trainer)
            self.now += STEP_SECONDS

    def _submit_job(self, trainer: Trainer) -> None:
        if self.now < trainer.next_seconds or len(trainer.submitted_seconds) > 1:
            return
        groups, wanted_groups = GROUPS[trainer.number]
        job_id = f"t{trainer.number}-{trainer.step}"
        items = tuple(
            self._item(f"{job_id}-{group}-{n}", f"g{group}")
            for group in range(groups)
            for n in range(trainer.items_per_group)
        )
        job = Job(
            job_id=job_id, host="h", path="/", items=items, model="m", wanted_groups=wanted_groups
        )
        trainer.owner.jobs[job_id] = JobLedger(job)
        trainer.owner.due_seconds[job_id] = self.now + DUE_SECONDS
        trainer.owner.rank_by_job[job_id] = RANKS[trainer.number]
        trainer.submitted_seconds[job_id] = self.now
        trainer.step += 1
        trainer.next_seconds = max(trainer.next_seconds + INTERVAL_SECONDS, self.now)

    def _item(self, item_id: str, group: str) -> JobItem:
        pieces = MEDIAN_PIECES * self.rng.lognormvariate(0.0, LENGTH_SPREAD)
        if self.rng.random() < LONG_SHARE:
            pieces *= LONG_FACTOR
        pieces = max(1, round(pieces))
        expected_pieces = (
            pieces
            if self.variant.has_full_knowledge
            else pieces * self.rng.lognormvariate(0.0, 0.5)
        )
        item = JobItem(
            item_id=item_id, path="/", headers=(), body=b"", tokens=10_000,
            expected_tokens=expected_pieces * 50, group=group,
        )  # fmt: skip
        self.lengths[id(item)] = pieces
        return item

    def _engine_capacities(self, owner: Owner) -> list[EngineCapacity]:
        capacities = []
        for engine in self.engines.values():
            own = owner.occupancy.own_runs.get(engine.name, 0)
            if self.variant.shares_capacity:
                others = owner.occupancy.last_reported_other_runs(engine.name) or 0
            else:
                others = owner.occupancy.other_runs(engine.name, self.now)
            queued = sum(
                run.owner is owner and self.now >= run.began_seconds + BEGIN_TIMEOUT_SECONDS
                for _, _, run in engine.queue
            )
            capacity = free_capacity(
                SLOTS, own, queued, others, float("inf"), self.variant.shares_capacity
            )
            capacities.append(
                EngineCapacity(
                    engine.name,
                    "s",
                    capacity.slots,
                    TYPICAL_PIECE_SECONDS * engine.pace,
                    {"m": 1},
                    SLOTS,
                    own + others,
                )  # fmt: skip
            )
        return capacities

    def _plan(self, owner: Owner) -> None:
        capacities = self._engine_capacities(owner)
        services = dict.fromkeys(owner.jobs, "s")
        paces = available_paces(capacities)
        order = SlackOrder(services, owner.due_seconds, owner.rank_by_job, paces, owner.forecast)
        starts = plan_starts(
            owner.jobs.values(), capacities, services, owner.due_seconds, self.now, owner.forecast,
            order=order if self.variant.by_slack else None,
        )  # fmt: skip
        for start in starts:
            start.ledger.record_start(start.progress)
            owner.occupancy.record_start(start.instance)
            urgency = 5
            if self.variant.sends_urgency:
                rank = owner.rank_by_job[start.ledger.job.job_id]
                levels = urgency_levels(rank, ())
                slack = order.start_by_seconds(start.ledger, start.progress) - self.now
                surplus = order.is_surplus(start.ledger, start.progress)
                urgency = urgency_of(slack, surplus, rank == min(RANKS), levels)
            self.send_count += 1
            run = Run(owner, start.ledger, start.progress, self.now)
            heapq.heappush(self.engines[start.instance].queue, (urgency, self.send_count, run))
        waiting = any(ledger.startable_items(self.now) for ledger in owner.jobs.values())
        if self.variant.shares_capacity:
            capacities = [capacity for capacity in capacities if capacity.runs < capacity.slots]
        spare = {} if waiting else spare_capacities(capacities)
        if "s" in spare:
            self._move_runs(owner, spare["s"])

    def _move_runs(self, owner: Owner, spare) -> None:
        for engine in self.engines.values():
            for run in list(engine.running):
                pieces_left = owner.forecast.remaining_pieces(run.progress)
                pace = run.intervals.seconds_per_piece()
                if run.owner is owner and should_move(
                    pace, spare, engine.name, pieces_left, run.progress.moves
                ):
                    run.progress.moves += 1
                    spare.free_slots -= 1
                    self._end_run(engine, run)
                    run.ledger.record_interruption(run.progress, engine.name, self.now)

    def _end_run(self, engine: Engine, run: Run) -> None:
        if run in engine.running:
            engine.running.remove(run)
        run.owner.occupancy.record_end(engine.name)
        run.owner.next_plan_seconds = self.now

    def _advance_engine(self, engine: Engine) -> None:
        for entry in list(engine.queue):
            run = entry[2]
            ended = run.ledger.ended
            if ended or self.now >= run.began_seconds + FIRST_PIECE_TIMEOUT_SECONDS:
                engine.queue.remove(entry)
                heapq.heapify(engine.queue)
                self._end_run(engine, run)
                if not ended:
                    run.ledger.record_interruption(run.progress, engine.name, self.now)
        while engine.queue and len(engine.running) < SLOTS:
            run = heapq.heappop(engine.queue)[2]
            engine.running.append(run)
            self.queue_waits_seconds.append(self.now - run.began_seconds)
            run.owner.occupancy.record_load(engine.name, engine.load(), self.now)
        pieces_per_step = STEP_SECONDS / engine.seconds_per_piece()
        for run in list(engine.running):
            if run.ledger.ended:
                self._end_run(engine, run)
                continue
            run.generated_pieces += pieces_per_step
            while run.generated_pieces >= 1.0:
                run.generated_pieces -= 1.0
                self._accept_piece(engine, run)

    def _accept_piece(self, engine: Engine, run: Run) -> None:
        progress = run.progress
        if progress.phase is not ItemPhase.RUNNING:
            return
        progress.accept(TextPiece(progress.last_number + 1, "", 1), 0)
        run.intervals.record_piece(self.now)
        if progress.last_number >= self.lengths[id(progress.item)]:
            run.owner.forecast.record_length(progress.item.expected_tokens, progress.last_number)
            self._end_run(engine, run)
            run.ledger.record_complete_text(progress)

    def _check_jobs(self, trainer: Trainer) -> None:
        for job_id, submitted_seconds in list(trainer.submitted_seconds.items()):
            ledger = trainer.owner.jobs[job_id]
            incomplete_groups = {
                progress.item.group for progress in ledger.items.values() if progress.result is None
            }
            groups, wanted_groups = GROUPS[trainer.number]
            if groups - len(incomplete_groups) < wanted_groups:
                continue
            trainer.step_seconds.append(self.now - submitted_seconds)
            ledger.end()
            del trainer.submitted_seconds[job_id], trainer.owner.jobs[job_id]
            if len(trainer.submitted_seconds) == 1:
                trainer.next_seconds = max(trainer.next_seconds, self.now + TRAIN_SECONDS)


def summarize(variant: Variant, load: float, seeds: range) -> dict[str, float]:
    """Return step times and queue waits over all seeds."""
    by_rank: dict[int, list[float]] = {rank: [] for rank in RANKS}
    queue_waits_seconds: list[float] = []
    for seed in seeds:
        simulation = Simulation(variant, load, seed)
        simulation.simulate()
        queue_waits_seconds += simulation.queue_waits_seconds
        for trainer in simulation.trainers:
            # An unfinished step counts with its time so far if it is already late.
            open_step_seconds = [
                simulation.now - submitted for submitted in trainer.submitted_seconds.values()
            ]
            late_step_seconds = [seconds for seconds in open_step_seconds if seconds > DUE_SECONDS]
            by_rank[RANKS[trainer.number]] += trainer.step_seconds + late_step_seconds
    times = [seconds for rank_times in by_rank.values() for seconds in rank_times]
    result = {
        "steps": len(times),
        "mean_seconds": sum(times) / len(times),
        "p95_seconds": quantiles(times, n=20)[-1],
        "late_share": sum(seconds > DUE_SECONDS for seconds in times) / len(times),
        "queue_p99_seconds": quantiles(queue_waits_seconds, n=100)[-1],
    }
    result |= {
        f"p95_seconds_rank_{rank}": quantiles(durations, n=20)[-1]
        for rank, durations in by_rank.items()
    }
    return {name: round(value, 3) for name, value in result.items()}


def main() -> None:
    """Simulate all variants at three loads."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    results = {}
    for load in (0.7, 0.9, 1.1):
        for variant in VARIANTS:
            results[f"{variant.name} at {load}"] = result = summarize(variant, load, seeds)
            print(f"{variant.name:20} {load}", result, flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "sharing.json").write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
