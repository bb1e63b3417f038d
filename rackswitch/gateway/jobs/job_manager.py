"""Management of the batch jobs that this daemon owns."""

import asyncio
import contextlib

from rackswitch.clients.kv import KvEntry
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.item_starter import ItemStarter
from rackswitch.gateway.items.load_poller import LoadPoller
from rackswitch.gateway.jobs.hand_over_receiver import HandOverReceiver
from rackswitch.gateway.jobs.hand_over_sender import HandOverSender
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_claims import JobClaims
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored, JobTooLarge
from rackswitch.gateway.jobs.job_records import OWNERS_PREFIX, JobMarker, job_key_part, make_marker
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.lease_writes import write_on_lease
from rackswitch.gateway.jobs.local_job_claims import LocalJobClaims
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.gateway.jobs.result_appender import ResultAppender
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import Job, JobCheckpoint, OrphanedJobs
from rackswitch.peers import gateway_pb2 as pb

__all__ = ["JobManager"]

MAX_TICK_SECONDS = 0.05
"""Maximum interval between two checks for items that may start."""


class JobManager:
    """Runs owned jobs: starts items, appends results, claims orphans, hands jobs over.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    session : Session
        Holds the lease that owner keys are attached to.
    store : JobStore
        Jobs in the key-value service.
    runner : ItemRunner
        Runs items.
    load_poller : LoadPoller
        Polls engines for load reports.

    Attributes
    ----------
    known : KnownJobs
        All jobs of the fleet.
    """

    __slots__ = (
        "_appender",
        "_checkpoints",
        "_claims",
        "_context",
        "_sender",
        "_jobs",
        "_load_poller",
        "_receiver",
        "_session",
        "_starter",
        "_store",
        "_wake",
        "known",
    )

    def __init__(
        self,
        context: GatewayContext,
        session: Session,
        store: JobStore,
        runner: ItemRunner,
        load_poller: LoadPoller,
    ):
        self._load_poller = load_poller
        self._context = context
        self._session = session
        self._store = store
        self._wake = asyncio.Event()
        self.known = KnownJobs()
        orphans = OrphanedJobs(context.settings.daemon)
        checkpoints = JobCheckpoints(context, store, self.known)
        jobs = OwnedJobs(context, checkpoints, self._wake)
        appender = ResultAppender(context, session, store, orphans, self._wake)
        local_claims = LocalJobClaims(context, session, store, self.known, jobs, orphans, appender)
        claims = JobClaims(
            context, session, store, self.known, jobs, checkpoints, orphans, local_claims
        )
        self._starter = ItemStarter(context, runner, self._wake)
        self._appender = appender
        self._checkpoints = checkpoints
        self._claims = claims
        self._sender = HandOverSender(context, store, self.known, jobs, checkpoints, appender)
        self._receiver = HandOverReceiver(context, claims, local_claims, jobs, checkpoints)
        self._jobs = jobs
        context.cold_sends.job_owners = self._job_owners

    @property
    def owned(self) -> dict[str, OwnedJob]:
        """The jobs that this daemon runs, by identity."""
        return self._jobs.by_id

    def _job_owners(self) -> set[str]:
        """Return the daemons that own open jobs."""
        owners = set(self.known.open_items())
        if self.owned:
            owners.add(self._context.daemon_name)
        return owners

    # Events of the key-value service's watch

    def marker_put(self, entry: KvEntry) -> None:
        """Apply a new or changed job marker."""
        marker = self.known.marker_put(entry)
        if marker.ended:
            self._jobs.drop(marker.job_id, "ended")

    def marker_deleted(self, key: str) -> None:
        """Apply the deletion of a job marker."""
        self._claims.record_marker_deleted(key)
        for job_id in self.known.marker_deleted(key):
            self._jobs.drop(job_id, "forgotten")

    def owner_put(self, entry: KvEntry) -> None:
        """Apply a new or changed owner key."""
        key_part = entry.key.removeprefix(OWNERS_PREFIX)
        owner = self.known.owner_put(entry)
        self._claims.owner_put(key_part, owner)
        if owner.daemon == self._context.daemon_name:
            if self._session.is_own(owner.lease_id):
                self._context.daemon.spawn(
                    self._claims.adopt_unanswered_claim(key_part, owner.revision)
                )
            else:
                self._context.daemon.spawn(self._claims.reclaim(key_part, owner))
            return
        for job_id, owned in list(self.owned.items()):
            if job_key_part(job_id) == key_part and owner.revision > owned.owner_revision:
                self._jobs.release_and_keep_checkpoint(owned)

    def owner_deleted(self, key: str) -> None:
        """Apply the deletion of an owner key."""
        self.known.owner_deleted(key)
        self._claims.owner_deleted(key)
        self._wake.set()

    def session_lost(self) -> None:
        """Record that this daemon's owner keys were deleted with its lease."""
        self._claims.session_lost()
        self._wake.set()

    # Requests of trainers

    async def submit(self, job: Job) -> JobCreated | JobKnown | JobTooLarge | JobNotStored:
        """Store a new job and start running it."""
        if job.job_id in self.known.jobs:
            return JobKnown()
        route = self._context.routes.find(job.host, job.path)
        if route is not None and self._context.policy.loads_asked:
            regions = self._context.allowed_regions(route, job.tenant)
            self._context.daemon.spawn(self._load_poller.poll(route.choices[0].serves, regions))
        outcome = await write_on_lease(
            self._session, lambda lease_id: self._store.create(job, lease_id)
        )
        if isinstance(outcome, JobCreated):
            self.known.record_created(make_marker(job), outcome.owner_revision)
            self._jobs.add(job, outcome.owner_revision, [])
        return outcome

    async def end(self, marker: JobMarker) -> None | JobNotStored:
        """End a job; no item of it starts afterwards."""
        if marker.ended:
            return None
        failure = await self._store.end(marker)
        if failure is None:
            self.known.record_ended(marker)
            self._jobs.drop(marker.job_id, "ended")
        return failure

    # Requests of other daemons

    async def release_job(
        self, job_id: str, owner_revision: int, daemon: str = ""
    ) -> JobCheckpoint | None:
        """Release a job to its next owner; return its final checkpoint.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Revision of the other daemon's claim.
        daemon : str, optional
            The other daemon, if the job is being handed over to it. It may have no claim yet.

        Returns
        -------
        JobCheckpoint or None
            None if this daemon does not run the job, or owns it by a later claim.
        """
        return await self._jobs.checkpoint_for(job_id, owner_revision, daemon)

    async def receive_hand_over(self, request: pb.HandOverRequest) -> pb.HandOverReply:
        """Take over a job of a daemon that stops, or reply with the reason for a refusal."""
        return await self._receiver.receive(request)

    # Background work

    def check_now(self) -> None:
        """Check for claims that are due and items that may start without waiting for a tick."""
        self._wake.set()

    async def run(self) -> None:
        """Start items, append results and claim orphans until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_TICK_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            if not self._context.daemon.stopping:
                self._tick()
            elif self._context.policy.jobs_handed_over:
                # Jobs that are not handed over yet keep running.
                self._starter.start_items(self.owned)

    def _tick(self) -> None:
        self._jobs.expire_released()
        self._claims.claim_due()
        self._starter.start_items(self.owned)
        self._checkpoints.store_due(self.owned.values())
        self._appender.append_due(self.owned.values())

    async def hand_over(self) -> None:
        """Hand all jobs over to other daemons."""
        await self._receiver.wait_for_pending()
        await self._sender.hand_over_all()
