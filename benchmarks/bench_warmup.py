"""Arrivals at a cold engine by the ways weighed for its limit, by fleet size.

Compares rendezvous senders (the product's classes), a fixed split of the cold rate among the live
members, and no limit, on a simulated clock. 6 to 12 daemons own jobs and always have items to
send. "agree": the owners stay the same and all daemons run. "differ": owners come and go every
0.5 s on average, sometimes all at once, daemons learn of it up to 0.8 s later, a quarter of them
is paused once for up to 3 s, and a third is cut off from changes in the middle.

    python benchmarks/bench_warmup.py
"""

import json
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

from rackswitch.warmup import ColdBudget, plan_sends
from rackswitch.warmup.tests.fleet_run import (
    COLD_FROM_SECONDS,
    MAX_LAG_SECONDS,
    RUN_SECONDS,
    TERMS,
    Entry,
    FleetDaemon,
    FleetHistory,
    cold_entries,
    max_within_a_second,
    random_daemons,
    random_owners,
    run_fleet,
)

RESULTS = Path(__file__).parent / "results" / "warmup.json"
SIZES = (20, 70, 300)
SEEDS = range(10)
SLOTS = 6
RUN_OF_ITEM_SECONDS = 0.9
REFUSED_RETRY_SECONDS = 0.1
OWNERS = 12
CHANGE_SECONDS = 0.5


@dataclass
class SplitDaemon(FleetDaemon):
    """Sends its share of the cold rate; the shares are equal for all members of the fleet."""

    def sends(self, now_seconds: float) -> int:
        if not self._has_work(now_seconds) or not self.budget.may_send("e@1", now_seconds):
            return 0
        self.budget.record_send("e@1", now_seconds)
        return 1

    def _has_work(self, now_seconds: float) -> bool:
        known = self.views._views[-1].candidates if self.views._views else frozenset()
        return self.entry is not None and self.name in known


@dataclass
class Engine:
    """The slots of the engine, which refuses items while all are taken."""

    busy_until_seconds: list[float] = field(default_factory=list)

    def accepts(self, now_seconds: float) -> bool:
        self.busy_until_seconds = [at for at in self.busy_until_seconds if at > now_seconds]
        if len(self.busy_until_seconds) >= SLOTS:
            return False
        self.busy_until_seconds.append(now_seconds + RUN_OF_ITEM_SECONDS)
        return True


@dataclass
class UnlimitedDaemon(SplitDaemon):
    """Fills all slots that it believes to be free, and tries again after a refusal."""

    engine: Engine = field(default_factory=Engine)
    own_until_seconds: list[float] = field(default_factory=list)
    next_try_seconds: float = 0.0

    def sends(self, now_seconds: float) -> int:
        if not self._has_work(now_seconds) or now_seconds < self.next_try_seconds:
            return 0
        self.own_until_seconds = [at for at in self.own_until_seconds if at > now_seconds]
        count = SLOTS - len(self.own_until_seconds)
        for _ in range(count):
            if self.engine.accepts(now_seconds):
                self.own_until_seconds.append(now_seconds + RUN_OF_ITEM_SECONDS)
            else:
                self.next_try_seconds = now_seconds + REFUSED_RETRY_SECONDS
        return count


def as_way(way: str, daemons: list[FleetDaemon]) -> list[FleetDaemon]:
    """Return the daemons with the same lags, pauses and cuts, limited in one of the ways."""
    if way == "rendezvous":
        return daemons
    engine = Engine()
    changed: list[FleetDaemon] = []
    for daemon in daemons:
        options = (daemon.name, daemon.lag_seconds, daemon.cut_at_seconds, daemon.pauses)
        if way == "split":
            split = SplitDaemon(*options)
            split.budget = ColdBudget(len(daemons) / TERMS.requests_per_second)
            changed.append(split)
        else:
            changed.append(UnlimitedDaemon(*options, engine=engine))
    return changed


def measure(way: str, size: int, views_differ: bool, seed: int) -> tuple[int, float]:
    """Return the most arrivals in any second and the share of the cold rate that was used."""
    rng = random.Random(seed)
    names = [f"d{number}" for number in range(size)]
    if views_differ:
        daemons = random_daemons(names, rng, are_some_cut=True)
        owners = random_owners(names, rng, CHANGE_SECONDS)
        entries = cold_entries(rng, RUN_SECONDS, is_lapsing=True, is_for_ever=False)
    else:
        daemons = [FleetDaemon(name, rng.uniform(0.0, MAX_LAG_SECONDS)) for name in names]
        owners = FleetHistory([-5.0], [frozenset(rng.sample(names, OWNERS))])
        entries = FleetHistory([COLD_FROM_SECONDS], [Entry("e@1", 10, RUN_SECONDS)])
    phase_seconds = (COLD_FROM_SECONDS, RUN_SECONDS)
    arrivals = run_fleet(as_way(way, daemons), owners, entries, phase_seconds, rng)
    # By then all daemons know the engine.
    used = [at for at in arrivals if at >= COLD_FROM_SECONDS + 1.0]
    rate = len(used) / (RUN_SECONDS - COLD_FROM_SECONDS - 1.0)
    return max_within_a_second(arrivals), rate / TERMS.requests_per_second


def main() -> None:
    plan = plan_sends(TERMS)
    print(f"bound {TERMS.max_per_second}, planned {plan.requests_per_second:.1f}/s")
    results: dict[str, dict[str, float]] = {}
    for way in ("rendezvous", "split", "no limit"):
        for size in SIZES:
            for label, views_differ in (("agree", False), ("differ", True)):
                began_seconds = time.perf_counter()
                runs = [measure(way, size, views_differ, seed) for seed in SEEDS]
                result = {
                    "worst_arrivals_in_a_second": max(worst for worst, _ in runs),
                    "share_of_rate": round(sum(share for _, share in runs) / len(runs), 2),
                }
                results[f"{way}, {size} daemons, views {label}"] = result
                elapsed = f"{time.perf_counter() - began_seconds:.1f} s"
                print(f"{way}, {size} daemons, views {label}", result, elapsed)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
