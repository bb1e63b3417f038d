"""Calls of peers whose connections end at an awkward moment."""

import asyncio
from unittest.mock import patch

import pytest
from grpclib.client import Channel

from rackswitch.membership import MemberState, MemberUpdate
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerLinks, PeerUnreachable

TIMEOUT_SECONDS = 1.0


async def _never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


async def _call_one_that_never_answers(method) -> object:
    server = await asyncio.start_server(_never_answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    links = PeerLinks("")
    peer = MemberUpdate("d1", host, port, "z", 1, MemberState.ALIVE)
    request = pb.YieldJobRequest(job_id="j", owner_revision=1)
    try:
        return await links.call(peer, method, request, TIMEOUT_SECONDS, GatewayPeersStub)
    finally:
        links.close()
        server.close()


def test_a_connection_that_ends_as_a_call_begins_is_a_peer_without_an_answer():
    # Found by a soak (seed 45): the library's error ended a duty, and with it the daemon.
    connect = Channel.__connect__

    async def connect_and_lose(channel: Channel):
        protocol = await connect(channel)
        protocol.connection_lost(None)
        return protocol

    with patch.object(Channel, "__connect__", connect_and_lose):
        reply = asyncio.run(_call_one_that_never_answers(lambda stub: stub.YieldJob))
    assert isinstance(reply, PeerUnreachable)


def test_a_method_that_is_not_there_is_no_matter_of_the_connection():
    with pytest.raises(AttributeError):
        asyncio.run(_call_one_that_never_answers(lambda stub: stub.NoSuchMethod))
