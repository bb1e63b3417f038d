"""Texts of jobs that this daemon worked on until another one claimed them."""

import asyncio
from dataclasses import dataclass

from rackswitch.jobs import JobCheckpoint

__all__ = ["ReleasedJobs"]

LEFT_SECONDS = 3.0
"""How long the texts of a job are kept that another daemon was seen to own: that one asks for
them within the time of a few calls, but a slow service may take a second for each."""


@dataclass(frozen=True, slots=True)
class _LeftJob:
    """What is kept of a job that this daemon left.

    Attributes
    ----------
    owner_revision : int
        Of the claim under which this daemon worked on it.
    leaving : Task of JobCheckpoint
        Brings its texts once its runs have ended, or have had their time to.
    forget_at_seconds : float
        Until when it is kept (monotonic).
    successor : str
        Daemon that it was being handed over to; empty if none was.
    """

    owner_revision: int
    leaving: asyncio.Task[JobCheckpoint]
    forget_at_seconds: float
    successor: str

    def is_for(self, owner_revision: int, daemon: str) -> bool:
        """Return whether a daemon may go on: by a later claim, or as the chosen successor."""
        if self.owner_revision < owner_revision:
            return True
        return bool(daemon) and (owner_revision, daemon) == (self.owner_revision, self.successor)


class ReleasedJobs:
    """Keeps what was there of each left job until its new owner has had time to ask."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, _LeftJob] = {}

    def left(
        self,
        job_id: str,
        owner_revision: int,
        leaving: asyncio.Task[JobCheckpoint],
        now_seconds: float,
        successor: str = "",
    ) -> None:
        """Note that a job is being left.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of the claim under which this daemon worked on it.
        leaving : asyncio.Task
            Brings what is there of the job once its runs have ended.
        now_seconds : float
            Monotonic clock.
        successor : str, optional
            Daemon that the job was being handed over to.
        """
        forget_at_seconds = now_seconds + LEFT_SECONDS
        self._left[job_id] = _LeftJob(owner_revision, leaving, forget_at_seconds, successor)

    async def texts_for(
        self, job_id: str, owner_revision: int, daemon: str = ""
    ) -> JobCheckpoint | None:
        """Return what is there of a job, for its next owner; None for others.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of the asking daemon's claim, or of this daemon's own if the job was handed over
            while nobody could claim it.
        daemon : str, optional
            The asking daemon, if the job is being handed over to it.
        """
        left = self._left.get(job_id)
        if left is None or not left.is_for(owner_revision, daemon):
            return None
        return await asyncio.shield(left.leaving)

    async def texts(self, job_id: str) -> JobCheckpoint | None:
        """Return what is there of a job, for this daemon itself."""
        left = self._left.get(job_id)
        return await asyncio.shield(left.leaving) if left is not None else None

    def expire(self, now_seconds: float) -> None:
        """Forget jobs whose new owner has had its time."""
        over = [job for job, left in self._left.items() if now_seconds >= left.forget_at_seconds]
        for job_id in over:
            del self._left[job_id]
