"""Control cost and propagation time of edits by number of daemons.

All daemons and stand-ins share one process, so CPU time and bytes per daemon are upper
bounds that include the stand-ins.

    python benchmarks/bench_control.py [--sizes=3,9,30,60] [--seconds=10]
"""

import asyncio
import json
import resource
import time
from pathlib import Path

import fire

from rackswitch.demo.fleet import ASSOCIATION, EmbeddedFleet
from rackswitch.standins.faults import FaultOrder
from rackswitch.table import DaemonRow
from rackswitch.telemetry import set_up_logs

RESULTS = Path(__file__).parent / "results"
EDITS = 6
SETTLE_SECONDS = 5.0
MAX_DAEMONS_AT_DEFAULT_HEARTBEAT = 80
"""Larger fleets use a longer heartbeat interval, to avoid saturating the process."""


def loopback_bytes() -> int:
    """Return the number of bytes received on the loopback interface."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[0])
    return 0


def rss_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


async def measure_propagation(fleet: EmbeddedFleet) -> list[float]:
    """Return, sorted, the time from accepting each edit to each daemon applying it."""
    loop = asyncio.get_running_loop()
    times: list[float] = []
    for number in range(EDITS):
        revision = await fleet.put_rows([DaemonRow(name="note", draining=bool(number % 2))])
        accepted_seconds = loop.time()
        pending_views = [daemon.context.view for daemon in fleet.daemons.values()]
        while pending_views:
            now_seconds = loop.time()
            updated_views = [view for view in pending_views if view.revision >= revision]
            times.extend([now_seconds - accepted_seconds] * len(updated_views))
            pending_views = [view for view in pending_views if view.revision < revision]
            await asyncio.sleep(0.005)
    return sorted(times)


def summarize(times: list[float]) -> dict[str, float]:
    return {
        "p50_ms": round(1000 * times[len(times) // 2], 1),
        "p99_ms": round(1000 * times[int(len(times) * 0.99)], 1),
        "max_ms": round(1000 * times[-1], 1),
    }


async def measure(daemons: int, seconds: float, max_channels: int = 64) -> dict[str, object]:
    memory_before_mb = rss_mb()
    heartbeat_seconds = 2.0 if daemons > MAX_DAEMONS_AT_DEFAULT_HEARTBEAT else 1.0
    fleet = EmbeddedFleet(
        ASSOCIATION,
        1,
        daemon_count=daemons,
        heartbeat_seconds=heartbeat_seconds,
        lease_seconds=6.0,
        poll_seconds=0.5,
        confirm_seconds=2.0,
    )
    await fleet.start()
    for daemon in fleet.daemons.values():
        daemon.context.links.max_channels = max_channels
    memory_mb = (rss_mb() - memory_before_mb) / daemons
    await asyncio.sleep(SETTLE_SECONDS)
    cpu_before_seconds, traffic_before_bytes, kv_calls_before, began_seconds = (
        time.process_time(),
        loopback_bytes(),
        fleet.kv.calls,
        time.time(),
    )
    peer_calls_before = sum(daemon.context.links.calls for daemon in fleet.daemons.values())
    await asyncio.sleep(seconds)
    elapsed_seconds = time.time() - began_seconds
    row: dict[str, object] = {
        "daemons": daemons,
        "heartbeat_seconds": heartbeat_seconds,
        "most_channels": max_channels,
        "cpu_percent_per_daemon": round(
            100 * (time.process_time() - cpu_before_seconds) / elapsed_seconds / daemons, 2
        ),
        "kb_per_second_per_daemon": round(
            (loopback_bytes() - traffic_before_bytes) / elapsed_seconds / daemons / 1000, 2
        ),
        "kv_calls_per_second": round((fleet.kv.calls - kv_calls_before) / elapsed_seconds, 2),
        "kv_watches": len(fleet.kv._watches),
        "peer_calls_per_second_per_daemon": round(
            (sum(d.context.links.calls for d in fleet.daemons.values()) - peer_calls_before)
            / elapsed_seconds
            / daemons,
            2,
        ),
        "memory_mb_per_daemon": round(memory_mb, 2),
    }
    row["healthy"] = summarize(await measure_propagation(fleet))
    fleet.kv.gate.set(FaultOrder(slow_seconds=0.2))
    row["slow"] = summarize(await measure_propagation(fleet))
    fleet.kv.gate.set(FaultOrder())
    for daemon in fleet.daemons.values():
        if daemon.settings.zone == ASSOCIATION.zones[1]:
            daemon.context.kv._url = "http://127.0.0.1:9"
    row["lost_to_one_zone"] = summarize(await measure_propagation(fleet))
    await fleet.stop()
    return row


def bench(sizes: str = "3,9,30,60", seconds: float = 10.0) -> None:
    set_up_logs("CRITICAL")
    daemon_counts = (
        sizes if isinstance(sizes, tuple | list) else [int(n) for n in str(sizes).split(",")]
    )
    rows = []
    for daemons in daemon_counts:
        rows.append(asyncio.run(measure(daemons, seconds)))
        print(json.dumps(rows[-1]), flush=True)
    # With two channels nearly every heartbeat opens a connection, as in very large fleets.
    rows.append(
        asyncio.run(
            measure(
                max(n for n in daemon_counts if n <= MAX_DAEMONS_AT_DEFAULT_HEARTBEAT), seconds, 2
            )
        )
    )
    print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "control.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(bench)
