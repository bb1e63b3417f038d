"""What taking a large table into force costs the loop, and looking a key up in it.

    python benchmarks/bench_table_edit.py

A table that grows by 1,400 routes in one edit is decoded on every gateway. While that lasts the
loop answers nobody: on a VM with 0.52 of a processor the time below is to be doubled.
"""

import time

import msgspec

from rackswitch.platform.desired_state import decode_desired_state
from rackswitch.table import TableDocument, index_routes
from rackswitch.tenants import TenantIndex, index_tenants

ROUNDS = 15


def state(routes: int, tenants: int) -> bytes:
    """Return a desired state as the operators write it."""
    return msgspec.json.encode(
        {
            "version": 2,
            "routes": [
                {
                    "name": f"r-{number}",
                    "host": f"host{number % 50}.example",
                    "path_prefix": f"/p{number}/",
                    "kind": "safe",
                    "service": "s",
                    "max_attempts": 4,
                }
                for number in range(routes)
            ],
            "services": [{"name": "s"}],
            "tenants": [
                {"name": f"t{number}", "api_keys": [f"key-{number}-1", f"key-{number}-2"]}
                for number in range(tenants)
            ],
        }
    )


def median_ms(work) -> float:
    """Return the median time of a piece of work."""
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        work()
        times.append((time.perf_counter() - began) * 1000)
    return sorted(times)[ROUNDS // 2]


def main() -> None:
    """Print the times by size."""
    print("routes tenants | decode ms, routes ms, tenants ms | one key us")
    for routes, tenants in ((40, 80), (1440, 80), (1440, 10_000)):
        value = state(routes, tenants)
        document = decode_desired_state(value)
        assert isinstance(document, TableDocument)
        decode = median_ms(lambda value=value: decode_desired_state(value))
        index = median_ms(lambda document=document: index_routes(document))
        keys = median_ms(lambda document=document: index_tenants(document, TenantIndex()))
        tenants_by_key = index_tenants(document, TenantIndex())
        one = median_ms(lambda by_key=tenants_by_key: by_key.identify(["Bearer key-7-2"])) * 1000
        print(f"{routes:6} {tenants:7} | {decode:.2f}, {index:.2f}, {keys:.2f} | {one:.1f}")


if __name__ == "__main__":
    main()
