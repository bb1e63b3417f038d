"""Compares placement policies on targets of different speeds, with noise and a slow period.

A target is a FIFO queue with a number of slots, so the finish time of a request is known when it
is sent. The "perfect" policy uses that time and is the bound. Daemons' decisions use the
production code.

    python benchmarks/bench_placing.py
"""

import heapq
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.routing import (
    POLICIES,
    ListedTarget,
    LoadEstimator,
    ReportedLoad,
    RoutedRequest,
    Target,
    WorkKind,
    choose_target,
)

RESULTS = Path(__file__).parent / "results"
DAEMONS = 77
TICK_SECONDS = 0.05
SIMULATED_SECONDS = 30.0
PACE_SERIES_SECONDS = 2 * SIMULATED_SECONDS
MIN_PACE, MAX_PACE = 0.55, 1.2
NOISE_FACTOR, NOISE_SHARE, NOISE_SECONDS = 2.5, 0.15, 0.6
SLOW_FACTOR, SLOW_SHARE = 6.0, 0.2
SLOW_FROM_SECONDS, SLOW_UNTIL_SECONDS = 10.0, 18.0
CALL_SECONDS = (0.025, 0.1)
PIECE_SECONDS = 0.04
TYPICAL_PIECES = 22.0
PIECE_REPORT_INTERVAL_SECONDS = 0.2
"""Only one piece interval per this time is simulated, to limit the number of events."""

RUN_COST_SHARE = 0.01
"""Slowdown per running request, for targets that report no pace."""


@dataclass(slots=True)
class SimulatedTarget:
    """A target with a precomputed random pace over time."""

    listed: ListedTarget
    paces: list[float]
    slot_ends_at_seconds: list[float] = field(default_factory=list)
    work_intervals: list[tuple[float, float]] = field(default_factory=list)

    def pace(self, at_seconds: float) -> float:
        return self.paces[min(len(self.paces) - 1, int(at_seconds / TICK_SECONDS))]

    def begin_at(self, now_seconds: float) -> float:
        if len(self.slot_ends_at_seconds) < self.listed.slots:
            return now_seconds
        return max(now_seconds, self.slot_ends_at_seconds[0])

    def finish_at(self, now_seconds: float, work_seconds: float) -> float:
        """Return the finish time of work sent now."""
        at_seconds, remaining_seconds = self.begin_at(now_seconds), work_seconds
        while True:
            tick_ends_at_seconds = (int(at_seconds / TICK_SECONDS + 1e-9) + 1) * TICK_SECONDS
            pace = self.pace(at_seconds + 1e-9)
            if remaining_seconds * pace <= tick_ends_at_seconds - at_seconds:
                return at_seconds + remaining_seconds * pace
            remaining_seconds -= (tick_ends_at_seconds - at_seconds) / pace
            at_seconds = tick_ends_at_seconds

    def send(self, now_seconds: float, work_seconds: float) -> tuple[float, float]:
        """Accept work; return its start and finish times."""
        begins_at_seconds, ends_at_seconds = (
            self.begin_at(now_seconds),
            self.finish_at(now_seconds, work_seconds),
        )
        if len(self.slot_ends_at_seconds) == self.listed.slots:
            heapq.heapreplace(self.slot_ends_at_seconds, ends_at_seconds)
        else:
            heapq.heappush(self.slot_ends_at_seconds, ends_at_seconds)
        self.work_intervals = [
            interval for interval in self.work_intervals if interval[1] > now_seconds - 1.0
        ]
        self.work_intervals.append((begins_at_seconds, ends_at_seconds))
        return begins_at_seconds, ends_at_seconds

    def reported_load(self, at_seconds: float) -> ReportedLoad:
        running = sum(
            begins_at_seconds <= at_seconds < ends_at_seconds
            for begins_at_seconds, ends_at_seconds in self.work_intervals
        )
        waiting = sum(
            at_seconds < begins_at_seconds for begins_at_seconds, _ in self.work_intervals
        )
        return ReportedLoad(running, waiting, self.listed.slots, self.pace(at_seconds), at_seconds)


@dataclass(slots=True)
class SimulatedDaemon:
    """A daemon's estimates of the targets."""

    targets: list[SimulatedTarget]
    rng: random.Random
    estimator: LoadEstimator = field(default_factory=LoadEstimator)
    paces: EnginePaces = field(default_factory=EnginePaces)
    known_targets: list[Target] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.known_targets = [Target(t.listed.instance, "u", "z") for t in self.targets]


