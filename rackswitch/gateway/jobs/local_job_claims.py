"""Claims of jobs whose state is in memory: one write claims a job and appends finished results."""

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_records import job_key_part
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.lease_writes import write_on_lease
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.gateway.jobs.result_appender import ResultAppender
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import JobResult, OrphanedJobs
from rackswitch.leases import decode_holder

__all__ = ["LocalJobClaims"]

RETRY_DELAY_SECONDS = 0.15
"""Delay after an unanswered claim. Finished results are to be listed within 0.3 s of the end of an
outage."""


class LocalJobClaims:
    """Claims jobs that this daemon runs, or that are handed over to it.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    session : Session
        Holds the lease that owner keys are attached to.
    store : JobStore
        Jobs in the key-value service.
    known : KnownJobs
        All jobs of the fleet.
    jobs : OwnedJobs
        The jobs that this daemon runs.
    orphans : OrphanedJobs
        Updated after each claim.
    appender : ResultAppender
        Records results that were stored by a claim.
    """

    __slots__ = ("_appender", "_context", "_jobs", "_known", "_orphans", "_session", "_store")

    def __init__(
        self,
        context: GatewayContext,
        session: Session,
        store: JobStore,
        known: KnownJobs,
        jobs: OwnedJobs,
        orphans: OrphanedJobs,
        appender: ResultAppender,
    ):
        self._appender = appender
        self._context = context
        self._session = session
        self._store = store
        self._known = known
        self._jobs = jobs
        self._orphans = orphans

    async def claim(self, owned: OwnedJob) -> None:
        """Claim a job whose state is in memory and append its finished results, in one write.

        A job that was handed over without a claim may still have the sender's owner key, or none
        if the sender's lease has expired.
        """
        expected_revisions = (owned.owner_revision, 0) if owned.awaits_claim else (0,)
        for expected_revision in expected_revisions:
            if await self._write_claim(owned, expected_revision) != 0:
                return
        await self.resolve_refused_claim(owned.ledger.job.job_id)

    async def _write_claim(
        self, owned: OwnedJob, expected_revision: int, with_results: bool = True
    ) -> int | None:
        """Try one claim; return the owner revision, 0 if refused, None if unanswered."""
        if not with_results or owned.appending.locked():
            claimed = await self._claim_on_lease(owned, expected_revision, None, [])
        else:
            async with owned.appending:
                position, results = owned.ledger.next_segment()
                claimed = await self._claim_on_lease(owned, expected_revision, position, results)
                if claimed and results:
                    self._appender.record_stored_segment(owned, position, results)
                elif claimed is None and results:
                    # The write may have taken effect, so others may read the results.
                    owned.append_is_unknown = True
        if claimed is None:
            next_attempt_seconds = self._context.now_seconds() + RETRY_DELAY_SECONDS
            self._orphans.schedule_claim(
                job_key_part(owned.ledger.job.job_id), next_attempt_seconds
            )
        return claimed

    async def _claim_on_lease(
        self,
        owned: OwnedJob,
        expected_revision: int,
        position: int | None,
        results: list[JobResult],
    ) -> int | None:
        job_id = owned.ledger.job.job_id
        marker_revision = self._known.marker_revision(job_id)
        if not marker_revision and not expected_revision:
            return None
        claimed = await write_on_lease(
            self._session,
            lambda lease_id: self._store.claim_and_append(
                job_id, expected_revision, marker_revision, lease_id, position, results
            ),
        )
        if not isinstance(claimed, int):
            return None
        if claimed:
            self._orphans.record_owned(job_key_part(job_id))
            owned.record_claim(claimed, may_miss_results=position is None)
        return claimed

    async def claim_offered(
        self, job_id: str, owner_revision: int, position: int | None
    ) -> int | JobNotStored:
        """Claim a job that its owner hands over; return the owner revision, 0 if refused.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Revision of the sender's claim.
        position : int or None
            Position after the last result that the sender listed in its request; None if it may
            have appended more.
        """
        claimed = await write_on_lease(
            self._session,
            lambda lease_id: self._store.claim_and_append(
                job_id, owner_revision, 0, lease_id, position
            ),
        )
        if isinstance(claimed, int) and claimed:
            self._orphans.record_owned(job_key_part(job_id))
        return claimed

    async def resolve_refused_claim(self, job_id: str) -> None:
        """Release a job after a refused claim if another daemon owns it.

        This daemon may be the owner itself: a lagging replica may report the former owner's
        deletion after this daemon's claim, and an unanswered claim may have taken effect.
        """
        if job_id not in self._jobs.by_id:
            return
        entry = await self._store.load_owner(job_id)
        owned = self._jobs.by_id.get(job_id)
        if owned is None or isinstance(entry, KvUnavailable):
            return
        revision = entry.mod_revision if entry is not None else 0
        lease_id = decode_holder(entry.value)[1] if entry is not None else 0
        if revision == owned.owner_revision and not owned.awaits_claim:
            self._orphans.record_owned(job_key_part(job_id))
        elif self._session.is_own(lease_id):
            self._orphans.record_owned(job_key_part(job_id))
            owned.record_claim(revision, may_miss_results=True)
        elif self._is_claimable(owned, revision):
            # The position holds results of an earlier attempt; the next append reads them.
            await self._write_claim(owned, revision, with_results=False)
        else:
            self._jobs.release_and_keep_checkpoint(owned)

    def _is_claimable(self, owned: OwnedJob, owner_revision: int) -> bool:
        """Return whether a job has no owner, or is owned by the daemon that handed it over."""
        if not self._context.policy.jobs_handed_over:
            return False
        return owner_revision == 0 or (
            owned.awaits_claim and owner_revision == owned.owner_revision
        )
