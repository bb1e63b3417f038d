"""Linear fit of the control cost by number of daemons, with its largest error.

Fits total = fixed + slope * daemons to benchmarks/results/control.json. The fixed part is the
cost of the stand-ins and role holders; the slope is the cost of one more daemon.

    python benchmarks/fit_capacity.py
"""

import json
from pathlib import Path
from statistics import linear_regression

RESULTS = Path(__file__).parent / "results"


def fit(name: str, rows: list[dict], key: str) -> None:
    xs = [float(row["daemons"]) for row in rows]
    ys = [float(row[key]) * row["daemons"] for row in rows]
    regression = linear_regression(xs, ys)
    max_relative_error = max(
        abs(regression.slope * x + regression.intercept - y) / y
        for x, y in zip(xs, ys, strict=True)
    )
    print(
        f"{name}: {regression.slope:.3f} a daemon, {regression.intercept:.1f} fixed,"
        f" largest error of the fit {100 * max_relative_error:.0f} %"
    )


def main() -> None:
    rows = json.loads((RESULTS / "control.json").read_text())
    default_rows = [row for row in rows if row["most_channels"] == 64]
    fit("processor, % of a core", default_rows, "cpu_percent_per_daemon")
    fit("loopback traffic, KB/s", default_rows, "kb_per_second_per_daemon")
    calls = {row["daemons"]: row["kv_calls_per_second"] for row in default_rows}
    print(f"key-value calls a second by daemons: {calls}")
    for row in rows:
        if row["most_channels"] != 64:
            print(
                f"every heartbeat on a new connection, {row['daemons']} daemons:"
                f" {row['cpu_percent_per_daemon']} %, {row['kb_per_second_per_daemon']} KB/s each"
            )


if __name__ == "__main__":
    main()
