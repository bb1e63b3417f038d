"""Compares routing policies on the same seeded arrivals, and goodput above saturation.

Engines are a fluid model in steps of 5 ms: a batch of 16 requests shares a token rate, other
requests wait, and cached prefixes need no prefill. Routing decisions use the production code.

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
PREFILL_TOKENS_PER_SECOND = 30000.0
CACHED_CHUNKS = 120
CHUNK_TOKENS = 64
POLL_SECONDS = 0.5
REPORT_LOAD_WITH_ANSWERS = True
DEADLINE_SECONDS = 6.0
RUN_SECONDS = 40.0


@dataclass(slots=True)
class QueuedRequest:
    arrived_seconds: float
    prefill_tokens: float
    tokens: float
    cost: float
    target: Target
    started_seconds: float = 0.0
    generated_tokens: float = 0.0


@dataclass(slots=True)
class Engine:
    name: str
    tokens_per_second: float
    running: list[QueuedRequest] = field(default_factory=list)
    waiting: deque[QueuedRequest] = field(default_factory=deque)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    cache_hits: int = 0
    cache_lookups: int = 0

    def outstanding(self) -> float:
        return sum(request.tokens for request in [*self.running, *self.waiting])

    def add(self, request: QueuedRequest, prefixes: tuple[int, ...]) -> None:
        missed_prefixes = 0
        for prefix in prefixes:
            self.cache_lookups += 1
            if prefix in self.cache:
                self.cache_hits += 1
                self.cache.move_to_end(prefix)
            else:
                missed_prefixes += 1
                self.cache[prefix] = None
        while len(self.cache) > CACHED_CHUNKS:
            self.cache.popitem(last=False)
        request.prefill_tokens = missed_prefixes * CHUNK_TOKENS
        self.waiting.append(request)

    def advance(self, now_seconds: float) -> list[QueuedRequest]:
        """Advance by one step; return the finished requests."""
        while self.waiting and len(self.running) < BATCH_WIDTH:
            request = self.waiting.popleft()
            request.started_seconds = now_seconds
            self.running.append(request)
        if not self.running:
            return []
        generated_per_request = self.tokens_per_second * STEP_SECONDS / len(self.running)
        prefill_per_request = PREFILL_TOKENS_PER_SECOND * STEP_SECONDS / len(self.running)
        for request in self.running:
            if request.prefill_tokens > 0:
                request.prefill_tokens -= prefill_per_request
            else:
                request.tokens -= generated_per_request
                request.generated_tokens += generated_per_request
        finished = [request for request in self.running if request.tokens <= 0]
        self.running = [request for request in self.running if request.tokens > 0]
        return finished


@dataclass(slots=True)
class Profile:
    name: str
    engines: int
    daemons: int
    one_way_seconds: float


PROFILES = (Profile("association", 4, 8, 0.001), Profile("register", 3, 6, 0.0015))
MEAN_TOKENS = 60.0
ENGINE_TOKENS_PER_SECOND = 1500.0


def generate_arrivals(
    profile: Profile, load: float, seed: int
) -> list[tuple[float, int, int, float]]:
    """Return (time, daemon, prompt family, tokens) for open-loop arrivals."""
    rng = random.Random(seed)
    requests_per_second = load * profile.engines * ENGINE_TOKENS_PER_SECOND / MEAN_TOKENS
    now_seconds, arrivals = 0.0, []
    while now_seconds < RUN_SECONDS:
        now_seconds += rng.expovariate(requests_per_second)
        family = rng.randrange(40) if rng.random() < 0.7 else 1000 + len(arrivals)
        tokens = max(1.0, rng.expovariate(1 / MEAN_TOKENS))
        arrivals.append((now_seconds, rng.randrange(profile.daemons), family, tokens))
    return arrivals


def run(
    profile: Profile,
    policy: str,
    load: float,
    seed: int,
    has_slow_engine: bool,
    admission_enabled: bool = False,
) -> dict[str, object]:
    rng = random.Random(seed + 1)
    engines = [Engine(f"e{n}", ENGINE_TOKENS_PER_SECOND) for n in range(profile.engines)]
    if has_slow_engine:
        engines[0].tokens_per_second /= 10
    views = [
        [Target(e.name, "", "", profile.one_way_seconds) for e in engines]
        for _ in range(profile.daemons)
    ]
    is_perfect = policy == "perfect"
    chooser = None if is_perfect else POLICIES.get(policy)(rng)
    queue = deque(generate_arrivals(profile, load, seed))
    latencies_seconds: list[float] = []
    within_deadline = refused = offered = 0
    now_seconds, next_poll_seconds, poll_count = 0.0, 0.0, 0
    while now_seconds < RUN_SECONDS + DEADLINE_SECONDS:
        now_seconds += STEP_SECONDS
        if now_seconds >= next_poll_seconds:
            next_poll_seconds += POLL_SECONDS
            poll_count += 1
            for number, view in enumerate(views):
                index = (poll_count + number) % len(engines)
                report = LoadReport(engines[index].outstanding(), 1, False, now_seconds)
                view[index].record_report(report)
        while queue and queue[0][0] <= now_seconds:
            arrived_seconds, daemon, family, tokens = queue.popleft()
            offered += 1
            prefixes = tuple(family * 100 + chunk for chunk in range(8))
            routed = RoutedRequest(8.0 * CHUNK_TOKENS, MEAN_TOKENS * 2, prefixes, now_seconds)
            view = views[daemon]
            if is_perfect:
                best = min(
                    range(len(engines)),
                    key=lambda i: engines[i].outstanding() / engines[i].tokens_per_second,
                )
                target = view[best]
            else:
                target = chooser.choose(routed, usable_targets(view, now_seconds))
                if admission_enabled:
                    decision = admit(routed, target, arrived_seconds + DEADLINE_SECONDS, 2)
                    if isinstance(decision, NotRun):
                        refused += 1
                        continue
            target.record_start(MEAN_TOKENS, prefixes)
            engine = engines[view.index(target)]
            if REPORT_LOAD_WITH_ANSWERS:
                # The engine reports its load with each answer.
                target.record_report(
                    LoadReport(engine.outstanding() + tokens, 1, False, now_seconds)
                )
            engine.add(QueuedRequest(arrived_seconds, 0.0, tokens, MEAN_TOKENS, target), prefixes)
        for engine in engines:
            for request in engine.advance(now_seconds):
                elapsed_seconds = now_seconds - request.arrived_seconds
                latencies_seconds.append(elapsed_seconds)
                within_deadline += elapsed_seconds <= DEADLINE_SECONDS
                request.target.record_end(request.cost)
                request.target.record_success(
                    int(request.generated_tokens), now_seconds - request.started_seconds
                )
    latencies_seconds.sort()
    hit_share = sum(engine.cache_hits for engine in engines) / max(
        1, sum(e.cache_lookups for e in engines)
    )
    return {
        "profile": profile.name,
        "policy": policy,
        "load": load,
        "slow_engine": has_slow_engine,
        "admission": admission_enabled,
        "p50_ms": round(1000 * latencies_seconds[len(latencies_seconds) // 2]),
        "p99_ms": round(1000 * latencies_seconds[int(len(latencies_seconds) * 0.99)]),
        "cache_hits": round(hit_share, 3),
        "goodput_per_second": round(within_deadline / RUN_SECONDS, 1),
        "refused_share": round(refused / offered, 3),
    }


def main() -> None:
    rows = []
    for profile in PROFILES:
        for policy in [*POLICIES.names(), "perfect"]:
            for has_slow_engine in (False, True):
                rows.append(run(profile, policy, 0.7, 11, has_slow_engine))
                print(json.dumps(rows[-1]), flush=True)
        for policy in ("round_robin", "prefix_home"):
            for load in (0.5, 1.0, 1.5, 2.0, 3.0):
                rows.append(run(profile, policy, load, 12, False, policy == "prefix_home"))
                print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "routing.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
