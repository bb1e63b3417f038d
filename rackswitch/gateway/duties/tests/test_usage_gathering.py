"""Gathering usage counts from all daemons, also when some do not answer."""

import asyncio

from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.duties.usage_gathering import UsageGatherer, counts_to_messages
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.membership import VmEntry
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.standins.kv_store import KvStore
from rackswitch.usage import UsageCounts, UsageWindows

WINDOWS = UsageWindows(5.0, 10.0)
WINDOW = 200


class Peers:
    """Links to daemons that report one request each; some answer only the second call or never."""

    def __init__(self, unreachable_once=(), unreachable=()):
        self.unreachable_once = set(unreachable_once)
        self.unreachable = set(unreachable)

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        await asyncio.sleep(0.001)
        if peer.daemon in self.unreachable:
            return PeerUnreachable("no answer")
        if peer.daemon in self.unreachable_once:
            self.unreachable_once.discard(peer.daemon)
            return PeerUnreachable("no answer")
        started_ms = 1_002_000 if peer.daemon == "young" else 0
        return pb.CountUsageReply(counts=counts_to_messages({"t": 1}), counted_from_ms=started_ms)


def gather(links: Peers, **leaving: bool):
    async def scenario():
        context = make_gateway_context("own", KvStore())
        context.daemon.links = links
        entries = [VmEntry(name, "h", 1, "z", is_leaving) for name, is_leaving in leaving.items()]
        context.daemon.membership.update_from_complete_list(
            [VmEntry(entry.daemon, "h", 1, "z", False) for entry in entries], 0.0
        )
        context.daemon.membership.update_from_complete_list(entries, 1.0)
        counts = UsageCounts(WINDOWS, 0.0)
        counts.record_start("t", 1001.0)
        counts.record_start("u", 1002.0)
        return await UsageGatherer(context, counts).gather(WINDOW)

    return run_on_virtual_clock(scenario())


def test_asks_every_daemon_including_a_stopping_one():
    gathered = gather(Peers(), a=False, stopping=True)
    assert dict(gathered.counts) == {"t": 3, "u": 1}
    assert (gathered.answered, gathered.unanswered) == (3, 0)


def test_asks_an_unreachable_daemon_once_more_and_counts_it_as_unanswered():
    gathered = gather(Peers(unreachable_once=["a"], unreachable=["b"]), a=False, b=False)
    assert gathered.counts["t"] == 2
    assert (gathered.answered, gathered.unanswered) == (2, 1)


def test_counts_of_a_daemon_that_started_within_the_window_are_partial():
    assert gather(Peers(), a=False, young=False).partial == 1
