"""Taking over the jobs of daemons that stop."""

import asyncio
import zlib

import msgspec

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.held_claims import HeldClaims
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_claims import JobClaims
from rackswitch.gateway.jobs.job_outcomes import JobNotStored
from rackswitch.gateway.jobs.job_records import unpack_checkpoint, unpack_job, unpack_results
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.jobs import Job, JobCheckpoint, JobResult, merge_checkpoints
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.telemetry.events import JobReceived

__all__ = ["HandOverReceiver"]

SETTLE_SECONDS = 1.0
"""How long a daemon that stops waits for what is just being handed over to it."""


class HandOverReceiver:
    """Goes on with jobs that are handed over to this daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    claims : JobClaims
        Told of the jobs.
    held : HeldClaims
        Becomes their owner.
    jobs : OwnedJobs
        The jobs worked on here.
    checkpoints : JobCheckpoints
        Brings the latest texts.
    """

    __slots__ = ("_checkpoints", "_claims", "_context", "_held", "_jobs", "_takings")

    def __init__(
        self,
        context: GatewayContext,
        claims: JobClaims,
        held: HeldClaims,
        jobs: OwnedJobs,
        checkpoints: JobCheckpoints,
    ):
        self._context = context
        self._claims = claims
        self._held = held
        self._jobs = jobs
        self._checkpoints = checkpoints
        self._takings: set[asyncio.Task[pb.HandOverReply]] = set()

    async def take(self, request: pb.HandOverRequest) -> pb.HandOverReply:
        """Go on with a job, or say why not."""
        if self._context.daemon.stopping:
            return pb.HandOverReply(detail="this daemon is stopping")
        if not self._context.policy.jobs_handed_over:
            return pb.HandOverReply(detail="hand-overs are switched off here")
        try:
            job = unpack_job(request.job)
            listed = unpack_results(request.listed)
            snapshot = unpack_checkpoint(request.checkpoint)
        except (msgspec.DecodeError, zlib.error) as error:
            return pb.HandOverReply(detail=f"not a job: {error}")
        if job.job_id in self._jobs.by_id or job.job_id in self._jobs.arriving:
            return pb.HandOverReply(detail="this daemon works on the job")
        if not self._can_run(job):
            return pb.HandOverReply(detail="this daemon knows no engine for the job yet")
        # Who hands over may give up; a job that is claimed by then is worked on all the same.
        taking = self._context.daemon.spawn(self._take(request, job, listed, snapshot))
        self._takings.add(taking)
        taking.add_done_callback(self._takings.discard)
        return await asyncio.shield(taking)

    def _can_run(self, job: Job) -> bool:
        """Return whether an engine is known for a job: a process that has just begun has none."""
        route = self._context.routes.find(job.host, job.path)
        if route is None:
            return False
        now_seconds = self._context.now_seconds()
        return any(self._context.directory.usable(route.choices[0].serves, now_seconds))

    async def settle(self) -> None:
        """Wait for the jobs that are just being handed over, which this daemon must pass on."""
        if self._takings:
            await asyncio.wait(self._takings, timeout=SETTLE_SECONDS)

    async def _take(
        self,
        request: pb.HandOverRequest,
        job: Job,
        listed: list[JobResult],
        snapshot: JobCheckpoint,
    ) -> pb.HandOverReply:
        began_seconds = self._context.now_seconds()
        self._jobs.arriving.add(job.job_id)
        try:
            reply = await self._own(request, job, listed, snapshot)
        finally:
            self._jobs.arriving.discard(job.job_id)
        outcome = ("owned" if reply.owner_revision else "not owned yet") if reply.taken else ""
        self._context.log.write(
            JobReceived(
                job=job.job_id,
                former_owner=request.daemon,
                outcome=outcome or reply.detail,
                owner_revision=reply.owner_revision,
                elapsed_seconds=round(self._context.now_seconds() - began_seconds, 4),
            )
        )
        return reply

    async def _own(
        self,
        request: pb.HandOverRequest,
        job: Job,
        listed: list[JobResult],
        snapshot: JobCheckpoint,
    ) -> pb.HandOverReply:
        is_behind = False
        claimed = await self._claim(request, job.job_id, len(listed))
        if claimed == 0:
            # What the sender was just appending may have been kept since it sent its results.
            is_behind = True
            claimed = await self._claim(request, job.job_id, None)
        if isinstance(claimed, JobNotStored) and not request.may_wait:
            return pb.HandOverReply(detail=claimed.detail, service_away=True)
        if claimed == 0:
            return pb.HandOverReply(detail="the job is not the sender's any more")
        self._claims.introduce(job, request.marker_revision)
        revision = claimed if isinstance(claimed, int) else 0
        asked_for = revision or request.owner_revision
        texts = await self._checkpoints.ask_giver(request.daemon, job.job_id, asked_for)
        if texts is None and not revision:
            # Its runs may go on there, so that none may go on here.
            return pb.HandOverReply(detail="the sender did not leave the job")
        checkpoint = merge_checkpoints(snapshot, texts) if texts is not None else snapshot
        if not self._claims.is_open(job.job_id):
            return pb.HandOverReply(detail="the job has been ended")
        owned = self._jobs.own(job, asked_for, listed, awaits_claim=not revision)
        owned.is_behind = is_behind
        self._checkpoints.go_on(owned, checkpoint)
        return pb.HandOverReply(taken=True, owner_revision=revision)

    async def _claim(
        self, request: pb.HandOverRequest, job_id: str, position: int | None
    ) -> int | JobNotStored:
        """Claim a job under the fence of its former owner's claim."""
        if request.may_wait and self._context.contact.is_away:
            return JobNotStored("the key-value service is away", effect_unknown=False)
        return await self._held.claim_offered(job_id, request.owner_revision, position)
