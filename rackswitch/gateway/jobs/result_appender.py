"""Appending the results of owned jobs to the key-value service, a segment at a time."""

import asyncio
from collections.abc import Iterable

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_outcomes import AppendConflict, Appended, JobNotStored
from rackswitch.gateway.jobs.job_records import key_part
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import JobResult, OrphanedJobs, listing_pause_seconds
from rackswitch.telemetry.events import ResultsAppended

__all__ = ["ResultAppender"]

APPEND_RETRY_SECONDS = 0.25
"""After a segment that the service did not take."""


class ResultAppender:
    """Keeps results, under the fence of this daemon's ownership.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    session : Session
        Whether this daemon can be sure that it owns what it owns.
    store : JobStore
        Jobs in the key-value service.
    orphans : OrphanedJobs
        Told of a job whose owner this daemon turns out not to be.
    wake : asyncio.Event
        Set after each try.
    """

    __slots__ = ("_context", "_orphans", "_session", "_store", "_wake")

    def __init__(
        self,
        context: GatewayContext,
        session: Session,
        store: JobStore,
        orphans: OrphanedJobs,
        wake: asyncio.Event,
    ):
        self._session = session
        self._context = context
        self._store = store
        self._orphans = orphans
        self._wake = wake

    def append_due(self, owned_jobs: Iterable[OwnedJob]) -> None:
        """Begin to append the results that are ready, where the last segment is past."""
        if self._context.policy.jobs_handed_over and not self._session.is_sure():
            # An append would hang until its time is up, or be refused as the lease is over, and
            # the claim that lists the same results would wait for it.
            return
        now_seconds = self._context.now_seconds()
        for owned in owned_jobs:
            if not owned.may_list:
                continue
            if owned.appending.locked():
                continue
            if not owned.ledger.has_pending:
                self._catch_up_if_due(owned, now_seconds)
                continue
            due_seconds = owned.last_append_seconds + listing_pause_seconds(owned.ledger)
            if now_seconds >= max(due_seconds, owned.next_append_seconds):
                self._context.daemon.spawn(self._append(owned))

    def _catch_up_if_due(self, owned: OwnedJob, now_seconds: float) -> None:
        is_due = owned.is_behind and now_seconds >= owned.next_append_seconds
        if is_due and self._session.is_sure():
            owned.next_append_seconds = now_seconds + APPEND_RETRY_SECONDS
            self._context.daemon.spawn(self._catch_up(owned))

    async def _catch_up(self, owned: OwnedJob) -> None:
        """Take in what other owners listed.

        The owner key is read last: what was listed before this daemon's claim is among the results
        if the job is its own then.
        """
        async with owned.appending:
            job_id, position = owned.ledger.job.job_id, len(owned.ledger.listed)
            claim = self._claim(owned)
            results = await self._store.load_results(job_id, position)
            owner = await self._store.load_owner(job_id)
            if isinstance(results, KvUnavailable) or isinstance(owner, KvUnavailable):
                return
            is_own = owner is not None and owner.mod_revision == owned.owner_revision
            if is_own and claim == self._claim(owned):
                owned.take_in(position, results)
                owned.is_behind = False
                owned.tell_news()

    def _claim(self, owned: OwnedJob) -> tuple[int | None, int]:
        """Return the lease and revision under which a job is owned; an answer may be older."""
        return self._session.lease_id, owned.owner_revision

    async def append_all(self, owned: OwnedJob) -> None:
        """Append all results that are ready, until a segment is not taken."""
        async with owned.appending:
            while owned.ledger.has_pending:
                if not await self._append_segment(owned):
                    return

    async def _append(self, owned: OwnedJob) -> None:
        async with owned.appending:
            if owned.ledger.has_pending:
                await self._append_segment(owned)
        self._wake.set()

    async def _append_segment(self, owned: OwnedJob) -> bool:
        """Append the next segment of a job; return whether it is kept."""
        job_id = owned.ledger.job.job_id
        position, segment = owned.ledger.next_segment()
        claim = self._claim(owned)
        outcome = await self._store.append(job_id, owned.owner_revision, position, segment)
        now_seconds = self._context.now_seconds()
        owned.append_is_unknown = isinstance(outcome, JobNotStored) and (
            outcome.effect_unknown or owned.append_is_unknown
        )
        if isinstance(outcome, Appended):
            owned.last_append_seconds = now_seconds
            if outcome.was_there:
                owned.take_in(position, outcome.results)
            else:
                owned.ledger.appended(position, outcome.results)
                owned.is_behind = owned.is_behind and claim != self._claim(owned)
            owned.tell_news()
        elif isinstance(outcome, AppendConflict):
            # The owner key is gone or another daemon's: claim anew, which tells.
            owned.is_behind = True
            self._orphans.orphaned(key_part(job_id), now_seconds)
            owned.next_append_seconds = now_seconds + APPEND_RETRY_SECONDS
        else:
            owned.next_append_seconds = now_seconds + APPEND_RETRY_SECONDS
        self._log(owned, position, segment, type(outcome).__name__)
        return isinstance(outcome, Appended)

    def kept(self, owned: OwnedJob, position: int, segment: list[JobResult]) -> None:
        """Note that results were kept by the write that claimed their job."""
        owned.ledger.appended(position, segment)
        owned.append_is_unknown = False
        owned.last_append_seconds = self._context.now_seconds()
        owned.tell_news()
        self._log(owned, position, segment, Appended.__name__)

    def _log(self, owned: OwnedJob, position: int, segment: list[JobResult], outcome: str) -> None:
        self._context.log.write(
            ResultsAppended(
                job=owned.ledger.job.job_id,
                position=position,
                items=[result.item_id for result in segment],
                owner_revision=owned.owner_revision,
                outcome=outcome,
            )
        )
