"""A trainer of a soak: submits batch jobs, reads their results and checks them."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from rackswitch.load.soak_site import SoakSite
from rackswitch.platform.names import REQUEST_ID_HEADER, WAIT_HEADER
from rackswitch.standins.platform_fleet import HOST, RESULTS_PATH, job_body

__all__ = ["JobRecord", "SoakTrainer"]

TIMEOUT_SECONDS = 4.0
WAIT_MS = 400
FIRST_JOBS_PATH = "/jobs/new"
"""Path that every table routes."""

RETRY_SECONDS = 0.1
MAX_ITEMS = 12
MAX_PIECES = 250
"""Takes an engine about one second."""

KEEP_SECONDS = 40.0
"""Time for which the table's job routes keep items."""

REREAD_PROBABILITY = 0.3
STALENESS_VERSIONS = 1
"""How much older than the newest version the texts of a job may be."""


@dataclass(slots=True)
class JobRecord:
    """A job and its results in the order of their positions."""

    job_id: str
    pieces: list[int]
    oldest_version: int = 1
    submitted_seconds: float = 0.0
    is_accepted: bool = False
    listed: list[dict[str, Any]] = field(default_factory=list)

    @property
    def is_complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.listed) >= len(self.pieces)


class SoakTrainer:
    """Submits batch jobs and checks their results.

    Parameters
    ----------
    name : str
        Prefix of its job ids.
    site : SoakSite
        Test environment whose daemons it calls.
    seed : int
        Seed of its choices.

    Attributes
    ----------
    given_up : int
        Number of items that ended without a text.
    """

    def __init__(self, name: str, site: SoakSite, seed: int):
        self.jobs: list[JobRecord] = []
        self.given_up = 0
        self._name = name
        self._site = site
        self._rng = random.Random(f"{seed}/{name}")

    async def run(self) -> None:
        """Run one job after the other until cancelled."""
        async with self._session() as session:
            while True:
                await self.run_job(session)

    async def run_job(self, session: aiohttp.ClientSession) -> JobRecord:
        """Submit one job and read its results until it is complete."""
        count = self._rng.randint(2, MAX_ITEMS)
        pieces = [self._rng.randint(1, MAX_PIECES) for _ in range(count)]
        oldest_version = max(1, self._site.published_version - STALENESS_VERSIONS)
        job = JobRecord(f"{self._name}-{len(self.jobs)}", pieces, oldest_version)
        self.jobs.append(job)
        await self._submit(session, job)
        while not job.is_complete:
            await self._read(session, job, len(job.listed), WAIT_MS)
            if job.listed and self._rng.random() < REREAD_PROBABILITY:
                await self._read(session, job, self._rng.randrange(len(job.listed)), 0)
        return job

    async def finish(self) -> None:
        """Read the remaining results of accepted jobs, then each job once more from its start."""
        async with self._session() as session:
            for job in self.jobs:
                while job.is_accepted and not job.is_complete:
                    await self._read(session, job, len(job.listed), WAIT_MS)
                while job.is_accepted and not await self._read(session, job, 0, 0):
                    await asyncio.sleep(RETRY_SECONDS)

    async def _submit(self, session: aiohttp.ClientSession, job: JobRecord) -> None:
        """Submit a job with the same id until it is accepted."""
        body = job_body(job.job_id, job.pieces, job.oldest_version)
        job.submitted_seconds = asyncio.get_running_loop().time()
        path = self._site.newest_jobs_path + "new"
        while not job.is_accepted:
            status, content = await self._call(session, "POST", path, job.job_id, body)
            job.is_accepted = status == 202
            # A daemon may not have applied the newest table yet.
            is_route_pending = status == 404 and path != FIRST_JOBS_PATH
            if status in (400, 404, 413) and not is_route_pending:
                self._add_violation(f"{job.job_id}: {status} for its submission: {content[:80]!r}")
            if not job.is_accepted:
                await asyncio.sleep(RETRY_SECONDS)

    async def _read(
        self, session: aiohttp.ClientSession, job: JobRecord, position: int, wait_ms: int
    ) -> bool:
        """Read results from a position on and return whether the request succeeded."""
        path = f"{RESULTS_PATH}{job.job_id}?since_rev={position}"
        status, content = await self._call(session, "GET", path, "", b"", wait_ms)
        if status in (404, 410):
            self._add_violation(f"{job.job_id}: {status} for an accepted job")
        if status != 200:
            await asyncio.sleep(RETRY_SECONDS)
            return False
        page = msgspec.json.decode(content)
        results = page["results"]
        if page["next_token"] != position + len(results) or page["total"] != len(job.pieces):
            self._add_violation(f"{job.job_id}: inconsistent page at position {position}")
        if not results and position < len(job.listed):
            self._add_violation(
                f"{job.job_id}: empty page at position {position}, which was listed before"
            )
        for result_position, result in enumerate(results, position):
            self._record_result(job, result_position, result)
        return True

    def _record_result(self, job: JobRecord, position: int, result: dict[str, Any]) -> None:
        if position < len(job.listed):
            if result != job.listed[position]:
                self._add_violation(f"{job.job_id}: the result at {position} changed")
            return
        if any(result["id"] == known["id"] for known in job.listed):
            self._add_violation(f"{job.job_id}: {result['id']} is listed twice")
        job.listed.append(result)
        self._check(job, result)

    def _check(self, job: JobRecord, result: dict[str, Any]) -> None:
        prefix, _, number = result["id"].rpartition("-")
        if prefix != job.job_id or not int(number) < len(job.pieces):
            self._add_violation(
                f"{job.job_id}: lists {result['id']}, which is not one of its items"
            )
        elif result["state"] != "completed":
            self.given_up += 1
            age_seconds = asyncio.get_running_loop().time() - job.submitted_seconds
            if age_seconds < KEEP_SECONDS:
                # No target of a soak fails an item, and no route is removed.
                self._add_violation(
                    f"{job.job_id}: {result['id']} was given up {age_seconds:.1f} s after its "
                    f"submission"
                )
        elif result["text"] != _text(job.pieces[int(number)]):
            self._add_violation(f"{job.job_id}: {result['id']} has a wrong text")
        elif not result["score"].endswith(f"-{job.job_id}-score-{number}"):
            self._add_violation(
                f"{job.job_id}: {result['id']} has the wrong score {result['score']}"
            )
        elif not self._are_versions_allowed(job, result["versions"]):
            self._add_violation(
                f"{job.job_id}: {result['id']} has wrong versions {result['versions']}"
            )

    def _are_versions_allowed(self, job: JobRecord, versions: list[int]) -> bool:
        """Return whether all versions of a text are published and not older than allowed."""
        newest = self._site.published_version
        return bool(versions) and all(job.oldest_version <= v <= newest for v in versions)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        request_id: str,
        body: bytes,
        wait_ms: int = 0,
    ) -> tuple[int, bytes]:
        """Call a random daemon; status 0 stands for no response."""
        headers = {"Host": HOST, WAIT_HEADER: str(wait_ms)}
        if request_id:
            headers[REQUEST_ID_HEADER] = request_id
        url = self._rng.choice(self._site.daemons).url + path
        try:
            async with session.request(method, url, data=body or None, headers=headers) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, b""

    def _add_violation(self, line: str) -> None:
        self._site.violations.append(line)

    def _session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS))


def _text(pieces: int) -> str:
    return "\n".join(f"piece {number}" for number in range(1, pieces + 1))
