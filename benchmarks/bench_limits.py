"""Excess and unused share of a global rate limit while demand moves between daemons.

Compares lending between daemons with an equal static split and a central counter, on the same
seeded demand.

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
DEMAND_SHIFT_INTERVAL_SECONDS = 15.0
ANNOUNCEMENT_DELAY_SECONDS = (0.1, 1.2)
ANNOUNCEMENT_INTERVAL_SECONDS = 0.25
OUTAGE_SECONDS = (60.0, 80.0)


@dataclass(slots=True)
class Result:
    admitted: int = 0
    offered: int = 0
    wasted: float = 0.0
    excess: float = 0.0
    calls: int = 0


def demand(daemons: int, now_seconds: float) -> list[float]:
    """Return each daemon's demand: in total twice the limit, on a fifth of the daemons in turn."""
    period = int(now_seconds // DEMAND_SHIFT_INTERVAL_SECONDS)
    busy_count = max(1, daemons // 5)
    busy_daemons = {(period * busy_count + n) % daemons for n in range(busy_count)}
    return [
        2 * LIMIT / busy_count if n in busy_daemons else 0.01 * LIMIT / daemons
        for n in range(daemons)
    ]


class Lending:
    """The production ledger of shares, with delayed announcements and loans."""

    def __init__(self, daemons: int, rng: random.Random):
        self.limits = [RateLimit(ShareLedger(LIMIT / daemons)) for _ in range(daemons)]
        self.rng = rng
        self.sequence = 0
        self.pending_announcements: list[tuple[float, int, int, int, float]] = []
        self.next_announcement_seconds = 0.0
        self.lent_until_seconds: dict[tuple[int, int], float] = {}
        self.calls = 0

    def try_admit(self, daemon: int, now_seconds: float) -> bool:
        return self.limits[daemon].try_take(now_seconds) is None

    def tick(self, now_seconds: float) -> None:
        if now_seconds >= self.next_announcement_seconds:
            self.next_announcement_seconds = now_seconds + ANNOUNCEMENT_INTERVAL_SECONDS
            self.announce(now_seconds)
        due_announcements = [
            announcement
            for announcement in self.pending_announcements
            if announcement[0] <= now_seconds
        ]
        self.pending_announcements = [
            announcement
            for announcement in self.pending_announcements
            if announcement[0] > now_seconds
        ]
        for _, borrower, lender, sequence, deficit_units in due_announcements:
            self.lend(borrower, lender, sequence, deficit_units, now_seconds)

    def announce(self, now_seconds: float) -> None:
        for borrower, limit in enumerate(self.limits):
            deficit_units = limit.missing_units(now_seconds)
            if deficit_units <= 0:
                continue
            self.sequence += 1
            limit.ledger.announce(self.sequence, now_seconds)
            for lender in range(len(self.limits)):
                if lender != borrower:
                    arrives_at_seconds = now_seconds + self.rng.uniform(*ANNOUNCEMENT_DELAY_SECONDS)
                    self.pending_announcements.append(
                        (arrives_at_seconds, borrower, lender, self.sequence, deficit_units)
                    )

    def lend(
        self, borrower: int, lender: int, sequence: int, deficit_units: float, now_seconds: float
    ) -> None:
        if self.lent_until_seconds.get((lender, borrower), 0.0) > now_seconds:
            return
        lender_ledger = self.limits[lender].ledger
        requested_units = 2 * deficit_units / max(1, len(self.limits) - 1)
        loan = lender_ledger.lend(
            requested_units, self.limits[lender].demand(now_seconds), now_seconds
        )
        if loan is not None:
            self.lent_until_seconds[(lender, borrower)] = now_seconds + 2.0
            self.limits[borrower].ledger.borrow(
                str(lender), loan.loan_id, loan.units, sequence, now_seconds
            )


class StaticSplit:
    def __init__(self, daemons: int, rng: random.Random):
        self.limits = [RateLimit(ShareLedger(LIMIT / daemons)) for _ in range(daemons)]
        self.calls = 0

    def try_admit(self, daemon: int, now_seconds: float) -> bool:
        return self.limits[daemon].try_take(now_seconds) is None

    def tick(self, now_seconds: float) -> None:
        pass


class CentralCounter:
    """One token bucket in the key-value service, one call per request; refuses during an outage."""

    def __init__(self, daemons: int, rng: random.Random):
        self.limit = RateLimit(ShareLedger(LIMIT))
        self.calls = 0

    def try_admit(self, daemon: int, now_seconds: float) -> bool:
        self.calls += 1
        if OUTAGE_SECONDS[0] <= now_seconds < OUTAGE_SECONDS[1]:
            return False
        return self.limit.try_take(now_seconds) is None

    def tick(self, now_seconds: float) -> None:
        pass


def run(limiter_class: type, daemons: int) -> dict[str, object]:
    rng = random.Random(5)
    limiter = limiter_class(daemons, random.Random(6))
    admitted = [0] * int(RUN_SECONDS)
    offered = 0
    now_seconds = 0.0
    while now_seconds < RUN_SECONDS:
        now_seconds += 0.01
        limiter.tick(now_seconds)
        for daemon, rate in enumerate(demand(daemons, now_seconds)):
            expected = rate * 0.01
            count = int(expected) + (rng.random() < expected % 1)
            for _ in range(count):
                offered += 1
                if now_seconds < RUN_SECONDS and limiter.try_admit(daemon, now_seconds):
                    admitted[int(now_seconds)] += 1
    total = sum(admitted)
    window_rates = [sum(admitted[n : n + 5]) / 5 for n in range(1, len(admitted) - 5)]
    return {
        "limiter": limiter_class.__name__,
        "daemons": daemons,
        "used_share": round(total / (LIMIT * RUN_SECONDS), 3),
        "unused_share": round(1 - min(1.0, total / (LIMIT * RUN_SECONDS)), 3),
        "excess_most_over_5_s": round(max(0.0, max(window_rates) / LIMIT - 1), 3),
        "kv_calls_per_request": round(limiter.calls / offered, 2),
    }


def main() -> None:
    rows = []
    for daemons in (9, 30, 100, 330):
        for limiter_class in (Lending, StaticSplit, CentralCounter):
            rows.append(run(limiter_class, daemons))
            print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "limits.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
