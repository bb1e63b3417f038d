"""Calls to the key-value service, made directly or forwarded by a peer."""

import asyncio
from collections.abc import Callable

import msgspec

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.membership import Membership
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerLinks, PeerUnreachable
from rackswitch.platform.store_calls import (
    MalformedCall,
    StoreCall,
    StoreTransport,
    decode_call,
    encode_call,
)
from rackswitch.platform.store_messages import StoreAnswer
from rackswitch.relay import OWN_PATH, PathSelector
from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import RelayRefused, StorePathChanged

__all__ = ["ForwardedCalls", "RelayTransport"]

PEER_TIMEOUT_MARGIN_SECONDS = 0.1
"""Additional timeout of a call that a peer forwards: some round trips between zones of a few
milliseconds, and a busy event loop."""

MAX_FORWARDED_CALLS = 32
"""Concurrency limit for calls forwarded for peers; it bounds the load that a faulty peer causes. A
daemon makes some ten calls a second and waits for few of them at a time, so the limit serves
several peers."""


class RelayTransport:
    """Selects the path of each call.

    A daemon that cannot reach the service itself makes its calls through peers, so that it keeps
    its leases, jobs and roles. Without this, one daemon of six that was cut off for 7.7 s refused
    its trainers' steps and lost the role that orders versions, so that none was ordered for 6 s.

    Parameters
    ----------
    direct : StoreTransport
        The direct path to the service.
    links, membership : PeerLinks, Membership
        Connections to the other daemons, and their addresses.
    log : DecisionLog
        Receives changes of the direct path's state.
    through_peers : bool
        Whether peers are used at all.
    region_of_zone : dict of str to str, optional
        Regions by zone; nearer peers are preferred.
    stays_in_region : callable, optional
        Returns whether calls may be forwarded by peers of the own region only, as their contents
        may be restricted to regions. Never by default.

    Attributes
    ----------
    path_selector : PathSelector
        Orders the paths by their recent outcomes.
    """

    __slots__ = (
        "_direct",
        "_through_peers",
        "_links",
        "_log",
        "_membership",
        "_stays_in_region",
        "path_selector",
    )

    def __init__(
        self,
        direct: StoreTransport,
        links: PeerLinks,
        membership: Membership,
        log: DecisionLog,
        through_peers: bool,
        region_of_zone: dict[str, str] | None = None,
        stays_in_region: Callable[[], bool] = lambda: False,
    ):
        self._through_peers = through_peers
        self._direct = direct
        self._links = links
        self._membership = membership
        self._log = log
        self._stays_in_region = stays_in_region
        self.path_selector = PathSelector(membership.own.zone, region_of_zone=region_of_zone or {})

    async def send(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a call over the paths in turn until one brings an answer.

        A call that may have taken effect is retried only if it is repeatable; otherwise the
        unknown outcome is returned.
        """
        paths = self.path_selector.paths(
            self._peers(), call.repeatable, _now_seconds(), self._stays_in_region()
        )
        last_result: StoreAnswer | KvUnavailable = KvUnavailable(
            "no path to the service is available", effect_unknown=False
        )
        for path in paths:
            last_result = await self._send_via(path, call, has_alternatives=len(paths) > 1)
            if isinstance(last_result, StoreAnswer) and not last_result.is_rejected:
                return last_result
            if (
                isinstance(last_result, KvUnavailable)
                and last_result.effect_unknown
                and not call.repeatable
            ):
                return last_result
        return last_result

    def _peers(self) -> list[tuple[str, str]]:
        """Return the other daemons that may forward calls, with their zones."""
        if not self._through_peers:
            return []
        own = self._membership.own.daemon
        return [entry for entry in self._membership.live_zones() if entry[0] != own]

    async def send_direct(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a call over the direct path and record its outcome in the path selector."""
        started_at_seconds = _now_seconds()
        answer = await self._direct.send(call)
        if _is_failure(answer):
            if self.path_selector.record_failure(OWN_PATH, _now_seconds()):
                self._log.write(StorePathChanged(is_good=False, detail=_detail(answer)))
        elif self.path_selector.record_answer(OWN_PATH, _elapsed_seconds(call, started_at_seconds)):
            self._log.write(StorePathChanged(is_good=True, detail=""))
        return answer

    async def _send_via(
        self, path: str, call: StoreCall, has_alternatives: bool
    ) -> StoreAnswer | KvUnavailable:
        if path == OWN_PATH:
            return await self.send_direct(
                self._with_shorter_timeout(call) if has_alternatives else call
            )
        answer = await self._forward_to(path, call)
        if _is_failure(answer):
            self.path_selector.record_failure(path, _now_seconds())
        else:
            self.path_selector.record_answer(path, 0.0)
        return answer

    def _with_shorter_timeout(self, call: StoreCall) -> StoreCall:
        """Return a call with the direct path's timeout for the case that there are other paths."""
        if not call.repeatable or call.is_long_poll:
            return call
        limit_seconds = self.path_selector.call_timeout_seconds(call.timeout_seconds)
        return msgspec.structs.replace(call, timeout_seconds=limit_seconds)

    async def _forward_to(self, name: str, call: StoreCall) -> StoreAnswer | KvUnavailable:
        peer = self._membership.address(name)
        if peer is None:
            return KvUnavailable(f"{name}: no address", effect_unknown=False)
        request = pb.PassOnRequest(
            daemon=self._membership.own.daemon,
            call=encode_call(call),
        )
        reply = await self._links.call(
            peer,
            lambda stub: stub.PassOn,
            request,
            call.timeout_seconds + PEER_TIMEOUT_MARGIN_SECONDS,
            GatewayPeersStub,
        )
        if isinstance(reply, PeerUnreachable):
            return KvUnavailable(f"{name}: {reply.detail}", effect_unknown=True)
        if reply.refused:
            return KvUnavailable(f"{name}: {reply.refused}", effect_unknown=False)
        if not reply.answered:
            return KvUnavailable(f"{name}: {reply.detail}", effect_unknown=reply.effect_unknown)
        return StoreAnswer(reply.status, reply.content)


class ForwardedCalls:
    """Forwards calls for daemons that cannot reach the service, over the direct path only.

    Parameters
    ----------
    context : GatewayContext
        The daemon, which knows the members and logs rejected requests.
    relay : RelayTransport
        The direct path and its state.
    """

    __slots__ = ("_context", "_relay", "_in_flight")

    def __init__(self, context: GatewayContext, relay: RelayTransport):
        self._context = context
        self._relay = relay
        self._in_flight = 0

    async def serve(self, request: pb.PassOnRequest) -> pb.PassOnReply:
        """Make a peer's call, or reply why it was refused; a refused call was not made."""
        # `member_entries` keeps daemons whose lease has ended: they need forwarding most.
        if request.daemon not in self._context.member_entries:
            return self._refuse(request, "`daemon` is not a known member")
        call = decode_call(request.call)
        if isinstance(call, MalformedCall):
            return self._refuse(request, call.detail)
        if not self._relay.path_selector.is_own_path_up:
            return pb.PassOnReply(refused="no path to the service here either")
        if self._in_flight >= MAX_FORWARDED_CALLS:
            return pb.PassOnReply(refused="too many forwarded calls are in progress")
        self._in_flight += 1
        try:
            answer = await self._relay.send_direct(call)
        finally:
            self._in_flight -= 1
        if isinstance(answer, KvUnavailable):
            return pb.PassOnReply(detail=answer.detail, effect_unknown=answer.effect_unknown)
        return pb.PassOnReply(answered=True, status=answer.status, content=answer.content)

    def _refuse(self, request: pb.PassOnRequest, detail: str) -> pb.PassOnReply:
        self._context.log.write(RelayRefused(daemon_asking=request.daemon, detail=detail))
        return pb.PassOnReply(refused=detail)


def _now_seconds() -> float:
    """Return the event loop's monotonic time."""
    return asyncio.get_running_loop().time()


def _is_failure(answer: StoreAnswer | KvUnavailable) -> bool:
    return isinstance(answer, KvUnavailable) or answer.is_rejected


def _detail(answer: StoreAnswer | KvUnavailable) -> str:
    return answer.detail if isinstance(answer, KvUnavailable) else f"status {answer.status}"


def _elapsed_seconds(call: StoreCall, started_at_seconds: float) -> float:
    """Return how long an answer took; 0 for a call that the service holds open."""
    return 0.0 if call.is_long_poll else _now_seconds() - started_at_seconds
