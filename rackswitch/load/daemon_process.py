"""A gateway as a process of its own, which is started, paused and ended by its id."""

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

__all__ = ["DaemonProcess", "Life"]

CALLERS_PORT, READINESS_PORT, PEER_PORT = 8080, 8081, 7100
"""The same at each daemon, since each has a loopback address of its own."""

GRACE_SECONDS = 8.0
"""How long a process that was asked to stop may take before it is killed."""

START_TIMEOUT_SECONDS = 20.0
"""How long a process may take until it listens, also on a busy machine."""

POLL_SECONDS = 0.05


@dataclass(slots=True, eq=False)
class Life:
    """One process of a daemon.

    Attributes
    ----------
    stop_ordered_seconds, ended_seconds : float or None
        When it was asked to stop, and when it had ended (event loop time).
    disturbed : bool
        Whether it was paused or killed, so that nothing can be said of its end.
    """

    process: asyncio.subprocess.Process
    stop_ordered_seconds: float | None = None
    ended_seconds: float | None = None
    disturbed: bool = False

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self.process.returncode is None


@dataclass(slots=True, eq=False)
class DaemonProcess:
    """One daemon, through all its processes.

    Attributes
    ----------
    host : str
        Its own loopback address.
    folder : Path
        For its settings and its log.
    keep_results_seconds : float
        How long after its submission a batch job can be read.
    violations : list of str
        Takes what must not be seen.
    link : Link
        Its way to the key-value service.
    change : asyncio.Lock
        Held while the process is being ended or started.
    """

    name: str
    host: str
    folder: Path
    keep_results_seconds: float
    violations: list[str]
    link: Link = field(default_factory=Link)
    lives: list[Life] = field(default_factory=list)
    change: asyncio.Lock = field(default_factory=asyncio.Lock)
    _watches: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def url(self) -> str:
        """Where callers reach it."""
        return f"http://{self.host}:{CALLERS_PORT}"

    @property
    def life(self) -> Life:
        """The present process, or the last one."""
        return self.lives[-1]

    async def start(self) -> None:
        """Start a process, and return once it listens."""
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
        life = Life(process)
        self.lives.append(life)
        watch = asyncio.create_task(self._watch(life))
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)
        await self._wait_answering(life)

    async def stop(self) -> None:
        """Ask the process to stop; it is killed once its grace is over."""
        life = self.life
        life.stop_ordered_seconds = asyncio.get_running_loop().time()
        self._signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(life.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            if not life.disturbed:
                self.violations.append(f"{self.name} did not stop within {GRACE_SECONDS:.0f} s")
            await self.kill()

    async def kill(self) -> None:
        """End the process at once."""
        life = self.life
        life.disturbed = True
        self._signal(signal.SIGKILL)
        await life.process.wait()

    async def pause(self, seconds: float) -> None:
        """Hold the process up for a time."""
        life = self.life
        life.disturbed = True
        self._signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            if life.runs:
                life.process.send_signal(signal.SIGCONT)

    def read_settings_again(self) -> None:
        """Tell the process to read its settings."""
        self._signal(signal.SIGHUP)

    async def readiness(self, session: aiohttp.ClientSession) -> int:
        """Return the status of its answer to the balancer; 0 for none."""
        try:
            async with session.get(f"http://{self.host}:{READINESS_PORT}/") as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def _wait_answering(self, life: Life) -> None:
        try:
            async with (
                asyncio.timeout(START_TIMEOUT_SECONDS),
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session,
            ):
                while life.runs and not await self.readiness(session):
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            self.violations.append(f"{self.name} did not listen {START_TIMEOUT_SECONDS:.0f} s")

    async def _watch(self, life: Life) -> None:
        code = await life.process.wait()
        life.ended_seconds = asyncio.get_running_loop().time()
        if life.disturbed:
            return
        if life.stop_ordered_seconds is None:
            self.violations.append(f"{self.name} ended by itself with code {code}")
        elif code != 0:
            self.violations.append(f"{self.name} ended a planned stop with code {code}")

    def _signal(self, number: int) -> None:
        if self.life.runs:
            self.life.process.send_signal(number)

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
                "status_s": self.keep_results_seconds,
            },
        }
        path.write_bytes(msgspec.json.encode(settings))
        return path
