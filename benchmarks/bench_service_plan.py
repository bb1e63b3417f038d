"""Time to plan the weight loads of all models of a service.

Planning runs on the event loop that serves callers, so it must be short.
"""

import time

from rackswitch.weights import (
    EngineVersions,
    ModelNeed,
    RolloutState,
    max_concurrent_loads,
    plan_service_loads,
)

SIZES = ((6, 3), (22, 4), (600, 8))
"""(engines, models) of a small site, a large site and the maximum size."""

REPEATS = 5


def measure(engines: int, models: int) -> tuple[float, int]:
    """Return the shortest planning time, with a new version of every model, and the load count."""
    names = [f"m{number}" for number in range(models)]
    carriers = [
        EngineVersions(f"e{number}", dict.fromkeys(names, 1), 0.04 + 0.01 * (number % 3 == 0))
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
    """Print one line per size."""
    for engines, models in SIZES:
        seconds, loads = measure(engines, models)
        max_loads = max_concurrent_loads(engines)
        print(
            f"{engines} engines, {models} models: {seconds * 1e3:.2f} ms,"
            f" {loads} of {max_loads} loads"
        )


if __name__ == "__main__":
    main()
