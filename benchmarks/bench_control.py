"""Control cost and propagation of edits against the number of daemons.

All daemons and stand-ins share one process, so processor time and bytes are upper
bounds for a daemon: the stand-ins' part is in them.

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
SLOWER_ABOVE = 80
"""More daemons than this in one process beat every 2 s, so as not to saturate it."""


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has carried."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[0])
    return 0


def rss_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


async def propagation(fleet: EmbeddedFleet) -> list[float]:
    """Return, for each edit and daemon, the time from its answer to its being in force."""
    loop = asyncio.get_running_loop()
    times: list[float] = []
    for number in range(EDITS):
        revision = await fleet.put_rows([DaemonRow(name="note", draining=bool(number % 2))])
        accepted_seconds = loop.time()
        waiting = [daemon.context.view for daemon in fleet.daemons.values()]
        while waiting:
            now_seconds = loop.time()
            done = [view for view in waiting if view.revision >= revision]
            times.extend([now_seconds - accepted_seconds] * len(done))
            waiting = [view for view in waiting if view.revision < revision]
            await asyncio.sleep(0.005)
    return sorted(times)


def summary(times: list[float]) -> dict[str, float]:
    return {
        "p50_ms": round(1000 * times[len(times) // 2], 1),
        "p99_ms": round(1000 * times[int(len(times) * 0.99)], 1),
        "max_ms": round(1000 * times[-1], 1),
    }


async def measure(daemons: int, seconds: float, max_channels: int = 64) -> dict[str, object]:
    before_mb = rss_mb()
    heartbeat_seconds = 2.0 if daemons > SLOWER_ABOVE else 1.0
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
    memory_mb = (rss_mb() - before_mb) / daemons
    await asyncio.sleep(SETTLE_SECONDS)
    cpu, traffic, calls, wall = time.process_time(), loopback_bytes(), fleet.kv.calls, time.time()
    heartbeats = sum(daemon.context.links.calls for daemon in fleet.daemons.values())
    await asyncio.sleep(seconds)
    elapsed = time.time() - wall
    row: dict[str, object] = {
        "daemons": daemons,
        "heartbeat_seconds": heartbeat_seconds,
        "most_channels": max_channels,
        "cpu_percent_per_daemon": round(100 * (time.process_time() - cpu) / elapsed / daemons, 2),
        "kb_per_second_per_daemon": round(
            (loopback_bytes() - traffic) / elapsed / daemons / 1000, 2
        ),
        "kv_calls_per_second": round((fleet.kv.calls - calls) / elapsed, 2),
        "kv_watches": len(fleet.kv._watches),
        "peer_calls_per_second_per_daemon": round(
            (sum(d.context.links.calls for d in fleet.daemons.values()) - heartbeats)
            / elapsed
            / daemons,
            2,
        ),
        "memory_mb_per_daemon": round(memory_mb, 2),
    }
    row["healthy"] = summary(await propagation(fleet))
    fleet.kv.gate.set(FaultOrder(slow_seconds=0.2))
    row["slow"] = summary(await propagation(fleet))
    fleet.kv.gate.set(FaultOrder())
    for daemon in fleet.daemons.values():
        if daemon.settings.zone == ASSOCIATION.zones[1]:
            daemon.context.kv._url = "http://127.0.0.1:9"
    row["lost_to_one_zone"] = summary(await propagation(fleet))
    await fleet.stop()
    return row


def bench(sizes: str = "3,9,30,60", seconds: float = 10.0) -> None:
    set_up_logs("CRITICAL")
    numbers = sizes if isinstance(sizes, tuple | list) else [int(n) for n in str(sizes).split(",")]
    rows = []
    for daemons in numbers:
        rows.append(asyncio.run(measure(daemons, seconds)))
        print(json.dumps(rows[-1]), flush=True)
    # At full size nearly every heartbeat opens a connection: few channels show its cost.
    rows.append(asyncio.run(measure(max(n for n in numbers if n <= SLOWER_ABOVE), seconds, 2)))
    print(json.dumps(rows[-1]), flush=True)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "control.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(bench)
