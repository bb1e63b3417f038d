"""Time to decode and index a large table, and to look up an API key in it.

    python benchmarks/bench_table_edit.py

Every gateway decodes an edited table on its event loop, which blocks requests meanwhile.
"""

import time

import msgspec

from rackswitch.platform.desired_state import decode_desired_state
from rackswitch.table import TableDocument, index_routes
from rackswitch.tenants import TenantIndex, index_tenants

ROUNDS = 15


def encode_desired_state(routes: int, tenants: int) -> bytes:
    """Return an encoded desired state in the operator's format."""
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


def median_ms(function) -> float:
    """Return the median run time of a function."""
    times = []
    for _ in range(ROUNDS):
        began_seconds = time.perf_counter()
        function()
        times.append((time.perf_counter() - began_seconds) * 1000)
    return sorted(times)[ROUNDS // 2]


def main() -> None:
    """Print the times for each size."""
    print("routes tenants | decode ms, routes ms, tenants ms | one key us")
    for routes, tenants in ((40, 80), (1440, 80), (1440, 10_000)):
        value = encode_desired_state(routes, tenants)
        document = decode_desired_state(value)
        assert isinstance(document, TableDocument)
        decode_ms = median_ms(lambda value=value: decode_desired_state(value))
        routes_ms = median_ms(lambda document=document: index_routes(document))
        tenants_ms = median_ms(lambda document=document: index_tenants(document, TenantIndex()))
        tenants_by_key = index_tenants(document, TenantIndex())
        lookup_us = (
            median_ms(lambda by_key=tenants_by_key: by_key.identify(["Bearer key-7-2"])) * 1000
        )
        print(
            f"{routes:6} {tenants:7} | {decode_ms:.2f}, {routes_ms:.2f}, {tenants_ms:.2f}"
            f" | {lookup_us:.1f}"
        )


if __name__ == "__main__":
    main()
