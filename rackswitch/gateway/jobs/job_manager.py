"""The batch jobs that this daemon owns: one place for what is told, asked and done about them."""

import asyncio
import contextlib

from rackswitch.clients.kv import KvEntry
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.item_starter import ItemStarter
from rackswitch.gateway.items.load_poller import LoadPoller
from rackswitch.gateway.jobs.hand_over_receiver import HandOverReceiver
from rackswitch.gateway.jobs.hand_over_sender import HandOverSender
from rackswitch.gateway.jobs.held_claims import HeldClaims
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_claims import JobClaims
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored, JobTooLarge
from rackswitch.gateway.jobs.job_records import OWNERS_PREFIX, JobMarker, key_part, marker_of
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.lease_writes import write_on_lease
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.gateway.jobs.result_appender import ResultAppender
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import Job, JobCheckpoint, OrphanedJobs
from rackswitch.peers import gateway_pb2 as pb

__all__ = ["JobManager"]

TICK_SECONDS = 0.05
"""Longest pause between two looks at what may start."""


class JobManager:
    """Owns jobs: starts their items, keeps their results, takes over and hands over.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    session : Session
        The lease that ownership hangs on.
    store : JobStore
        Jobs in the key-value service.
    runner : ItemRunner
        Runs items.
    looks : LoadPoller
        Asks engines how full they are.

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
        "_giving",
        "_jobs",
        "_looks",
        "_receiving",
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
        looks: LoadPoller,
    ):
        self._looks = looks
        self._context = context
        self._session = session
        self._store = store
        self._wake = asyncio.Event()
        self.known = KnownJobs()
        orphans = OrphanedJobs(context.settings.daemon)
        checkpoints = JobCheckpoints(context, store, self.known)
        jobs = OwnedJobs(context, checkpoints, self._wake)
        appender = ResultAppender(context, session, store, orphans, self._wake)
        held = HeldClaims(context, session, store, self.known, jobs, orphans, appender)
        claims = JobClaims(context, session, store, self.known, jobs, checkpoints, orphans, held)
        self._starter = ItemStarter(context, runner, self._wake)
        self._appender = appender
        self._checkpoints = checkpoints
        self._claims = claims
        self._giving = HandOverSender(context, store, self.known, jobs, checkpoints, appender)
        self._receiving = HandOverReceiver(context, claims, held, jobs, checkpoints)
        self._jobs = jobs

    @property
    def owned(self) -> dict[str, OwnedJob]:
        """The jobs that are worked on here, by identity."""
        return self._jobs.by_id

    # What the key-value service tells

    def marker_put(self, entry: KvEntry) -> None:
        """Take in a job's marker."""
        marker = self.known.marker_put(entry)
        if marker.ended:
            self._jobs.drop(marker.job_id, "ended")

    def marker_deleted(self, key: str) -> None:
        """Note that a job is forgotten."""
        self._claims.forgotten(key)
        for job_id in self.known.marker_deleted(key):
            self._jobs.drop(job_id, "forgotten")

    def owner_put(self, entry: KvEntry) -> None:
        """Note who owns a job."""
        name = entry.key.removeprefix(OWNERS_PREFIX)
        owner = self.known.owner_put(entry)
        self._claims.owner_put(name, owner)
        if owner.daemon == self._context.daemon_name:
            if self._session.is_own(owner.lease_id):
                self._context.daemon.spawn(self._claims.adopt(name, owner.revision))
            else:
                self._context.daemon.spawn(self._claims.take_back(name, owner))
            return
        for job_id, owned in list(self.owned.items()):
            if key_part(job_id) == name and owner.revision > owned.owner_revision:
                self._jobs.leave_behind(owned)

    def owner_deleted(self, key: str) -> None:
        """Note that a job has no owner."""
        self.known.owner_deleted(key)
        self._claims.owner_deleted(key)
        self._wake.set()

    def session_lost(self) -> None:
        """Note that the owner keys of this daemon are gone with its lease."""
        self._claims.session_lost()
        self._wake.set()

    # What trainers ask

    async def submit(self, job: Job) -> JobCreated | JobKnown | JobTooLarge | JobNotStored:
        """Keep a new job and begin to work on it."""
        if job.job_id in self.known.jobs:
            return JobKnown()
        route = self._context.routes.find(job.host, job.path)
        if route is not None and self._context.policy.loads_asked:
            self._context.daemon.spawn(self._looks.look(route.choices[0].serves))
        outcome = await write_on_lease(
            self._session, lambda lease_id: self._store.create(job, lease_id)
        )
        if isinstance(outcome, JobCreated):
            self.known.created(marker_of(job), outcome.owner_revision)
            self._jobs.own(job, outcome.owner_revision, [])
        return outcome

    async def end(self, marker: JobMarker) -> None | JobNotStored:
        """End a job; nothing of it starts afterwards."""
        if marker.ended:
            return None
        failure = await self._store.end(marker)
        if failure is None:
            self.known.ended(marker)
            self._jobs.drop(marker.job_id, "ended")
        return failure

    # What other owners ask

    async def yield_job(
        self, job_id: str, owner_revision: int, daemon: str = ""
    ) -> JobCheckpoint | None:
        """Leave a job to its next owner, with all that is there of it.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of the other daemon's claim.
        daemon : str, optional
            The other daemon, if the job is being handed over to it; its claim may be missing then.

        Returns
        -------
        JobCheckpoint or None
            None if this daemon does not work on the job, or by a later claim.
        """
        return await self._jobs.texts_for(job_id, owner_revision, daemon)

    async def receive(self, request: pb.HandOverRequest) -> pb.HandOverReply:
        """Go on with a job of a daemon that stops, or say why not."""
        return await self._receiving.take(request)

    # Work

    async def run(self) -> None:
        """Start items, append results and take over orphans until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            if not self._context.daemon.stopping:
                self._work()
            elif self._context.policy.jobs_handed_over:
                # What is not handed over yet goes on, so that a slow hand-over costs nothing.
                self._starter.start_items(self.owned)

    def _work(self) -> None:
        self._jobs.forget_left()
        self._claims.claim_due()
        self._starter.start_items(self.owned)
        self._checkpoints.keep_due(self.owned.values())
        self._appender.append_due(self.owned.values())

    async def hand_over(self) -> None:
        """Give all jobs to other daemons."""
        await self._receiving.settle()
        await self._giving.give_all()
