"""What a soak plays on: gateways as processes, and stand-ins behind links that fail on order."""

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
KEEP_RESULTS_SECONDS = 3600.0
"""Longer than a soak, so that each job must be readable to its end."""


@dataclass(slots=True, eq=False)
class SoakTarget:
    """An engine or plain service behind its link."""

    stand_in: PlatformTargetStandIn
    link: Link
    change: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held while it is away."""

    async def start(self) -> None:
        """Listen and appear in the list."""
        await self.link.open()
        self.stand_in.listed_address = self.link.address
        await self.stand_in.start()
        self.link.lead_to(self.stand_in.address)

    async def die_and_come_back(self, after_seconds: float, keeps_identity: bool) -> None:
        """End without a word, and start again later at the same address."""
        async with self.change:
            self.stand_in.faults.back_after_seconds = after_seconds
            self.stand_in.faults.keeps_identity = keeps_identity
            await self.link.close()
            await self.stand_in.end_and_start_again()
            await self.link.open()


class SoakSite:
    """Stand-ins in this process and gateways in their own.

    Parameters
    ----------
    daemons : int
        How many gateways.
    seed : int
        Of the choices that faults make here.
    folder : Path
        For the gateways' settings and logs.

    Attributes
    ----------
    violations : list of str
        What must not have been seen; empty if everything that must hold did.
    life_seconds : (float, float)
        Shortest and longest time that a fault lasts.
    is_ending : bool
        Whether no more faults are to begin, further steps of long ones neither.
    """

    def __init__(self, daemons: int, seed: int, folder: Path):
        self.rng = random.Random(seed)
        self.violations: list[str] = []
        self.life_seconds = (0.2, 3.0)
        self.is_ending = False
        self.store = PlatformStoreStandIn()
        self.engines = [self._target(f"e{n}", "engines", (MODEL,)) for n in range(ENGINES)]
        self.services = [self._target(f"s{n}", "desk", ()) for n in range(SERVICES)]
        self.daemons = [
            DaemonProcess(f"d{n}", _own_host(n), folder, KEEP_RESULTS_SECONDS, self.violations)
            for n in range(daemons)
        ]
        self.table_version = 1
        self.named_version = 1
        self.burst = asyncio.Event()
        """Set to let callers come in greater number at once."""

    def _target(self, name: str, service: str, models: tuple[str, ...]) -> SoakTarget:
        return SoakTarget(PlatformTargetStandIn(name, service, self.store, models), Link())

    @property
    def targets(self) -> list[SoakTarget]:
        """All engines and plain services."""
        return [*self.engines, *self.services]

    async def start(self) -> None:
        """Start everything; return once every daemon listens."""
        await self.store.start()
        self.store.put("op/config", desired_state(self.table_version))
        for target in self.targets:
            await target.start()
        for daemon in self.daemons:
            daemon.link.lead_to(self.store.address)
            await daemon.link.open()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def stop(self) -> None:
        """End every process that was started here, and the stand-ins."""
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons if daemon.lives))
        for target in self.targets:
            await target.link.close()
            await target.stand_in.crash()
        for daemon in self.daemons:
            await daemon.link.close()
        await self.store.stop()

    def some_daemons(self) -> list[DaemonProcess]:
        """Draw one or more daemons."""
        return self.rng.sample(self.daemons, self.rng.randint(1, len(self.daemons)))

    def some_life_seconds(self) -> float:
        """Draw how long a fault lasts."""
        return self.rng.uniform(*self.life_seconds)

    async def fault_stand_in(self, faults: StoreFaults | TargetFaults, **changes: Any) -> None:
        """Let a stand-in do something wrong for a drawn time, and then nothing of the kind."""
        usual = type(faults)()
        for name, value in changes.items():
            setattr(faults, name, value)
        try:
            await asyncio.sleep(self.some_life_seconds())
        finally:
            for name in changes:
                setattr(faults, name, getattr(usual, name))

    async def fault_links(self, links: list[Link], faults: LinkFaults) -> None:
        """Let links fail for a drawn time."""
        for link in links:
            link.set(faults)
        try:
            await asyncio.sleep(self.some_life_seconds())
        finally:
            for link in links:
                link.set(LinkFaults())

    def edit_table(self) -> None:
        """Add a route, as the operator does; those that were there stay."""
        self.table_version += 1
        state = desired_state(self.table_version)
        added = [
            {**state["routes"][0], "name": f"added-{number}", "path_prefix": added_path(number)}
            for number in range(2, self.table_version + 1)
        ]
        self.store.put("op/config", {**state, "routes": [*state["routes"], *added]})

    @property
    def newest_path(self) -> str:
        """What only the newest table has a route for; that of the first is always there."""
        return added_path(self.table_version) if self.table_version > 1 else "/look/"

    def name_version(self) -> None:
        """Name a further version of the model, as its trainer does."""
        self.named_version += 1
        entry = {"model": MODEL, "version": self.named_version}
        self.store.put(VERSION_PREFIX + MODEL, entry)


def added_path(table_version: int) -> str:
    """Return the path whose route came with a version of the table."""
    return f"/added/{table_version}/"


def _own_host(number: int) -> str:
    """Return a loopback address that no other soak of this machine uses at the same time."""
    process_id = os.getpid()
    return f"127.{64 + process_id // 250 % 128}.{1 + process_id % 250}.{1 + number}"
