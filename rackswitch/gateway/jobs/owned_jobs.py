"""The jobs that this daemon works on: taking them up, dropping them, and leaving them to others."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.owned_job import OwnedJob, new_owned_job
from rackswitch.gateway.jobs.released_jobs import ReleasedJobs
from rackswitch.jobs import Job, JobCheckpoint, JobResult
from rackswitch.telemetry.events import JobDropped, JobOwned

__all__ = ["OwnedJobs"]


class OwnedJobs:
    """Keeps the jobs that are worked on here.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    checkpoints : JobCheckpoints
        Tells what is there of a job.
    wake : asyncio.Event
        Set when there is more to start.

    Attributes
    ----------
    by_id : dict of str to OwnedJob
        The jobs by identity.
    arriving : set of str
        Jobs that are being handed over to this daemon.
    """

    __slots__ = ("_checkpoints", "_context", "_left", "_wake", "arriving", "by_id")

    def __init__(self, context: GatewayContext, checkpoints: JobCheckpoints, wake: asyncio.Event):
        self._context = context
        self._checkpoints = checkpoints
        self._wake = wake
        self._left = ReleasedJobs()
        self.by_id: dict[str, OwnedJob] = {}
        self.arriving: set[str] = set()

    def own(
        self,
        job: Job,
        owner_revision: int,
        listed: list[JobResult],
        awaits_claim: bool = False,
    ) -> OwnedJob:
        """Work on a job from now on."""
        route = self._context.routes.find(job.host, job.path)
        age_seconds = max(0.0, time.time() - job.submitted_at_unix_seconds)
        begun_seconds = self._context.now_seconds() - age_seconds
        owned = new_owned_job(job, owner_revision, listed, route, begun_seconds)
        owned.awaits_claim = awaits_claim
        self.by_id[job.job_id] = owned
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

    def drop(self, job_id: str, reason: str) -> None:
        """Work on a job no more, if it is worked on."""
        owned = self.by_id.pop(job_id, None)
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

    def leave(self, owned: OwnedJob, reason: str) -> Coroutine[Any, Any, JobCheckpoint]:
        """Work on a job no more from now on; return what brings what its next owner goes on with.

        The texts are taken first, since the drop ends the ledger, and told only after the
        runs have ended, so that no run goes on here beside the next owner's.
        """
        items = self._checkpoints.items_to_leave(owned)
        runs = list(owned.runs.values())
        self.drop(owned.ledger.job.job_id, reason)
        return self._checkpoints.after_runs(items, runs)

    def leave_behind(self, owned: OwnedJob, reason: str = "taken over") -> None:
        """Leave a job to its next owner, and keep its texts until that one asks."""
        job_id = owned.ledger.job.job_id
        leaving = self._context.daemon.spawn(self.leave(owned, reason))
        now_seconds = self._context.now_seconds()
        self._left.left(job_id, owned.owner_revision, leaving, now_seconds, owned.successor)

    async def texts_for(
        self, job_id: str, owner_revision: int, daemon: str
    ) -> JobCheckpoint | None:
        """Leave a job to the daemon that asks, if that is its next owner; return what is there.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of the other daemon's claim.
        daemon : str
            The other daemon, if the job is being handed over to it; its claim may be missing then.

        Returns
        -------
        JobCheckpoint or None
            None if this daemon does not work on the job, or by a later claim.
        """
        owned = self.by_id.get(job_id)
        if owned is not None and _may_go_on(owned, owner_revision, daemon):
            self.leave_behind(owned, "handed over" if daemon else "taken over")
        return await self._left.texts_for(job_id, owner_revision, daemon)

    async def left_texts(self, job_id: str) -> JobCheckpoint | None:
        """Return what was there of a job that was left a moment ago."""
        return await self._left.texts(job_id)

    def forget_left(self) -> None:
        """Forget the texts of jobs whose next owner has had its time."""
        self._left.expire(self._context.now_seconds())


def _may_go_on(owned: OwnedJob, owner_revision: int, daemon: str) -> bool:
    """Return whether a daemon that asks for a job is its next owner."""
    if owned.owner_revision < owner_revision:
        return True
    chosen = bool(daemon) and daemon == owned.successor
    return chosen and owned.owner_revision == owner_revision
