"""Size and processing time of the table and its deltas by number of rows.

python benchmarks/bench_table.py
"""

import json
import time
from pathlib import Path

import msgspec

from rackswitch.table import (
    DaemonRow,
    Edit,
    RowChange,
    TableDocument,
    TargetRow,
    TenantRow,
    apply_edit,
    delta_since,
)

RESULTS = Path(__file__).parent / "results"
REPEATS = 20


def mean_ms(function) -> float:
    began_seconds = time.perf_counter()
    for _ in range(REPEATS):
        function()
    return round(1000 * (time.perf_counter() - began_seconds) / REPEATS, 2)


def build_table(targets: int) -> TableDocument:
    rows = [
        TargetRow(
            name=f"layout-{n}", url=f"http://10.0.{n // 250}.{n % 250}:8000", zone="z", serves="m"
        )
        for n in range(targets)
    ]
    tenants = [TenantRow(name=f"tenant-{n}", token_sha256="0" * 64) for n in range(targets // 4)]
    changes = tuple(RowChange(row=row) for row in [*rows, *tenants])
    initial_edit = Edit(edit_id="first", operator="o", at_unix_seconds=0.0, changes=changes)
    document = apply_edit(TableDocument(), initial_edit).document
    for number in range(600):
        change = RowChange(row=DaemonRow(name=f"d{number % 330}", draining=bool(number % 2)))
        edit = Edit(
            edit_id=f"automation-{number:032d}",
            operator="automation",
            at_unix_seconds=1.7e9,
            changes=(change,),
        )
        document = apply_edit(document, edit).document
    return document


def main() -> None:
    rows = []
    for targets in (10, 100, 600, 2000):
        document = build_table(targets)
        encoded = msgspec.json.encode(document)
        delta = msgspec.json.encode(delta_since(document, document.revision - 1))
        edit = Edit(
            edit_id="x",
            operator="o",
            at_unix_seconds=0.0,
            changes=(RowChange(row=DaemonRow(name="y")),),
        )
        rows.append(
            {
                "targets": targets,
                "rows": len(document.rows),
                "table_bytes": len(encoded),
                "delta_bytes": len(delta),
                "encode_ms": mean_ms(lambda document=document: msgspec.json.encode(document)),
                "decode_ms": mean_ms(
                    lambda encoded=encoded: msgspec.json.decode(encoded, type=TableDocument)
                ),
                "apply_edit_ms": mean_ms(
                    lambda document=document, edit=edit: apply_edit(document, edit)
                ),
            }
        )
        print(json.dumps(rows[-1]))
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "table.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
