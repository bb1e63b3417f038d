"""Who is asked for counts, and what is made of answers that do not come."""

import asyncio

from rackswitch.daemon.tests.support import run_virtual
from rackswitch.gateway.duties.usage_gathering import UsageGathering, counts_message
from rackswitch.gateway.tests.support import make_gateway_context
from rackswitch.membership import VmEntry
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.standins.kv_store import KvStore
from rackswitch.usage import UsageCounts, UsageWindows

WINDOWS = UsageWindows(5.0, 10.0)
WINDOW = 200


class Peers:
    """Daemons that answer with one request each, some of them only when asked again."""

    def __init__(self, silent_once=(), silent=()):
        self.silent_once = set(silent_once)
        self.silent = set(silent)

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        await asyncio.sleep(0.001)
        if peer.daemon in self.silent:
            return PeerUnreachable("no answer")
        if peer.daemon in self.silent_once:
            self.silent_once.discard(peer.daemon)
            return PeerUnreachable("no answer")
        started_ms = 1_002_000 if peer.daemon == "young" else 0
        return pb.CountUsageReply(counts=counts_message({"t": 1}), counted_from_ms=started_ms)


def gather(links: Peers, **leaving: bool):
    async def scenario():
        context = make_gateway_context("own", KvStore())
        context.daemon.links = links
        entries = [VmEntry(name, "h", 1, "z", gone) for name, gone in leaving.items()]
        context.daemon.membership.learn_listed(
            [VmEntry(entry.daemon, "h", 1, "z", False) for entry in entries], 0.0
        )
        context.daemon.membership.learn_listed(entries, 1.0)
        counts = UsageCounts(WINDOWS, 0.0)
        counts.began("t", 1001.0)
        counts.began("u", 1002.0)
        return await UsageGathering(context, counts).gather(WINDOW)

    return run_virtual(scenario())


def test_every_daemon_is_asked_also_one_that_is_stopping():
    gathered = gather(Peers(), a=False, stopping=True)
    assert dict(gathered.counts) == {"t": 3, "u": 1}
    assert (gathered.answered, gathered.silent) == (3, 0)


def test_one_that_does_not_answer_is_asked_once_more_and_then_told():
    gathered = gather(Peers(silent_once=["a"], silent=["b"]), a=False, b=False)
    assert gathered.counts["t"] == 2
    assert (gathered.answered, gathered.silent) == (2, 1)


def test_a_process_that_started_in_the_window_counted_a_part_of_it():
    assert gather(Peers(), a=False, young=False).partial == 1
