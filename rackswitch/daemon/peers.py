"""The gRPC service for the other daemons of the fleet."""

import asyncio
import contextlib
import hmac
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, TypeVar

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.heartbeats import Heartbeats
from rackswitch.daemon.limit_manager import LimitManager
from rackswitch.peers import peers_pb2 as pb
from rackswitch.peers.links import SECRET_METADATA
from rackswitch.peers.peers_grpc import PeersBase
from rackswitch.table import delta_since

__all__ = ["LedgerAnswer", "PeersService"]


CLOSE_TIMEOUT_SECONDS = 2.0

RequestT = TypeVar("RequestT")


class LedgerAnswer(msgspec.Struct, frozen=True):
    """The result of a trainer's call on a ledger; status 421 means "not held here"."""

    status: int
    body: bytes


class PeersService(PeersBase):
    """Serves the other daemons of the fleet.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    heartbeats : Heartbeats
        Receives heartbeats.
    limits : LimitManager
        Receives loans.
    call_ledger : callable
        Executes a trainer's call on a ledger held here.
    run_sample : callable
        Generates one sample from an encoded order; returns empty bytes on failure.
    """

    def __init__(
        self,
        context: DaemonContext,
        heartbeats: Heartbeats,
        limits: LimitManager,
        call_ledger: Callable[[str, str, bytes], Awaitable[LedgerAnswer]],
        run_sample: Callable[[bytes], Awaitable[bytes]],
    ):
        self._context = context
        self._heartbeats = heartbeats
        self._limits = limits
        self._call_ledger = call_ledger
        self._run_sample = run_sample
        self._server = Server([self])
        self._closed = False

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the port."""
        await self._server.start(host, port)
        # grpclib does not report the port that it was given for port 0.
        sockets = self._server._server.sockets  # type: ignore[union-attr]
        return int(sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Stop listening; calls still in progress are cancelled."""
        # Open connections of peers outlive the listening socket, so `_receive` refuses their calls.
        self._closed = True
        self._server.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self._server.wait_closed()

    async def _receive(self, stream: Stream[RequestT, Any]) -> RequestT:
        """Check the fleet secret and return the request.

        Raises
        ------
        GRPCError
            If the secret is wrong, there is no request, or this daemon is closed or cut off.
        """
        metadata: Mapping[str, Any] = stream.metadata or {}
        received_secret = str(metadata.get(SECRET_METADATA, ""))
        if not hmac.compare_digest(received_secret, self._context.settings.fleet_secret):
            raise GRPCError(Status.UNAUTHENTICATED, "not a daemon of this fleet")
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no request")
        if self._closed or getattr(request, "daemon", "") in self._context.links.blocked:
            raise GRPCError(Status.UNAVAILABLE, "cut off")
        return request

    async def Heartbeat(self, stream: Stream[pb.HeartbeatRequest, pb.HeartbeatReply]) -> None:
        """Answer a heartbeat."""
        request = await self._receive(stream)
        reply = self._heartbeats.reply(request)
        await stream.send_message(reply)
        peer = self._context.membership.address(request.daemon)
        if peer is not None:
            self._context.spawn(
                self._heartbeats.on_peer_revision(
                    peer, request.table_revision, request.confirmation_age_seconds
                )
            )

    async def HeartbeatFor(
        self, stream: Stream[pb.HeartbeatForRequest, pb.HeartbeatForReply]
    ) -> None:
        """Send a heartbeat to another daemon on behalf of the requesting one."""
        request = await self._receive(stream)
        answered = await self._heartbeats.send(request.daemon)
        await stream.send_message(pb.HeartbeatForReply(answered=answered))

    async def FetchTable(self, stream: Stream[pb.FetchTableRequest, pb.FetchTableReply]) -> None:
        """Send the table changes that the peer lacks, or the complete table."""
        request = await self._receive(stream)
        view = self._context.view
        reply = pb.FetchTableReply(revision=view.revision)
        if view.revision > request.above_revision:
            delta = delta_since(view.document, request.above_revision)
            if delta is not None:
                reply.delta = msgspec.json.encode(delta)
            else:
                reply.document = msgspec.json.encode(view.document)
        await stream.send_message(reply)

    async def CallLedger(self, stream: Stream[pb.CallLedgerRequest, pb.CallLedgerReply]) -> None:
        """Execute a trainer's call on a ledger that is held here."""
        request = await self._receive(stream)
        answer = await self._call_ledger(request.trainer, request.operation, request.body)
        await stream.send_message(pb.CallLedgerReply(status=answer.status, body=answer.body))

    async def RunSample(self, stream: Stream[pb.RunSampleRequest, pb.RunSampleReply]) -> None:
        """Generate one sample."""
        request = await self._receive(stream)
        sample = await self._run_sample(request.order)
        await stream.send_message(pb.RunSampleReply(sample=sample))

    async def Lend(self, stream: Stream[pb.LendRequest, pb.LendReply]) -> None:
        """Accept a loan."""
        request = await self._receive(stream)
        taken = self._limits.borrow(
            request.lender, request.limit, request.loan, request.units, request.hunger_sequence
        )
        await stream.send_message(pb.LendReply(taken=taken))
