"""How long one plan of loads takes, over all models of a service.

A holder plans each tenth of a second while versions are named, on the loop that serves callers.
Before a plan was bounded and looked the fastest engine up once: 0.09, 1.06 and 8,626 ms for the
sizes below; after: 0.05, 0.21 and 25 ms (busy machine, least of five).
"""

import time

from rackswitch.weights import (
    CarrierView,
    ModelNeed,
    RolloutState,
    loads_at_once,
    plan_service_loads,
)

SIZES = ((6, 3), (22, 4), (600, 8))
"""Engines and models: a small site, a large one, the full size that is aimed at."""

REPEATS = 5


def measure(engines: int, models: int) -> tuple[float, int]:
    """Return the least seconds of a plan in which every model has a new version, and its loads."""
    names = [f"m{number}" for number in range(models)]
    carriers = [
        CarrierView(f"e{number}", dict.fromkeys(names, 1), 0.04 + 0.01 * (number % 3 == 0))
        for number in range(engines)
    ]
    needs = [ModelNeed(name, 2, float(number), 1) for number, name in enumerate(names)]
    times = []
    for _ in range(REPEATS):
        began_seconds = time.perf_counter()
        loads = plan_service_loads(needs, carriers, RolloutState(), {}, 10.0)
        times.append(time.perf_counter() - began_seconds)
    return min(times), len(loads)


def main() -> None:
    """Print a line a size."""
    for engines, models in SIZES:
        seconds, loads = measure(engines, models)
        most = loads_at_once(engines)
        print(
            f"{engines} engines, {models} models: {seconds * 1e3:.2f} ms, {loads} of {most} loads"
        )


if __name__ == "__main__":
    main()
