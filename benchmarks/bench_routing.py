"""Routing policies on the same seeded arrivals, and goodput past saturation.

Engines are a small fluid model in steps of 5 ms: a batch of 16 shares a token rate, the
rest wait, cached prefixes cost no reading. The daemons' decisions are the shipped code.

    python benchmarks/bench_routing.py
"""

import json
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from pathlib import Path

from rackswitch.outcomes import NotRun
from rackswitch.routing import (
    POLICIES,
    LoadReport,
    RoutedRequest,
    Target,
    admit,
    usable_targets,
)

RESULTS = Path(__file__).parent / "results"
STEP_SECONDS = 0.005
BATCH_WIDTH = 16
READ_TOKENS_PER_SECOND = 30000.0
CACHED_CHUNKS = 120
CHUNK_TOKENS = 64
POLL_SECONDS = 0.5
PIGGYBACK = True
DEADLINE_SECONDS = 6.0
RUN_SECONDS = 40.0


@dataclass(slots=True)
class Work:
    arrived: float
    read_tokens: float
    tokens: float
    cost: float
    origin: Target
    started: float = 0.0
    made: float = 0.0


@dataclass(slots=True)
class Engine:
    name: str
    rate: float
    running: list[Work] = field(default_factory=list)
    waiting: deque[Work] = field(default_factory=deque)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    hits: int = 0
    looked: int = 0

    def outstanding(self) -> float:
        return sum(work.tokens for work in [*self.running, *self.waiting])

    def add(self, work: Work, prefixes: tuple[int, ...]) -> None:
        missed = 0
        for prefix in prefixes:
            self.looked += 1
            if prefix in self.cache:
                self.hits += 1
                self.cache.move_to_end(prefix)
            else:
                missed += 1
                self.cache[prefix] = None
        while len(self.cache) > CACHED_CHUNKS:
            self.cache.popitem(last=False)
        work.read_tokens = missed * CHUNK_TOKENS
        self.waiting.append(work)

    def advance(self, now: float) -> list[Work]:
        """Move on one step; return what was finished."""
        while self.waiting and len(self.running) < BATCH_WIDTH:
            work = self.waiting.popleft()
            work.started = now
            self.running.append(work)
        if not self.running:
            return []
        share = self.rate * STEP_SECONDS / len(self.running)
        read = READ_TOKENS_PER_SECOND * STEP_SECONDS / len(self.running)
        for work in self.running:
            if work.read_tokens > 0:
                work.read_tokens -= read
            else:
                work.tokens -= share
                work.made += share
        done = [work for work in self.running if work.tokens <= 0]
        self.running = [work for work in self.running if work.tokens > 0]
        return done


@dataclass(slots=True)
class Profile:
    name: str
    engines: int
    daemons: int
    one_way: float


PROFILES = (Profile("association", 4, 8, 0.001), Profile("register", 3, 6, 0.0015))
MEAN_TOKENS = 60.0
ENGINE_RATE = 1500.0


def arrivals(profile: Profile, load: float, seed: int) -> list[tuple[float, int, int, float]]:
    """Return (time, daemon, prompt family, tokens) of an open-loop run."""
    rng = random.Random(seed)
    rate = load * profile.engines * ENGINE_RATE / MEAN_TOKENS
    now, result = 0.0, []
    while now < RUN_SECONDS:
        now += rng.expovariate(rate)
        family = rng.randrange(40) if rng.random() < 0.7 else 1000 + len(result)
        tokens = max(1.0, rng.expovariate(1 / MEAN_TOKENS))
        result.append((now, rng.randrange(profile.daemons), family, tokens))
    return result


def run(
    profile: Profile, policy: str, load: float, seed: int, slow: bool, admits: bool = False
) -> dict[str, object]:
    rng = random.Random(seed + 1)
    engines = [Engine(f"e{n}", ENGINE_RATE) for n in range(profile.engines)]
    if slow:
        engines[0].rate /= 10
    views = [
        [Target(e.name, "", "", profile.one_way) for e in engines] for _ in range(profile.daemons)
    ]
    perfect = policy == "perfect"
    chooser = None if perfect else POLICIES.get(policy)(rng)
    queue = deque(arrivals(profile, load, seed))
    times: list[float] = []
    good = refused = offered = 0
    now, next_poll, polled = 0.0, 0.0, 0
    while now < RUN_SECONDS + DEADLINE_SECONDS:
        now += STEP_SECONDS
        if now >= next_poll:
            next_poll += POLL_SECONDS
            polled += 1
            for number, view in enumerate(views):
                index = (polled + number) % len(engines)
                report = LoadReport(engines[index].outstanding(), 1, False, now)
                view[index].take_report(report)
        while queue and queue[0][0] <= now:
            at, daemon, family, tokens = queue.popleft()
            offered += 1
            prefixes = tuple(family * 100 + chunk for chunk in range(8))
            routed = RoutedRequest(8.0 * CHUNK_TOKENS, MEAN_TOKENS * 2, prefixes, now)
            view = views[daemon]
            if perfect:
                best = min(
                    range(len(engines)), key=lambda i: engines[i].outstanding() / engines[i].rate
                )
                target = view[best]
            else:
                target = chooser.choose(routed, usable_targets(view, now))
                if admits:
                    verdict = admit(routed, target, at + DEADLINE_SECONDS, 2)
                    if isinstance(verdict, NotRun):
                        refused += 1
                        continue
            target.begin(MEAN_TOKENS, prefixes)
            engine = engines[view.index(target)]
            if PIGGYBACK:
                # The engine tells its load with each answer.
                target.take_report(LoadReport(engine.outstanding() + tokens, 1, False, now))
            engine.add(Work(at, 0.0, tokens, MEAN_TOKENS, target), prefixes)
        for engine in engines:
            for work in engine.advance(now):
                elapsed = now - work.arrived
                times.append(elapsed)
                good += elapsed <= DEADLINE_SECONDS
                work.origin.end(work.cost)
                work.origin.succeeded(int(work.made), now - work.started)
    times.sort()
    hits = sum(engine.hits for engine in engines) / max(1, sum(e.looked for e in engines))
    return {
        "profile": profile.name,
        "policy": policy,
        "load": load,
        "slow_engine": slow,
        "admission": admits,
        "p50_ms": round(1000 * times[len(times) // 2]),
        "p99_ms": round(1000 * times[int(len(times) * 0.99)]),
        "cache_hits": round(hits, 3),
        "goodput_per_second": round(good / RUN_SECONDS, 1),
        "refused_share": round(refused / offered, 3),
    }


def main() -> None:
    rows = []
    for profile in PROFILES:
        for policy in [*POLICIES.names(), "perfect"]:
            for slow in (False, True):
                rows.append(run(profile, policy, 0.7, 11, slow))
                print(json.dumps(rows[-1]), flush=True)
        for policy in ("round_robin", "prefix_home"):
            for load in (0.5, 1.0, 1.5, 2.0, 3.0):
                rows.append(run(profile, policy, load, 12, False, policy == "prefix_home"))
                print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "routing.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
