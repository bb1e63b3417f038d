"""A daemon that cannot reach the key-value service makes its calls through peers."""

import asyncio
from copy import copy

import msgspec
import pytest

from rackswitch.clients.http import HttpSessions
from rackswitch.clients.kv import KvUnavailable
from rackswitch.daemon.tests.support import run_on_virtual_clock
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.store.store_relay import MAX_FORWARDED_CALLS, ForwardedCalls, RelayTransport
from rackswitch.gateway.tests.path import check_complete, run_scenario, wait_for
from rackswitch.load.link import Link
from rackswitch.membership import MemberState, MemberUpdate
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.links import PeerUnreachable
from rackswitch.platform.store_calls import HttpTransport, StoreCall, decode_call, encode_call
from rackswitch.platform.store_messages import StoreAnswer
from rackswitch.relay import MAX_PEERS, OWN_PATH
from rackswitch.standins.platform_store import PlatformStoreStandIn
from rackswitch.telemetry.events import RoleAcquired

UNREACHABLE_URL = "http://127.0.0.1:9"
LONG_ITEM_PIECES = 3000
"""Pieces of an item that does not complete before a test ends, so that its job stays owned."""

READ = StoreCall(
    method="GET",
    target="/rackswitch/kv-key?key=a",
    content=b"",
    timeout_seconds=1.5,
    repeatable=True,
)
WRITE = StoreCall(
    method="POST",
    target="/rackswitch/kv-txn",
    content=b"{}",
    timeout_seconds=1.5,
    repeatable=False,
)


@pytest.mark.parametrize("through_peers", [True, False])
def test_a_daemon_cut_off_from_the_service_keeps_its_session_and_accepts_jobs(through_peers):
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        assert await fleet.submit("d0", "j0", [LONG_ITEM_PIECES]) == 202
        gateway.direct_transport.url = UNREACHABLE_URL
        await wait_for(lambda: gateway.session.is_valid() is through_peers, 5.0)
        await asyncio.sleep(0 if not through_peers else 2.5)
        assert gateway.session.is_valid() is through_peers
        status = await fleet.submit("d0", "j1", [3, 5])
        assert status == (202 if through_peers else 503)
        if through_peers:
            check_complete(await fleet.read_all("d0", "j1"), [3, 5], "j1")

    run_scenario(scenario, policy=PolicySettings(calls_through_peers=through_peers))


def test_a_cut_off_daemon_acquires_a_new_session_after_its_lease_ended():
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        assert await fleet.submit("d0", "j0", [LONG_ITEM_PIECES]) == 202
        previous_lease_id = gateway.session.lease_id
        gateway.direct_transport.url = UNREACHABLE_URL
        fleet.store.end_lease(previous_lease_id)
        await wait_for(lambda: gateway.session.lease_id != previous_lease_id)
        assert await fleet.submit("d0", "j1", [3]) == 202
        assert gateway.session.lease_id not in (previous_lease_id, None)

    # Otherwise the job may be placed at the daemon that has taken over the other one.
    run_scenario(scenario, policy=PolicySettings(jobs_gathered=False))


def test_a_daemon_returns_to_the_direct_path_once_it_recovers():
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        reachable_url = gateway.direct_transport.url
        gateway.direct_transport.url = UNREACHABLE_URL
        path_selector = gateway.context.kv._transport.path_selector
        await wait_for(lambda: not path_selector.is_own_path_up)
        gateway.direct_transport.url = reachable_url
        await wait_for(lambda: path_selector.is_own_path_up, 3.0)

    run_scenario(scenario)


def test_a_call_is_forwarded_at_most_once():
    async def scenario(fleet):
        for gateway in fleet.gateways.values():
            gateway.direct_transport.url = UNREACHABLE_URL
        path_selectors = [g.context.kv._transport.path_selector for g in fleet.gateways.values()]
        await wait_for(
            lambda: not any(path_selector.is_own_path_up for path_selector in path_selectors)
        )
        request = pb.PassOnRequest(daemon="d1", call=encode_call(READ))
        reply = await fleet.gateways["d0"]._peers._forwarded_calls.serve(request)
        assert reply.refused
        assert not reply.answered

    run_scenario(scenario)


class FakePath:
    """A path with a preset answer that records its calls."""

    def __init__(self, answer):
        self.answer = answer
        self.calls: list[StoreCall] = []
        self.answer_allowed = asyncio.Event()
        self.answer_allowed.set()

    async def send(self, call: StoreCall):
        self.calls.append(call)
        await self.answer_allowed.wait()
        return self.answer

    def discard_idle_connections(self):
        """Nothing is idle."""


