"""Sending side of a hand-over: passes on the jobs of a daemon that stops."""

import asyncio

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_checkpoints import JobCheckpoints
from rackswitch.gateway.jobs.job_records import pack_checkpoint, pack_job, pack_results
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.jobs.owned_jobs import OwnedJobs
from rackswitch.gateway.jobs.result_appender import ResultAppender
from rackswitch.jobs import (
    Job,
    OwnerCandidate,
    SuccessorCandidate,
    is_restarted,
    order_jobs,
    order_successors,
)
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.routing import PathClass
from rackswitch.telemetry.events import JobHandedOver

__all__ = ["HandOverSender"]

OFFER_TIMEOUT_SECONDS = 1.8
"""Covers a successor's timeout at the key-value service and its request for the texts. The job's
items keep running meanwhile."""

OFFERS_TIMEOUT_SECONDS = 3.0
"""How long successors are tried for a job. The rest of the shutdown time is for releasing the job
through the key-value service."""

MAX_OFFERS = 6
"""Maximum number of daemons that one job is offered to. Dead and stopping daemons mostly refuse at
once."""

MAX_OFFERED_BYTES = 8_000_000
"""Generating the texts of a larger job again takes less time than sending them."""


class HandOverSender:
    """Hands open jobs over to other daemons, directly or through the key-value service.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    store : JobStore
        Jobs in the key-value service.
    known : KnownJobs
        All jobs of the fleet and their owners.
    jobs : OwnedJobs
        The jobs that this daemon runs.
    checkpoints : JobCheckpoints
        Makes checkpoints of unfinished items.
    appender : ResultAppender
        Appends finished results before a job is released.
    """

    __slots__ = ("_appender", "_checkpoints", "_context", "_jobs", "_known", "_store")

    def __init__(
        self,
        context: GatewayContext,
        store: JobStore,
        known: KnownJobs,
        jobs: OwnedJobs,
        checkpoints: JobCheckpoints,
        appender: ResultAppender,
    ):
        self._context = context
        self._store = store
        self._known = known
        self._jobs = jobs
        self._checkpoints = checkpoints
        self._appender = appender

    async def hand_over_all(self) -> None:
        """Offer all jobs to other daemons, then release the remaining ones."""
        if self._context.policy.jobs_handed_over:
            ledgers = order_jobs(owned.ledger for owned in self._jobs.by_id.values())
            jobs = [self._jobs.by_id[ledger.job.job_id] for ledger in ledgers]
            await asyncio.gather(*(self._hand_over(owned) for owned in jobs))
        await self._release_all()

    async def _release_all(self) -> None:
        """Append finished results, then release the jobs in the key-value service."""
        claimed_jobs = [owned for owned in self._jobs.by_id.values() if not owned.awaits_claim]
        await asyncio.gather(*(self._appender.append_all(owned) for owned in claimed_jobs))
        for job_id, owned in list(self._jobs.by_id.items()):
            checkpoint = await self._jobs.release(owned, "handed over")
            await self._store.release(job_id, owned.owner_revision, checkpoint)

    async def _hand_over(self, owned: OwnedJob) -> None:
        """Offer a job to one daemon after the other until one takes it."""
        job_id = owned.ledger.job.job_id
        until_seconds = self._context.now_seconds() + OFFERS_TIMEOUT_SECONDS
        service_unreachable = self._context.store_reachability.is_unreachable
        for successor in self._successors(owned):
            if self._context.now_seconds() >= until_seconds or not self._is_owned_here(owned):
                break
            reply = await self._offer(owned, successor, service_unreachable)
            if (
                reply.service_away
                and not service_unreachable
                and await self._is_service_unreachable(job_id)
            ):
                service_unreachable = True
                reply = await self._offer(owned, successor, service_unreachable)
            if reply.taken:
                self._jobs.drop(job_id, "handed over")
                return
        if not self._is_owned_here(owned):
            # Taken by another daemon (a lost reply, or a claim) or ended meanwhile.
            await self._release_unconfirmed(owned)

    async def _is_service_unreachable(self, job_id: str) -> bool:
        """Return whether the key-value service is unreachable from this daemon too."""
        return isinstance(await self._store.load_owner(job_id), KvUnavailable)

    def _is_owned_here(self, owned: OwnedJob) -> bool:
        return self._jobs.by_id.get(owned.ledger.job.job_id) is owned

    def _successors(self, owned: OwnedJob) -> list[str]:
        job = owned.ledger.job
        ordered = order_successors(job.job_id, len(job.items), self._candidates(job))
        return ordered[:MAX_OFFERS]

    def _candidates(self, job: Job) -> list[SuccessorCandidate]:
        """Return the daemons that may own a job, by the regions that its route and tenant allow."""
        context = self._context
        regions = context.job_regions(job)
        may_hold = context.directory.eligibility.may_hold
        open_items = self._known.open_items()
        last_submits = self._known.last_submit_unix_seconds()
        now_unix_seconds = context.unix_seconds()
        capacities = context.counted_capacities()
        return [
            SuccessorCandidate(
                OwnerCandidate(
                    name,
                    capacities[name],
                    open_items[name],
                    now_unix_seconds - last_submits.get(name, float("-inf")),
                    is_restarted(
                        context.process_start(name),
                        context.process_started_unix_seconds,
                        now_unix_seconds,
                    ),
                ),
                zone == context.settings.zone,
                context.path_class(zone) is not PathClass.OTHER_REGION,
            )
            for name, zone in context.daemon.membership.live_zones()
            if name != context.daemon_name and may_hold(zone, regions, job.home_region)
        ]

    async def _offer(
        self, owned: OwnedJob, successor: str, service_unreachable: bool
    ) -> pb.HandOverReply:
        """Offer a job to a daemon, which requests the final checkpoint before it replies."""
        started_seconds = self._context.now_seconds()
        snapshot = self._checkpoints.snapshot(owned)
        request = pb.HandOverRequest(
            daemon=self._context.daemon_name,
            job=pack_job(owned.ledger.job),
            owner_revision=owned.owner_revision,
            listed=pack_results(owned.ledger.listed),
            checkpoint=pack_checkpoint(snapshot),
            marker_revision=self._known.marker_revision(owned.ledger.job.job_id),
            may_wait=service_unreachable or owned.awaits_claim,
        )
        reply = await self._call(owned, successor, request)
        self._context.log.write(
            JobHandedOver(
                job=owned.ledger.job.job_id,
                successor=successor,
                outcome=_outcome(reply),
                owner_revision=reply.owner_revision,
                elapsed_seconds=round(self._context.now_seconds() - started_seconds, 4),
                items_kept=len(snapshot.items),
            )
        )
        return reply

    async def _call(
        self, owned: OwnedJob, successor: str, request: pb.HandOverRequest
    ) -> pb.HandOverReply:
        peer = self._context.daemon.membership.address(successor)
        if peer is None:
            return pb.HandOverReply(detail="no known address for the successor")
        if request.ByteSize() > MAX_OFFERED_BYTES:
            return pb.HandOverReply(detail="the job is too large to hand over")
        owned.successor = successor
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.HandOver,
            request,
            OFFER_TIMEOUT_SECONDS,
            GatewayPeersStub,
        )
        # Only one successor at a time may request the final checkpoint.
        owned.successor = ""
        if isinstance(reply, PeerUnreachable):
            return pb.HandOverReply(detail=reply.detail)
        return reply

    async def _release_unconfirmed(self, owned: OwnedJob) -> None:
        """Release a job whose final checkpoint was fetched by a successor that did not confirm.

        The write is conditional on this daemon's owner revision, so it has no effect if another
        daemon has claimed the job.
        """
        job_id = owned.ledger.job.job_id
        checkpoint = await self._jobs.released_checkpoint(job_id)
        await self._store.release(job_id, owned.owner_revision, checkpoint)


def _outcome(reply: pb.HandOverReply) -> str:
    if not reply.taken:
        return reply.detail
    return "owned" if reply.owner_revision else "not owned yet"
