"""The jobs that this daemon runs: adding, dropping and releasing them."""

import asyncio
import time
from collections.abc import Coroutine
from functools import partial
from typing import Any

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.owned_job import OwnedJob, new_owned_job
from rackswitch.gateway.jobs.released_jobs import ReleasedJobs
from rackswitch.gateway.start_times import StartPart
from rackswitch.jobs import Job, JobCheckpoint, JobResult
from rackswitch.telemetry.events import JobDropped, JobOwned

__all__ = ["OwnedJobs"]


class OwnedJobs:
    """The jobs that this daemon runs, and the checkpoints of those just released.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    checkpoints : JobCheckpoints
        Makes checkpoints of unfinished items.
    wake : asyncio.Event
        Set when there are new items to start.

    Attributes
    ----------
    by_id : dict of str to OwnedJob
        The jobs by identity.
    incoming : set of str
        Jobs that are being handed over to this daemon.
    """

    __slots__ = ("_checkpoints", "_context", "_released", "_wake", "incoming", "by_id")

    def __init__(self, context: GatewayContext, checkpoints: JobCheckpoints, wake: asyncio.Event):
        self._context = context
        self._checkpoints = checkpoints
        self._wake = wake
        self._released = ReleasedJobs()
        self.by_id: dict[str, OwnedJob] = {}
        self.incoming: set[str] = set()

    def add(
        self,
        job: Job,
        owner_revision: int,
        listed: list[JobResult],
        awaits_claim: bool = False,
    ) -> OwnedJob:
        """Start running a job."""
        route = self._context.routes.find(job.host, job.path)
        age_seconds = max(0.0, time.time() - job.submitted_at_unix_seconds)
        submitted_seconds = self._context.now_seconds() - age_seconds
        owned = new_owned_job(job, owner_revision, listed, route, submitted_seconds)
        owned.awaits_claim = awaits_claim
        owned.ledger.limits_are_current = partial(self._is_table_current, owned)
        owned.ledger.limits_are_confirmed = partial(self._is_table_confirmed, owned)
        self.by_id[job.job_id] = owned
        self._context.start_times.record(StartPart.FIRST_JOB, self._context.now_seconds())
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

    def _is_table_current(self, owned: OwnedJob) -> bool:
        return self._context.is_table_current(owned.owner_revision)

    def _is_table_confirmed(self, owned: OwnedJob) -> bool:
        return self._context.table_confirmation.covers(owned.owner_revision)

    def drop(self, job_id: str, reason: str) -> None:
        """Stop running a job, if it runs here."""
        owned = self.by_id.pop(job_id, None)
        if owned is None:
            return
        owned.ledger.end()
        for task in owned.runs.values():
            task.cancel()
        owned.notify_readers()
        self._context.log.write(
            JobDropped(
                job=job_id,
                reason=reason,
                listed=len(owned.ledger.listed),
                items=owned.ledger.total,
                owner_revision=owned.owner_revision,
            )
        )

    def release(self, owned: OwnedJob, reason: str) -> Coroutine[Any, Any, JobCheckpoint]:
        """Stop running a job; return a coroutine that returns its final checkpoint.

        The items are copied first, since the drop ends the ledger. The coroutine waits for the
        cancelled runs to end, so that none overlaps with a run of the next owner.
        """
        items = self._checkpoints.items_to_hand_over(owned)
        runs = list(owned.runs.values())
        self.drop(owned.ledger.job.job_id, reason)
        return self._checkpoints.checkpoint_after_runs(items, runs)

    def release_and_keep_checkpoint(self, owned: OwnedJob, reason: str = "taken over") -> None:
        """Release a job, and keep its final checkpoint until the next owner requests it."""
        job_id = owned.ledger.job.job_id
        checkpoint_task = self._context.daemon.spawn(self.release(owned, reason))
        now_seconds = self._context.now_seconds()
        self._released.add(
            job_id, owned.owner_revision, checkpoint_task, now_seconds, owned.successor
        )

    async def checkpoint_for(
        self, job_id: str, owner_revision: int, daemon: str
    ) -> JobCheckpoint | None:
        """Release a job to the requesting daemon if that is its next owner; return its checkpoint.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Revision of the other daemon's claim.
        daemon : str
            The other daemon, if the job is being handed over to it. It may have no claim yet.

        Returns
        -------
        JobCheckpoint or None
            None if this daemon does not run the job, or owns it by a later claim.
        """
        owned = self.by_id.get(job_id)
        if owned is not None and _is_next_owner(owned, owner_revision, daemon):
            self.release_and_keep_checkpoint(owned, "handed over" if daemon else "taken over")
        return await self._released.checkpoint_for(job_id, owner_revision, daemon)

    async def released_checkpoint(self, job_id: str) -> JobCheckpoint | None:
        """Return the final checkpoint of a job that was just released."""
        return await self._released.checkpoint(job_id)

    def expire_released(self) -> None:
        """Delete checkpoints of released jobs whose TTL has expired."""
        self._released.expire(self._context.now_seconds())


def _is_next_owner(owned: OwnedJob, owner_revision: int, daemon: str) -> bool:
    """Return whether a requesting daemon is a job's next owner."""
    if owned.owner_revision < owner_revision:
        return True
    chosen = bool(daemon) and daemon == owned.successor
    return chosen and owned.owner_revision == owner_revision
