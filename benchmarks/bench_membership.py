"""How long until all daemons know of deaths, with the shipped failure detection.

Views exchange heartbeats in memory, one period a second, no delays.

    python benchmarks/bench_membership.py
"""

import json
from pathlib import Path

from rackswitch.membership.tests.test_core import Network

RESULTS = Path(__file__).parent / "results"
MAX_PERIODS = 120


def detection(daemons: int, deaths: int) -> dict[str, object]:
    network = Network(daemons, 1)
    for _ in range(3):
        network.period()
    network.dead = {f"d{n}" for n in range(deaths)}
    first_half = 0
    for period in range(1, MAX_PERIODS + 1):
        network.period()
        left = [len(set(network.views[name].live()) & network.dead) for name in network.living()]
        if not first_half and sum(left) <= len(left) * deaths / 2:
            first_half = period
        if not any(left):
            break
    return {
        "daemons": daemons,
        "deaths": deaths,
        "half_known_after_seconds": first_half,
        "all_known_after_seconds": period,
        "all_known": not any(left),
    }


def main() -> None:
    rows = []
    for daemons, deaths in ((9, 1), (30, 1), (100, 1), (330, 1), (9, 2), (100, 14), (330, 47)):
        rows.append(detection(daemons, deaths))
        print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "membership.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
