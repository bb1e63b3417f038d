"""Claims of jobs that have no owner, or that an earlier process of this daemon owned."""

import asyncio

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_records import (
    JOBS_PREFIX,
    OWNERS_PREFIX,
    JobMarker,
    job_key_part,
    make_marker,
)
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import JobOwner, KnownJob, KnownJobs
from rackswitch.gateway.jobs.lease_writes import write_on_lease
from rackswitch.gateway.jobs.local_job_claims import LocalJobClaims
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import Job, JobCheckpoint, OrphanedJobs, order_jobs
from rackswitch.routing import RegionMap
from rackswitch.telemetry.events import JobNotOwned
from rackswitch.tenants import identity_tenant

__all__ = ["JobClaims"]

CLAIM_REPLY_TIMEOUT_SECONDS = 0.5
"""How long the reply to a claim may arrive after the watch has reported the claim."""

RECOVERY_GRACE_SECONDS = 1.0
"""After an outage of the key-value service: how long a daemon that has seen no owner of a job
waits for a live owner to claim the job again."""

PROBE_INTERVAL_SECONDS = 0.15
"""Between probes of an unreachable key-value service while this daemon runs jobs. Finished results
are to be listed within 0.3 s of the end of an outage."""

RELEASE_RETRY_SECONDS = 0.3
"""Delay before a release that the service did not answer is repeated."""


