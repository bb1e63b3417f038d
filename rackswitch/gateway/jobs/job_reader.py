"""Reads of jobs at any daemon, served by the job's owner or from the key-value service."""

import asyncio
from dataclasses import dataclass

import msgspec

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_records import JobMarker, job_key_part, unpack_results
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import Job, JobResult
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable

__all__ = ["JobReader", "JobUnknown", "JobUnsure", "ResultsPage"]

POLL_INTERVAL_SECONDS = 0.35
"""Between two reads of the key-value service while a reader waits for results."""

MAX_PAGE_CHARACTERS = 900_000
"""Keeps a page of results below the platform's limit of 1 MB."""

MAX_CACHED_JOBS = 64

OWNER_SLACK_SECONDS = 0.3
"""Added to a reader's wait in a call to the owner, before the key-value service is read."""


@dataclass(frozen=True, slots=True)
class ResultsPage:
    """Results from a position on.

    Attributes
    ----------
    source, listed : str, int
        Where the results were read, and how many results of the job were listed there.
    """

    total: int
    results: list[JobResult]
    source: str
    listed: int


@dataclass(frozen=True, slots=True)
class JobUnknown:
    """The key-value service has no such job."""


@dataclass(frozen=True, slots=True)
class JobUnsure:
    """The key-value service is unreachable and this daemon does not know the job."""

    detail: str


class JobReader:
    """Reads markers, results and items of jobs for trainers.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    job_manager : JobManager
        The jobs owned here, and the markers of all.
    store : JobStore
        Jobs in the key-value service.
    session : Session
        Tells whether the lease of this daemon's owner keys is certainly valid.
    """

    __slots__ = (
        "_cached",
        "_context",
        "_final_ids",
        "_items",
        "_job_manager",
        "_session",
        "_store",
    )

    def __init__(
        self, context: GatewayContext, job_manager: JobManager, store: JobStore, session: Session
    ):
        self._context = context
        self._job_manager = job_manager
        self._store = store
        self._session = session
        self._cached: dict[str, list[JobResult]] = {}
        # Ended jobs whose cached results are complete.
        self._final_ids: set[str] = set()
        self._items: dict[str, Job] = {}

    async def marker(self, job_id: str) -> JobMarker | JobUnknown | JobUnsure:
        """Return a job's marker."""
        known = self._job_manager.known.marker(job_id)
        if known is not None:
            return known
        entry = await self._store.load_marker(job_id)
        if isinstance(entry, KvUnavailable):
            return JobUnsure(entry.detail)
        if entry is None:
            return JobUnknown()
        self._job_manager.marker_put(entry)
        return msgspec.json.decode(entry.value, type=JobMarker)

    async def results(
        self, job_id: str, position: int, deadline_seconds: float
    ) -> ResultsPage | JobUnknown | JobUnsure:
        """Return results from a position on; wait for one until the deadline."""
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
        """Return results of a job that is owned here; None if the ownership is not certain."""
        owned = self._job_manager.owned.get(job_id)
        if owned is None or not owned.may_serve_results or not self._session.is_valid():
            return None
        return await self._owned_results(owned, position, deadline_seconds)

    async def _owner_page(
        self, job_id: str, position: int, deadline_seconds: float
    ) -> ResultsPage | None:
        """Return results from the job's owner; None if it does not confirm its ownership."""
        cached = self._cached.get(job_id, [])
        if len(cached) > position:
            return None
        owner = self._job_manager.known.owner(job_key_part(job_id))
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
        owned = self._job_manager.owned.get(job_id)
        job = owned.ledger.job if owned is not None else self._items.get(job_id)
        if job is None:
            loaded = await self._store.load_items(job_id)
            if isinstance(loaded, KvUnavailable):
                return JobUnsure(loaded.detail)
            if loaded is None:
                return JobUnknown()
            job = loaded
            self._add_to_cache(self._items, job_id, job)
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
                    await owned.results_listed.wait()
            except TimeoutError:
                break
        # Readers at other daemons may have read an unconfirmed segment already.
        has_unconfirmed_append = owned.appending.locked() or owned.append_is_unknown
        # If the job was released meanwhile, the caller reads it elsewhere at once.
        is_certain = self._session.is_valid() and (owned.may_serve_results or ledger.ended)
        if len(ledger.listed) <= position and (has_unconfirmed_append or not is_certain):
            return None
        return ResultsPage(
            ledger.total, _page(ledger.listed, position), "owner", len(ledger.listed)
        )

    async def _stored_results(
        self, marker: JobMarker, position: int, deadline_seconds: float
    ) -> ResultsPage | JobUnsure:
        """Return results from the key-value service.

        No result can be appended after the write that ends a job, so results read after it are
        cached as final.
        """
        while True:
            cached = self._cached.get(marker.job_id, [])
            is_final = marker.job_id in self._final_ids or len(cached) == marker.total
            if len(cached) <= position and not is_final:
                new_results = await self._store.load_results(marker.job_id, len(cached))
                if isinstance(new_results, KvUnavailable):
                    return JobUnsure(new_results.detail)
                # A concurrent read may have extended the cache.
                if self._cached.get(marker.job_id, []) == cached:
                    cached = cached + new_results
                    self._add_to_cache(self._cached, marker.job_id, cached)
                    if marker.ended:
                        self._final_ids.add(marker.job_id)
                else:
                    continue
            remaining_seconds = deadline_seconds - self._context.now_seconds()
            is_complete = marker.ended or len(cached) == marker.total
            if len(cached) > position or is_complete or remaining_seconds <= 0:
                return ResultsPage(marker.total, _page(cached, position), "store", len(cached))
            await asyncio.sleep(min(POLL_INTERVAL_SECONDS, remaining_seconds))

    def _add_to_cache(self, cache: dict, job_id: str, value: object) -> None:
        cache.pop(job_id, None)
        cache[job_id] = value
        while len(cache) > MAX_CACHED_JOBS:
            oldest = next(iter(cache))
            del cache[oldest]
            if cache is self._cached:
                self._final_ids.discard(oldest)


def _page(listed: list[JobResult], position: int) -> list[JobResult]:
    """Return results from a position on, as many as fit in one response."""
    page: list[JobResult] = []
    characters = 0
    for result in listed[position:]:
        characters += len(result.text)
        if page and characters > MAX_PAGE_CHARACTERS:
            break
        page.append(result)
    return page
