"""Handing over the jobs of a daemon that stops."""

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
    OwnerCandidate,
    SuccessorCandidate,
    is_renewed,
    order_jobs,
    order_successors,
)
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.telemetry.events import JobHandedOver

__all__ = ["HandOverSender"]

OFFER_TIMEOUT_SECONDS = 1.8
"""How long a successor may take: it may wait in vain for the key-value service, and then asks for
the texts. The job's runs go on meanwhile."""

OFFERS_SECONDS = 3.0
"""After so long no further successor of a job is asked, so that the rest of the stop's time is left
for releasing it through the key-value service."""

MAX_OFFERS = 6
"""Daemons that one job is offered to at most. Those that stop too, or are dead, mostly show it at
once, so that there is time to try some in vain."""

MAX_OFFERED_BYTES = 8_000_000
"""Larger jobs take longer to pass on than their texts take to make again."""


class HandOverSender:
    """Gives open jobs to other daemons, straight or through the key-value service.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    store : JobStore
        Jobs in the key-value service.
    known : KnownJobs
        Who owns how much.
    jobs : OwnedJobs
        The jobs worked on here.
    checkpoints : JobCheckpoints
        What is there of a job.
    appender : ResultAppender
        Lists what is ready before a job is released.
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

    async def give_all(self) -> None:
        """Hand all jobs over; those that nobody takes are released."""
        if self._context.policy.jobs_handed_over:
            ledgers = order_jobs(owned.ledger for owned in self._jobs.by_id.values())
            jobs = [self._jobs.by_id[ledger.job.job_id] for ledger in ledgers]
            await asyncio.gather(*(self._give(owned) for owned in jobs))
        await self._release_all()

    async def _release_all(self) -> None:
        """Give jobs up through the key-value service, results that are ready first."""
        left = [owned for owned in self._jobs.by_id.values() if not owned.awaits_claim]
        await asyncio.gather(*(self._appender.append_all(owned) for owned in left))
        for job_id, owned in list(self._jobs.by_id.items()):
            checkpoint = await self._jobs.leave(owned, "handed over")
            await self._store.release(job_id, owned.owner_revision, checkpoint)

    async def _give(self, owned: OwnedJob) -> None:
        """Offer a job to one daemon after the other until one has it."""
        job_id = owned.ledger.job.job_id
        until_seconds = self._context.now_seconds() + OFFERS_SECONDS
        service_away = self._context.contact.is_away
        for successor in self._successors(owned):
            if self._context.now_seconds() >= until_seconds or not self._is_here(owned):
                break
            reply = await self._offer(owned, successor, service_away)
            if reply.service_away and not service_away and await self._is_away(job_id):
                service_away = True
                reply = await self._offer(owned, successor, service_away)
            if reply.taken:
                self._jobs.drop(job_id, "handed over")
                return
        if not self._is_here(owned):
            # Another daemon has it by now, as an answer was lost or by a claim; or it has ended.
            await self._release_left(owned)

    async def _is_away(self, job_id: str) -> bool:
        """Return whether the key-value service does not answer this daemon either."""
        return isinstance(await self._store.load_owner(job_id), KvUnavailable)

    def _is_here(self, owned: OwnedJob) -> bool:
        return self._jobs.by_id.get(owned.ledger.job.job_id) is owned

    def _successors(self, owned: OwnedJob) -> list[str]:
        job = owned.ledger.job
        ordered = order_successors(job.job_id, len(job.items), self._candidates())
        return ordered[:MAX_OFFERS]

    def _candidates(self) -> list[SuccessorCandidate]:
        context = self._context
        open_items = self._known.open_items()
        newest = self._known.newest_jobs()
        now_unix_seconds = context.unix_seconds()
        return [
            SuccessorCandidate(
                OwnerCandidate(
                    name,
                    context.room_of(name),
                    open_items[name],
                    now_unix_seconds - newest.get(name, float("-inf")),
                    is_renewed(
                        context.process_start(name),
                        context.process_started_unix_seconds,
                        now_unix_seconds,
                    ),
                ),
                zone == context.settings.zone,
            )
            for name, zone in context.daemon.membership.live_zones()
            if name != context.daemon_name
        ]

    async def _offer(self, owned: OwnedJob, successor: str, service_away: bool) -> pb.HandOverReply:
        """Offer a job to a daemon, which asks for the latest texts before it answers."""
        began_seconds = self._context.now_seconds()
        snapshot = self._checkpoints.snapshot(owned)
        request = pb.HandOverRequest(
            daemon=self._context.daemon_name,
            job=pack_job(owned.ledger.job),
            owner_revision=owned.owner_revision,
            listed=pack_results(owned.ledger.listed),
            checkpoint=pack_checkpoint(snapshot),
            marker_revision=self._known.marker_revision(owned.ledger.job.job_id),
            may_wait=service_away or owned.awaits_claim,
        )
        reply = await self._call(owned, successor, request)
        self._context.log.write(
            JobHandedOver(
                job=owned.ledger.job.job_id,
                successor=successor,
                outcome=_outcome(reply),
                owner_revision=reply.owner_revision,
                elapsed_seconds=round(self._context.now_seconds() - began_seconds, 4),
                items_kept=len(snapshot.items),
            )
        )
        return reply

    async def _call(
        self, owned: OwnedJob, successor: str, request: pb.HandOverRequest
    ) -> pb.HandOverReply:
        peer = self._context.daemon.membership.address(successor)
        if peer is None:
            return pb.HandOverReply(detail="its address is not known")
        if request.ByteSize() > MAX_OFFERED_BYTES:
            return pb.HandOverReply(detail="the job is too large")
        owned.successor = successor
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.HandOver,
            request,
            OFFER_TIMEOUT_SECONDS,
            GatewayPeersStub,
        )
        # It may no longer ask for the texts: the next one is offered them.
        owned.successor = ""
        if isinstance(reply, PeerUnreachable):
            return pb.HandOverReply(detail=reply.detail)
        return reply

    async def _release_left(self, owned: OwnedJob) -> None:
        """Release a job whose texts were given away without a confirmation.

        Under the fence of this daemon's ownership that does nothing if the job has another owner.
        """
        job_id = owned.ledger.job.job_id
        checkpoint = await self._jobs.left_texts(job_id)
        await self._store.release(job_id, owned.owner_revision, checkpoint)


def _outcome(reply: pb.HandOverReply) -> str:
    if not reply.taken:
        return reply.detail
    return "owned" if reply.owner_revision else "not owned yet"