class JobClaims:
    """Claims jobs: orphans in the order of the daemons' ranks, jobs that run here at once.

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
    checkpoints : JobCheckpoints
        Fetches former owners' checkpoints.
    orphans : OrphanedJobs
        Decides when an orphan may be claimed.
    local_claims : LocalJobClaims
        Claims jobs that run here.
    """

    __slots__ = (
        "_checkpoints",
        "_context",
        "_local_claims",
        "_jobs",
        "_known",
        "_next_probe_seconds",
        "_orphans",
        "_owner_process_starts",
        "_session",
        "_store",
    )

    def __init__(
        self,
        context: GatewayContext,
        session: Session,
        store: JobStore,
        known: KnownJobs,
        jobs: OwnedJobs,
        checkpoints: JobCheckpoints,
        orphans: OrphanedJobs,
        local_claims: LocalJobClaims,
    ):
        self._local_claims = local_claims
        self._context = context
        self._session = session
        self._store = store
        self._known = known
        self._jobs = jobs
        self._checkpoints = checkpoints
        self._orphans = orphans
        self._owner_process_starts: dict[str, float | None] = {}
        self._next_probe_seconds = float("-inf")

    # Events of the key-value service's watch

    def owner_put(self, key_part: str, owner: JobOwner) -> None:
        """Record a job's owner and the start time of the owner's process."""
        self._orphans.record_owned(key_part)
        self._owner_process_starts[key_part] = self._context.process_start(owner.daemon)

    def record_marker_deleted(self, key: str) -> None:
        """Remove what is recorded for a deleted job."""
        self._owner_process_starts.pop(key.removeprefix(JOBS_PREFIX), None)

    def owner_deleted(self, key: str) -> None:
        """Record that a job has no owner."""
        key_part = key.removeprefix(OWNERS_PREFIX)
        self._orphans.record_orphaned(key_part, self._context.now_seconds())

    def session_lost(self) -> None:
        """Record that this daemon's owner keys were deleted with its lease."""
        now_seconds = self._context.now_seconds()
        for job_id, owned in self._jobs.by_id.items():
            # Another daemon may append results until this one has claimed the job again.
            owned.may_miss_results = True
            self._orphans.record_orphaned(job_key_part(job_id), now_seconds)

    # Claims

    def claim_due(self) -> None:
        """Start the claims that are due, in the order in which training steps need the jobs."""
        is_unreachable = self._context.store_reachability.is_unreachable
        if is_unreachable or (self._session.lease_id is not None and not self._session.is_valid()):
            self._probe()
        if is_unreachable:
            return
        now_seconds = self._context.now_seconds()
        for job_id in self._claim_order():
            known = self._known.jobs.get(job_id)
            if known is not None and not known.marker.ended:
                self._claim_if_due(job_id, known, now_seconds)

    def _claim_order(self) -> list[str]:
        """Return the jobs to check: those that run here first, by the urgency of their steps."""
        owned_ids = [
            ledger.job.job_id
            for ledger in order_jobs(owned.ledger for owned in self._jobs.by_id.values())
        ]
        others = [job_id for job_id in self._known.jobs if job_id not in self._jobs.by_id]
        return owned_ids + others

    def _claim_if_due(self, job_id: str, known: KnownJob, now_seconds: float) -> None:
        key_part, owned = job_key_part(job_id), self._jobs.by_id.get(job_id)
        if job_id in self._jobs.incoming:
            return
        awaits_claim = owned is not None and owned.awaits_claim
        if awaits_claim or (owned is None and self._known.owner(key_part) is None):
            self._orphans.record_orphaned(key_part, now_seconds)
        if not self._orphans.is_orphan(key_part):
            return
        regions = self._owner_regions(known.marker)
        if owned is None and not self._may_own(self._context.settings.zone, known.marker, regions):
            return
        released = self._is_released(key_part)
        claimants = [
            name
            for name, zone in self._context.daemon.membership.live_zones()
            if self._may_own(zone, known.marker, regions)
        ]
        distances = self._distances_from_former_owner(key_part)
        if self._orphans.try_claim(
            key_part, claimants, owned is not None, released, now_seconds, distances
        ):
            self._context.daemon.spawn(self.claim(job_id, known.revision))

    def _owner_regions(self, marker: JobMarker) -> frozenset[str] | None:
        """Return the regions that a job's route and tenant allow; None for all."""
        if not marker.home_region:
            return None
        route = self._context.routes.find(marker.host, marker.path)
        return self._context.allowed_regions(route, identity_tenant(marker.job_id))

    def _may_own(self, zone: str, marker: JobMarker, regions: frozenset[str] | None) -> bool:
        """Return whether a daemon in a zone may claim a job."""
        return self._context.directory.eligibility.may_hold(zone, regions, marker.home_region)

    def _distances_from_former_owner(self, key_part: str) -> dict[str, int] | None:
        """Return how far each live daemon is from a job's former owner; None if it is unknown.

        Always None without several regions.
        """
        context = self._context
        former_owner = self._known.former_owner(key_part)
        if not context.regions.has_regions or former_owner not in context.member_entries:
            return None
        zone = context.member_entries[former_owner].zone
        regions = RegionMap(zone, context.regions.region_of_zone)
        return {
            name: int(regions.path_class(member_zone))
            for name, member_zone in context.daemon.membership.live_zones()
        }

    def _probe(self) -> None:
        """Probe the key-value service and the lease at intervals while this daemon runs jobs."""
        now_seconds = self._context.now_seconds()
        if not self._jobs.by_id or now_seconds < self._next_probe_seconds:
            return
        if self._context.policy.jobs_handed_over:
            self._next_probe_seconds = now_seconds + PROBE_INTERVAL_SECONDS
            self._context.daemon.spawn(self._session.probe())

    def _is_released(self, key_part: str) -> bool:
        """Return whether a job may be claimed without waiting for its former owner.

        That holds if the former owner is shutting down or its process was replaced. It also holds
        if this process has never seen an owner, unless an outage has just ended: a live owner
        would have claimed the job again by then.
        """
        former_owner = self._known.former_owner(key_part)
        if former_owner is None:
            return not (self._has_just_recovered() and self._context.policy.jobs_handed_over)
        if self._context.daemon.membership.is_leaving(former_owner):
            return True
        return self._context.process_start(former_owner) != self._owner_process_starts.get(key_part)

    def _has_just_recovered(self) -> bool:
        """Return whether an outage of the key-value service has ended a moment ago."""
        recovered_at_seconds = self._context.store_reachability.recovered_at_seconds
        return self._context.now_seconds() - recovered_at_seconds < RECOVERY_GRACE_SECONDS

    async def claim(self, job_id: str, marker_revision: int) -> None:
        """Try one claim of a job."""
        owned = self._jobs.by_id.get(job_id)
        if owned is not None and self._context.policy.jobs_handed_over:
            await self._local_claims.claim(owned)
            return
        lease_id, stored = await asyncio.gather(
            self._session.acquire_lease(), self._store.load_checkpoint(job_id)
        )
        if lease_id is None or isinstance(stored, KvUnavailable):
            return
        claimed = await write_on_lease(
            self._session,
            lambda lease_id: self._store.claim(job_id, marker_revision, lease_id, stored.revision),
        )
        if isinstance(claimed, JobNotStored):
            return
        if claimed == 0:
            await self._local_claims.resolve_refused_claim(job_id)
            return
        self._orphans.record_owned(job_key_part(job_id))
        owned = self._jobs.by_id.get(job_id)
        if owned is not None:
            owned.record_claim(claimed, may_miss_results=True)
            return
        await self._load_and_run(job_id, claimed, stored.checkpoint)

    def record_offered_job(self, job: Job, marker_revision: int) -> None:
        """Record a job that another daemon offered, unless the watch has reported it."""
        self._known.record_created(make_marker(job), marker_revision)

    def is_open(self, job_id: str) -> bool:
        """Return whether a job is known and has not been ended."""
        marker = self._known.marker(job_id)
        return marker is not None and not marker.ended

    async def reclaim(self, key_part: str, owner: JobOwner) -> None:
        """Claim a job of an earlier process of this daemon, which has ended, in one write.

        If that is not possible, the earlier process's lease is ended so that others can claim the
        job. Right after an outage it is always ended, since the earlier process may have handed the
        job over during the outage.
        """
        job_id = self._known.job_id_of(key_part)
        if job_id is not None and self._may_reclaim(job_id):
            self._jobs.incoming.add(job_id)
            try:
                is_claimed = await self._claim_from_predecessor(job_id, owner.revision)
            finally:
                self._jobs.incoming.discard(job_id)
            if is_claimed:
                return
        await self._session.revoke_predecessor_lease(owner.lease_id)

    def _may_reclaim(self, job_id: str) -> bool:
        is_free = job_id not in self._jobs.by_id and job_id not in self._jobs.incoming
        return (
            is_free
            and self.is_open(job_id)
            and not self._has_just_recovered()
            and self._context.policy.jobs_handed_over
        )

    async def _claim_from_predecessor(self, job_id: str, owner_revision: int) -> bool:
        stored, job, results, lease_id = await asyncio.gather(
            self._store.load_checkpoint(job_id),
            self._store.load_items(job_id),
            self._store.load_results(job_id, 0),
            self._session.acquire_lease(),
        )
        if isinstance(stored, KvUnavailable) or isinstance(results, KvUnavailable):
            return False
        if not isinstance(job, Job) or lease_id is None:
            return False
        claimed = await self._store.claim_and_append(
            job_id, owner_revision, 0, lease_id, len(results)
        )
        if not isinstance(claimed, int) or not claimed:
            return False
        self._orphans.record_owned(job_key_part(job_id))
        owned = self._jobs.add(job, claimed, results)
        if stored.checkpoint is not None:
            self._checkpoints.resume(owned, stored.checkpoint)
        return True

    async def adopt_unanswered_claim(self, key_part: str, owner_revision: int) -> None:
        """Run a job that this daemon owns by a claim whose reply was lost."""
        await asyncio.sleep(CLAIM_REPLY_TIMEOUT_SECONDS)
        owner = self._known.owner(key_part)
        if owner is None or owner.revision != owner_revision:
            # The owner key was an earlier process's and was deleted with its lease.
            return
        for job_id, known in list(self._known.jobs.items()):
            if (
                job_key_part(job_id) != key_part
                or known.marker.ended
                or job_id in self._jobs.incoming
            ):
                continue
            owned = self._jobs.by_id.get(job_id)
            if owned is None:
                # The unanswered claim deleted the former owner's checkpoint.
                await self._load_and_run(job_id, owner_revision, None)
            elif owned.owner_revision < owner_revision:
                owned.record_claim(owner_revision, may_miss_results=True)

    async def _load_and_run(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint | None
    ) -> None:
        writer = checkpoint.daemon if checkpoint is not None else None
        fetched, job, results = await asyncio.gather(
            self._checkpoints.fetch_from_former_owner(job_id, owner_revision, writer),
            self._store.load_items(job_id),
            self._store.load_results(job_id, 0),
        )
        checkpoint = fetched or checkpoint
        marker = self._known.marker(job_id)
        if marker is None or marker.ended or job_id in self._jobs.by_id:
            return
        owner = self._known.owner(job_key_part(job_id))
        if owner is not None and owner.revision > owner_revision:
            self._context.log.write(JobNotOwned(job=job_id, reason="taken over meanwhile"))
            return
        if isinstance(job, Job) and not isinstance(results, KvUnavailable):
            owned = self._jobs.add(job, owner_revision, results)
            if checkpoint is not None:
                self._checkpoints.resume(owned, checkpoint)
        else:
            self._context.log.write(JobNotOwned(job=job_id, reason="claimed but not read"))
            self._context.daemon.spawn(self._release_claim(job_id, owner_revision, checkpoint))

    async def _release_claim(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint | None
    ) -> None:
        """Release a job that could not be read, repeatedly until the service answers.

        Otherwise it would stay claimed, and run nowhere, for as long as this daemon lives. A job
        that this daemon has adopted meanwhile keeps its claim.
        """
        while job_id not in self._jobs.by_id:
            if await self._store.release(job_id, owner_revision, checkpoint):
                return
            await asyncio.sleep(RELEASE_RETRY_SECONDS)
