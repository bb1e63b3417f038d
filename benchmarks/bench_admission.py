"""Admission above the capacity of four targets: polling, the production code and the ideal.

python benchmarks/bench_admission.py
"""

import json
from dataclasses import asdict
from pathlib import Path

from rackswitch.admission.tests.simulated_load import (
    AdmissionSimulation,
    IdealSimulation,
    PollingSimulation,
    summarize,
)

RESULTS = Path(__file__).parent / "results"
LOADS = (0.7, 1.0, 1.5, 2.0, 3.0)
RUN_SECONDS = 30.0
WARM_UP_SECONDS = 8.0
SEED = 1
STRATEGIES = {"polled": PollingSimulation, "shipped": AdmissionSimulation, "ideal": IdealSimulation}


def main() -> None:
    rows = {}
    for load in LOADS:
        for name, simulation_class in STRATEGIES.items():
            simulation = simulation_class(load, SEED, RUN_SECONDS)
            simulation.run()
            result = asdict(summarize(simulation, WARM_UP_SECONDS))
            rows[f"{name} {load}"] = result
            print(name, load, json.dumps(result, default=str))
    (RESULTS / "admission.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
