"""A seeded run of gateway processes under sequential and overlapping faults.

The seed determines which faults are drawn. Their timing also depends on the machine, so a run
repeated with the same seed gets the same kinds of faults at other moments.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from rackswitch.clients.http import HttpSession
from rackswitch.load.daemon_process import DaemonProcess
from rackswitch.load.soak_callers import SoakCallers, call_once
from rackswitch.load.soak_faults import SOAK_FAULTS
from rackswitch.load.soak_site import SoakSite
from rackswitch.load.soak_trainer import SoakTrainer

__all__ = ["Soak", "SoakReport"]

TRAINERS = 2
FAULT_INTERVAL_SECONDS = (0.1, 1.2)
"""Minimum and maximum interval before the next faults begin."""

MAX_FAULTS_AT_ONCE = 4
CHECK_INTERVAL_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 2.0
READY_TIMEOUT_SECONDS = 15.0
RECOVERY_TIMEOUT_SECONDS = 10.0
"""Time after the last fault within which each daemon must serve by the newest table."""

JOBS_TIMEOUT_SECONDS = 30.0
"""Time after recovery within which all jobs must be complete, including those taken over from
a killed daemon."""

MAX_REPORTED_VIOLATIONS = 20
TARGET_FAULTS = ("target", "service")
"""Beginnings of the names of faults that interrupt streams."""


@dataclass(slots=True)
class SoakReport:
    """The result of a soak.

    Attributes
    ----------
    violations : list of str
        Violated guarantees; empty if the run passed.
    served_after_seconds, whole_after_seconds : float
        Time until all daemons served after the last fault, and from then until all jobs were
        complete.
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
    """One run of load and faults.

    Parameters
    ----------
    seed : int
        Seed of load and faults.
    daemons : int
        Number of gateways.
    folder : Path
        Where the gateways' settings and logs are written.
    faults : list of str
        Names of the faults to inject; all if empty.
    """

    def __init__(self, seed: int, daemons: int, folder: Path, faults: list[str] | None = None):
        self.site = SoakSite(daemons, seed, folder)
        self.report = SoakReport(seed)
        self._fault_names = faults or SOAK_FAULTS.names()
        self._faults = [SOAK_FAULTS.get(name) for name in self._fault_names]
        self._rng = random.Random(seed)
        self._fault_counts: Counter[str] = Counter()
        self.callers = SoakCallers(self.site, seed)
        self.callers.checks_streams = not any(
            name.startswith(TARGET_FAULTS) for name in self._fault_names
        )
        self.trainers = [SoakTrainer(f"t{n}", self.site, seed) for n in range(TRAINERS)]

    async def run(self, seconds: float) -> SoakReport:
        """Apply load and faults for a time, then check that the gateways recover."""
        try:
            await self.site.start()
            await self._wait_ready()
            background_tasks = [asyncio.create_task(self.callers.run())]
            background_tasks += [asyncio.create_task(trainer.run()) for trainer in self.trainers]
            check_task = asyncio.create_task(self._check_periodically())
            await self._inject_faults(seconds)
            await self._check_recovery()
            for task in (*background_tasks, check_task):
                task.cancel()
            results = await asyncio.gather(*background_tasks, check_task, return_exceptions=True)
            await self._check_jobs_complete()
        finally:
            await self.site.stop()
        self.site.violations += [
            f"a task of the soak failed: {error!r}"
            for error in results
            if not isinstance(error, asyncio.CancelledError)
        ]
        return self._fill_report()

    async def _wait_ready(self) -> None:
        async with self._session() as session, asyncio.timeout(READY_TIMEOUT_SECONDS):
            for daemon in self.site.daemons:
                while await daemon.readiness(session) != 200:
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _inject_faults(self, seconds: float) -> None:
        """Inject faults for a time, each in a task, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        deadline_seconds = loop.time() + seconds
        self.site.fault_seconds_range = (0.2, min(3.0, seconds / 2))
        running: set[asyncio.Task[None]] = set()
        while loop.time() < deadline_seconds:
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_SECONDS))
            running = {task for task in running if not task.done()}
            for number in self._rng.sample(
                range(len(self._fault_names)), min(2, len(self._fault_names))
            ):
                if len(running) < MAX_FAULTS_AT_ONCE:
                    self._fault_counts[self._fault_names[number]] += 1
                    fault = self._faults[number]
                    running.add(asyncio.ensure_future(fault(self.site)))
        self.site.is_stopping = True
        await asyncio.gather(*running)

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._check()

    def _check(self) -> None:
        for line in (*self.callers.check(), *self._check_orders()):
            if line not in self.site.violations:
                self.site.violations.append(line)

    def _check_orders(self) -> list[str]:
        """Return violations: load orders of several daemons with the same fencing number."""
        orders = [order for engine in self.site.engines for order in engine.stand_in.orders]
        holders: dict[int, set[str]] = {}
        for order in orders:
            holders.setdefault(order.fence, set()).add(order.holder)
        return [
            f"load orders sharing a fencing number: {names} under {fence}"
            for fence, names in holders.items()
            if len(names) > 1
        ]

    async def _check_recovery(self) -> None:
        """Check that every daemon serves both routes by the newest table within the time limit."""
        start_seconds = asyncio.get_running_loop().time()
        unserved = {daemon.name for daemon in self.site.daemons}

        async def wait_served(session: HttpSession, daemon: DaemonProcess) -> None:
            await self._wait_served(session, daemon)
            unserved.discard(daemon.name)

        try:
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
            async with (
                HttpSession(timeout=timeout) as session,
                asyncio.timeout(RECOVERY_TIMEOUT_SECONDS),
            ):
                # All at once, so that the time limit is the same for each of many daemons.
                await asyncio.gather(
                    *(wait_served(session, daemon) for daemon in self.site.daemons)
                )
        except TimeoutError:
            self.site.violations.append(
                f"not serving {RECOVERY_TIMEOUT_SECONDS:.0f} s after the faults: {sorted(unserved)}"
            )
        self.report.served_after_seconds = asyncio.get_running_loop().time() - start_seconds

    async def _wait_served(self, session: HttpSession, daemon: DaemonProcess) -> None:
        for number in itertools.count():
            statuses = set()
            for path in (self.site.newest_path, "/lodge/"):
                request_id = f"probe-{daemon.name}{path.replace('/', '-')}{number}"
                try:
                    record = await call_once(session, daemon, path + "1", request_id)
                    statuses.add(record.status)
                except (aiohttp.ClientError, OSError):
                    statuses.add(0)
            if statuses == {200}:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _check_jobs_complete(self) -> None:
        """Check that every accepted job and one new job complete and that results do not change."""
        start_seconds = asyncio.get_running_loop().time()
        final_trainer = SoakTrainer("last", self.site, self.report.seed)
        try:
            async with self._session() as session, asyncio.timeout(JOBS_TIMEOUT_SECONDS):
                await asyncio.gather(
                    final_trainer.run_job(session), *(trainer.finish() for trainer in self.trainers)
                )
        except TimeoutError:
            jobs = [job for trainer in (*self.trainers, final_trainer) for job in trainer.jobs]
            unfinished_jobs = [
                job.job_id for job in jobs if job.is_accepted and not job.is_complete
            ]
            self.site.violations.append(
                f"jobs incomplete {JOBS_TIMEOUT_SECONDS:.0f} s after the faults: {unfinished_jobs}"
            )
        self.report.whole_after_seconds = asyncio.get_running_loop().time() - start_seconds
        self.trainers.append(final_trainer)
        self._check()

    def _fill_report(self) -> SoakReport:
        report = self.report
        report.violations = self.site.violations[:MAX_REPORTED_VIOLATIONS]
        report.faults = dict(self._fault_counts)
        report.answers = dict(self.callers.answers)
        accepted_jobs = [
            job for trainer in self.trainers for job in trainer.jobs if job.is_accepted
        ]
        report.jobs = len(accepted_jobs)
        report.items = sum(len(job.listed) for job in accepted_jobs)
        report.given_up = sum(trainer.given_up for trainer in self.trainers)
        report.processes = sum(len(daemon.process_records) for daemon in self.site.daemons)
        return report

    def _session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS))
