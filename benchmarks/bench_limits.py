"""Excess and waste of a global rate limit while the demand moves between daemons.

Ours against an equal static split and a central counter, on the same seeded demand.

    python benchmarks/bench_limits.py
"""

import json
import random
from dataclasses import dataclass
from pathlib import Path

from rackswitch.limits import RateLimit, ShareLedger

RESULTS = Path(__file__).parent / "results"
LIMIT = 300.0
RUN_SECONDS = 120.0
MOVE_SECONDS = 15.0
NEWS_DELAY_SECONDS = (0.1, 1.2)
LEND_PERIOD_SECONDS = 0.25
OUTAGE_SECONDS = (60.0, 80.0)


@dataclass(slots=True)
class Result:
    passed: int = 0
    offered: int = 0
    wasted: float = 0.0
    excess: float = 0.0
    calls: int = 0


def demand(daemons: int, now: float) -> list[float]:
    """Return each daemon's demand: twice the limit, on a fifth of the daemons in turn."""
    period = int(now // MOVE_SECONDS)
    busy = max(1, daemons // 5)
    chosen = {(period * busy + n) % daemons for n in range(busy)}
    return [2 * LIMIT / busy if n in chosen else 0.01 * LIMIT / daemons for n in range(daemons)]


class Lending:
    """The shipped shares, with news and loans that take their time."""

    def __init__(self, daemons: int, rng: random.Random):
        self.limits = [RateLimit(ShareLedger(LIMIT / daemons)) for _ in range(daemons)]
        self.rng = rng
        self.sequence = 0
        self.pending: list[tuple[float, int, int, int, float]] = []
        self.next_announce = 0.0
        self.lent: dict[tuple[int, int], float] = {}
        self.calls = 0

    def take(self, daemon: int, now: float) -> bool:
        return self.limits[daemon].try_take(now) is None

    def tick(self, now: float) -> None:
        if now >= self.next_announce:
            self.next_announce = now + LEND_PERIOD_SECONDS
            self.announce(now)
        due = [item for item in self.pending if item[0] <= now]
        self.pending = [item for item in self.pending if item[0] > now]
        for _, borrower, lender, sequence, missing in due:
            self.lend(borrower, lender, sequence, missing, now)

    def announce(self, now: float) -> None:
        for borrower, limit in enumerate(self.limits):
            missing = limit.missing_units(now)
            if missing <= 0:
                continue
            self.sequence += 1
            limit.book.announce(self.sequence, now)
            for lender in range(len(self.limits)):
                if lender != borrower:
                    at = now + self.rng.uniform(*NEWS_DELAY_SECONDS)
                    self.pending.append((at, borrower, lender, self.sequence, missing))

    def lend(self, borrower: int, lender: int, sequence: int, missing: float, now: float) -> None:
        if self.lent.get((lender, borrower), 0.0) > now:
            return
        book = self.limits[lender].book
        wanted = 2 * missing / max(1, len(self.limits) - 1)
        loan = book.lend(wanted, self.limits[lender].demand(now), now)
        if loan is not None:
            self.lent[(lender, borrower)] = now + 2.0
            self.limits[borrower].book.borrow(str(lender), loan.loan_id, loan.units, sequence, now)


class StaticSplit:
    def __init__(self, daemons: int, rng: random.Random):
        self.limits = [RateLimit(ShareLedger(LIMIT / daemons)) for _ in range(daemons)]
        self.calls = 0

    def take(self, daemon: int, now: float) -> bool:
        return self.limits[daemon].try_take(now) is None

    def tick(self, now: float) -> None:
        pass


class CentralCounter:
    """One bucket in the key-value service, one call a request; closed in an outage."""

    def __init__(self, daemons: int, rng: random.Random):
        self.limit = RateLimit(ShareLedger(LIMIT))
        self.calls = 0

    def take(self, daemon: int, now: float) -> bool:
        self.calls += 1
        if OUTAGE_SECONDS[0] <= now < OUTAGE_SECONDS[1]:
            return False
        return self.limit.try_take(now) is None

    def tick(self, now: float) -> None:
        pass


def run(kind: type, daemons: int) -> dict[str, object]:
    rng = random.Random(5)
    limiter = kind(daemons, random.Random(6))
    passed = [0] * int(RUN_SECONDS)
    offered = 0
    now = 0.0
    while now < RUN_SECONDS:
        now += 0.01
        limiter.tick(now)
        for daemon, rate in enumerate(demand(daemons, now)):
            expected = rate * 0.01
            count = int(expected) + (rng.random() < expected % 1)
            for _ in range(count):
                offered += 1
                if now < RUN_SECONDS and limiter.take(daemon, now):
                    passed[int(now)] += 1
    total = sum(passed)
    windows = [sum(passed[n : n + 5]) / 5 for n in range(1, len(passed) - 5)]
    return {
        "limiter": kind.__name__,
        "daemons": daemons,
        "used_share": round(total / (LIMIT * RUN_SECONDS), 3),
        "unused_share": round(1 - min(1.0, total / (LIMIT * RUN_SECONDS)), 3),
        "excess_most_over_5_s": round(max(0.0, max(windows) / LIMIT - 1), 3),
        "kv_calls_per_request": round(limiter.calls / offered, 2),
    }


def main() -> None:
    rows = []
    for daemons in (9, 30, 100, 330):
        for kind in (Lending, StaticSplit, CentralCounter):
            rows.append(run(kind, daemons))
            print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "limits.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
