"""The batch jobs that this daemon owns, and the taking over of those whose owner died."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from rackswitch.clients.kv import KvEntry, KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.item_starter import ItemStarter
from rackswitch.gateway.items.load_looks import LoadLooks
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored, JobTooLarge
from rackswitch.gateway.jobs.job_records import (
    JOBS_PREFIX,
    OWNERS_PREFIX,
    JobMarker,
    key_part,
    marker_of,
)
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.left_jobs import LeftJobs
from rackswitch.gateway.jobs.owned_job import OwnedJob, new_owned_job
from rackswitch.gateway.jobs.result_appender import ResultAppender
from rackswitch.gateway.store.session import Session
from rackswitch.jobs import Job, JobCheckpoint, JobOrphans, JobResult
from rackswitch.telemetry.events import JobDropped, JobNotOwned, JobOwned

__all__ = ["JobKeeper"]

TICK_SECONDS = 0.05
"""Longest pause between two looks at what may start."""

ADOPT_AFTER_SECONDS = 0.5
"""How long an answer may lag behind the watch that shows what was written."""

OWNING_TRIES = 2
"""How often a write that makes this daemon a job's owner is begun at once: the service's refusal
may be the first word that the lease is over, and the next lease is new."""

T = TypeVar("T")


class JobKeeper:
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
    looks : LoadLooks
        Asks engines how full they are.

    Attributes
    ----------
    known : KnownJobs
        All jobs of the fleet.
    owned : dict of str to OwnedJob
        The jobs owned here, by identity.
    """

    __slots__ = (
        "_appender",
        "_checkpoints",
        "_context",
        "_left",
        "_looks",
        "_orphans",
        "_owner_starts",
        "_session",
        "_starter",
        "_store",
        "_wake",
        "known",
        "owned",
    )

    def __init__(
        self,
        context: GatewayContext,
        session: Session,
        store: JobStore,
        runner: ItemRunner,
        looks: LoadLooks,
    ):
        self._looks = looks
        self._context = context
        self._session = session
        self._store = store
        self._orphans = JobOrphans(context.settings.daemon)
        self._wake = asyncio.Event()
        self._starter = ItemStarter(context, runner, self._wake)
        self._appender = ResultAppender(context, store, self._orphans, self._wake)
        self.known = KnownJobs()
        self._checkpoints = JobCheckpoints(context, store, self.known)
        self.owned: dict[str, OwnedJob] = {}
        self._left = LeftJobs()
        self._owner_starts: dict[str, float | None] = {}

    # What the key-value service tells

    def marker_put(self, entry: KvEntry) -> None:
        """Take in a job's marker."""
        marker = self.known.marker_put(entry)
        if marker.ended:
            self._drop(marker.job_id, "ended")

    def marker_deleted(self, key: str) -> None:
        """Note that a job is forgotten."""
        self._owner_starts.pop(key.removeprefix(JOBS_PREFIX), None)
        for job_id in self.known.marker_deleted(key):
            self._drop(job_id, "forgotten")

    def owner_put(self, entry: KvEntry) -> None:
        """Note who owns a job."""
        name = entry.key.removeprefix(OWNERS_PREFIX)
        self._orphans.owned(name)
        owner = self.known.owner_put(entry)
        self._owner_starts[name] = self._context.process_start(owner.daemon)
        if owner.daemon == self._context.daemon_name:
            if self._session.is_own(owner.lease_id):
                self._context.daemon.spawn(self._adopt(name, owner.revision))
            else:
                self._context.daemon.spawn(self._session.end_predecessors(owner.lease_id))
            return
        for job_id, owned in list(self.owned.items()):
            if key_part(job_id) == name and owner.revision > owned.owner_revision:
                self._leave_behind(job_id, owned)

    def owner_deleted(self, key: str) -> None:
        """Note that a job has no owner."""
        self.known.owner_deleted(key)
        self._orphans.orphaned(key.removeprefix(OWNERS_PREFIX), self._context.now_seconds())
        self._wake.set()

    def session_lost(self) -> None:
        """Note that the owner keys of this daemon are gone with its lease."""
        now_seconds = self._context.now_seconds()
        for job_id in self.owned:
            self._orphans.orphaned(key_part(job_id), now_seconds)

    # What trainers ask

    async def submit(self, job: Job) -> JobCreated | JobKnown | JobTooLarge | JobNotStored:
        """Keep a new job and begin to work on it."""
        if job.job_id in self.known.jobs:
            return JobKnown()
        route = self._context.routes.find(job.host, job.path)
        if route is not None and self._context.policy.loads_asked:
            self._context.daemon.spawn(self._looks.look(route.choices[0].serves))
        outcome = await self._under_lease(lambda lease_id: self._store.create(job, lease_id))
        if isinstance(outcome, JobCreated):
            self.known.created(marker_of(job), outcome.owner_revision)
            self._own(job, outcome.owner_revision, [])
        return outcome

    async def end(self, marker: JobMarker) -> None | JobNotStored:
        """End a job; nothing of it starts afterwards."""
        if marker.ended:
            return None
        failure = await self._store.end(marker)
        if failure is None:
            self.known.ended(marker)
            self._drop(marker.job_id, "ended")
        return failure

    # What another owner asks

    async def yield_job(self, job_id: str, owner_revision: int) -> JobCheckpoint | None:
        """Leave a job to a daemon that has claimed it, with all that is there of it.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of the other daemon's claim.

        Returns
        -------
        JobCheckpoint or None
            None if this daemon does not work on the job, or by a later claim.
        """
        owned = self.owned.get(job_id)
        if owned is not None and owned.owner_revision < owner_revision:
            self._leave_behind(job_id, owned)
        return await self._left.texts_for(job_id, owner_revision)

    # Work

    async def run(self) -> None:
        """Start items, append results and take over orphans until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            if self._context.daemon.stopping:
                continue
            self._left.expire(self._context.now_seconds())
            self._claim_orphans()
            self._starter.start_items(self.owned)
            self._checkpoints.keep_due(self.owned.values())
            self._appender.append_due(self.owned.values())

    async def hand_over(self) -> None:
        """Give all jobs to other daemons, results that are ready first."""
        await asyncio.gather(
            *(self._appender.append_all(owned) for owned in list(self.owned.values()))
        )
        for job_id, owned in list(self.owned.items()):
            checkpoint = await self._leave(owned, "handed over")
            await self._store.release(job_id, owned.owner_revision, checkpoint)

    def _leave(self, owned: OwnedJob, reason: str) -> Coroutine[Any, Any, JobCheckpoint]:
        """Work on a job no more from now on; return what brings what its next owner goes on with.

        The texts are taken first, since the drop ends the ledger, and told only after the
        runs have ended, so that no run goes on here beside the next owner's.
        """
        items = self._checkpoints.items_to_leave(owned)
        runs = list(owned.runs.values())
        self._drop(owned.ledger.job.job_id, reason)
        return self._checkpoints.after_runs(items, runs)

    def _leave_behind(self, job_id: str, owned: OwnedJob) -> None:
        """Leave a job that another daemon owns now, and keep its texts until that one asks."""
        leaving = self._context.daemon.spawn(self._leave(owned, "taken over"))
        self._left.left(job_id, owned.owner_revision, leaving, self._context.now_seconds())

    def _own(self, job: Job, owner_revision: int, listed: list[JobResult]) -> OwnedJob:
        route = self._context.routes.find(job.host, job.path)
        age_seconds = max(0.0, time.time() - job.submitted_at_unix_seconds)
        begun_seconds = self._context.now_seconds() - age_seconds
        owned = new_owned_job(job, owner_revision, listed, route, begun_seconds)
        self.owned[job.job_id] = owned
        self._context.log.write(
            JobOwned(
                job=job.job_id,
                step=job.step,
                items=len(job.items),
                listed=len(listed),
                age_seconds=round(age_seconds, 3),
                owner_revision=owner_revision,
                oldest_version=job.oldest_version,
                model=job.model,
                groups=len({item.group for item in job.items}),
                wanted_groups=job.wanted_groups,
            )
        )
        self._wake.set()
        return owned

    def _drop(self, job_id: str, reason: str) -> None:
        owned = self.owned.pop(job_id, None)
        if owned is None:
            return
        owned.ledger.end()
        for task in owned.runs.values():
            task.cancel()
        owned.tell_news()
        self._context.log.write(
            JobDropped(
                job=job_id,
                reason=reason,
                listed=len(owned.ledger.listed),
                items=owned.ledger.total,
                owner_revision=owned.owner_revision,
            )
        )

    def _claim_orphans(self) -> None:
        if self._context.contact.is_away:
            return
        now_seconds = self._context.now_seconds()
        for job_id, known in self.known.jobs.items():
            if known.marker.ended:
                continue
            name, held = key_part(job_id), job_id in self.owned
            if not held and self.known.owner(name) is None:
                self._orphans.orphaned(name, now_seconds)
            if not self._orphans.is_orphan(name):
                continue
            released = self._is_released(name)
            live = self._context.daemon.membership.live()
            if self._orphans.may_claim(name, live, held, released, now_seconds):
                self._context.daemon.spawn(self._claim(job_id, known.revision))

    def _is_released(self, name: str) -> bool:
        """Return whether no former owner of a job need be waited for.

        This process has never seen one, so one that lives would have come back for the job
        already; or it is stopping as planned; or its process has ended and another one runs.
        After a loss of all daemons that saves 0.4 s a job.
        """
        former = self.known.former_owner(name)
        if former is None or self._context.daemon.membership.is_leaving(former):
            return True
        return self._context.process_start(former) != self._owner_starts.get(name)

    async def _under_lease(self, write: Callable[[int], Awaitable[T]]) -> T | JobNotStored:
        """Do a write that makes this daemon the owner of a job, on a lease that lasts.

        A daemon often sees that its owner key is gone before its next renewal tells why, as when
        its machine was suspended. A claim on the lease that ran out is refused, and by the time of
        another look other daemons have taken the job from a daemon that lives and has its texts.
        """
        outcome: T | JobNotStored = JobNotStored("not tried", effect_unknown=False)
        for _ in range(OWNING_TRIES):
            lease_id = await self._session.hold()
            if lease_id is None:
                return JobNotStored("no session with the key-value service", effect_unknown=False)
            outcome = await write(lease_id)
            if not (isinstance(outcome, JobNotStored) and outcome.lease_gone):
                break
            self._session.over(lease_id)
        return outcome

    async def _claim(self, job_id: str, marker_revision: int) -> None:
        kept = await self._store.load_checkpoint(job_id)
        if isinstance(kept, KvUnavailable):
            return
        claimed = await self._under_lease(
            lambda lease_id: self._store.claim(job_id, marker_revision, lease_id, kept.revision)
        )
        if isinstance(claimed, JobNotStored):
            return
        if claimed == 0:
            if job_id in self.owned:
                self._leave_behind(job_id, self.owned[job_id])
            return
        self._orphans.owned(key_part(job_id))
        held = self.owned.get(job_id)
        if held is not None:
            held.owner_revision = claimed
            return
        await self._load(job_id, claimed, kept.checkpoint)

    async def _adopt(self, name: str, owner_revision: int) -> None:
        """Work on a job that is this daemon's by a write whose answer never came."""
        await asyncio.sleep(ADOPT_AFTER_SECONDS)
        owner = self.known.owner(name)
        if owner is None or owner.revision != owner_revision:
            # It was a predecessor's, whose lease has ended meanwhile.
            return
        for job_id, known in list(self.known.jobs.items()):
            if key_part(job_id) == name and job_id not in self.owned and not known.marker.ended:
                # What a former owner had kept went with the claim that was not answered.
                await self._load(job_id, owner_revision, None)

    async def _load(
        self, job_id: str, owner_revision: int, checkpoint: JobCheckpoint | None
    ) -> None:
        asked = asyncio.create_task(self._checkpoints.ask_former_owner(job_id, owner_revision))
        job = await self._store.load_items(job_id)
        results = await self._store.load_results(job_id, 0)
        checkpoint = await asked or checkpoint
        marker = self.known.marker(job_id)
        if marker is None or marker.ended or job_id in self.owned:
            return
        owner = self.known.owner(key_part(job_id))
        if owner is not None and owner.revision > owner_revision:
            self._context.log.write(JobNotOwned(job=job_id, reason="taken over meanwhile"))
            return
        if isinstance(job, Job) and not isinstance(results, KvUnavailable):
            owned = self._own(job, owner_revision, results)
            if checkpoint is not None:
                self._checkpoints.go_on(owned, checkpoint)
        else:
            self._context.log.write(JobNotOwned(job=job_id, reason="claimed but not read"))
            await self._store.release(job_id, owner_revision)
