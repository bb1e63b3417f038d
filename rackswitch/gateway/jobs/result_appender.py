"""Appends of owned jobs' results to the key-value service, one segment at a time."""

import asyncio
from collections.abc import Iterable

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_outcomes import AppendConflict, Appended, JobNotStored
from rackswitch.gateway.jobs.job_records import job_key_part
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import JobResult, OrphanedJobs, listing_interval_seconds
from rackswitch.telemetry.events import ResultsAppended

__all__ = ["ResultAppender"]

APPEND_RETRY_DELAY_SECONDS = 0.25
"""Delay after a failed append."""


class ResultAppender:
    """Appends results under the fencing number of this daemon's ownership.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    session : Session
        Tells whether the lease of this daemon's owner keys is certainly valid.
    store : JobStore
        Jobs in the key-value service.
    orphans : OrphanedJobs
        Receives jobs that this daemon no longer owns.
    wake : asyncio.Event
        Set after each append.
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
        """Start appending finished results, where the interval since the last segment is over."""
        if self._context.policy.jobs_handed_over and not self._session.is_valid():
            # The append would time out or be refused, and delay the claim that appends the same
            # results.
            return
        now_seconds = self._context.now_seconds()
        for owned in owned_jobs:
            if not owned.may_append:
                continue
            if owned.appending.locked():
                continue
            if not owned.ledger.has_pending:
                self._catch_up_if_due(owned, now_seconds)
                continue
            due_seconds = owned.last_append_seconds + listing_interval_seconds(owned.ledger)
            if now_seconds >= max(due_seconds, owned.next_append_seconds):
                self._context.daemon.spawn(self._append(owned))

    def _catch_up_if_due(self, owned: OwnedJob, now_seconds: float) -> None:
        is_due = owned.may_miss_results and now_seconds >= owned.next_append_seconds
        if is_due and self._session.is_valid():
            owned.next_append_seconds = now_seconds + APPEND_RETRY_DELAY_SECONDS
            self._context.daemon.spawn(self._catch_up(owned))

    async def _catch_up(self, owned: OwnedJob) -> None:
        """Load the results that other owners listed.

        The owner key is read last: if this daemon owns the job then, the results include all that
        were listed before its claim.
        """
        async with owned.appending:
            job_id, position = owned.ledger.job.job_id, len(owned.ledger.listed)
            ownership = self._ownership(owned)
            results = await self._store.load_results(job_id, position)
            owner = await self._store.load_owner(job_id)
            if isinstance(results, KvUnavailable) or isinstance(owner, KvUnavailable):
                return
            is_own = owner is not None and owner.mod_revision == owned.owner_revision
            if is_own and ownership == self._ownership(owned):
                owned.add_listed_results(position, results)
                owned.may_miss_results = False
                owned.notify_readers()

    def _ownership(self, owned: OwnedJob) -> tuple[int | None, int]:
        """Return the lease and revision of an ownership, to detect replies to older writes."""
        return self._session.lease_id, owned.owner_revision

    async def append_all(self, owned: OwnedJob) -> None:
        """Append all finished results, until an append fails."""
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
        """Append the next segment of a job; return whether it is stored."""
        job_id = owned.ledger.job.job_id
        position, segment = owned.ledger.next_segment()
        ownership = self._ownership(owned)
        outcome = await self._store.append(job_id, owned.owner_revision, position, segment)
        now_seconds = self._context.now_seconds()
        owned.append_is_unknown = isinstance(outcome, JobNotStored) and (
            outcome.effect_unknown or owned.append_is_unknown
        )
        if isinstance(outcome, Appended):
            owned.last_append_seconds = now_seconds
            if outcome.already_stored:
                owned.add_listed_results(position, outcome.results)
            else:
                owned.ledger.record_segment(position, outcome.results)
                owned.may_miss_results = owned.may_miss_results and ownership != self._ownership(
                    owned
                )
            owned.notify_readers()
        elif isinstance(outcome, AppendConflict):
            # The owner key is deleted or another daemon's: a new claim resolves that.
            owned.may_miss_results = True
            self._orphans.record_orphaned(job_key_part(job_id), now_seconds)
            owned.next_append_seconds = now_seconds + APPEND_RETRY_DELAY_SECONDS
        else:
            owned.next_append_seconds = now_seconds + APPEND_RETRY_DELAY_SECONDS
        self._log(owned, position, segment, type(outcome).__name__)
        return isinstance(outcome, Appended)

    def record_stored_segment(
        self, owned: OwnedJob, position: int, segment: list[JobResult]
    ) -> None:
        """Record results that were stored by the write that claimed their job."""
        owned.ledger.record_segment(position, segment)
        owned.append_is_unknown = False
        owned.last_append_seconds = self._context.now_seconds()
        owned.notify_readers()
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
