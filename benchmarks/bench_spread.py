"""What a start, a change and a death of the watching daemon cost fleets of several sizes.

Whole fleets of the shipped keepers on a clock that jumps; 0.2 ms within and 1 ms between six
availability zones, all daemons starting within 0.3 s. Beside them, what it takes if every daemon
reads and watches the key-value service by itself.

    python benchmarks/bench_spread.py
"""

import asyncio
import json
import time
from pathlib import Path

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.store.tests.spread_run import WATCH_SECONDS, SpreadRun

RESULTS = Path(__file__).parent / "results" / "spread.json"
SIZES = (3, 30, 165, 330)
QUIET_SECONDS = 20.0
CHANGES = 10
PREFIXES = 2


async def play(daemons: int) -> dict[str, float]:
    run = SpreadRun(daemons)
    await run.start()
    settled_seconds = await run.settled()
    start_calls = run.service.priced
    await asyncio.sleep(QUIET_SECONDS)
    quiet_calls = run.service.priced - start_calls
    served = {name: node.served for name, node in run.nodes.items()}
    latest = [(await run.spread(f"change {number}"))[-1] for number in range(CHANGES)]
    busiest = max(node.served - served[name] for name, node in run.nodes.items())
    (root,) = run.watchers()
    run.kill(root)
    repaired = (await run.spread("after the death"))[-1]
    watchers = len(run.watchers())
    await run.stop()
    return {
        "settled_seconds": round(settled_seconds, 2),
        "start_calls_a_daemon": round(start_calls / daemons, 2),
        "quiet_calls_a_second": round(quiet_calls / QUIET_SECONDS, 2),
        "naive_quiet_calls_a_second": round(daemons * PREFIXES / WATCH_SECONDS, 1),
        "change_everywhere_seconds": round(max(latest), 3),
        "answers_of_the_busiest_a_change": round(busiest / CHANGES, 1),
        "change_after_a_death_seconds": round(repaired, 2),
        "watchers_after_a_death": watchers,
    }


def main() -> None:
    figures = {}
    for daemons in SIZES:
        began = time.perf_counter()
        figures[daemons] = run_virtual(play(daemons))
        print(daemons, figures[daemons], f"{time.perf_counter() - began:.1f} s")
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
