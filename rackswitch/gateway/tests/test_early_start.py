"""Connections and signals while a daemon process is still importing its modules."""

import asyncio
import contextlib
import os
import re
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import pytest

import rackswitch
from rackswitch.gateway.early_start import EXIT_BAD_SETTINGS
from rackswitch.gateway.start_forecast import START_MODULE_COUNT
from rackswitch.platform.names import SETTINGS_VARIABLE
from rackswitch.standins.loopback import own_loopback_host
from rackswitch.standins.platform_fleet import HOST, desired_state, free_port
from rackswitch.standins.platform_store import PlatformStoreStandIn
from rackswitch.standins.platform_target import PlatformTargetStandIn

TIMEOUT_SECONDS = 20.0
CALL = f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Rackswitch-Request-Id: r1\r\n\r\n".encode()
CHECK = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"

PAUSE_BEFORE_IMPORTS = """
import runpy, sys

class Pause:
    def find_spec(self, name, path, target=None):
        if name == "rackswitch.gateway.main":
            sys.stdin.readline()

sys.meta_path.insert(0, Pause())
runpy.run_module("rackswitch.gateway", run_name="__main__", alter_sys=True)
"""
"""Runs the daemon, but holds it before the imports that follow the early listening until a line
arrives on standard input."""


SLOW_IMPORTS = """
import runpy, sys, time

class Slow:
    def find_spec(self, name, path, target=None):
        time.sleep(0.01)

sys.meta_path.insert(0, Slow())
runpy.run_module("rackswitch.gateway", run_name="__main__", alter_sys=True)
"""
"""Runs the daemon as on a busy VM: its imports take some 8 s."""

TIME_LIMIT_SECONDS = 1.5


COUNT_IMPORTS = """
import sys

class Count:
    modules = 0
    def find_spec(self, name, path, target=None):
        Count.modules += 1

import rackswitch.gateway.early_start
sys.meta_path.insert(0, Count())
import rackswitch.gateway.main
print(Count.modules)
"""


