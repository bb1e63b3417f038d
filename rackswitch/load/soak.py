"""A seeded run of real gateways under faults that come in series and overlap.

What is drawn follows from the seed; when it takes effect follows from the machine too, so that a
run repeated by its seed meets the same kinds of faults and not the same moments.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from rackswitch.load.daemon_process import DaemonProcess
from rackswitch.load.soak_callers import SoakCallers, call_once
from rackswitch.load.soak_faults import SOAK_FAULTS
from rackswitch.load.soak_site import SoakSite
from rackswitch.load.soak_trainer import SoakTrainer

__all__ = ["Soak", "SoakReport"]

TRAINERS = 2
FAULT_PAUSE_SECONDS = (0.1, 1.2)
"""Shortest and longest pause before the next fault begins."""

MAX_FAULTS_AT_ONCE = 4
CHECK_SECONDS = 0.5
POLL_SECONDS = 0.1
READY_SECONDS = 15.0
SERVED_AGAIN_SECONDS = 10.0
"""After the last fault's end, until when each daemon must serve calls by the newest table."""

JOBS_WHOLE_SECONDS = 30.0
"""After it, until when all jobs must be whole; some must first be taken over from a dead daemon."""

MAX_SHOWN = 20


@dataclass(slots=True)
class SoakReport:
    """What a soak saw.

    Attributes
    ----------
    violations : list of str
        Empty if everything that must hold did.
    served_after_seconds, whole_after_seconds : float
        From the end of the last fault until all daemons served, and until all jobs were whole.
    """

    seed: int
    violations: list[str] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    answers: dict[str, int] = field(default_factory=dict)
    jobs: int = 0
    items: int = 0
    given_up: int = 0
    processes: int = 0
    served_after_seconds: float = 0.0
    whole_after_seconds: float = 0.0