Choice = Callable[[SimulatedDaemon, WorkKind, float, float], int]


def choose_at_random(
    daemon: SimulatedDaemon, kind: WorkKind, work_seconds: float, now_seconds: float
) -> int:
    return daemon.rng.randrange(len(daemon.targets))


def choose_by_policy(name: str) -> Choice:
    def choose(
        daemon: SimulatedDaemon, kind: WorkKind, work_seconds: float, now_seconds: float
    ) -> int:
        policy = POLICIES.get(name)(daemon.rng)
        chosen = policy.choose(RoutedRequest(0.0, 20.0, (), now_seconds), daemon.known_targets)
        return daemon.known_targets.index(chosen)

    return choose


def choose_by_own_requests(
    daemon: SimulatedDaemon, kind: WorkKind, work_seconds: float, now_seconds: float
) -> int:
    """Choose by own requests and learnt paces, without load reports; calls use `at_hand`."""
    if kind is WorkKind.CALL:
        return choose_by_policy("at_hand")(daemon, kind, work_seconds, now_seconds)

    def finish(number: int) -> tuple[bool, float, float]:
        own_requests_count = daemon.known_targets[number].own_requests
        pace = daemon.paces.get(daemon.targets[number].listed.start, now_seconds)
        is_full = own_requests_count >= daemon.targets[number].listed.slots
        return is_full, pace * (1 + RUN_COST_SHARE * own_requests_count), own_requests_count

    return min(range(len(daemon.targets)), key=finish)


def choose_by_estimate(
    daemon: SimulatedDaemon, kind: WorkKind, work_seconds: float, now_seconds: float
) -> int:
    units = work_seconds / PIECE_SECONDS if kind is WorkKind.TEXT else 1.0
    typical_units = daemon.estimator.typical_units("s", kind)
    estimates = [
        daemon.estimator.estimate(t.listed, kind, typical_units, now_seconds)
        for t in daemon.targets
    ]
    typical_run_seconds = daemon.estimator.typical_run_seconds("s", kind)
    return estimates.index(choose_target(estimates, units, typical_run_seconds, daemon.rng))


def choose_with_full_knowledge(
    daemon: SimulatedDaemon, kind: WorkKind, work_seconds: float, now_seconds: float
) -> int:
    return min(
        range(len(daemon.targets)),
        key=lambda number: daemon.targets[number].finish_at(now_seconds, work_seconds),
    )


CHOICES: dict[str, Choice] = {
    "random": choose_at_random,
    "two_choices": choose_by_policy("two_choices"),
    "today": choose_by_own_requests,
    "nearly_best": choose_by_estimate,
    "perfect": choose_with_full_knowledge,
}


def make_targets(count: int, slots: int, rng: random.Random) -> list[SimulatedTarget]:
    ticks = round(PACE_SERIES_SECONDS / TICK_SECONDS)
    noise_ticks = round(NOISE_SECONDS / TICK_SECONDS)
    slow_targets = set(rng.sample(range(count), round(SLOW_SHARE * count)))
    targets = []
    for number in range(count):
        typical_pace = rng.uniform(MIN_PACE, MAX_PACE)
        paces = [typical_pace] * ticks
        for tick in range(0, ticks, noise_ticks):
            if rng.random() < NOISE_SHARE:
                paces[tick : tick + noise_ticks] = [typical_pace * NOISE_FACTOR] * noise_ticks
        if number in slow_targets:
            slow_ticks = range(
                int(SLOW_FROM_SECONDS / TICK_SECONDS), int(SLOW_UNTIL_SECONDS / TICK_SECONDS)
            )
            for tick in slow_ticks:
                paces[tick] *= SLOW_FACTOR
        listed = ListedTarget(f"t{number}", "s", "h", 1, "z", slots)
        targets.append(SimulatedTarget(listed, paces[:ticks]))
    return targets


