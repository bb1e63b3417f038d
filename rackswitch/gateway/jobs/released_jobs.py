"""Final checkpoints of jobs that this daemon released, for their next owners."""

import asyncio
from dataclasses import dataclass

from rackswitch.jobs import JobCheckpoint

__all__ = ["ReleasedJobs"]

RELEASED_TTL_SECONDS = 3.0
"""Covers the few calls that a new owner makes before it requests the checkpoint, with a slow
key-value service."""


@dataclass(frozen=True, slots=True)
class _ReleasedJob:
    """A job that this daemon released.

    Attributes
    ----------
    owner_revision : int
        Revision of this daemon's claim.
    checkpoint_task : Task of JobCheckpoint
        Returns the final checkpoint once the runs have ended or their timeout has passed.
    expires_at_seconds : float
        When the entry is deleted (monotonic).
    successor : str
        Daemon that the job was being handed over to; empty if there was none.
    """

    owner_revision: int
    checkpoint_task: asyncio.Task[JobCheckpoint]
    expires_at_seconds: float
    successor: str

    def is_available_to(self, owner_revision: int, daemon: str) -> bool:
        """Return whether a daemon has a later claim or is the chosen successor."""
        if self.owner_revision < owner_revision:
            return True
        return bool(daemon) and (owner_revision, daemon) == (self.owner_revision, self.successor)


class ReleasedJobs:
    """Stores the final checkpoint of each released job until its TTL expires."""

    __slots__ = ("_released",)

    def __init__(self) -> None:
        self._released: dict[str, _ReleasedJob] = {}

    def add(
        self,
        job_id: str,
        owner_revision: int,
        checkpoint_task: asyncio.Task[JobCheckpoint],
        now_seconds: float,
        successor: str = "",
    ) -> None:
        """Add a job that is being released.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Revision of this daemon's claim.
        checkpoint_task : asyncio.Task
            Returns the final checkpoint once the job's runs have ended.
        now_seconds : float
            Monotonic clock.
        successor : str, optional
            Daemon that the job was being handed over to.
        """
        expires_at_seconds = now_seconds + RELEASED_TTL_SECONDS
        self._released[job_id] = _ReleasedJob(
            owner_revision, checkpoint_task, expires_at_seconds, successor
        )

    async def checkpoint_for(
        self, job_id: str, owner_revision: int, daemon: str = ""
    ) -> JobCheckpoint | None:
        """Return a job's final checkpoint for its next owner, None for other daemons.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Revision of the requesting daemon's claim, or of this daemon's own claim if the job was
            handed over during an outage of the key-value service.
        daemon : str, optional
            The requesting daemon, if the job is being handed over to it.
        """
        released = self._released.get(job_id)
        if released is None or not released.is_available_to(owner_revision, daemon):
            return None
        return await asyncio.shield(released.checkpoint_task)

    async def checkpoint(self, job_id: str) -> JobCheckpoint | None:
        """Return a job's final checkpoint for this daemon itself."""
        released = self._released.get(job_id)
        return await asyncio.shield(released.checkpoint_task) if released is not None else None

    def expire(self, now_seconds: float) -> None:
        """Delete the entries whose TTL has expired."""
        expired = [
            job_id
            for job_id, released in self._released.items()
            if now_seconds >= released.expires_at_seconds
        ]
        for job_id in expired:
            del self._released[job_id]
