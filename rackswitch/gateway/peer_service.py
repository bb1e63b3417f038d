"""The calls that other gateways make to this one."""

import asyncio

from grpclib.server import Server, Stream

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.usage_service import UsageService
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_placer import AdoptedJobs
from rackswitch.gateway.jobs.job_reader import JobReader, ResultsPage
from rackswitch.gateway.jobs.job_records import pack_checkpoint, pack_results
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.store.replica_server import ReplicaServer
from rackswitch.gateway.store.store_relay import ForwardedCalls
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersBase

__all__ = ["GatewayPeersService"]


class GatewayPeersService(GatewayPeersBase):
    """Serves the other gateways of the fleet.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    copies : ReplicaServer
        What followers ask for.
    reader : JobReader
        Results of the jobs owned here.
    jobs : JobManager
        The jobs themselves.
    passed_on : ForwardedCalls
        Calls to the key-value service for daemons that cannot reach it.
    taken : AdoptedJobs
        Jobs that other daemons accepted.
    usage : UsageService
        What was counted of tenants' requests.
    quarantine : QuarantineManager
        Told of targets that ended.
    """

    def __init__(
        self,
        context: GatewayContext,
        copies: ReplicaServer,
        reader: JobReader,
        jobs: JobManager,
        passed_on: ForwardedCalls,
        taken: AdoptedJobs,
        usage: UsageService,
        quarantine: QuarantineManager,
    ):
        self._quarantine = quarantine
        self._usage = usage
        self._taken = taken
        self._passed_on = passed_on
        self._context = context
        self._copies = copies
        self._reader = reader
        self._jobs = jobs
        self._server = Server([self])

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stop listening; calls still in progress are cancelled."""
        self._server.close()
        await self._server.wait_closed()

    async def Follow(self, stream: Stream[pb.FollowRequest, pb.FollowReply]) -> None:
        """Answer a follower of this daemon's copies."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._copies.serve(request))

    async def ReadJob(self, stream: Stream[pb.ReadJobRequest, pb.ReadJobReply]) -> None:
        """Answer a read of a job that is owned here."""
        request = await stream.recv_message()
        if request is None:
            return
        deadline_seconds = asyncio.get_running_loop().time() + request.wait_ms / 1000
        page = await self._reader.owned_page(request.job_id, request.position, deadline_seconds)
        reply = pb.ReadJobReply(owned=False)
        if isinstance(page, ResultsPage):
            reply = pb.ReadJobReply(
                owned=True,
                total=page.total,
                listed=page.listed,
                results=pack_results(page.results),
            )
        await stream.send_message(reply)

    async def YieldJob(self, stream: Stream[pb.YieldJobRequest, pb.YieldJobReply]) -> None:
        """Leave a job to the daemon that has claimed it."""
        request = await stream.recv_message()
        if request is None:
            return
        checkpoint = await self._jobs.yield_job(
            request.job_id, request.owner_revision, request.daemon
        )
        reply = pb.YieldJobReply(worked_on=False)
        if checkpoint is not None:
            reply = pb.YieldJobReply(worked_on=True, checkpoint=pack_checkpoint(checkpoint))
        await stream.send_message(reply)

    async def HandOver(self, stream: Stream[pb.HandOverRequest, pb.HandOverReply]) -> None:
        """Go on with a job of a daemon that stops."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._jobs.receive(request))

    async def TakeJob(self, stream: Stream[pb.TakeJobRequest, pb.TakeJobReply]) -> None:
        """Own a job that another daemon accepted."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._taken.take(request))

    async def PassOn(self, stream: Stream[pb.PassOnRequest, pb.PassOnReply]) -> None:
        """Make a call to the key-value service for a daemon that cannot."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._passed_on.serve(request))

    async def CountUsage(self, stream: Stream[pb.CountUsageRequest, pb.CountUsageReply]) -> None:
        """Tell what was counted in a window."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._usage.window_counts(request))

    async def AddUsage(self, stream: Stream[pb.AddUsageRequest, pb.AddUsageReply]) -> None:
        """Take over what a stopping daemon has counted."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._usage.add(request))

    async def TellEnds(self, stream: Stream[pb.TellEndsRequest, pb.TellEndsReply]) -> None:
        """Take in which targets ended under runs of another daemon."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._quarantine.told(request))
