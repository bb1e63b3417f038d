"""Starts, pauses and stops a gateway in a process of its own."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

import rackswitch
from rackswitch.load.link import Link
from rackswitch.platform.names import SETTINGS_VARIABLE

__all__ = ["DaemonProcess", "ProcessRecord"]

CALLERS_PORT, READINESS_PORT, PEER_PORT = 8080, 8081, 7100
"""All daemons use the same ports, each on its own loopback address."""

GRACE_SECONDS = 8.0
"""Time allowed for a planned stop before the process is killed."""

START_TIMEOUT_SECONDS = 20.0
"""Time allowed until a new process listens."""

POLL_INTERVAL_SECONDS = 0.05


@dataclass(slots=True, eq=False)
class ProcessRecord:
    """One process of a daemon.

    Attributes
    ----------
    stop_requested_seconds, ended_seconds : float or None
        When the stop was requested and when the process exited (event loop time).
    disturbed : bool
        Whether the process was paused or killed, so that its exit is not checked.
    """

    process: asyncio.subprocess.Process
    stop_requested_seconds: float | None = None
    ended_seconds: float | None = None
    disturbed: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.process.returncode is None


@dataclass(slots=True, eq=False)
class DaemonProcess:
    """One daemon and the processes it has run in, one after the other.

    Attributes
    ----------
    host : str
        Loopback address that only this daemon uses.
    folder : Path
        Where its settings file and its log are written.
    result_retention_seconds : float
        How long after its submission a batch job can be read.
    violations : list of str
        Violations found; shared with the other daemons of the soak.
    link : Link
        Proxy to the key-value service.
    process_records : list of ProcessRecord
        All processes, the latest last.
    lifecycle_lock : asyncio.Lock
        Held while the process is being stopped or started.
    """

    name: str
    host: str
    folder: Path
    result_retention_seconds: float
    violations: list[str]
    link: Link = field(default_factory=Link)
    process_records: list[ProcessRecord] = field(default_factory=list)
    lifecycle_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _exit_watchers: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def url(self) -> str:
        """The URL that callers use."""
        return f"http://{self.host}:{CALLERS_PORT}"

    @property
    def process_record(self) -> ProcessRecord:
        """The latest process, running or not."""
        return self.process_records[-1]

    async def start(self) -> None:
        """Start a process and wait until it listens."""
        path = self._write_settings()
        root = str(Path(rackswitch.__file__).parents[1])
        environment = {**os.environ, SETTINGS_VARIABLE: str(path), "PYTHONPATH": root}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "rackswitch.gateway",
                cwd=self.folder,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        process_record = ProcessRecord(process)
        self.process_records.append(process_record)
        exit_watcher = asyncio.create_task(self._watch_exit(process_record))
        self._exit_watchers.add(exit_watcher)
        exit_watcher.add_done_callback(self._exit_watchers.discard)
        await self._wait_listening(process_record)

    async def stop(self) -> None:
        """Stop the process with SIGTERM; kill it if it does not exit within the grace period."""
        process_record = self.process_record
        process_record.stop_requested_seconds = asyncio.get_running_loop().time()
        self._signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process_record.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            if not process_record.disturbed:
                self.violations.append(f"{self.name} did not stop within {GRACE_SECONDS:.0f} s")
            await self.kill()

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        process_record = self.process_record
        process_record.disturbed = True
        self._signal(signal.SIGKILL)
        await process_record.process.wait()

    async def pause(self, seconds: float) -> None:
        """Suspend the process for a time."""
        process_record = self.process_record
        process_record.disturbed = True
        self._signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            if process_record.is_running:
                process_record.process.send_signal(signal.SIGCONT)

    def reload_settings(self) -> None:
        """Make the process reload its settings."""
        self._signal(signal.SIGHUP)

    async def readiness(self, session: aiohttp.ClientSession) -> int:
        """Return the HTTP status of the readiness probe, or 0 without a response."""
        try:
            async with session.get(f"http://{self.host}:{READINESS_PORT}/") as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def _wait_listening(self, process_record: ProcessRecord) -> None:
        try:
            async with (
                asyncio.timeout(START_TIMEOUT_SECONDS),
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session,
            ):
                while process_record.is_running and not await self.readiness(session):
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            self.violations.append(
                f"{self.name} did not listen within {START_TIMEOUT_SECONDS:.0f} s"
            )

    async def _watch_exit(self, process_record: ProcessRecord) -> None:
        code = await process_record.process.wait()
        process_record.ended_seconds = asyncio.get_running_loop().time()
        if process_record.disturbed:
            return
        if process_record.stop_requested_seconds is None:
            self.violations.append(f"{self.name} exited unexpectedly with code {code}")
        elif code != 0:
            self.violations.append(
                f"{self.name} was stopped as planned but exited with code {code}"
            )

    def _signal(self, number: int) -> None:
        if self.process_record.is_running:
            self.process_record.process.send_signal(number)

    def _write_settings(self) -> Path:
        path = self.folder / f"{self.name}.json"
        settings = {
            "node": self.name,
            "ip": self.host,
            "zone": "z",
            "machine_class": "front",
            "platform": {"address": self.link.address, "ttl_min_ms": 1000},
            "listen": {
                "front": f"{self.host}:{CALLERS_PORT}",
                "ready": f"{self.host}:{READINESS_PORT}",
            },
            "internal_ports": [PEER_PORT, PEER_PORT],
            "bounds": {
                "grace_s": GRACE_SECONDS,
                "lease_ms": 1000,
                "status_s": self.result_retention_seconds,
            },
        }
        path.write_bytes(msgspec.json.encode(settings))
        return path
