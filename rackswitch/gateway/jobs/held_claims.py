"""Claims of jobs whose state is at hand: one write that owns a job and lists what is ready."""

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_records import key_part
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.lease_writes import write_on_lease
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.gateway.jobs.result_appender import ResultAppender
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import JobResult, OrphanedJobs
from rackswitch.leases import decode_holder

__all__ = ["HeldClaims"]

RETRY_SECONDS = 0.15
"""Between two claims of a held job without an answer: what is ready is to be listed within 0.3 s of
the service's return."""


class HeldClaims:
    """Claims jobs that are worked on here, or handed over to this daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    session : Session
        The lease that ownership hangs on.
    store : JobStore
        Jobs in the key-value service.
    known : KnownJobs
        All jobs of the fleet.
    jobs : OwnedJobs
        The jobs worked on here.
    orphans : OrphanedJobs
        Told of what is claimed.
    appender : ResultAppender
        Told of results that were kept by a claim.
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

    async def claim(self, held: OwnedJob) -> None:
        """Own a job whose state is at hand, and list what is ready, in one write.

        Its owner key may be there still, on the lease of the daemon that handed it over, or be
        gone with that lease or this daemon's own.
        """
        fences = (held.owner_revision, 0) if held.awaits_claim else (0,)
        for fence in fences:
            if await self._write_claim(held, fence) != 0:
                return
        await self.settle(held.ledger.job.job_id)

    async def _write_claim(
        self, held: OwnedJob, fence: int, with_results: bool = True
    ) -> int | None:
        """Claim a held job once; return the owner revision, 0 if too late, None if unanswered."""
        if not with_results or held.appending.locked():
            claimed = await self._claim_with(held, fence, None, [])
        else:
            async with held.appending:
                position, results = held.ledger.next_segment()
                claimed = await self._claim_with(held, fence, position, results)
                if claimed and results:
                    self._appender.kept(held, position, results)
                elif claimed is None and results:
                    # The write may have been done, and others may read it from the service.
                    held.append_is_unknown = True
        if claimed is None:
            retry_seconds = self._context.now_seconds() + RETRY_SECONDS
            self._orphans.retry(key_part(held.ledger.job.job_id), retry_seconds)
        return claimed

    async def _claim_with(
        self, held: OwnedJob, fence: int, position: int | None, results: list[JobResult]
    ) -> int | None:
        job_id = held.ledger.job.job_id
        marker_revision = self._known.marker_revision(job_id)
        if not marker_revision and not fence:
            return None
        claimed = await write_on_lease(
            self._session,
            lambda lease_id: self._store.claim_held(
                job_id, fence, marker_revision, lease_id, position, results
            ),
        )
        if not isinstance(claimed, int):
            return None
        if claimed:
            self._orphans.owned(key_part(job_id))
            held.claimed(claimed, is_behind=position is None)
        return claimed

    async def claim_offered(
        self, job_id: str, owner_revision: int, position: int | None
    ) -> int | JobNotStored:
        """Take over a job whose owner hands it over; return the owner revision, 0 if too late.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of the owner that hands it over.
        position : int or None
            Behind the last result that the owner told of; None if it may have listed more.
        """
        claimed = await write_on_lease(
            self._session,
            lambda lease_id: self._store.claim_held(job_id, owner_revision, 0, lease_id, position),
        )
        if isinstance(claimed, int) and claimed:
            self._orphans.owned(key_part(job_id))
        return claimed

    async def settle(self, job_id: str) -> None:
        """Leave a job that another daemon owns, after a claim that was refused.

        This daemon may own it all the same: a copy that lags tells of the former owner's end after
        this daemon's own claim was answered, and a claim that was not answered may have been done.
        """
        if job_id not in self._jobs.by_id:
            return
        entry = await self._store.load_owner(job_id)
        held = self._jobs.by_id.get(job_id)
        if held is None or isinstance(entry, KvUnavailable):
            return
        revision = entry.mod_revision if entry is not None else 0
        lease_id = decode_holder(entry.value)[1] if entry is not None else 0
        if revision == held.owner_revision and not held.awaits_claim:
            self._orphans.owned(key_part(job_id))
        elif self._session.is_own(lease_id):
            self._orphans.owned(key_part(job_id))
            held.claimed(revision, is_behind=True)
        elif self._is_free(held, revision):
            # Results of an earlier try stand in the way: the next append takes them in.
            await self._write_claim(held, revision, with_results=False)
        else:
            self._jobs.leave_behind(held)

    def _is_free(self, held: OwnedJob, owner_revision: int) -> bool:
        """Return whether a held job may be claimed: it has no owner, or one that gave it away."""
        if not self._context.policy.jobs_handed_over:
            return False
        return owner_revision == 0 or (held.awaits_claim and owner_revision == held.owner_revision)
