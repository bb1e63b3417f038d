"""Roll-out time against the number of engines: the decision alone, on a clock that jumps.

Engines take a second to load; the store allows a number of reads a second; each
partition is one leased holder with its own allowance. The decision is the shipped code.

    python benchmarks/bench_rollout.py
"""

import json
import random
import time
from pathlib import Path

from rackswitch.table import RouteChoice
from rackswitch.weights import EngineView, RolloutState, partition_of, plan_load_orders

RESULTS = Path(__file__).parent / "results"
TICK_SECONDS = 0.25
LOAD_SECONDS = 1.0
FAILURE_SHARE = 0.02


def roll_out(engines: int, partitions: int, share: float, reads_per_second: float) -> dict:
    rng = random.Random(1)
    version = {f"engine-{n}": 1 for n in range(engines)}
    done_at: dict[str, float] = {}
    states = [RolloutState() for _ in range(partitions)]
    of = {name: partition_of(name, partitions) for name in version}
    members = [[name for name in version if of[name] == p] for p in range(partitions)]
    rules = [RouteChoice(serves="m")]
    now, allowance, decided, orders_sent, max_out = 0.0, reads_per_second, 0.0, 0, 0
    while any(v != 2 for v in version.values()) and now < 120:
        now += TICK_SECONDS
        allowance = min(reads_per_second, allowance + TICK_SECONDS * reads_per_second)
        for name, at in list(done_at.items()):
            if at > now:
                continue
            del done_at[name]
            failed = rng.random() < FAILURE_SHARE
            version[name] = None if failed else 2
            states[of[name]].ended(name, not failed, now)
        for p in range(partitions):
            views = [EngineView(n, version[n], n in done_at) for n in members[p]]
            began = time.perf_counter()
            orders = plan_load_orders(2, share, views, rules, states[p], now)
            decided += time.perf_counter() - began
            for order in orders:
                orders_sent += 1
                states[p].ordered(order)
                wait = 0.0
                if allowance >= 1:
                    allowance -= 1
                else:
                    # The store refuses; the engine asks again until it is let in.
                    wait = (1 - allowance) / reads_per_second
                    allowance -= 1
                done_at[order.engine] = now + wait + LOAD_SECONDS * rng.uniform(0.8, 1.3)
        max_out = max(max_out, len(done_at))
    return {
        "engines": engines,
        "partitions": partitions,
        "unavailable_share": share,
        "store_reads_per_second": reads_per_second,
        "seconds": round(now, 2),
        "orders": orders_sent,
        "most_unavailable_share": round(max_out / engines, 2),
        "decision_ms_per_partition_tick": round(
            1000 * decided / (now / TICK_SECONDS) / partitions, 3
        ),
    }


def main() -> None:
    rows = []
    for engines, partitions in ((6, 1), (60, 2), (200, 8), (600, 16)):
        for share in (0.15, 0.34):
            rows.append(roll_out(engines, partitions, share, 200.0))
            print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "rollout.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
