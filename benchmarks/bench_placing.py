"""Placing by what targets tell, on uneven targets with noise and a slow spell.

A target is a queue in order of arrival before some slots, so a request's finish is known as it is
sent, and the bound is a choice with knowledge of all that is and will be. The daemons' decisions
are the shipped code.

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
DECIDERS = 77
TICK_SECONDS = 0.05
PLAYED_SECONDS = 30.0
GRID_SECONDS = 2 * PLAYED_SECONDS
MIN_PACE, MAX_PACE = 0.55, 1.2
NOISE_FACTOR, NOISE_SHARE, NOISE_SECONDS = 2.5, 0.15, 0.6
SLOW_FACTOR, SLOW_SHARE = 6.0, 0.2
SLOW_FROM_SECONDS, SLOW_UNTIL_SECONDS = 10.0, 18.0
CALL_SECONDS = (0.025, 0.1)
PIECE_SECONDS = 0.04
USUAL_PIECES = 22.0
GAPS_HEARD_SECONDS = 0.2
"""Of a text not each gap is played, but enough of them."""

RUN_COST_SHARE = 0.01
"""As the schedule weighs it where targets tell no pace."""


@dataclass(slots=True)
class PlayedTarget:
    """A target whose pace over time is drawn beforehand."""

    listed: ListedTarget
    paces: list[float]
    free_at: list[float] = field(default_factory=list)
    spans: list[tuple[float, float]] = field(default_factory=list)

    def pace(self, at_seconds: float) -> float:
        return self.paces[min(len(self.paces) - 1, int(at_seconds / TICK_SECONDS))]

    def begin_at(self, now_seconds: float) -> float:
        if len(self.free_at) < self.listed.slots:
            return now_seconds
        return max(now_seconds, self.free_at[0])

    def finish_at(self, now_seconds: float, work_seconds: float) -> float:
        """Return when work would be through that is sent now."""
        at_seconds, left_seconds = self.begin_at(now_seconds), work_seconds
        while True:
            tick_end = (int(at_seconds / TICK_SECONDS + 1e-9) + 1) * TICK_SECONDS
            pace = self.pace(at_seconds + 1e-9)
            if left_seconds * pace <= tick_end - at_seconds:
                return at_seconds + left_seconds * pace
            left_seconds -= (tick_end - at_seconds) / pace
            at_seconds = tick_end

    def send(self, now_seconds: float, work_seconds: float) -> tuple[float, float]:
        """Take work on; return when it begins and when it is through."""
        begins, ends = self.begin_at(now_seconds), self.finish_at(now_seconds, work_seconds)
        if len(self.free_at) == self.listed.slots:
            heapq.heapreplace(self.free_at, ends)
        else:
            heapq.heappush(self.free_at, ends)
        self.spans = [span for span in self.spans if span[1] > now_seconds - 1.0]
        self.spans.append((begins, ends))
        return begins, ends

    def word(self, at_seconds: float) -> ReportedLoad:
        running = sum(begins <= at_seconds < ends for begins, ends in self.spans)
        waiting = sum(at_seconds < begins for begins, _ in self.spans)
        return ReportedLoad(running, waiting, self.listed.slots, self.pace(at_seconds), at_seconds)


@dataclass(slots=True)
class Decider:
    """What one daemon knows."""

    targets: list[PlayedTarget]
    rng: random.Random
    picture: LoadEstimator = field(default_factory=LoadEstimator)
    paces: EnginePaces = field(default_factory=EnginePaces)
    known: list[Target] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.known = [Target(t.listed.instance, "u", "z") for t in self.targets]


Choice = Callable[[Decider, WorkKind, float, float], int]


def at_random(decider: Decider, kind: WorkKind, work_seconds: float, now: float) -> int:
    return decider.rng.randrange(len(decider.targets))


def by_policy(name: str) -> Choice:
    def choose(decider: Decider, kind: WorkKind, work_seconds: float, now: float) -> int:
        policy = POLICIES.get(name)(decider.rng)
        chosen = policy.choose(RoutedRequest(0.0, 20.0, (), now), decider.known)
        return decider.known.index(chosen)

    return choose


def today(decider: Decider, kind: WorkKind, work_seconds: float, now: float) -> int:
    """Calls by `at_hand`; items by own runs and learnt paces, as all words are thrown away."""
    if kind is WorkKind.CALL:
        return by_policy("at_hand")(decider, kind, work_seconds, now)

    def finish(number: int) -> tuple[bool, float, float]:
        own = decider.known[number].own_requests
        pace = decider.paces.get(decider.targets[number].listed.start, now)
        is_full = own >= decider.targets[number].listed.slots
        return is_full, pace * (1 + RUN_COST_SHARE * own), own

    return min(range(len(decider.targets)), key=finish)


def by_picture(decider: Decider, kind: WorkKind, work_seconds: float, now: float) -> int:
    units = work_seconds / PIECE_SECONDS if kind is WorkKind.TEXT else 1.0
    usual = decider.picture.usual_units("s", kind)
    places = [decider.picture.place(t.listed, kind, usual, now) for t in decider.targets]
    run_seconds = decider.picture.usual_run_seconds("s", kind)
    return places.index(choose_target(places, units, run_seconds, decider.rng))


def perfect(decider: Decider, kind: WorkKind, work_seconds: float, now: float) -> int:
    return min(
        range(len(decider.targets)),
        key=lambda number: decider.targets[number].finish_at(now, work_seconds),
    )


CHOICES: dict[str, Choice] = {
    "random": at_random,
    "two_choices": by_policy("two_choices"),
    "today": today,
    "nearly_best": by_picture,
    "perfect": perfect,
}


def make_targets(count: int, slots: int, rng: random.Random) -> list[PlayedTarget]:
    ticks = round(GRID_SECONDS / TICK_SECONDS)
    spell_ticks = round(NOISE_SECONDS / TICK_SECONDS)
    slow = set(rng.sample(range(count), round(SLOW_SHARE * count)))
    targets = []
    for number in range(count):
        usual = rng.uniform(MIN_PACE, MAX_PACE)
        paces = [usual] * ticks
        for tick in range(0, ticks, spell_ticks):
            if rng.random() < NOISE_SHARE:
                paces[tick : tick + spell_ticks] = [usual * NOISE_FACTOR] * spell_ticks
        if number in slow:
            span = range(
                int(SLOW_FROM_SECONDS / TICK_SECONDS), int(SLOW_UNTIL_SECONDS / TICK_SECONDS)
            )
            for tick in span:
                paces[tick] *= SLOW_FACTOR
        listed = ListedTarget(f"t{number}", "s", "h", 1, "z", slots)
        targets.append(PlayedTarget(listed, paces[:ticks]))
    return targets


class Play:
    """Sends work in the order of time, and lets each decider learn of its own."""

    def __init__(self, name: str, targets: list[PlayedTarget], deciders: int, seed: int):
        self.choose = CHOICES[name]
        self.targets = targets
        self.deciders = [Decider(targets, random.Random(seed + n)) for n in range(deciders)]
        self.news: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def send(self, decider: Decider, kind: WorkKind, work_seconds: float, now: float) -> float:
        """Place a piece of work; return when it is through."""
        self._learn(now)
        number = self.choose(decider, kind, work_seconds, now)
        target, known = self.targets[number], decider.known[number]
        units = work_seconds / PIECE_SECONDS if kind is WorkKind.TEXT else 1.0
        place = decider.picture.place(target.listed, kind, units, now)
        sent = decider.picture.sent(target.listed, kind, place, now)
        known.begin(20.0, ())
        begins, ends = target.send(now, work_seconds)
        start = target.listed.start

        def told(at_seconds: float) -> None:
            decider.picture.heard(start, "s", target.word(at_seconds))

        def ended() -> None:
            known.end(20.0)
            decider.picture.done(sent)
            decider.picture.worked(sent, units, ends)

        def piece(at_seconds: float) -> None:
            gap_seconds = PIECE_SECONDS * target.pace(at_seconds)
            decider.paces.note(start, gap_seconds, at_seconds)
            decider.picture.piece(start, "s", gap_seconds, at_seconds)

        if kind is WorkKind.TEXT:
            self._later(begins, lambda: told(begins))
            for number in range(1, int((ends - begins) / GAPS_HEARD_SECONDS)):
                at_seconds = begins + number * GAPS_HEARD_SECONDS
                self._later(at_seconds, partial(piece, at_seconds))
        else:
            self._later(ends, lambda: told(ends))
        self._later(ends, ended)
        return ends

    def _later(self, at_seconds: float, news: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.news, (at_seconds, self.count, news))

    def _learn(self, now: float) -> None:
        while self.news and self.news[0][0] <= now:
            heapq.heappop(self.news)[2]()


def play_calls(name: str, seed: int) -> list[float]:
    rng = random.Random(seed)
    play = Play(name, make_targets(9, 6, rng), DECIDERS, seed)
    times, now = [], 0.0
    while now < PLAYED_SECONDS:
        now += rng.expovariate(350.0)
        work_seconds = rng.uniform(*CALL_SECONDS)
        decider = rng.choice(play.deciders)
        times.append(play.send(decider, WorkKind.CALL, work_seconds, now) - now)
    return times


def play_steps(name: str, seed: int) -> list[float]:
    """Steps of several owners, each of items of very different length; the longest go first."""
    rng = random.Random(seed)
    play = Play(name, make_targets(20, 12, rng), 8, seed)
    starts = sorted(
        (rng.uniform(0.0, PLAYED_SECONDS), owner) for owner in range(8) for _ in range(12)
    )
    times = []
    for now, owner in starts:
        pieces = sorted(
            (max(2.0, rng.lognormvariate(0.0, 0.6) * USUAL_PIECES) for _ in range(32)),
            reverse=True,
        )
        ends = [
            play.send(play.deciders[owner], WorkKind.TEXT, count * PIECE_SECONDS, now)
            for count in pieces
        ]
        times.append(max(ends) - now)
    return times


def percentile(times: list[float], share: float) -> float:
    return round(1000 * sorted(times)[int(share * len(times))])


def main() -> None:
    rows = []
    for load, play in (("calls", play_calls), ("steps", play_steps)):
        for name in CHOICES:
            times = [took for seed in range(5) for took in play(name, seed)]
            rows.append(
                {
                    "load": load,
                    "choice": name,
                    "p50_ms": percentile(times, 0.5),
                    "p99_ms": percentile(times, 0.99),
                }
            )
            print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "placing.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
