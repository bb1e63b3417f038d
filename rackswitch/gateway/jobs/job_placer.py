"""Placement of submitted jobs: chooses the owner and forwards the job to it."""

import asyncio

from rackswitch.decoding import DECODE_ERRORS
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored, JobTooLarge
from rackswitch.gateway.jobs.job_records import job_key_part, make_marker, pack_job, unpack_job
from rackswitch.gateway.jobs.known_jobs import JobOwner
from rackswitch.jobs import Job, OwnerCandidate, OwnerSelector, is_restarted
from rackswitch.membership import MemberUpdate
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.telemetry.events import JobPlaced

__all__ = ["ForwardedJobReceiver", "JobPlacer"]

FORWARD_TIMEOUT_SECONDS = 0.6
"""Covers two calls of a slow key-value service by the other daemon."""

MAX_FORWARDED_BYTES = 2_000_000
"""Larger jobs stay at the daemon that received them, as forwarding takes too long."""

SubmitOutcome = JobCreated | JobKnown | JobTooLarge | JobNotStored


class JobPlacer:
    """Has submitted jobs stored and owned, by this daemon or another one.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    job_manager : JobManager
        The jobs owned here, and all known ones.
    """

    __slots__ = ("_owner_selector", "_context", "_job_manager")

    def __init__(self, context: GatewayContext, job_manager: JobManager):
        self._context = context
        self._job_manager = job_manager
        self._owner_selector = OwnerSelector(context.daemon_name)

    async def submit(self, job: Job) -> SubmitOutcome:
        """Have a new job stored by the chosen owner, or by this daemon if that fails.

        The key-value service accepts the job once, also if both daemons write it.
        """
        if job.job_id in self._job_manager.known.jobs:
            return JobKnown()
        candidates = self._candidates(job)
        owner = self._owner(job, candidates)
        peer = self._context.daemon.membership.address(owner)
        if peer is None or owner == self._context.daemon_name:
            return await self._job_manager.submit(job)
        forwarded = await self._forward_to(peer, job, candidates[owner])
        if not isinstance(forwarded, JobNotStored):
            return forwarded
        outcome = await self._job_manager.submit(job)
        if isinstance(outcome, JobNotStored) and forwarded.effect_unknown:
            # The other daemon may still store the job, so the outcome is unknown.
            return JobNotStored(f"{outcome.detail}; {forwarded.detail}", effect_unknown=True)
        return outcome

    def _owner(self, job: Job, candidates: dict[str, OwnerCandidate]) -> str:
        """Return the daemon that should own a job.

        During an outage of the key-value service that is this daemon: others are probably cut off
        too, and the submitter would wait `FORWARD_TIMEOUT_SECONDS` for an unknown outcome.
        """
        if (
            not self._context.policy.jobs_gathered
            or self._context.store_reachability.is_unreachable
        ):
            return self._context.daemon_name
        return self._owner_selector.select_owner(
            candidates.values(), len(job.items), self._context.now_seconds()
        )

    def _candidates(self, job: Job) -> dict[str, OwnerCandidate]:
        """Return the live daemons of this zone that may hold a job, by name."""
        open_items = self._job_manager.known.open_items()
        last_submits = self._job_manager.known.last_submit_unix_seconds()
        restarted = self._restarted_daemons()
        zone = self._context.settings.zone
        eligibility = self._context.directory.eligibility
        regions = self._context.job_regions(job)
        capacities = self._context.counted_capacities()
        own = self._context.daemon_name
        return {
            name: OwnerCandidate(
                name,
                capacities[name],
                open_items[name],
                idle_seconds=job.submitted_at_unix_seconds - last_submits.get(name, float("-inf")),
                is_restarted=name in restarted,
                is_overloaded=name == own and self._context.loop_delays.is_overloaded,
            )
            for name, member_zone in self._context.daemon.membership.live_zones()
            if member_zone == zone
            and eligibility.may_hold(member_zone, regions, self._context.regions.own_region)
        }

    def _restarted_daemons(self) -> set[str]:
        """Return the daemons that were restarted already during a rolling restart."""
        context = self._context
        live = context.daemon.membership.live()
        leaving = set(context.daemon.membership.reachable_peers()) - set(live)
        if not leaving or not context.policy.jobs_handed_over:
            return set()
        starts = {name: self._process_start(name) for name in live}
        oldest = min((start for start in starts.values() if start is not None), default=0.0)
        now_unix_seconds = context.unix_seconds()
        return {
            name for name, start in starts.items() if is_restarted(start, oldest, now_unix_seconds)
        }

    def _process_start(self, daemon: str) -> float | None:
        if daemon == self._context.daemon_name:
            return self._context.process_started_unix_seconds
        return self._context.process_start(daemon)

    async def _forward_to(
        self, peer: MemberUpdate, job: Job, candidate: OwnerCandidate
    ) -> JobCreated | JobKnown | JobNotStored:
        """Forward a job to another daemon, which is to own it."""
        packed = pack_job(job)
        if len(packed) > MAX_FORWARDED_BYTES:
            return JobNotStored("too large to be forwarded", effect_unknown=False)
        started_seconds = self._context.now_seconds()
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.TakeJob,
            pb.TakeJobRequest(job=packed),
            FORWARD_TIMEOUT_SECONDS,
            GatewayPeersStub,
        )
        now_seconds = self._context.now_seconds()
        outcome = _forwarding_outcome(reply)
        refusal = outcome.detail if isinstance(outcome, JobNotStored) else ""
        self._context.log.write(
            JobPlaced(
                job=job.job_id,
                owner=peer.daemon,
                elapsed_seconds=round(now_seconds - started_seconds, 4),
                outcome=refusal or "kept",
                open_items=candidate.open_items,
                max_items=int(candidate.limit.max_items),
                limited_by=candidate.limit.resource,
                overloaded_here=self._context.loop_delays.is_overloaded,
            )
        )
        if isinstance(outcome, JobNotStored):
            self._owner_selector.record_refusal(peer.daemon, now_seconds)
        elif isinstance(outcome, JobCreated):
            self._job_manager.known.record_created(make_marker(job), outcome.owner_revision)
            owner = JobOwner(peer.daemon, outcome.owner_revision, 0)
            self._job_manager.known.record_owner(job_key_part(job.job_id), owner)
        return outcome


