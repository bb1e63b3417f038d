"""Giving a job that reached this daemon to the daemon that should own it."""

import asyncio

import msgspec

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_outcomes import JobCreated, JobKnown, JobNotStored, JobTooLarge
from rackswitch.gateway.jobs.job_records import key_part, marker_of, pack_job, unpack_job
from rackswitch.gateway.jobs.known_jobs import JobOwner
from rackswitch.jobs import Job, OwnerCandidate, OwnerSelector, is_renewed
from rackswitch.membership import MemberUpdate
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.telemetry.events import JobPlaced

__all__ = ["AdoptedJobs", "JobPlacer"]

TAKE_TIMEOUT_SECONDS = 0.6
"""How long another daemon may take to keep a job: two calls of a slow key-value service. One that
is dead mostly refuses the connection at once."""

MAX_PASSED_BYTES = 2_000_000
"""Larger jobs stay where they came: passing one on takes longer than it gains."""

SubmitOutcome = JobCreated | JobKnown | JobTooLarge | JobNotStored


class JobPlacer:
    """Takes jobs, here or at another daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    keeper : JobManager
        The jobs owned here, and those that are known.
    """

    __slots__ = ("_choice", "_context", "_keeper")

    def __init__(self, context: GatewayContext, keeper: JobManager):
        self._context = context
        self._keeper = keeper
        self._choice = OwnerSelector(context.daemon_name)

    async def submit(self, job: Job) -> SubmitOutcome:
        """Have a new job kept.

        Whatever the other daemon does, or does later, the job is kept once: the service takes
        it from one of both. So one that does not answer costs its time and nothing else.
        """
        if job.job_id in self._keeper.known.jobs:
            return JobKnown()
        owner = self._owner(job)
        peer = self._context.daemon.membership.address(owner)
        if peer is None or owner == self._context.daemon_name:
            return await self._keeper.submit(job)
        passed = await self._pass_to(peer, job)
        if not isinstance(passed, JobNotStored):
            return passed
        outcome = await self._keeper.submit(job)
        if isinstance(outcome, JobNotStored) and passed.effect_unknown:
            # The other daemon may have it kept, or may still: it must not be called refused.
            return JobNotStored(f"{outcome.detail}; {passed.detail}", effect_unknown=True)
        return outcome

    def _owner(self, job: Job) -> str:
        """Return who should own a job; this daemon while the service does not answer it.

        Others probably get no answer either. Asking one would hold the submitter for
        `TAKE_TIMEOUT_SECONDS`, and leave it without word of whether the job was taken.
        """
        if not self._context.policy.jobs_gathered or self._context.contact.is_away:
            return self._context.daemon_name
        open_items = self._keeper.known.open_items()
        newest = self._keeper.known.newest_jobs()
        renewed = self._renewed()
        zone = self._context.settings.zone
        candidates = [
            OwnerCandidate(
                name,
                self._context.room_of(name),
                open_items[name],
                idle_seconds=job.submitted_at_unix_seconds - newest.get(name, float("-inf")),
                is_renewed=name in renewed,
            )
            for name, its_zone in self._context.daemon.membership.live_zones()
            if its_zone == zone
        ]
        return self._choice.owner(candidates, len(job.items), self._context.now_seconds())

    def _renewed(self) -> set[str]:
        """Return the daemons that have been restarted while daemons are stopped in turn."""
        context = self._context
        live = context.daemon.membership.live()
        leaving = set(context.daemon.membership.others_reachable()) - set(live)
        if not leaving or not context.policy.jobs_handed_over:
            return set()
        starts = {name: self._start(name) for name in live}
        oldest = min((start for start in starts.values() if start is not None), default=0.0)
        now_unix_seconds = context.unix_seconds()
        return {
            name for name, start in starts.items() if is_renewed(start, oldest, now_unix_seconds)
        }

    def _start(self, daemon: str) -> float | None:
        if daemon == self._context.daemon_name:
            return self._context.process_started_unix_seconds
        return self._context.process_start(daemon)

    async def _pass_to(self, peer: MemberUpdate, job: Job) -> JobCreated | JobKnown | JobNotStored:
        """Have another daemon own a job."""
        packed = pack_job(job)
        if len(packed) > MAX_PASSED_BYTES:
            return JobNotStored("too large to be passed on", effect_unknown=False)
        began_seconds = self._context.now_seconds()
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.TakeJob,
            pb.TakeJobRequest(job=packed),
            TAKE_TIMEOUT_SECONDS,
            GatewayPeersStub,
        )
        now_seconds = self._context.now_seconds()
        outcome = _outcome_of(reply)
        refusal = outcome.detail if isinstance(outcome, JobNotStored) else ""
        self._context.log.write(
            JobPlaced(
                job=job.job_id,
                owner=peer.daemon,
                elapsed_seconds=round(now_seconds - began_seconds, 4),
                outcome=refusal or "kept",
            )
        )
        if isinstance(outcome, JobNotStored):
            self._choice.failed(peer.daemon, now_seconds)
        elif isinstance(outcome, JobCreated):
            self._keeper.known.created(marker_of(job), outcome.owner_revision)
            owner = JobOwner(peer.daemon, outcome.owner_revision, 0)
            self._keeper.known.owned_by(key_part(job.job_id), owner)
        return outcome


def _outcome_of(
    reply: pb.TakeJobReply | PeerUnreachable,
) -> JobCreated | JobKnown | JobNotStored:
    """Return what became of a job that was passed on."""
    if isinstance(reply, PeerUnreachable):
        return JobNotStored(reply.detail, effect_unknown=True)
    if not reply.kept:
        return JobNotStored(reply.detail, reply.effect_unknown)
    return JobCreated(reply.owner_revision) if reply.owner_revision else JobKnown()


class AdoptedJobs:
    """Owns jobs that other daemons accepted.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    keeper : JobManager
        Takes jobs.
    """

    __slots__ = ("_context", "_keeper")

    def __init__(self, context: GatewayContext, keeper: JobManager):
        self._context = context
        self._keeper = keeper

    async def take(self, request: pb.TakeJobRequest) -> pb.TakeJobReply:
        """Keep a job, or say why not."""
        if self._context.daemon.stopping:
            return pb.TakeJobReply(detail="this daemon is stopping")
        try:
            job = unpack_job(request.job)
        except msgspec.DecodeError as error:
            return pb.TakeJobReply(detail=f"`job`: {error}")
        # Who asked may give up; the job that is kept by then is worked on all the same.
        submitting = self._context.daemon.spawn(self._keeper.submit(job))
        outcome = await asyncio.shield(submitting)
        if isinstance(outcome, JobCreated):
            return pb.TakeJobReply(kept=True, owner_revision=outcome.owner_revision)
        if isinstance(outcome, JobKnown):
            return pb.TakeJobReply(kept=True)
        unknown = isinstance(outcome, JobNotStored) and outcome.effect_unknown
        return pb.TakeJobReply(detail=outcome.detail, effect_unknown=unknown)
