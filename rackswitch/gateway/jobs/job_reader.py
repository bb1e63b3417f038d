"""Reading jobs at any daemon: from the owner's memory, or from the key-value service."""

import asyncio
from dataclasses import dataclass

import msgspec

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_records import JobMarker, key_part, unpack_results
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import Job, JobResult
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable

__all__ = ["JobReader", "JobUnknown", "JobUnsure", "ResultsPage"]

POLL_SECONDS = 0.35
"""Between two reads of the service while a reader waits for results."""

MAX_PAGE_CHARACTERS = 900_000
"""Keeps a page of results below the platform's 1 MB."""

MAX_CACHED_JOBS = 64

OWNER_SLACK_SECONDS = 0.3
"""How much longer than a reader waits its owner may take; the service is asked then."""


@dataclass(frozen=True, slots=True)
class ResultsPage:
    """Results from a position on.

    Attributes
    ----------
    source, listed : str, int
        Where they were read, and how many results of the job are known there.
    """

    total: int
    results: list[JobResult]
    source: str
    listed: int


@dataclass(frozen=True, slots=True)
class JobUnknown:
    """There is no such job, by the service's own word."""


@dataclass(frozen=True, slots=True)
class JobUnsure:
    """The service cannot be asked, and this daemon does not know for itself."""

    detail: str