class Soak:
    """One run.

    Parameters
    ----------
    seed : int
        Of load and faults.
    daemons : int
        How many gateways.
    folder : Path
        For their settings and logs.
    faults : list of str
        Names of the faults that may come; all if it is empty.
    """

    def __init__(self, seed: int, daemons: int, folder: Path, faults: list[str] | None = None):
        self.site = SoakSite(daemons, seed, folder)
        self.report = SoakReport(seed)
        self._kinds = faults or SOAK_FAULTS.names()
        self._chosen = [SOAK_FAULTS.get(name) for name in self._kinds]
        self._rng = random.Random(seed)
        self._counts: Counter[str] = Counter()
        self.callers = SoakCallers(self.site, seed)
        self.trainers = [SoakTrainer(f"t{n}", self.site, seed) for n in range(TRAINERS)]

    async def run(self, seconds: float) -> SoakReport:
        """Load the site and break it for a time, then see that all is served again."""
        try:
            await self.site.start()
            await self._until_ready()
            work = [asyncio.create_task(self.callers.run())]
            work += [asyncio.create_task(trainer.run()) for trainer in self.trainers]
            checks = asyncio.create_task(self._check_for_ever())
            await self._break(seconds)
            await self._recover()
            for task in (*work, checks):
                task.cancel()
            ended = await asyncio.gather(*work, checks, return_exceptions=True)
            await self._finish_jobs()
        finally:
            await self.site.stop()
        self.site.violations += [
            f"the soak's own task failed: {error!r}"
            for error in ended
            if not isinstance(error, asyncio.CancelledError)
        ]
        return self._reported()

    async def _until_ready(self) -> None:
        async with self._session() as session, asyncio.timeout(READY_SECONDS):
            for daemon in self.site.daemons:
                while await daemon.readiness(session) != 200:
                    await asyncio.sleep(POLL_SECONDS)

    async def _break(self, seconds: float) -> None:
        """Bring about faults for a time, each in a task, and wait until the last has ended."""
        loop = asyncio.get_running_loop()
        deadline_seconds = loop.time() + seconds
        self.site.life_seconds = (0.2, min(3.0, seconds / 2))
        running: set[asyncio.Task[None]] = set()
        while loop.time() < deadline_seconds:
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_SECONDS))
            running = {task for task in running if not task.done()}
            for number in self._rng.sample(range(len(self._kinds)), min(2, len(self._kinds))):
                if len(running) < MAX_FAULTS_AT_ONCE:
                    self._counts[self._kinds[number]] += 1
                    fault = self._chosen[number]
                    running.add(asyncio.ensure_future(fault(self.site)))
        self.site.is_ending = True
        await asyncio.gather(*running)

    async def _check_for_ever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self._check()

    def _check(self) -> None:
        for line in (*self.callers.check(), *self._check_orders()):
            if line not in self.site.violations:
                self.site.violations.append(line)

    def _check_orders(self) -> list[str]:
        """Return orders of two daemons to engines under one fencing number."""
        orders = [order for engine in self.site.engines for order in engine.stand_in.orders]
        holders: dict[int, set[str]] = {}
        for order in orders:
            holders.setdefault(order.fence, set()).add(order.holder)
        return [f"orders of {who} under {fence}" for fence, who in holders.items() if len(who) > 1]

    async def _recover(self) -> None:
        """See that every daemon serves both routes by the newest table, within the bound."""
        began_seconds = asyncio.get_running_loop().time()
        waiting = {daemon.name for daemon in self.site.daemons}
        try:
            async with self._session() as session, asyncio.timeout(SERVED_AGAIN_SECONDS):
                for daemon in self.site.daemons:
                    await self._until_served(session, daemon)
                    waiting.discard(daemon.name)
        except TimeoutError:
            self.site.violations.append(
                f"not served {SERVED_AGAIN_SECONDS:.0f} s after the last fault: {sorted(waiting)}"
            )
        self.report.served_after_seconds = asyncio.get_running_loop().time() - began_seconds

    async def _until_served(self, session: aiohttp.ClientSession, daemon: DaemonProcess) -> None:
        for number in itertools.count():
            statuses = set()
            for path in (self.site.newest_path, "/lodge/"):
                request_id = f"probe-{daemon.name}{path.replace('/', '-')}{number}"
                try:
                    seen = await call_once(session, daemon, path + "1", request_id)
                    statuses.add(seen.status)
                except (aiohttp.ClientError, OSError):
                    statuses.add(0)
            if statuses == {200}:
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _finish_jobs(self) -> None:
        """See that every job that was taken becomes whole and stays so, and one more does."""
        began_seconds = asyncio.get_running_loop().time()
        last = SoakTrainer("last", self.site, self.report.seed)
        try:
            async with self._session() as session, asyncio.timeout(JOBS_WHOLE_SECONDS):
                await asyncio.gather(
                    last.work_through(session), *(trainer.finish() for trainer in self.trainers)
                )
        except TimeoutError:
            jobs = [job for trainer in (*self.trainers, last) for job in trainer.jobs]
            open_jobs = [job.job_id for job in jobs if job.is_taken and not job.is_whole]
            self.site.violations.append(
                f"not whole or not read {JOBS_WHOLE_SECONDS:.0f} s after the faults: {open_jobs}"
            )
        self.report.whole_after_seconds = asyncio.get_running_loop().time() - began_seconds
        self.trainers.append(last)
        self._check()

    def _reported(self) -> SoakReport:
        report = self.report
        report.violations = self.site.violations[:MAX_SHOWN]
        report.faults = dict(self._counts)
        report.answers = dict(self.callers.answers)
        taken = [job for trainer in self.trainers for job in trainer.jobs if job.is_taken]
        report.jobs = len(taken)
        report.items = sum(len(job.listed) for job in taken)
        report.given_up = sum(trainer.given_up for trainer in self.trainers)
        report.processes = sum(len(daemon.lives) for daemon in self.site.daemons)
        return report

    def _session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0))
