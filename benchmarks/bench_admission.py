"""Too many calls for four targets: what callers get by polling, by the shipped decisions, ideally.

python benchmarks/bench_admission.py
"""

import json
from dataclasses import asdict
from pathlib import Path

from rackswitch.admission.tests.simulated_load import (
    AdmissionPlay,
    IdealPlay,
    PolledPlay,
    figures,
)

RESULTS = Path(__file__).parent / "results"
LOADS = (0.7, 1.0, 1.5, 2.0, 3.0)
RUN_SECONDS = 30.0
WARM_SECONDS = 8.0
SEED = 1
WAYS = {"polled": PolledPlay, "shipped": AdmissionPlay, "ideal": IdealPlay}


def main() -> None:
    rows = {}
    for load in LOADS:
        for name, way in WAYS.items():
            play = way(load, SEED, RUN_SECONDS)
            play.run()
            found = asdict(figures(play, WARM_SECONDS))
            rows[f"{name} {load}"] = found
            print(name, load, json.dumps(found, default=str))
    (RESULTS / "admission.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
