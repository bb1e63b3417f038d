"""Becoming the owner of jobs that have none, or whose owner gave them to this daemon."""

import asyncio

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.held_claims import HeldClaims
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_records import JOBS_PREFIX, OWNERS_PREFIX, key_part, marker_of
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import JobOwner, KnownJobs
from rackswitch.gateway.jobs.lease_writes import write_on_lease
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import Job, JobCheckpoint, OrphanedJobs, order_jobs
from rackswitch.telemetry.events import JobNotOwned

__all__ = ["JobClaims"]

ADOPT_AFTER_SECONDS = 0.5
"""How long after the watch has shown a claim's write its answer may still come; later it is taken
for lost."""

RETURN_SECONDS = 1.0
"""How long after the service's return a daemon that has seen no owner of a job leaves the job to
one that may live and come back for it."""

PROBE_SECONDS = 0.15
"""Between two looks for the service's return while jobs wait for it: what is ready is to be listed
within 0.3 s of the return."""


class JobClaims:
    """Claims jobs: orphans by rank, held ones at once.

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
    checkpoints : JobCheckpoints
        Brings former owners' texts.
    orphans : OrphanedJobs
        When an orphan may be claimed.
    held : HeldClaims
        Claims what is worked on here.
    """

    __slots__ = (
        "_checkpoints",
        "_context",
        "_held",
        "_jobs",
        "_known",
        "_next_probe_seconds",
        "_orphans",
        "_owner_starts",
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
        held: HeldClaims,
    ):
        self._held = held
        self._context = context
        self._session = session
        self._store = store
        self._known = known
        self._jobs = jobs
        self._checkpoints = checkpoints
        self._orphans = orphans
        self._owner_starts: dict[str, float | None] = {}
        self._next_probe_seconds = float("-inf")

    # What the key-value service tells

    def owner_put(self, name: str, owner: JobOwner) -> None:
        """Note who owns a job."""
        self._orphans.owned(name)
        self._owner_starts[name] = self._context.process_start(owner.daemon)

    def forgotten(self, key: str) -> None:
        """Note that a job's marker is gone."""
        self._owner_starts.pop(key.removeprefix(JOBS_PREFIX), None)

    def owner_deleted(self, key: str) -> None:
        """Note that a job has no owner."""
        name = key.removeprefix(OWNERS_PREFIX)
        self._orphans.orphaned(name, self._context.now_seconds())

    def session_lost(self) -> None:
        """Note that the owner keys of this daemon are gone with its lease."""
        now_seconds = self._context.now_seconds()
        for job_id, owned in self._jobs.by_id.items():
            # A new lease is no claim: until there is one, another daemon may list results.
            owned.is_behind = True
            self._orphans.orphaned(key_part(job_id), now_seconds)

    # Claims

    def claim_due(self) -> None:
        """Begin the claims that are due, in the order in which steps wait for them."""
        is_away = self._context.contact.is_away
        if is_away or (self._session.lease_id is not None and not self._session.is_sure()):
            self._probe()
        if is_away:
            return
        now_seconds = self._context.now_seconds()
        for job_id in self._claim_order():
            known = self._known.jobs.get(job_id)
            if known is not None and not known.marker.ended:
                self._claim_if_due(job_id, known.revision, now_seconds)

    def _claim_order(self) -> list[str]:
        """Return the jobs to look at: held ones first, as far as they decide steps."""
        held = [
            ledger.job.job_id
            for ledger in order_jobs(owned.ledger for owned in self._jobs.by_id.values())
        ]
        others = [job_id for job_id in self._known.jobs if job_id not in self._jobs.by_id]
        return held + others

    def _claim_if_due(self, job_id: str, marker_revision: int, now_seconds: float) -> None:
        name, held = key_part(job_id), self._jobs.by_id.get(job_id)
        if job_id in self._jobs.arriving:
            return
        awaits_claim = held is not None and held.awaits_claim
        if awaits_claim or (held is None and self._known.owner(name) is None):
            self._orphans.orphaned(name, now_seconds)
        if not self._orphans.is_orphan(name):
            return
        released = self._is_released(name)
        live = self._context.daemon.membership.live()
        if self._orphans.may_claim(name, live, held is not None, released, now_seconds):
            self._context.daemon.spawn(self.claim(job_id, marker_revision))

    def _probe(self) -> None:
        """Ask the service now and then whether it is back and knows the lease, while jobs wait."""
        now_seconds = self._context.now_seconds()
        if not self._jobs.by_id or now_seconds < self._next_probe_seconds:
            return
        if self._context.policy.jobs_handed_over:
            self._next_probe_seconds = now_seconds + PROBE_SECONDS
            self._context.daemon.spawn(self._session.probe())

    def _is_released(self, name: str) -> bool:
        """Return whether no former owner of a job need be waited for.

        This process has never seen one, so one that lives would have come back for the job
        already, unless the service is just back; or it is stopping as planned; or its process has
        ended and another one runs. After a loss of all daemons that saves 0.4 s a job.
        """
        former = self._known.former_owner(name)
        if former is None:
            return not (self._is_just_back() and self._context.policy.jobs_handed_over)
        if self._context.daemon.membership.is_leaving(former):
            return True
        return self._context.process_start(former) != self._owner_starts.get(name)

    def _is_just_back(self) -> bool:
        """Return whether the service has answered again for a moment only."""
        back_at_seconds = self._context.contact.back_seconds
        return self._context.now_seconds() - back_at_seconds < RETURN_SECONDS

    async def claim(self, job_id: str, marker_revision: int) -> None:
        """Try once to own a job."""
        held = self._jobs.by_id.get(job_id)
        if held is not None and self._context.policy.jobs_handed_over:
            await self._held.claim(held)
            return
        lease_id, kept = await asyncio.gather(
            self._session.hold(), self._store.load_checkpoint(job_id)
        )
        if lease_id is None or isinstance(kept, KvUnavailable):
            return
        claimed = await write_on_lease(
            self._session,
            lambda lease_id: self._store.claim(job_id, marker_revision, lease_id, kept.revision),
        )
        if isinstance(claimed, JobNotStored):
            return
        if claimed == 0:
            await self._held.settle(job_id)
            return
        self._orphans.owned(key_part(job_id))
        held = self._jobs.by_id.get(job_id)
        if held is not None:
            held.claimed(claimed, is_behind=True)
            return
        await self._load(job_id, claimed, kept.checkpoint)

    def introduce(self, job: Job, marker_revision: int) -> None:
        """Note a job of which another daemon tells, unless the service has told of it already."""
        self._known.created(marker_of(job), marker_revision)

    def is_open(self, job_id: str) -> bool:
        """Return whether a job is known and has not been ended."""
        marker = self._known.marker(job_id)
        return marker is not None and not marker.ended

    async def take_back(self, name: str, owner: JobOwner) -> None:
        """Own a job of an earlier process of this daemon, which can no longer act, in one write.

        Otherwise its lease is ended, so that others take the job: also where the service is just
        back, since that process may have handed the job over in the outage.
        """
        job_id = self._known.job_of(name)
        if job_id is not None and self._may_take_back(job_id):
            self._jobs.arriving.add(job_id)
            try:
                taken = await self._take_back(job_id, owner.revision)
            finally:
                self._jobs.arriving.discard(job_id)
            if taken:
                return
        await self._session.end_predecessors(owner.lease_id)

    def _may_take_back(self, job_id: str) -> bool:
        is_free = job_id not in self._jobs.by_id and job_id not in self._jobs.arriving
        return (
            is_free
            and self.is_open(job_id)
            and not self._is_just_back()
            and self._context.policy.jobs_handed_over
        )

    async def _take_back(self, job_id: str, owner_revision: int) -> bool:
        kept, job, results, lease_id = await asyncio.gather(
            self._store.load_checkpoint(job_id),
            self._store.load_items(job_id),
            self._store.load_results(job_id, 0),
            self._session.hold(),
        )
        if isinstance(kept, KvUnavailable) or isinstance(results, KvUnavailable):
            return False
        if not isinstance(job, Job) or lease_id is None:
            return False
        claimed = await self._store.claim_held(job_id, owner_revision, 0, lease_id, len(results))
        if not isinstance(claimed, int) or not claimed:
            return False
        self._orphans.owned(key_part(job_id))
        owned = self._jobs.own(job, claimed, results)
        if kept.checkpoint is not None:
            self._checkpoints.go_on(owned, kept.checkpoint)
        return True

    async def adopt(self, name: str, owner_revision: int) -> None:
        """Work on a job that is this daemon's by a write whose answer never came."""
        await asyncio.sleep(ADOPT_AFTER_SECONDS)
        owner = self._known.owner(name)
        if owner is None or owner.revision != owner_revision:
            # The key was an earlier process's of this daemon, and has gone with its lease.
            return
        for job_id, known in list(self._known.jobs.items()):
            if key_part(job_id) != name or known.marker.ended or job_id in self._jobs.arriving:
                continue
            held = self._jobs.by_id.get(job_id)
            if held is None:
                # The unanswered claim took the former owner's checkpoint away.
                await self._load(job_id, owner_revision, None)
            elif held.owner_revision < owner_revision:
                held.claimed(owner_revision, is_behind=True)

    async def _load(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint | None
    ) -> None:
        writer = checkpoint.daemon if checkpoint is not None else None
        asked, job, results = await asyncio.gather(
            self._checkpoints.ask_former_owner(job_id, owner_revision, writer),
            self._store.load_items(job_id),
            self._store.load_results(job_id, 0),
        )
        checkpoint = asked or checkpoint
        marker = self._known.marker(job_id)
        if marker is None or marker.ended or job_id in self._jobs.by_id:
            return
        owner = self._known.owner(key_part(job_id))
        if owner is not None and owner.revision > owner_revision:
            self._context.log.write(JobNotOwned(job=job_id, reason="taken over meanwhile"))
            return
        if isinstance(job, Job) and not isinstance(results, KvUnavailable):
            owned = self._jobs.own(job, owner_revision, results)
            if checkpoint is not None:
                self._checkpoints.go_on(owned, checkpoint)
        else:
            self._context.log.write(JobNotOwned(job=job_id, reason="claimed but not read"))
            await self._store.release(job_id, owner_revision)
