"""Calls to peers whose connection closes at the start of the call, or goes silent."""

import asyncio
from contextlib import asynccontextmanager
from unittest.mock import patch

import pytest
from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from rackswitch.load.link import Link
from rackswitch.membership import MemberState, MemberUpdate
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import MAX_SILENT_PEERS, PeerLinks, PeerUnreachable

TIMEOUT_SECONDS = 1.0


async def _never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


async def _call_unresponsive_peer(method) -> object:
    server = await asyncio.start_server(_never_respond, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    links = PeerLinks("")
    peer = MemberUpdate("d1", host, port, "z", 1, MemberState.ALIVE)
    request = pb.YieldJobRequest(job_id="j", owner_revision=1)
    try:
        return await links.call(peer, method, request, TIMEOUT_SECONDS, GatewayPeersStub)
    finally:
        links.close()
        server.close()


def test_connection_closed_at_the_start_of_a_call_gives_peer_unreachable():
    # Guards against the library's AttributeError, which would stop the daemon.
    connect = Channel.__connect__

    async def connect_and_close(channel: Channel):
        protocol = await connect(channel)
        protocol.connection_lost(None)
        return protocol

    with patch.object(Channel, "__connect__", connect_and_close):
        reply = asyncio.run(_call_unresponsive_peer(lambda stub: stub.YieldJob))
    assert isinstance(reply, PeerUnreachable)


def test_missing_method_raises_attribute_error():
    with pytest.raises(AttributeError):
        asyncio.run(_call_unresponsive_peer(lambda stub: stub.NoSuchMethod))


class YieldingPeer:
    """A peer that answers one method."""

    async def answer(self, stream) -> None:
        await stream.recv_message()
        await stream.send_message(pb.YieldJobReply())

    def __mapping__(self):
        path = "/rackswitch.gateway.GatewayPeers/YieldJob"
        kinds = (Cardinality.UNARY_UNARY, pb.YieldJobRequest, pb.YieldJobReply)
        return {path: Handler(self.answer, *kinds)}


@asynccontextmanager
async def linked_peer():
    """Yield links, a link to silence, and a function that calls a peer over it."""
    server = Server([YieldingPeer()])
    await server.start("127.0.0.1", 0)
    link = Link(f"127.0.0.1:{server._server.sockets[0].getsockname()[1]}")
    await link.open()
    host, port = link.address.split(":")
    peer = MemberUpdate("d1", host, int(port), "z", 1, MemberState.ALIVE)
    links = PeerLinks("")
    request = pb.YieldJobRequest(job_id="j", owner_revision=1)

    async def call():
        return await links.call(peer, lambda stub: stub.YieldJob, request, 0.2, GatewayPeersStub)

    yield links, link, call
    links.close()
    await link.close()
    server.close()


def test_a_peer_stays_reachable_after_its_open_connection_goes_silent():
    async def scenario():
        async with linked_peer() as (_, link, call):
            answered = [not isinstance(await call(), PeerUnreachable)]
            link.silence_open_connections()
            answered += [not isinstance(await call(), PeerUnreachable) for _ in range(2)]
            return answered

    assert asyncio.run(scenario()) == [True, False, True]


def test_a_silent_peer_is_known_as_such_until_it_replies():
    # Guards against silent peers that are asked before sound ones, and against sound ones that are
    # never asked again.
    async def scenario():
        known_silent = []
        async with linked_peer() as (links, link, call):
            for is_silenced in (False, True, False):
                if is_silenced:
                    link.silence_open_connections()
                await call()
                known_silent.append(list(links.silent_at_seconds))
        return known_silent

    assert asyncio.run(scenario()) == [[], ["d1"], []]


def test_the_memory_of_silent_peers_is_bounded():
    # Guards against a memory that grows with every VM that is replaced.
    async def scenario():
        links = PeerLinks("")
        for number in range(MAX_SILENT_PEERS + 2):
            links.record_silence(f"d{number}")
        return links.silent_at_seconds

    silent = asyncio.run(scenario())
    assert len(silent) == MAX_SILENT_PEERS
    assert "d1" not in silent