class Simulation:
    """Sends work in order of time and delivers its outcomes to the daemon that sent it."""

    def __init__(self, name: str, targets: list[SimulatedTarget], daemons: int, seed: int):
        self.choose = CHOICES[name]
        self.targets = targets
        self.daemons = [SimulatedDaemon(targets, random.Random(seed + n)) for n in range(daemons)]
        self.pending_events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0

    def send(
        self, daemon: SimulatedDaemon, kind: WorkKind, work_seconds: float, now_seconds: float
    ) -> float:
        """Place a piece of work; return its finish time."""
        self._run_due_events(now_seconds)
        number = self.choose(daemon, kind, work_seconds, now_seconds)
        target, known_target = self.targets[number], daemon.known_targets[number]
        units = work_seconds / PIECE_SECONDS if kind is WorkKind.TEXT else 1.0
        estimate = daemon.estimator.estimate(target.listed, kind, units, now_seconds)
        sent_request = daemon.estimator.record_send(target.listed, kind, estimate, now_seconds)
        known_target.record_start(20.0, ())
        begins_at_seconds, ends_at_seconds = target.send(now_seconds, work_seconds)
        start = target.listed.start

        def record_load(at_seconds: float) -> None:
            daemon.estimator.record_report(start, "s", target.reported_load(at_seconds))

        def record_end() -> None:
            known_target.record_end(20.0)
            daemon.estimator.record_end(sent_request)
            daemon.estimator.record_completion(sent_request, units, ends_at_seconds)

        def record_piece(at_seconds: float) -> None:
            interval_seconds = PIECE_SECONDS * target.pace(at_seconds)
            daemon.paces.record_interval(start, interval_seconds, at_seconds)
            daemon.estimator.record_piece_interval(start, "s", interval_seconds, at_seconds)

        if kind is WorkKind.TEXT:
            self._schedule(begins_at_seconds, lambda: record_load(begins_at_seconds))
            for number in range(
                1, int((ends_at_seconds - begins_at_seconds) / PIECE_REPORT_INTERVAL_SECONDS)
            ):
                at_seconds = begins_at_seconds + number * PIECE_REPORT_INTERVAL_SECONDS
                self._schedule(at_seconds, partial(record_piece, at_seconds))
        else:
            self._schedule(ends_at_seconds, lambda: record_load(ends_at_seconds))
        self._schedule(ends_at_seconds, record_end)
        return ends_at_seconds

    def _schedule(self, at_seconds: float, event: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.pending_events, (at_seconds, self.event_count, event))

    def _run_due_events(self, now_seconds: float) -> None:
        while self.pending_events and self.pending_events[0][0] <= now_seconds:
            heapq.heappop(self.pending_events)[2]()


def simulate_calls(name: str, seed: int) -> list[float]:
    rng = random.Random(seed)
    simulation = Simulation(name, make_targets(9, 6, rng), DAEMONS, seed)
    latencies_seconds, now_seconds = [], 0.0
    while now_seconds < SIMULATED_SECONDS:
        now_seconds += rng.expovariate(350.0)
        work_seconds = rng.uniform(*CALL_SECONDS)
        daemon = rng.choice(simulation.daemons)
        latencies_seconds.append(
            simulation.send(daemon, WorkKind.CALL, work_seconds, now_seconds) - now_seconds
        )
    return latencies_seconds


def simulate_steps(name: str, seed: int) -> list[float]:
    """Simulate steps of several owners, with items of varying length sent longest first."""
    rng = random.Random(seed)
    simulation = Simulation(name, make_targets(20, 12, rng), 8, seed)
    starts = sorted(
        (rng.uniform(0.0, SIMULATED_SECONDS), owner) for owner in range(8) for _ in range(12)
    )
    latencies_seconds = []
    for now_seconds, owner in starts:
        pieces = sorted(
            (max(2.0, rng.lognormvariate(0.0, 0.6) * TYPICAL_PIECES) for _ in range(32)),
            reverse=True,
        )
        ends_at_seconds = [
            simulation.send(
                simulation.daemons[owner], WorkKind.TEXT, count * PIECE_SECONDS, now_seconds
            )
            for count in pieces
        ]
        latencies_seconds.append(max(ends_at_seconds) - now_seconds)
    return latencies_seconds


def percentile(latencies_seconds: list[float], share: float) -> float:
    return round(1000 * sorted(latencies_seconds)[int(share * len(latencies_seconds))])


def main() -> None:
    rows = []
    for load, simulate in (("calls", simulate_calls), ("steps", simulate_steps)):
        for name in CHOICES:
            latencies_seconds = [
                elapsed_seconds for seed in range(5) for elapsed_seconds in simulate(name, seed)
            ]
            rows.append(
                {
                    "load": load,
                    "choice": name,
                    "p50_ms": percentile(latencies_seconds, 0.5),
                    "p99_ms": percentile(latencies_seconds, 0.99),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "placing.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
