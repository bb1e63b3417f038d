"""Checkpoints of unfinished texts, which pass from a job's former owner to its next one."""

import asyncio
from collections.abc import Iterable

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_records import job_key_part, unpack_checkpoint
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.store.member_entries import member_address
from rackswitch.jobs import (
    ItemCheckpoint,
    JobCheckpoint,
    checkpoint_items,
    may_resume_from,
    restore_items,
)
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.telemetry.events import JobResumed

__all__ = ["JobCheckpoints"]

MIN_CHECKPOINT_PIECES = 24
"""Shorter texts are generated again, which takes an engine about a second. The longest texts, which
determine the duration of a step, have more than a hundred pieces."""

MIN_HANDED_OVER_PIECES = 1
"""A planned hand-over includes all texts, as it is one call regardless of size."""

YIELD_TIMEOUT_SECONDS = 0.5
"""How long a former owner may take to release a job: it waits for its runs to end, and the call may
cross availability zones. A dead one does not reply, and the job must continue."""

RUNS_END_TIMEOUT_SECONDS = 0.2
"""How long the cancelled runs of a released job may take to disconnect from their engines."""

PREDECESSOR_END_TIMEOUT_SECONDS = 0.6
"""How long checkpointed items wait for evidence that the former owner's process has ended. Covers
the time in which daemons that start together learn of each other's new processes. Without the
evidence, an item's text is generated again from the beginning."""

PREDECESSOR_END_POLL_SECONDS = 0.05
"""Between checks for that evidence; as long as a tick of the job manager."""

CHECKPOINT_INTERVAL_SECONDS = 1.5
"""Between two checkpoints of a job; also the maximum work lost if the owner crashes."""


