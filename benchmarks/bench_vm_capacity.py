"""Owners of jobs on 60 uneven daemons: chosen by processor share alone, and by all VM limits.

Plays ownership alone, without a network: in each of six zones, trainers submit a job of 32 to 64
items every 4 s at any daemon of the zone. Link use is derived from the items (`MBPS_PER_ITEM`).

    python benchmarks/bench_vm_capacity.py
"""

import json
from pathlib import Path
from statistics import mean, median

from rackswitch.jobs.tests.ownership_load import (
    OwnershipFigures,
    play,
    select_by_processor,
    select_owner,
)

RESULTS = Path(__file__).parent / "results" / "vm_capacity.json"
DAEMONS = 60
SEEDS = range(20)
TRAINERS_PER_ZONE = (1, 4, 8)


def summary(runs: list[OwnershipFigures]) -> dict[str, float]:
    return {
        "fullest_link_median": round(median(run.fullest_link for run in runs), 3),
        "fullest_link_max": round(max(run.fullest_link for run in runs), 3),
        "smallest_vm_items_mean": mean(run.smallest_vm_items for run in runs),
        "smallest_vm_items_max": max(run.smallest_vm_items for run in runs),
        "owners_median": median(run.owners for run in runs),
    }


def main() -> None:
    results = {}
    for trainers in TRAINERS_PER_ZONE:
        for name, select in (("processor", select_by_processor), ("all limits", select_owner)):
            runs = [play(select, DAEMONS, trainers, seed) for seed in SEEDS]
            key = f"{trainers} trainers a zone, {name}"
            results[key] = summary(runs)
            print(key, results[key])
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
