"""Slopes of the control cost against the number of daemons, with their errors.

Fits total = fixed + slope * daemons to benchmarks/results/control.json. The fixed part is the
stand-ins' and the role holders'; the slope is what one more daemon costs.

    python benchmarks/fit_capacity.py
"""

import json
from pathlib import Path
from statistics import linear_regression

RESULTS = Path(__file__).parent / "results"


def fit(name: str, rows: list[dict], key: str) -> None:
    xs = [float(row["daemons"]) for row in rows]
    ys = [float(row[key]) * row["daemons"] for row in rows]
    line = linear_regression(xs, ys)
    worst = max(abs(line.slope * x + line.intercept - y) / y for x, y in zip(xs, ys, strict=True))
    print(
        f"{name}: {line.slope:.3f} a daemon, {line.intercept:.1f} fixed,"
        f" largest error of the fit {100 * worst:.0f} %"
    )


def main() -> None:
    rows = json.loads((RESULTS / "control.json").read_text())
    plain = [row for row in rows if row["most_channels"] == 64]
    fit("processor, % of a core", plain, "cpu_percent_per_daemon")
    fit("loopback traffic, KB/s", plain, "kb_per_second_per_daemon")
    calls = {row["daemons"]: row["kv_calls_per_second"] for row in plain}
    print(f"key-value calls a second by daemons: {calls}")
    for row in rows:
        if row["most_channels"] != 64:
            print(
                f"every heartbeat on a new connection, {row['daemons']} daemons:"
                f" {row['cpu_percent_per_daemon']} %, {row['kb_per_second_per_daemon']} KB/s each"
            )


if __name__ == "__main__":
    main()