class FakeLinks:
    """Connections to peers with preset replies."""

    def __init__(self, replies):
        self.replies = replies
        self.asked_peers: list[str] = []
        self.silent_at_seconds: dict[str, float] = {}

    def replace_idle(self, since_seconds):
        """Nothing is idle."""

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        self.asked_peers.append(peer.daemon)
        return self.replies[peer.daemon]


class RecordingLog:
    """A log that keeps its events."""

    def __init__(self):
        self.events = []

    def write(self, event):
        self.events.append(event)


class FakeMembership:
    """A membership of live peers."""

    def __init__(self, names):
        self.own = MemberUpdate("a", "h", 1, "x", 0, MemberState.ALIVE)
        self._names = names

    def live_zones(self):
        return [("a", "x"), *((name, "x") for name in self._names)]

    def address(self, name):
        return MemberUpdate(name, "h", 1, "x", 0, MemberState.ALIVE)


def make_relay(direct, replies):
    """Return a relay whose peers, in the given order, have preset replies; and its links."""
    links = FakeLinks(replies)
    return RelayTransport(direct, links, FakeMembership(replies), RecordingLog(), True), links


ANSWERED = pb.PassOnReply(answered=True, status=200, content=b"{}")
LOST = KvUnavailable("TimeoutError", effect_unknown=True)
NOT_SENT = KvUnavailable("ClientConnectorError", effect_unknown=False)


@pytest.mark.parametrize(
    ("call", "direct_answer", "asked_peers", "is_answered"),
    [
        (READ, LOST, ["b"], True),
        (READ, NOT_SENT, ["b"], True),
        (READ, StoreAnswer(503, b""), ["b"], True),
        (WRITE, NOT_SENT, ["b"], True),
        (WRITE, StoreAnswer(429, b""), ["b"], True),
        # The call may have taken effect, or may do so later.
        (WRITE, LOST, [], False),
        # A rejection by the service is an answer.
        (WRITE, StoreAnswer(412, b"{}"), [], True),
        (READ, StoreAnswer(410, b""), [], True),
    ],
)
def test_a_call_is_retried_only_if_that_is_safe(call, direct_answer, asked_peers, is_answered):
    async def scenario():
        relay, links = make_relay(FakePath(direct_answer), {"b": ANSWERED, "c": ANSWERED})
        answer = await relay.send(call)
        assert isinstance(answer, StoreAnswer) is is_answered
        assert links.asked_peers == asked_peers
        if not is_answered:
            assert answer.effect_unknown

    asyncio.run(scenario())


def test_an_unknown_outcome_at_a_peer_stays_unknown():
    async def scenario():
        reply = pb.PassOnReply(detail="TimeoutError", effect_unknown=True)
        relay, links = make_relay(FakePath(NOT_SENT), {"b": reply, "c": ANSWERED})
        answer = await relay.send(WRITE)
        assert answer == KvUnavailable("b: TimeoutError", effect_unknown=True)
        assert links.asked_peers == ["b"]

    asyncio.run(scenario())


def test_a_refused_call_is_sent_to_the_next_peer():
    async def scenario():
        refusal = pb.PassOnReply(refused="no path to the service here either")
        relay, links = make_relay(FakePath(NOT_SENT), {"b": refusal, "c": ANSWERED})
        assert isinstance(await relay.send(WRITE), StoreAnswer)
        assert links.asked_peers == ["b", "c"]

    asyncio.run(scenario())


def test_a_repeatable_call_has_a_shorter_timeout_on_the_direct_path():
    async def scenario():
        direct = FakePath(LOST)
        relay, _ = make_relay(direct, {"b": ANSWERED})
        await relay.send(READ)
        assert direct.calls[0].timeout_seconds < READ.timeout_seconds / 2

    asyncio.run(scenario())


class SilentLinks(FakeLinks):
    """Connections to peers of which those without a preset reply are silent."""

    async def call(self, peer, method, message, timeout_seconds, stub_kind):
        self.asked_peers.append(peer.daemon)
        if peer.daemon not in self.replies:
            await asyncio.sleep(timeout_seconds)
            return PeerUnreachable("TimeoutError")
        return self.replies[peer.daemon]


