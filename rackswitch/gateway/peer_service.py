"""Serves the calls of other gateways."""

import asyncio

from grpclib.server import Server, Stream

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.usage_service import UsageService
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_placer import ForwardedJobReceiver
from rackswitch.gateway.jobs.job_reader import JobReader, ResultsPage
from rackswitch.gateway.jobs.job_records import pack_checkpoint, pack_results
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.store.replica_server import ReplicaServer
from rackswitch.gateway.store.store_relay import ForwardedCalls
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersBase

__all__ = ["GatewayPeersService"]


class GatewayPeersService(GatewayPeersBase):
    """gRPC service for the other gateways of the fleet.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    replica_server : ReplicaServer
        Serves followers of this daemon's replicas.
    reader : JobReader
        Reads results of the jobs owned by this daemon.
    jobs : JobManager
        Manages the jobs owned by this daemon.
    forwarded_calls : ForwardedCalls
        Makes calls to the key-value service for daemons that cannot reach it.
    forwarded_job_receiver : ForwardedJobReceiver
        Takes ownership of jobs that other daemons accepted.
    usage : UsageService
        Serves this daemon's usage counts.
    quarantine : QuarantineManager
        Receives reports of targets that ended.
    """

    def __init__(
        self,
        context: GatewayContext,
        replica_server: ReplicaServer,
        reader: JobReader,
        jobs: JobManager,
        forwarded_calls: ForwardedCalls,
        forwarded_job_receiver: ForwardedJobReceiver,
        usage: UsageService,
        quarantine: QuarantineManager,
    ):
        self._quarantine = quarantine
        self._usage = usage
        self._adopted_jobs = forwarded_job_receiver
        self._forwarded_calls = forwarded_calls
        self._context = context
        self._replica_server = replica_server
        self._reader = reader
        self._jobs = jobs
        self._server = Server([self])

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stop listening; calls still in progress are cancelled."""
        self._server.close()
        await self._server.wait_closed()

    async def Follow(self, stream: Stream[pb.FollowRequest, pb.FollowReply]) -> None:
        """Answer a follower of this daemon's replicas."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._replica_server.serve(request))

    async def ReadJob(self, stream: Stream[pb.ReadJobRequest, pb.ReadJobReply]) -> None:
        """Return results of a job owned by this daemon."""
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
        """Release a job to the daemon that claimed it."""
        request = await stream.recv_message()
        if request is None:
            return
        checkpoint = await self._jobs.release_job(
            request.job_id, request.owner_revision, request.daemon
        )
        reply = pb.YieldJobReply(worked_on=False)
        if checkpoint is not None:
            reply = pb.YieldJobReply(worked_on=True, checkpoint=pack_checkpoint(checkpoint))
        await stream.send_message(reply)

    async def HandOver(self, stream: Stream[pb.HandOverRequest, pb.HandOverReply]) -> None:
        """Take over a job of a stopping daemon."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._jobs.receive_hand_over(request))

    async def TakeJob(self, stream: Stream[pb.TakeJobRequest, pb.TakeJobReply]) -> None:
        """Take ownership of a job that another daemon accepted."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._adopted_jobs.receive(request))

    async def PassOn(self, stream: Stream[pb.PassOnRequest, pb.PassOnReply]) -> None:
        """Make a call to the key-value service for a daemon that cannot reach it."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._forwarded_calls.serve(request))

    async def CountUsage(self, stream: Stream[pb.CountUsageRequest, pb.CountUsageReply]) -> None:
        """Return this daemon's usage counts of a window."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._usage.window_counts(request))

    async def AddUsage(self, stream: Stream[pb.AddUsageRequest, pb.AddUsageReply]) -> None:
        """Add the usage counts of a stopping daemon."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._usage.add(request))

    async def TellEnds(self, stream: Stream[pb.TellEndsRequest, pb.TellEndsReply]) -> None:
        """Record targets that ended during runs of another daemon."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._quarantine.receive_record(request))
