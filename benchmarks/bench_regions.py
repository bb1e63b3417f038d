"""Step times of owners in two regions that submit 176 items for 108 slots at once.

Engines and paths are simulated; the owners' decisions use the production code. "before" is a
deployment whose settings state no regions.

    python benchmarks/bench_regions.py [SEEDS]
"""

import json
import sys
from pathlib import Path
from statistics import fmean, quantiles

from rackswitch.gateway.items.tests.region_load import play_load

RESULTS = Path(__file__).parent / "results"
CASES = {
    "1 ms": (0.001, ""),
    "30 ms": (0.03, ""),
    "200 ms": (0.2, ""),
    "30 ms, link cut for 4.5 s": (0.03, "cut"),
    "30 ms, engines of a region lost for 4.5 s": (0.03, "lost"),
}


def summarize(knows_regions: bool, case: str, seeds: range) -> dict[str, float]:
    """Return step times, queues and the share of runs that crossed the link."""
    delay_seconds, fault = CASES[case]
    plays = [play_load(knows_regions, seed, 3, delay_seconds, fault) for seed in seeds]
    step_seconds = [seconds for play in plays for seconds in play.step_seconds]
    runs = sum(sum(play.runs_by_region.values()) for play in plays)
    crossing_runs = sum(
        count
        for play in plays
        for (owner_region, engine_region), count in play.runs_by_region.items()
        if owner_region != engine_region
    )
    result = {
        "steps": len(step_seconds),
        "mean_seconds": fmean(step_seconds),
        "p95_seconds": quantiles(step_seconds, n=20)[-1],
        "max_queued": max(play.max_queued for play in plays),
        "crossing_share": crossing_runs / runs,
    }
    return {name: round(value, 3) for name, value in result.items()}


def main() -> None:
    """Play all cases with and without regions."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 6)
    results = {}
    for case in CASES:
        for name, knows_regions in (("before", False), ("regions", True)):
            results[f"{name}, {case}"] = result = summarize(knows_regions, case, seeds)
            print(f"{name:8} {case:42}", result, flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "regions.json").write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
