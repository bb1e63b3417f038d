"""A trainer of a soak: submits batch jobs, reads their results and holds them to what was read."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec

from rackswitch.load.soak_site import SoakSite
from rackswitch.platform.names import REQUEST_ID_HEADER, WAIT_HEADER
from rackswitch.standins.platform_fleet import HOST, RESULTS_PATH, job_body

__all__ = ["JobSeen", "SoakTrainer"]

TIMEOUT_SECONDS = 4.0
WAIT_MS = 400
RETRY_SECONDS = 0.1
MAX_ITEMS = 12
MAX_PIECES = 250
"""About a second of an engine's time."""

REREAD_SHARE = 0.3
STALENESS_VERSIONS = 1
"""How much older than the newest version a text may be that a job asks for."""


@dataclass(slots=True)
class JobSeen:
    """A job and all that was listed of it, by position."""

    job_id: str
    pieces: list[int]
    oldest_version: int = 1
    is_taken: bool = False
    listed: list[dict[str, Any]] = field(default_factory=list)

    @property
    def is_whole(self) -> bool:
        """Whether every item is listed."""
        return len(self.listed) >= len(self.pieces)


class SoakTrainer:
    """One trainer.

    Parameters
    ----------
    name : str
        Its jobs begin with it.
    site : SoakSite
        Where it submits and reads.
    seed : int
        Of its choices.

    Attributes
    ----------
    given_up : int
        Items that were listed without a text.
    """

    def __init__(self, name: str, site: SoakSite, seed: int):
        self.jobs: list[JobSeen] = []
        self.given_up = 0
        self._name = name
        self._site = site
        self._rng = random.Random(f"{seed}/{name}")

    async def run(self) -> None:
        """Work through one job after the other until cancelled."""
        async with self._session() as session:
            while True:
                await self.work_through(session)

    async def work_through(self, session: aiohttp.ClientSession) -> JobSeen:
        """Submit one job and read it to its end."""
        count = self._rng.randint(2, MAX_ITEMS)
        pieces = [self._rng.randint(1, MAX_PIECES) for _ in range(count)]
        oldest = max(1, self._site.named_version - STALENESS_VERSIONS)
        job = JobSeen(f"{self._name}-{len(self.jobs)}", pieces, oldest)
        self.jobs.append(job)
        await self._submit(session, job)
        while not job.is_whole:
            await self._read(session, job, len(job.listed), WAIT_MS)
            if job.listed and self._rng.random() < REREAD_SHARE:
                await self._read(session, job, self._rng.randrange(len(job.listed)), 0)
        return job

    async def finish(self) -> None:
        """Read what is not whole yet, and all jobs once more from their beginnings."""
        async with self._session() as session:
            for job in self.jobs:
                while job.is_taken and not job.is_whole:
                    await self._read(session, job, len(job.listed), WAIT_MS)
                while job.is_taken and not await self._read(session, job, 0, 0):
                    await asyncio.sleep(RETRY_SECONDS)

    async def _submit(self, session: aiohttp.ClientSession, job: JobSeen) -> None:
        """Submit a job under one identity until it is taken."""
        body = job_body(job.job_id, job.pieces, job.oldest_version)
        while not job.is_taken:
            status, content = await self._call(session, "POST", "/jobs/new", job.job_id, body)
            job.is_taken = status == 202
            if status in (400, 404, 413):
                self._note(f"{job.job_id}: {status} for its submission: {content[:80]!r}")
            if not job.is_taken:
                await asyncio.sleep(RETRY_SECONDS)

    async def _read(
        self, session: aiohttp.ClientSession, job: JobSeen, position: int, wait_ms: int
    ) -> bool:
        """Read from a position on, and return whether that was answered."""
        path = f"{RESULTS_PATH}{job.job_id}?since_rev={position}"
        status, content = await self._call(session, "GET", path, "", b"", wait_ms)
        if status in (404, 410):
            self._note(f"{job.job_id}: {status} for a job that was taken")
        if status != 200:
            await asyncio.sleep(RETRY_SECONDS)
            return False
        page = msgspec.json.decode(content)
        results = page["results"]
        if page["next_token"] != position + len(results) or page["total"] != len(job.pieces):
            self._note(f"{job.job_id}: a page that does not add up, from {position}")
        if not results and position < len(job.listed):
            self._note(f"{job.job_id}: an empty page at {position}, which had been listed")
        for at, result in enumerate(results, position):
            self._take(job, at, result)
        return True

    def _take(self, job: JobSeen, position: int, result: dict[str, Any]) -> None:
        if position < len(job.listed):
            if result != job.listed[position]:
                self._note(f"{job.job_id}: the result at {position} changed")
            return
        if any(result["id"] == known["id"] for known in job.listed):
            self._note(f"{job.job_id}: {result['id']} stands twice")
        job.listed.append(result)
        self._check(job, result)

    def _check(self, job: JobSeen, result: dict[str, Any]) -> None:
        prefix, _, number = result["id"].rpartition("-")
        if prefix != job.job_id or not int(number) < len(job.pieces):
            self._note(f"{job.job_id}: lists {result['id']}, which is none of its items")
        elif result["state"] != "completed":
            self.given_up += 1
        elif result["text"] != _text(job.pieces[int(number)]):
            self._note(f"{job.job_id}: {result['id']} has another text than its own")
        elif not result["score"].endswith(f"-{job.job_id}-score-{number}"):
            self._note(f"{job.job_id}: {result['id']} has the score {result['score']}")
        elif not self._are_versions_right(job, result["versions"]):
            self._note(f"{job.job_id}: {result['id']} by versions {result['versions']}")

    def _are_versions_right(self, job: JobSeen, versions: list[int]) -> bool:
        """Return whether a text is by versions that were named and are not too old."""
        newest = self._site.named_version
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
        """Call any daemon; status 0 if that brought no answer."""
        headers = {"Host": HOST, WAIT_HEADER: str(wait_ms)}
        if request_id:
            headers[REQUEST_ID_HEADER] = request_id
        url = self._rng.choice(self._site.daemons).url + path
        try:
            async with session.request(method, url, data=body or None, headers=headers) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, b""

    def _note(self, line: str) -> None:
        self._site.violations.append(line)

    def _session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS))


def _text(pieces: int) -> str:
    return "\n".join(f"piece {number}" for number in range(1, pieces + 1))