def test_a_rejected_daemon_finds_the_peer_that_is_not_silent():
    # Guards against calls that wait for silent peers while a sound one is never asked.
    async def scenario():
        names = [f"d{number:02}" for number in range(14)]
        links = SilentLinks({"d13": ANSWERED})
        direct = FakePath(StoreAnswer(503, b""))
        relay = RelayTransport(direct, links, FakeMembership(names), RecordingLog(), True)
        relay.path_selector.record_failure(OWN_PATH, asyncio.get_running_loop().time())
        began_seconds = asyncio.get_running_loop().time()
        assert isinstance(await relay.send(READ), StoreAnswer)
        return asyncio.get_running_loop().time() - began_seconds

    assert run_on_virtual_clock(scenario()) < READ.timeout_seconds


def test_peers_of_a_working_path_are_spared_while_the_service_is_slow():
    # Guards against a slow service that is called by way of the whole fleet.
    async def scenario():
        links = SilentLinks({})
        names = [f"d{number}" for number in range(8)]
        relay = RelayTransport(FakePath(LOST), links, FakeMembership(names), RecordingLog(), True)
        assert isinstance(await relay.send(READ), KvUnavailable)
        return links.asked_peers

    assert len(run_on_virtual_clock(scenario())) <= MAX_PEERS


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"method": "PATCH"}, "`method`"),
        ({"target": "/admin"}, "`target`"),
        ({"target": "/rackswitch/kv-key?key=a\r\nX: y"}, "`target`"),
        ({"target": "/rackswitch/kv-" + "a" * 3000}, "`target`"),
        ({"content": b"a" * 5_000_000}, "`content`"),
        ({"timeout_seconds": 60.0}, "`limit_seconds`"),
        ({"timeout_seconds": 0.0}, "`limit_seconds`"),
    ],
)
def test_a_call_that_may_not_be_forwarded_is_refused_naming_its_field(change, field):
    refused = decode_call(encode_call(msgspec.structs.replace(READ, **change)))
    assert field in refused.detail


def test_forwarded_calls_are_validated_limited_and_logged():
    # Guards against relaying malformed calls, calls of strangers, or any number of calls.
    async def scenario(fleet):
        gateway = fleet.gateways["d0"]
        relay = gateway.context.kv._transport
        recording_log = RecordingLog()
        # A copy, since the running daemon logs its own decisions meanwhile.
        context = copy(gateway.context)
        context.daemon = copy(gateway.context.daemon)
        context.daemon.log = recording_log
        forwarded_calls = ForwardedCalls(context, relay)
        gateway.context.daemon.log.write(RoleAcquired(role="versions", fencing=1))
        valid = pb.PassOnRequest(daemon="d1", call=encode_call(READ))
        unknown_daemon = pb.PassOnRequest(daemon="nobody", call=encode_call(READ))
        malformed = pb.PassOnRequest(daemon="d1", call=b"\xff\x00")
        assert (await forwarded_calls.serve(valid)).status == 404
        assert "`daemon`" in (await forwarded_calls.serve(unknown_daemon)).refused
        assert "`call`" in (await forwarded_calls.serve(malformed)).refused
        assert [event.daemon_asking for event in recording_log.events] == ["nobody", "d1"]
        forwarded_calls._in_flight = MAX_FORWARDED_CALLS
        assert (await forwarded_calls.serve(valid)).refused
        assert relay.path_selector.paths([], True, 0.0) == [OWN_PATH]

    run_scenario(scenario)


def test_a_silent_connection_to_the_service_is_replaced_within_the_call():
    async def scenario():
        service = PlatformStoreStandIn()
        await service.start()
        link = Link(service.address)
        await link.open()
        sessions = HttpSessions()
        direct = HttpTransport(f"http://{link.address}", sessions)
        relay = RelayTransport(direct, FakeLinks({}), FakeMembership([]), RecordingLog(), True)
        # Two idle connections, so that the second one is silent as well.
        await asyncio.gather(relay.send(READ), relay.send(READ))
        link.silence_open_connections()
        began_seconds = asyncio.get_running_loop().time()
        answer = await relay.send(READ)
        elapsed_seconds = asyncio.get_running_loop().time() - began_seconds
        await sessions.close()
        await link.close()
        await service.stop()
        return answer, elapsed_seconds, relay.path_selector.is_own_path_up

    answer, elapsed_seconds, is_own_path_up = asyncio.run(scenario())
    assert isinstance(answer, StoreAnswer)
    assert elapsed_seconds < 1.0
    assert is_own_path_up