class JobReader:
    """Answers what trainers ask about jobs.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    keeper : JobManager
        The jobs owned here, and the markers of all.
    store : JobStore
        Jobs in the key-value service.
    session : Session
        Whether this daemon can be sure that it still owns what it owns.
    """

    __slots__ = ("_cached", "_context", "_final", "_items", "_keeper", "_session", "_store")

    def __init__(
        self, context: GatewayContext, keeper: JobManager, store: JobStore, session: Session
    ):
        self._context = context
        self._keeper = keeper
        self._store = store
        self._session = session
        self._cached: dict[str, list[JobResult]] = {}
        # Jobs whose cached results are all that will ever be listed.
        self._final: set[str] = set()
        self._items: dict[str, Job] = {}

    async def marker(self, job_id: str) -> JobMarker | JobUnknown | JobUnsure:
        """Return a job's marker."""
        known = self._keeper.known.marker(job_id)
        if known is not None:
            return known
        entry = await self._store.load_marker(job_id)
        if isinstance(entry, KvUnavailable):
            return JobUnsure(entry.detail)
        if entry is None:
            return JobUnknown()
        self._keeper.marker_put(entry)
        return msgspec.json.decode(entry.value, type=JobMarker)

    async def results(
        self, job_id: str, position: int, deadline_seconds: float
    ) -> ResultsPage | JobUnknown | JobUnsure:
        """Return results from a position on; until the deadline wait for one to exist."""
        marker = await self.marker(job_id)
        if not isinstance(marker, JobMarker):
            return marker
        page = await self.owned_page(job_id, position, deadline_seconds)
        if page is None:
            page = await self._owner_page(job_id, position, deadline_seconds)
        if page is not None:
            return page
        return await self._stored_results(marker, position, deadline_seconds)

    async def owned_page(
        self, job_id: str, position: int, deadline_seconds: float
    ) -> ResultsPage | None:
        """Return results of a job that is owned here; None if that is not sure."""
        owned = self._keeper.owned.get(job_id)
        if owned is None or not owned.may_tell or not self._session.is_sure():
            return None
        return await self._owned_results(owned, position, deadline_seconds)

    async def _owner_page(
        self, job_id: str, position: int, deadline_seconds: float
    ) -> ResultsPage | None:
        """Ask the daemon that owns the job; None if it does not answer for it."""
        cached = self._cached.get(job_id, [])
        if len(cached) > position:
            return None
        owner = self._keeper.known.owner(key_part(job_id))
        if owner is None:
            return None
        peer = self._context.daemon.membership.address(owner.daemon)
        if peer is None:
            return None
        wait_seconds = max(0.0, deadline_seconds - self._context.now_seconds())
        request = pb.ReadJobRequest(
            job_id=job_id, position=position, wait_ms=round(wait_seconds * 1000)
        )
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.ReadJob,
            request,
            wait_seconds + OWNER_SLACK_SECONDS,
            GatewayPeersStub,
        )
        if isinstance(reply, PeerUnreachable) or not reply.owned:
            return None
        results = unpack_results(reply.results)
        return ResultsPage(reply.total, results, f"owner {owner.daemon}", reply.listed)

    async def item(self, job_id: str, item_id: str) -> bytes | JobUnknown | JobUnsure:
        """Return the body of an item."""
        marker = await self.marker(job_id)
        if not isinstance(marker, JobMarker):
            return marker
        owned = self._keeper.owned.get(job_id)
        job = owned.ledger.job if owned is not None else self._items.get(job_id)
        if job is None:
            loaded = await self._store.load_items(job_id)
            if isinstance(loaded, KvUnavailable):
                return JobUnsure(loaded.detail)
            if loaded is None:
                return JobUnknown()
            job = loaded
            self._remember(self._items, job_id, job)
        for item in job.items:
            if item.item_id == item_id:
                return item.body
        return JobUnknown()

    async def _owned_results(
        self, owned: OwnedJob, position: int, deadline_seconds: float
    ) -> ResultsPage | None:
        ledger = owned.ledger
        while len(ledger.listed) <= position and not ledger.ended and not ledger.is_complete:
            try:
                async with asyncio.timeout_at(deadline_seconds):
                    await owned.news.wait()
            except TimeoutError:
                break
        # Others may have read from the service already what is being kept there.
        may_be_more = owned.appending.locked() or owned.append_is_unknown
        # A job that was left in the meantime is answered for at once: its reader asks elsewhere.
        is_certain = self._session.is_sure() and (owned.may_tell or ledger.ended)
        if len(ledger.listed) <= position and (may_be_more or not is_certain):
            return None
        return ResultsPage(
            ledger.total, _page(ledger.listed, position), "owner", len(ledger.listed)
        )

    async def _stored_results(
        self, marker: JobMarker, position: int, deadline_seconds: float
    ) -> ResultsPage | JobUnsure:
        """Return results as the service keeps them.

        The write that ends a job takes its owner's right to append away, so that what is read after
        it is final and need not be read from the service again.
        """
        while True:
            cached = self._cached.get(marker.job_id, [])
            is_final = marker.job_id in self._final or len(cached) == marker.total
            if len(cached) <= position and not is_final:
                newer = await self._store.load_results(marker.job_id, len(cached))
                if isinstance(newer, KvUnavailable):
                    return JobUnsure(newer.detail)
                # Another read may have filled the cache meanwhile.
                if self._cached.get(marker.job_id, []) == cached:
                    cached = cached + newer
                    self._remember(self._cached, marker.job_id, cached)
                    if marker.ended:
                        self._final.add(marker.job_id)
                else:
                    continue
            left_seconds = deadline_seconds - self._context.now_seconds()
            over = marker.ended or len(cached) == marker.total
            if len(cached) > position or over or left_seconds <= 0:
                return ResultsPage(marker.total, _page(cached, position), "store", len(cached))
            await asyncio.sleep(min(POLL_SECONDS, left_seconds))

    def _remember(self, cache: dict, job_id: str, value: object) -> None:
        cache.pop(job_id, None)
        cache[job_id] = value
        while len(cache) > MAX_CACHED_JOBS:
            oldest = next(iter(cache))
            del cache[oldest]
            if cache is self._cached:
                self._final.discard(oldest)


def _page(listed: list[JobResult], position: int) -> list[JobResult]:
    """Return results from a position on, as many as fit in one answer."""
    page: list[JobResult] = []
    characters = 0
    for result in listed[position:]:
        characters += len(result.text)
        if page and characters > MAX_PAGE_CHARACTERS:
            break
        page.append(result)
    return page