@dataclass(slots=True)
class PausedDaemon:
    """A daemon process that has not begun its large imports."""

    process: asyncio.subprocess.Process
    host: str
    ports: dict[str, int]

    async def connect(self, name: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as soon as the listener accepts."""
        while True:
            assert self.process.returncode is None
            try:
                return await asyncio.open_connection(self.host, self.ports[name])
            except ConnectionRefusedError:
                await asyncio.sleep(0.005)

    def go_on(self) -> None:
        self.process.stdin.write(b"\n")

    async def exit_code(self) -> tuple[int, str]:
        _, errors = await self.process.communicate()
        return self.process.returncode, errors.decode()


@contextlib.asynccontextmanager
async def paused_daemon(
    folder: Path, store_address: str, program: str = PAUSE_BEFORE_IMPORTS, **changes: object
) -> AsyncIterator[PausedDaemon]:
    host = own_loopback_host()
    ports = {name: free_port(host) for name in ("front", "ready", "peer")}
    settings = {
        "node": "d0",
        "ip": host,
        "zone": "z",
        "platform": {"address": store_address},
        "listen": {"front": f"{host}:{ports['front']}", "ready": f"{host}:{ports['ready']}"},
        "internal_ports": [ports["peer"], ports["peer"]],
        **changes,
    }
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(settings))
    root = str(Path(rackswitch.__file__).parents[1])
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        program,
        cwd=folder,
        env={**os.environ, SETTINGS_VARIABLE: str(path), "PYTHONPATH": root},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            yield PausedDaemon(process, host, ports)
    finally:
        if process.returncode is None:
            process.kill()
            await process.communicate()


@contextlib.asynccontextmanager
async def stand_ins(route_changes: dict | None = None) -> AsyncIterator[PlatformStoreStandIn]:
    store = PlatformStoreStandIn()
    await store.start()
    routes = [{**route, **(route_changes or {})} for route in desired_state(1)["routes"]]
    store.put("op/config", desired_state(1, routes=routes))
    service = PlatformTargetStandIn("s0", "desk", store)
    await service.start()
    try:
        yield store
    finally:
        await service.crash()
        await store.stop()


async def status_of(reader: asyncio.StreamReader) -> int:
    line = await reader.readline()
    assert line, "closed without a response"
    return int(line.split()[1])


def test_serves_connections_made_during_the_imports(tmp_path):
    # Guards against resets, and refusals for want of a table, of callers that come during a start.
    # Their time limit is above any start's, so that no refusal is right.
    limits = {"timeout_ms": 1000 * TIMEOUT_SECONDS}

    async def scenario():
        async with stand_ins(limits) as store, paused_daemon(tmp_path, store.address) as daemon:
            reader, writer = await daemon.connect("front")
            writer.write(CALL)
            daemon.go_on()
            assert await status_of(reader) == 200
            writer.close()

    asyncio.run(scenario())


def test_readiness_is_answered_only_by_the_started_daemon(tmp_path):
    # Guards against a "ready" before the state is known: without a store it is never known.
    async def scenario():
        async with paused_daemon(tmp_path, "127.0.0.1:9") as daemon:
            reader, writer = await daemon.connect("ready")
            writer.write(CHECK)
            daemon.go_on()
            assert await status_of(reader) == 503
            writer.close()

    asyncio.run(scenario())


def test_stops_as_planned_after_a_stop_signal_during_the_imports(tmp_path):
    # Guards against a process that ends by the signal and resets the connections in its backlog.
    async def scenario():
        async with stand_ins() as store, paused_daemon(tmp_path, store.address) as daemon:
            reader, writer = await daemon.connect("front")
            writer.write(CALL)
            daemon.process.send_signal(signal.SIGTERM)
            daemon.go_on()
            assert await status_of(reader) == 200
            assert (await daemon.exit_code())[0] == 0
            writer.close()
            with socket.socket() as probe:
                assert probe.connect_ex((daemon.host, daemon.ports["front"])) != 0

    asyncio.run(scenario())


@pytest.mark.parametrize("is_stopped", [False, True])
def test_a_caller_is_refused_in_time_while_the_start_takes_long(tmp_path, is_stopped):
    # Guards against callers who wait for a slow start, or for its stop, until their time is over.
    call = CALL[:-2] + f"X-Rackswitch-Deadline-Ms: {TIME_LIMIT_SECONDS * 1000}\r\n\r\n".encode()

    async def scenario():
        async with (
            stand_ins() as store,
            paused_daemon(tmp_path, store.address, SLOW_IMPORTS) as daemon,
        ):
            for _ in range(2):
                reader, writer = await daemon.connect("front")
                writer.write(call)
                async with asyncio.timeout(TIME_LIMIT_SECONDS):
                    assert await status_of(reader) == 503
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                retry_after = float(re.search(r"retry-after: (\S+)", head).group(1))
                assert 0.0 < retry_after <= TIME_LIMIT_SECONDS / 3
                writer.close()
                if is_stopped:
                    daemon.process.send_signal(signal.SIGTERM)

    asyncio.run(scenario())


def test_the_forecast_knows_how_many_modules_a_start_imports():
    # Guards against a forecast that ends too early or too late as the program grows.
    root = str(Path(rackswitch.__file__).parents[1])
    environment = {**os.environ, "PYTHONPATH": root}
    command = [sys.executable, "-c", COUNT_IMPORTS]
    finished = subprocess.run(command, env=environment, capture_output=True, text=True, check=True)
    assert int(finished.stdout) == pytest.approx(START_MODULE_COUNT, rel=0.1)


def test_an_address_in_use_ends_the_start_with_its_name(tmp_path):
    # Guards against an early listener that hides the error of the server.
    async def scenario():
        with socket.create_server((own_loopback_host(), 0)) as other:
            address = f"{other.getsockname()[0]}:{other.getsockname()[1]}"
            listen = {"front": address}
            async with paused_daemon(tmp_path, "127.0.0.1:9", listen=listen) as daemon:
                daemon.go_on()
                code, errors = await daemon.exit_code()
                assert code == 1
                assert f"failed to listen on {address}" in errors.splitlines()[-1]

    asyncio.run(scenario())


def test_bad_settings_end_the_start_with_one_line(tmp_path):
    # Guards against a traceback, and against a start that goes on with the imports.
    async def scenario():
        async with paused_daemon(tmp_path, "127.0.0.1:9", internal_ports=[1]) as daemon:
            code = await daemon.process.wait()
            errors = (await daemon.process.stderr.read()).decode()
            assert code == EXIT_BAD_SETTINGS
            assert len(errors.splitlines()) == 1
            assert "internal_ports" in errors

    asyncio.run(scenario())
