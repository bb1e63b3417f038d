"""Cost of a start, a change and a crash of the watching daemon, by fleet size.

Runs the production replication code on a simulated clock, with latencies of 0.2 ms within and
1 ms between six availability zones, and all daemons starting within 0.3 s. For comparison, also
gives the calls needed if every daemon watched the key-value service itself.

    python benchmarks/bench_spread.py
"""

import asyncio
import json
import time
from pathlib import Path

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.store.tests.spread_run import WATCH_SECONDS, SpreadRun

RESULTS = Path(__file__).parent / "results" / "spread.json"
SIZES = (3, 30, 165, 330)
IDLE_SECONDS = 20.0
CHANGES = 10
PREFIXES = 2


async def measure(daemons: int) -> dict[str, float]:
    run = SpreadRun(daemons)
    await run.start()
    settled_seconds = await run.wait_until_settled()
    start_calls = run.service.billed_calls
    await asyncio.sleep(IDLE_SECONDS)
    idle_calls = run.service.billed_calls - start_calls
    served_before = {name: node.served for name, node in run.daemons.items()}
    change_seconds = [(await run.propagate(f"change {number}"))[-1] for number in range(CHANGES)]
    max_served = max(node.served - served_before[name] for name, node in run.daemons.items())
    (root,) = run.watchers()
    run.kill(root)
    change_after_crash_seconds = (await run.propagate("after the death"))[-1]
    watchers = len(run.watchers())
    await run.stop()
    return {
        "settled_seconds": round(settled_seconds, 2),
        "start_calls_a_daemon": round(start_calls / daemons, 2),
        "quiet_calls_a_second": round(idle_calls / IDLE_SECONDS, 2),
        "naive_quiet_calls_a_second": round(daemons * PREFIXES / WATCH_SECONDS, 1),
        "change_everywhere_seconds": round(max(change_seconds), 3),
        "answers_of_the_busiest_a_change": round(max_served / CHANGES, 1),
        "change_after_a_death_seconds": round(change_after_crash_seconds, 2),
        "watchers_after_a_death": watchers,
    }


def main() -> None:
    results = {}
    for daemons in SIZES:
        began_seconds = time.perf_counter()
        results[daemons] = run_on_virtual_clock(measure(daemons))
        print(daemons, results[daemons], f"{time.perf_counter() - began_seconds:.1f} s")
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
