"""What passes from a job's former owner to its next one: unfinished texts, kept or handed over."""

import asyncio
from collections.abc import Iterable

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_records import key_part, unpack_checkpoint
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
"""Shorter texts are made again: they are about a second of an engine's work, and a step's
longest texts, which decide when it is whole, have more than a hundred."""

MIN_HANDED_OVER_PIECES = 1
"""At a planned hand-over everything goes along: it is one call whatever its size."""

YIELD_TIMEOUT_SECONDS = 0.5
"""How long a former owner may take to leave a job: it waits for its runs' ends, and the call
crosses zones. One that is dead answers never, and the job must go on."""

RUNS_END_SECONDS = 0.2
"""How long the cancelled runs of a job that is handed over may take to let their engines go."""

PROOF_PATIENCE_SECONDS = 0.6
"""How long texts that were left wait for the proof that nobody runs them any more: enough for a
fleet that starts at once to learn of each other's new processes. An item that starts without the
proof makes its text again from the beginning."""

PROOF_LOOK_SECONDS = 0.05
"""Between looks for that proof; a tick of the keeper that starts items."""

CHECKPOINT_SECONDS = 1.5
"""Between two checkpoints of a job: a call each, against at most so much work lost with an
owner that dies."""


class JobCheckpoints:
    """Makes the checkpoints of owned jobs, and goes on with those of former owners.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    store : JobStore
        Keeps checkpoints in the key-value service.
    known : KnownJobs
        Tells who owned a job before.
    """

    __slots__ = ("_context", "_known", "_store")

    def __init__(self, context: GatewayContext, store: JobStore, known: KnownJobs):
        self._context = context
        self._store = store
        self._known = known

    # As an owner

    def keep_due(self, owned_jobs: Iterable[OwnedJob]) -> None:
        """Keep the long unfinished texts of owned jobs now and then, for a successor."""
        if not self._context.policy.texts_kept:
            return
        now_seconds = self._context.now_seconds()
        for owned in owned_jobs:
            if owned.awaits_claim or now_seconds < owned.next_checkpoint_seconds:
                continue
            items = checkpoint_items(owned.ledger, MIN_CHECKPOINT_PIECES)
            if any(len(item.pieces) >= MIN_CHECKPOINT_PIECES for item in items):
                owned.next_checkpoint_seconds = now_seconds + CHECKPOINT_SECONDS
                checkpoint = self._checkpoint(items, runs_ended=False)
                job_id = owned.ledger.job.job_id
                self._context.daemon.spawn(
                    self._store.keep_checkpoint(job_id, owned.owner_revision, checkpoint)
                )

    def items_to_leave(self, owned: OwnedJob) -> tuple[ItemCheckpoint, ...]:
        """Return what is there of a job that is about to be left."""
        return checkpoint_items(owned.ledger, MIN_HANDED_OVER_PIECES)

    def snapshot(self, owned: OwnedJob) -> JobCheckpoint:
        """Return what is there of a job that is still worked on."""
        return self._checkpoint(self.items_to_leave(owned), runs_ended=False)

    async def after_runs(
        self, items: tuple[ItemCheckpoint, ...], runs: list[asyncio.Task[None]]
    ) -> JobCheckpoint:
        """Return the checkpoint of a job that was left, once its cancelled runs have ended.

        Parameters
        ----------
        items : tuple of ItemCheckpoint
            Taken before the job was left.
        runs : list of asyncio.Task
            Its runs, cancelled; the checkpoint says so if they do not end in time.
        """
        return self._checkpoint(items, await _have_ended(runs))

    def _checkpoint(self, items: tuple[ItemCheckpoint, ...], runs_ended: bool) -> JobCheckpoint:
        return JobCheckpoint(
            daemon=self._context.daemon_name,
            process_started_unix_seconds=self._context.process_started_unix_seconds,
            runs_ended=runs_ended,
            items=items,
        )

    # As the next owner

    async def ask_former_owner(
        self, job_id: str, owner_revision: int, writer: str | None = None
    ) -> JobCheckpoint | None:
        """Ask a job's former owner, which the service may only have turned away, to leave it.

        Parameters
        ----------
        job_id : str
            The job.
        owner_revision : int
            Of this daemon's claim.
        writer : str or None, optional
            Daemon that wrote the job's checkpoint: the former owner, where no other is known, as
            in a process that began when the service told nothing.

        Returns
        -------
        JobCheckpoint or None
            None if there is no other former owner, it does not answer, or it does not work
            on the job.
        """
        former = self._known.former_owner(key_part(job_id)) or writer
        if former is None or former == self._context.daemon_name:
            return None
        return await self._ask(
            former, pb.YieldJobRequest(job_id=job_id, owner_revision=owner_revision)
        )

    async def ask_giver(
        self, former: str, job_id: str, owner_revision: int
    ) -> JobCheckpoint | None:
        """Ask the daemon that hands a job over to this one for its texts, and so to leave it."""
        request = pb.YieldJobRequest(
            job_id=job_id,
            owner_revision=owner_revision,
            daemon=self._context.daemon_name,
        )
        return await self._ask(former, request)

    async def _ask(self, former: str, request: pb.YieldJobRequest) -> JobCheckpoint | None:
        entry = self._context.member_entries.get(former)
        if entry is None:
            return None
        reply = await self._context.daemon.links.call(
            member_address(former, entry),
            lambda stub: stub.YieldJob,
            request,
            YIELD_TIMEOUT_SECONDS,
            GatewayPeersStub,
        )
        if isinstance(reply, PeerUnreachable) or not reply.worked_on:
            return None
        return unpack_checkpoint(reply.checkpoint)

    def go_on(self, owned: OwnedJob, checkpoint: JobCheckpoint) -> None:
        """Go on with the texts of a former owner whose runs have surely ended.

        Where that is not sure yet, these items wait a little: after a loss of all daemons the
        former owner's next process tells of itself only a moment after the first claims.
        """
        if self._may_resume(checkpoint):
            self._restore(owned, checkpoint)
            return
        not_before_seconds = self._context.now_seconds() + PROOF_PATIENCE_SECONDS
        for kept in checkpoint.items:
            progress = owned.ledger.items.get(kept.item_id)
            if progress is not None:
                progress.not_before_seconds = not_before_seconds
        self._context.daemon.spawn(self._await_proof(owned, checkpoint, not_before_seconds))

    async def _await_proof(
        self, owned: OwnedJob, checkpoint: JobCheckpoint, until_seconds: float
    ) -> None:
        """Go on with a former owner's texts as soon as its process is known to have ended."""
        while self._context.now_seconds() < until_seconds and not self._may_resume(checkpoint):
            await asyncio.sleep(PROOF_LOOK_SECONDS)
        if self._may_resume(checkpoint):
            for kept in checkpoint.items:
                progress = owned.ledger.items.get(kept.item_id)
                if progress is not None:
                    progress.not_before_seconds = 0.0
        self._restore(owned, checkpoint)

    def _may_resume(self, checkpoint: JobCheckpoint) -> bool:
        process_start = self._context.process_start(checkpoint.daemon)
        if checkpoint.daemon == self._context.daemon_name:
            # What the members' entries tell may be an earlier process yet.
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
    _, pending = await asyncio.wait(runs, timeout=RUNS_END_SECONDS)
    return not pending