class JobCheckpoints:
    """Makes checkpoints of owned jobs, and resumes jobs from those of former owners.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    store : JobStore
        Stores checkpoints in the key-value service.
    known : KnownJobs
        Provides the former owners of jobs.
    """

    __slots__ = ("_context", "_known", "_store")

    def __init__(self, context: GatewayContext, store: JobStore, known: KnownJobs):
        self._context = context
        self._store = store
        self._known = known

    # Checkpoints of owned jobs

    def store_due(self, owned_jobs: Iterable[OwnedJob]) -> None:
        """Store checkpoints of owned jobs with long unfinished texts, at intervals."""
        if not self._context.policy.texts_kept:
            return
        now_seconds = self._context.now_seconds()
        for owned in owned_jobs:
            if owned.awaits_claim or now_seconds < owned.next_checkpoint_seconds:
                continue
            items = checkpoint_items(owned.ledger, MIN_CHECKPOINT_PIECES)
            if any(len(item.pieces) >= MIN_CHECKPOINT_PIECES for item in items):
                owned.next_checkpoint_seconds = now_seconds + CHECKPOINT_INTERVAL_SECONDS
                checkpoint = self._checkpoint(items, runs_ended=False)
                job_id = owned.ledger.job.job_id
                self._context.daemon.spawn(
                    self._store.store_checkpoint(job_id, owned.owner_revision, checkpoint)
                )

    def items_to_hand_over(self, owned: OwnedJob) -> tuple[ItemCheckpoint, ...]:
        """Return the unfinished items of a job that is about to be released."""
        return checkpoint_items(owned.ledger, MIN_HANDED_OVER_PIECES)

    def snapshot(self, owned: OwnedJob) -> JobCheckpoint:
        """Return a checkpoint of a job that is still running."""
        return self._checkpoint(self.items_to_hand_over(owned), runs_ended=False)

    async def checkpoint_after_runs(
        self, items: tuple[ItemCheckpoint, ...], runs: list[asyncio.Task[None]]
    ) -> JobCheckpoint:
        """Return the final checkpoint of a released job once its cancelled runs have ended.

        Parameters
        ----------
        items : tuple of ItemCheckpoint
            Copied before the job was released.
        runs : list of asyncio.Task
            The job's cancelled runs. The checkpoint records whether they ended in time.
        """
        return self._checkpoint(items, await _have_ended(runs))

    def _checkpoint(self, items: tuple[ItemCheckpoint, ...], runs_ended: bool) -> JobCheckpoint:
        return JobCheckpoint(
            daemon=self._context.daemon_name,
            process_started_unix_seconds=self._context.process_started_unix_seconds,
            runs_ended=runs_ended,
            items=items,
        )

    # Checkpoints of former owners

    async def fetch_from_former_owner(
        self, job_id: str, owner_revision: int, writer: str | None = None
    ) -> JobCheckpoint | None:
        """Have a job's former owner release it, and return the final checkpoint.

        The former owner may still run if it has only lost its session.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Revision of this daemon's claim.
        writer : str or None, optional
            Daemon that wrote the stored checkpoint, used if no former owner is known, as in a
            process that started during an outage.

        Returns
        -------
        JobCheckpoint or None
            None if there is no other former owner, it does not reply, or it does not run the job.
        """
        former_owner = self._known.former_owner(job_key_part(job_id)) or writer
        if former_owner is None or former_owner == self._context.daemon_name:
            return None
        return await self._request_release(
            former_owner, pb.YieldJobRequest(job_id=job_id, owner_revision=owner_revision)
        )

    async def fetch_from_sender(
        self, sender: str, job_id: str, owner_revision: int
    ) -> JobCheckpoint | None:
        """Have the daemon that hands a job over release it, and return the final checkpoint."""
        request = pb.YieldJobRequest(
            job_id=job_id,
            owner_revision=owner_revision,
            daemon=self._context.daemon_name,
        )
        return await self._request_release(sender, request)

    async def _request_release(
        self, former_owner: str, request: pb.YieldJobRequest
    ) -> JobCheckpoint | None:
        entry = self._context.member_entries.get(former_owner)
        if entry is None:
            return None
        reply = await self._context.daemon.links.call(
            member_address(former_owner, entry),
            lambda stub: stub.YieldJob,
            request,
            YIELD_TIMEOUT_SECONDS,
            GatewayPeersStub,
        )
        if isinstance(reply, PeerUnreachable) or not reply.worked_on:
            return None
        return unpack_checkpoint(reply.checkpoint)

    def resume(self, owned: OwnedJob, checkpoint: JobCheckpoint) -> None:
        """Resume the items of a checkpoint once the former owner's runs have certainly ended.

        Until then these items wait for a short time: after a loss of all daemons, the former
        owner's new process appears in the member entries shortly after the first claims.
        """
        if self._may_resume(checkpoint):
            self._restore(owned, checkpoint)
            return
        not_before_seconds = self._context.now_seconds() + PREDECESSOR_END_TIMEOUT_SECONDS
        for item_checkpoint in checkpoint.items:
            progress = owned.ledger.items.get(item_checkpoint.item_id)
            if progress is not None:
                progress.not_before_seconds = not_before_seconds
        self._context.daemon.spawn(
            self._resume_once_predecessor_ended(owned, checkpoint, not_before_seconds)
        )

    async def _resume_once_predecessor_ended(
        self, owned: OwnedJob, checkpoint: JobCheckpoint, until_seconds: float
    ) -> None:
        """Resume the items of a checkpoint as soon as the former owner's process has ended."""
        while self._context.now_seconds() < until_seconds and not self._may_resume(checkpoint):
            await asyncio.sleep(PREDECESSOR_END_POLL_SECONDS)
        if self._may_resume(checkpoint):
            for item_checkpoint in checkpoint.items:
                progress = owned.ledger.items.get(item_checkpoint.item_id)
                if progress is not None:
                    progress.not_before_seconds = 0.0
        self._restore(owned, checkpoint)

    def _may_resume(self, checkpoint: JobCheckpoint) -> bool:
        process_start = self._context.process_start(checkpoint.daemon)
        if checkpoint.daemon == self._context.daemon_name:
            # The member entry may still be that of an earlier process.
            process_start = self._context.process_started_unix_seconds
        return may_resume_from(checkpoint, process_start)

    def _restore(self, owned: OwnedJob, checkpoint: JobCheckpoint) -> None:
        may_resume = self._may_resume(checkpoint)
        restored = restore_items(owned.ledger, checkpoint.items) if may_resume else 0
        self._context.log.write(
            JobResumed(
                job=owned.ledger.job.job_id,
                former_owner=checkpoint.daemon,
                runs_ended=checkpoint.runs_ended,
                items_kept=len(checkpoint.items),
                items_resumed=restored,
            )
        )


async def _have_ended(runs: list[asyncio.Task[None]]) -> bool:
    """Wait for cancelled runs; return whether all have ended."""
    if not runs:
        return True
    _, pending = await asyncio.wait(runs, timeout=RUNS_END_TIMEOUT_SECONDS)
    return not pending
