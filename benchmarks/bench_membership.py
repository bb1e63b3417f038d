"""Time until all daemons detect crashed daemons, with the production failure detector.

Daemons exchange heartbeats in memory without delays, one period per second.

    python benchmarks/bench_membership.py
"""

import json
from pathlib import Path

from rackswitch.membership.tests.test_core import Network

RESULTS = Path(__file__).parent / "results"
MAX_PERIODS = 120


def measure_detection(daemons: int, deaths: int) -> dict[str, object]:
    network = Network(daemons, 1)
    for _ in range(3):
        network.period()
    network.dead = {f"d{n}" for n in range(deaths)}
    half_known_period = 0
    for period in range(1, MAX_PERIODS + 1):
        network.period()
        unaware_counts = [
            len(set(network.views[name].live()) & network.dead) for name in network.living()
        ]
        if not half_known_period and sum(unaware_counts) <= len(unaware_counts) * deaths / 2:
            half_known_period = period
        if not any(unaware_counts):
            break
    return {
        "daemons": daemons,
        "deaths": deaths,
        "half_known_after_seconds": half_known_period,
        "all_known_after_seconds": period,
        "all_known": not any(unaware_counts),
    }


def main() -> None:
    rows = []
    for daemons, deaths in ((9, 1), (30, 1), (100, 1), (330, 1), (9, 2), (100, 14), (330, 47)):
        rows.append(measure_detection(daemons, deaths))
        print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "membership.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
