"""Roll-out time and planning time by number of engines, on a simulated clock.

An engine takes about a second to load a version, the weight store limits reads per second, and
each partition is planned by its own lease holder. Planning uses the production code.

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


def roll_out(
    engines: int, partitions: int, unavailable_share: float, reads_per_second: float
) -> dict:
    rng = random.Random(1)
    versions = {f"engine-{n}": 1 for n in range(engines)}
    load_ends_at_seconds: dict[str, float] = {}
    states = [RolloutState() for _ in range(partitions)]
    partition_by_engine = {name: partition_of(name, partitions) for name in versions}
    engines_by_partition = [
        [name for name in versions if partition_by_engine[name] == partition]
        for partition in range(partitions)
    ]
    rules = [RouteChoice(serves="m")]
    now_seconds, available_reads, decision_seconds, orders_sent, max_unavailable = (
        0.0,
        reads_per_second,
        0.0,
        0,
        0,
    )
    while any(v != 2 for v in versions.values()) and now_seconds < 120:
        now_seconds += TICK_SECONDS
        available_reads = min(reads_per_second, available_reads + TICK_SECONDS * reads_per_second)
        for name, ends_at_seconds in list(load_ends_at_seconds.items()):
            if ends_at_seconds > now_seconds:
                continue
            del load_ends_at_seconds[name]
            failed = rng.random() < FAILURE_SHARE
            versions[name] = None if failed else 2
            states[partition_by_engine[name]].record_end(name, not failed, now_seconds)
        for partition in range(partitions):
            views = [
                EngineView(n, versions[n], n in load_ends_at_seconds)
                for n in engines_by_partition[partition]
            ]
            began_seconds = time.perf_counter()
            orders = plan_load_orders(
                2, unavailable_share, views, rules, states[partition], now_seconds
            )
            decision_seconds += time.perf_counter() - began_seconds
            for order in orders:
                orders_sent += 1
                states[partition].record_order(order)
                wait_seconds = 0.0
                if available_reads >= 1:
                    available_reads -= 1
                else:
                    # The store refuses the read, and the engine retries until it is accepted.
                    wait_seconds = (1 - available_reads) / reads_per_second
                    available_reads -= 1
                load_ends_at_seconds[order.engine] = (
                    now_seconds + wait_seconds + LOAD_SECONDS * rng.uniform(0.8, 1.3)
                )
        max_unavailable = max(max_unavailable, len(load_ends_at_seconds))
    return {
        "engines": engines,
        "partitions": partitions,
        "unavailable_share": unavailable_share,
        "store_reads_per_second": reads_per_second,
        "seconds": round(now_seconds, 2),
        "orders": orders_sent,
        "most_unavailable_share": round(max_unavailable / engines, 2),
        "decision_ms_per_partition_tick": round(
            1000 * decision_seconds / (now_seconds / TICK_SECONDS) / partitions, 3
        ),
    }


def main() -> None:
    rows = []
    for engines, partitions in ((6, 1), (60, 2), (200, 8), (600, 16)):
        for unavailable_share in (0.15, 0.34):
            rows.append(roll_out(engines, partitions, unavailable_share, 200.0))
            print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "rollout.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
