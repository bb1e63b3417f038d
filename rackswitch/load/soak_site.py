"""Test environment of a soak: gateway processes, and stand-ins behind fault-injecting proxies."""

import asyncio
import os
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rackswitch.load.daemon_process import DaemonProcess
from rackswitch.load.link import Link, LinkFaults
from rackswitch.standins.platform_fleet import MODEL, VERSION_PREFIX, desired_state
from rackswitch.standins.platform_store import PlatformStoreStandIn, StoreFaults
from rackswitch.standins.platform_target import PlatformTargetStandIn, TargetFaults

__all__ = ["SoakSite", "SoakTarget", "added_path"]

ENGINES = 4
SERVICES = 3
STREAM_TIMEOUT_MS = 12_000
RESULT_RETENTION_SECONDS = 3600.0
"""Longer than a soak, so that every job stays readable until its end."""


@dataclass(slots=True, eq=False)
class SoakTarget:
    """A stand-in of an engine or plain service behind a link."""

    stand_in: PlatformTargetStandIn
    link: Link
    lifecycle_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held while the target is down."""

    async def start(self) -> None:
        """Start the link and the stand-in, which registers the link's address."""
        await self.link.open()
        self.stand_in.listed_address = self.link.address
        await self.stand_in.start()
        self.link.set_upstream(self.stand_in.address)

    async def crash_and_restart(self, restart_delay_seconds: float, keeps_identity: bool) -> None:
        """Crash without deregistering, and restart later at the same address."""
        async with self.lifecycle_lock:
            self.stand_in.faults.back_after_seconds = restart_delay_seconds
            self.stand_in.faults.keeps_identity = keeps_identity
            await self.link.close()
            await self.stand_in.end_and_start_again()
            await self.link.open()


class SoakSite:
    """Stand-ins in this process and gateways in processes of their own.

    Parameters
    ----------
    daemons : int
        Number of gateways.
    seed : int
        Seed of the choices that faults make.
    folder : Path
        Where the gateways' settings and logs are written.

    Attributes
    ----------
    violations : list of str
        Violated guarantees found so far.
    fault_seconds_range : (float, float)
        Minimum and maximum duration of a fault.
    is_stopping : bool
        Whether faults of several steps should skip their remaining steps.
    """

    def __init__(self, daemons: int, seed: int, folder: Path):
        self.rng = random.Random(seed)
        self.violations: list[str] = []
        self.fault_seconds_range = (0.2, 3.0)
        self.is_stopping = False
        self.store = PlatformStoreStandIn()
        self.engines = [self._target(f"e{n}", "engines", (MODEL,)) for n in range(ENGINES)]
        self.services = [self._target(f"s{n}", "desk", ()) for n in range(SERVICES)]
        self.daemons = [
            DaemonProcess(
                f"d{n}", _unique_loopback_host(n), folder, RESULT_RETENTION_SECONDS, self.violations
            )
            for n in range(daemons)
        ]
        self.table_version = 1
        self.published_version = 1
        self.burst = asyncio.Event()
        """Set to make many additional callers send a request at once."""

    def _target(self, name: str, service: str, models: tuple[str, ...]) -> SoakTarget:
        return SoakTarget(PlatformTargetStandIn(name, service, self.store, models), Link())

    @property
    def targets(self) -> list[SoakTarget]:
        """All engines and plain services of the environment."""
        return [*self.engines, *self.services]

    async def start(self) -> None:
        """Start the stand-ins and daemons, and wait until every daemon listens."""
        await self.store.start()
        self.store.put("op/config", self._table())
        for target in self.targets:
            await target.start()
        for daemon in self.daemons:
            daemon.link.set_upstream(self.store.address)
            await daemon.link.open()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def stop(self) -> None:
        """Kill all daemons and stop the stand-ins."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons if daemon.process_records))
        for target in self.targets:
            await target.link.close()
            await target.stand_in.crash()
        for daemon in self.daemons:
            await daemon.link.close()
        await self.store.stop()

    def draw_daemons(self) -> list[DaemonProcess]:
        """Draw one or more daemons at random."""
        return self.rng.sample(self.daemons, self.rng.randint(1, len(self.daemons)))

    def draw_fault_seconds(self) -> float:
        """Draw the duration of a fault."""
        return self.rng.uniform(*self.fault_seconds_range)

    async def fault_stand_in(self, faults: StoreFaults | TargetFaults, **changes: Any) -> None:
        """Set faults of a stand-in for a random time, then reset them to their defaults."""
        defaults = type(faults)()
        for name, value in changes.items():
            setattr(faults, name, value)
        try:
            await asyncio.sleep(self.draw_fault_seconds())
        finally:
            for name in changes:
                setattr(faults, name, getattr(defaults, name))

    async def fault_links(self, links: list[Link], faults: LinkFaults) -> None:
        """Set faults of links for a random time."""
        for link in links:
            link.set_faults(faults)
        try:
            await asyncio.sleep(self.draw_fault_seconds())
        finally:
            for link in links:
                link.set_faults(LinkFaults())

    def edit_table(self) -> None:
        """Add routes to the table as the operator does, and keep the existing routes."""
        self.table_version += 1
        self.store.put("op/config", self._table())

    def _table(self) -> dict[str, Any]:
        """Return the desired state: with streams, and a call and a job route for each edit."""
        state = desired_state(self.table_version)
        call_route, _, job_route = state["routes"]
        stream = {"name": "drafts", "path_prefix": "/draft/", "service": "engines"}
        limits = {"kind": "streaming", "timeout_ms": STREAM_TIMEOUT_MS, "max_attempts": 1}
        routes = [*state["routes"], {**call_route, **stream, **limits}]
        for number in range(2, self.table_version + 1):
            added = {"name": f"added-{number}", "path_prefix": added_path(number)}
            added_jobs = {"name": f"added-jobs-{number}", "path_prefix": added_jobs_path(number)}
            routes += [{**call_route, **added}, {**job_route, **added_jobs}]
        return {**state, "routes": routes}

    @property
    def newest_jobs_path(self) -> str:
        """The path of jobs that only the newest table version routes, or that of the first."""
        return added_jobs_path(self.table_version) if self.table_version > 1 else "/jobs/"

    @property
    def newest_path(self) -> str:
        """A path that only the newest table version routes, or a path of the first table."""
        return added_path(self.table_version) if self.table_version > 1 else "/look/"

    def publish_version(self) -> None:
        """Publish the next version of the model as its trainer does."""
        self.published_version += 1
        entry = {"model": MODEL, "version": self.published_version}
        self.store.put(VERSION_PREFIX + MODEL, entry)


def added_path(table_version: int) -> str:
    """Return the path of the route that a table version added."""
    return f"/added/{table_version}/"


def added_jobs_path(table_version: int) -> str:
    """Return the path of the jobs' route that a table version added."""
    return f"/added-jobs/{table_version}/"


def _unique_loopback_host(number: int) -> str:
    """Return a loopback address derived from the process id, so that parallel soaks differ."""
    process_id = os.getpid()
    return f"127.{64 + process_id // 250 % 128}.{1 + process_id % 250}.{1 + number}"