def _forwarding_outcome(
    reply: pb.TakeJobReply | PeerUnreachable,
) -> JobCreated | JobKnown | JobNotStored:
    """Convert the reply for a forwarded job to an outcome."""
    if isinstance(reply, PeerUnreachable):
        return JobNotStored(reply.detail, effect_unknown=True)
    if not reply.kept:
        return JobNotStored(reply.detail, reply.effect_unknown)
    return JobCreated(reply.owner_revision) if reply.owner_revision else JobKnown()


class ForwardedJobReceiver:
    """Receives jobs that other daemons forward.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    job_manager : JobManager
        Stores and runs the jobs.
    """

    __slots__ = ("_context", "_job_manager")

    def __init__(self, context: GatewayContext, job_manager: JobManager):
        self._context = context
        self._job_manager = job_manager

    async def receive(self, request: pb.TakeJobRequest) -> pb.TakeJobReply:
        """Store a job, or reply with the reason for a refusal."""
        if self._context.daemon.stopping:
            return pb.TakeJobReply(detail="this daemon is stopping")
        try:
            job = unpack_job(request.job)
        except DECODE_ERRORS as error:
            return pb.TakeJobReply(detail=f"`job`: {error}")
        # Shielded: a caller that cancels the call must not interrupt the submission.
        submitting = self._context.daemon.spawn(self._job_manager.submit(job))
        outcome = await asyncio.shield(submitting)
        if isinstance(outcome, JobCreated):
            return pb.TakeJobReply(kept=True, owner_revision=outcome.owner_revision)
        if isinstance(outcome, JobKnown):
            return pb.TakeJobReply(kept=True)
        unknown = isinstance(outcome, JobNotStored) and outcome.effect_unknown
        return pb.TakeJobReply(detail=outcome.detail, effect_unknown=unknown)
