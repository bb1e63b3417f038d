"""Measures a gateway's start: from the start of the process to listening and to ready.

Each start is a real process against a stand-in of the key-value service. Processor time is that of
all threads of the process, read when a connection is accepted and when readiness is confirmed.
Minima are given as well, since other work on the machine only adds time. Whether bytecode of the
package is cached changes the figures (`deploy/system.toml` compiles it), so it is stated.

    python benchmarks/bench_start.py [STARTS]
"""

import asyncio
import contextlib
import http.client
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import rackswitch
from rackswitch.gateway.store.member_entries import MEMBERS_PREFIX, MemberEntry
from rackswitch.platform.names import SETTINGS_VARIABLE
from rackswitch.standins.loopback import own_loopback_host
from rackswitch.standins.platform_fleet import desired_state, free_port
from rackswitch.standins.platform_store import PlatformStoreStandIn

RESULTS = Path(__file__).parent / "results"
STARTS = 12
LISTENING_POLL_SECONDS = 0.001
READY_POLL_SECONDS = 0.01
"""Longer, since each check takes processor time of the daemon."""

OTHER_MEMBER = MemberEntry("127.0.0.1", 9, "z", 1, 0.0)
"""A daemon that does not answer: a start does not wait for further members to appear if it finds
one, as in any fleet."""

TIMEOUT_SECONDS = 20.0
ROOT = Path(rackswitch.__file__).parents[1]


def processor_seconds(process_id: int) -> float:
    """Return the time that all threads of a process have run, in seconds."""
    tasks = Path(f"/proc/{process_id}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def accepts(host: str, port: int) -> bool:
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection((host, port), TIMEOUT_SECONDS).close()
        return True
    return False


def is_ready(host: str, port: int) -> bool:
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
    with contextlib.suppress(ConnectionRefusedError), contextlib.closing(connection):
        connection.request("GET", "/")
        return connection.getresponse().status == 200
    return False


def wait_for(
    condition: Callable[[str, int], bool], host: str, port: int, poll_seconds: float
) -> None:
    deadline_seconds = time.monotonic() + TIMEOUT_SECONDS
    while not condition(host, port):
        if time.monotonic() >= deadline_seconds:
            raise TimeoutError(f"{condition.__name__}: not reached on {host}:{port}")
        time.sleep(poll_seconds)


def measure_start(store_address: str, folder: Path) -> dict[str, float]:
    host = own_loopback_host()
    callers_port, readiness_port, peer_port = (free_port(host) for _ in range(3))
    settings = {
        "node": "d0",
        "ip": host,
        "zone": "z",
        "platform": {"address": store_address},
        "listen": {"front": f"{host}:{callers_port}", "ready": f"{host}:{readiness_port}"},
        "internal_ports": [peer_port, peer_port],
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings))
    started_seconds = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "rackswitch.gateway"],
        cwd=folder,
        env={**os.environ, SETTINGS_VARIABLE: str(path), "PYTHONPATH": str(ROOT)},
        stdout=subprocess.DEVNULL,
    )
    try:
        figures: dict[str, float] = {}
        for part, condition, port, poll_seconds in (
            ("listening", accepts, callers_port, LISTENING_POLL_SECONDS),
            ("ready", is_ready, readiness_port, READY_POLL_SECONDS),
        ):
            wait_for(condition, host, port, poll_seconds)
            figures[f"{part}_seconds"] = time.monotonic() - started_seconds
            figures[f"{part}_processor_seconds"] = processor_seconds(process.pid)
        return figures
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


async def measure(starts: int) -> list[dict[str, float]]:
    store = PlatformStoreStandIn()
    await store.start()
    store.put("op/config", desired_state(1))
    store.put(MEMBERS_PREFIX + "d1", OTHER_MEMBER)
    try:
        with tempfile.TemporaryDirectory() as folder:
            return [
                await asyncio.to_thread(measure_start, store.address, Path(folder))
                for _ in range(starts)
            ]
    finally:
        await store.stop()


def has_cached_bytecode() -> bool:
    return any((ROOT / "rackswitch/gateway/__pycache__").glob("main.*.pyc"))


def main() -> None:
    starts = int(sys.argv[1]) if len(sys.argv) > 1 else STARTS
    cached_before = has_cached_bytecode()
    samples = asyncio.run(measure(starts))
    report: dict[str, object] = {"starts": starts, "bytecode_cached": cached_before}
    for name in samples[0]:
        values = [sample[name] for sample in samples]
        report[name] = {
            "min": round(min(values), 3),
            "median": round(statistics.median(values), 3),
        }
    print(json.dumps(report, indent=1))
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "start.json").write_text(json.dumps(report, indent=1) + "\n")


if __name__ == "__main__":
    main()
