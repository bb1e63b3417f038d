"""Receiving side of a hand-over: takes the jobs of daemons that stop."""

import asyncio
import zlib

from rackswitch.decoding import DECODE_ERRORS
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_claims import JobClaims
from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_records import unpack_checkpoint, unpack_job, unpack_results
from rackswitch.gateway.jobs.local_job_claims import LocalJobClaims
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.jobs import Job, JobCheckpoint, JobResult, merge_checkpoints
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.telemetry.events import JobReceived

__all__ = ["HandOverReceiver"]

PENDING_HAND_OVERS_TIMEOUT_SECONDS = 1.0
"""How long a stopping daemon waits for hand-overs to it that have begun."""


class HandOverReceiver:
    """Takes ownership of jobs that are handed over to this daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    claims : JobClaims
        Records the offered jobs.
    local_claims : LocalJobClaims
        Writes the claims.
    jobs : OwnedJobs
        The jobs that this daemon runs.
    checkpoints : JobCheckpoints
        Fetches the sender's final checkpoint.
    """

    __slots__ = (
        "_checkpoints",
        "_claims",
        "_context",
        "_local_claims",
        "_jobs",
        "_pending_hand_overs",
    )

    def __init__(
        self,
        context: GatewayContext,
        claims: JobClaims,
        local_claims: LocalJobClaims,
        jobs: OwnedJobs,
        checkpoints: JobCheckpoints,
    ):
        self._context = context
        self._claims = claims
        self._local_claims = local_claims
        self._jobs = jobs
        self._checkpoints = checkpoints
        self._pending_hand_overs: set[asyncio.Task[pb.HandOverReply]] = set()

    async def receive(self, request: pb.HandOverRequest) -> pb.HandOverReply:
        """Take a job over, or reply with the reason for a refusal."""
        if self._context.daemon.stopping:
            return pb.HandOverReply(detail="this daemon is stopping")
        if not self._context.policy.jobs_handed_over:
            return pb.HandOverReply(detail="hand-overs are switched off here")
        try:
            job = unpack_job(request.job)
            listed = unpack_results(request.listed)
            snapshot = unpack_checkpoint(request.checkpoint)
        except (*DECODE_ERRORS, zlib.error) as error:
            return pb.HandOverReply(detail=f"invalid hand-over request: {error}")
        if job.job_id in self._jobs.by_id or job.job_id in self._jobs.incoming:
            return pb.HandOverReply(detail="this daemon already runs the job")
        if not self._can_run(job):
            return pb.HandOverReply(detail="this daemon does not know an engine for the job yet")
        # Runs as a task of its own: a sender that cancels the call must not interrupt a claim.
        receiving = self._context.daemon.spawn(self._receive(request, job, listed, snapshot))
        self._pending_hand_overs.add(receiving)
        receiving.add_done_callback(self._pending_hand_overs.discard)
        return await asyncio.shield(receiving)

    def _can_run(self, job: Job) -> bool:
        """Return whether an engine is known for a job; a new process may not know any yet.

        Excluded engines count: the job's items then wait, at this daemon as at any other.
        """
        route = self._context.routes.find(job.host, job.path)
        if route is None:
            return False
        now_seconds = self._context.now_seconds()
        directory, service = self._context.directory, route.choices[0].serves
        regions = self._context.allowed_regions(route, job.tenant)
        is_usable = bool(directory.usable(service, now_seconds, regions))
        return is_usable or bool(directory.exclusions(service, regions))

    async def wait_for_pending(self) -> None:
        """Wait for hand-overs that have begun, as a stopping daemon hands these jobs over too."""
        if self._pending_hand_overs:
            await asyncio.wait(self._pending_hand_overs, timeout=PENDING_HAND_OVERS_TIMEOUT_SECONDS)

    async def _receive(
        self,
        request: pb.HandOverRequest,
        job: Job,
        listed: list[JobResult],
        snapshot: JobCheckpoint,
    ) -> pb.HandOverReply:
        started_seconds = self._context.now_seconds()
        self._jobs.incoming.add(job.job_id)
        try:
            reply = await self._claim_and_resume(request, job, listed, snapshot)
        finally:
            self._jobs.incoming.discard(job.job_id)
        outcome = ("owned" if reply.owner_revision else "not owned yet") if reply.taken else ""
        self._context.log.write(
            JobReceived(
                job=job.job_id,
                former_owner=request.daemon,
                outcome=outcome or reply.detail,
                owner_revision=reply.owner_revision,
                elapsed_seconds=round(self._context.now_seconds() - started_seconds, 4),
            )
        )
        return reply

    async def _claim_and_resume(
        self,
        request: pb.HandOverRequest,
        job: Job,
        listed: list[JobResult],
        snapshot: JobCheckpoint,
    ) -> pb.HandOverReply:
        may_miss_results = False
        claimed = await self._claim(request, job.job_id, len(listed))
        if claimed == 0:
            # The sender may have appended a segment after it sent its list of results.
            may_miss_results = True
            claimed = await self._claim(request, job.job_id, None)
        if isinstance(claimed, JobNotStored) and not request.may_wait:
            return pb.HandOverReply(detail=claimed.detail, service_away=True)
        if claimed == 0:
            return pb.HandOverReply(detail="the sender no longer owns the job")
        self._claims.record_offered_job(job, request.marker_revision)
        revision = claimed if isinstance(claimed, int) else 0
        claim_revision = revision or request.owner_revision
        final_checkpoint = await self._checkpoints.fetch_from_sender(
            request.daemon, job.job_id, claim_revision
        )
        if final_checkpoint is None and not revision:
            # Without a claim, the sender may still run the items.
            return pb.HandOverReply(detail="the sender did not release the job")
        checkpoint = (
            merge_checkpoints(snapshot, final_checkpoint)
            if final_checkpoint is not None
            else snapshot
        )
        if not self._claims.is_open(job.job_id):
            return pb.HandOverReply(detail="the job has been ended")
        owned = self._jobs.add(job, claim_revision, listed, awaits_claim=not revision)
        owned.may_miss_results = may_miss_results
        self._checkpoints.resume(owned, checkpoint)
        return pb.HandOverReply(taken=True, owner_revision=revision)

    async def _claim(
        self, request: pb.HandOverRequest, job_id: str, position: int | None
    ) -> int | JobNotStored:
        """Claim a job, conditional on the sender's owner revision."""
        if request.may_wait and self._context.store_reachability.is_unreachable:
            return JobNotStored("the key-value service is unreachable", effect_unknown=False)
        return await self._local_claims.claim_offered(job_id, request.owner_revision, position)
