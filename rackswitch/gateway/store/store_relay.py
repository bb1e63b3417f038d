"""Calls to the key-value service, made directly or forwarded by a peer."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.context import GatewayContext
from rackswitch.membership import Membership
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerLinks, PeerUnreachable
from rackswitch.platform.store_calls import (
    DirectTransport,
    MalformedCall,
    StoreCall,
    decode_call,
    encode_call,
    probe_call,
)
from rackswitch.platform.store_messages import StoreAnswer
from rackswitch.relay import (
    MAX_PEERS,
    OWN_PATH,
    Attempt,
    AttemptPlan,
    PathSelector,
    hedged_stages,
)
from rackswitch.telemetry import DecisionLog
from rackswitch.telemetry.events import RelayRefused, StorePathChanged

__all__ = ["ForwardedCalls", "RelayTransport"]

PEER_TIMEOUT_MARGIN_SECONDS = 0.1
"""Additional timeout of a call that a peer forwards: some round trips between zones of a few
milliseconds, and a busy event loop."""

PEER_INTERVALS = 2
"""Timeout of an attempt through a peer, in intervals: the peer may need one for a silent connection
of its own. A longer one would keep a silent connection to the peer in use."""

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
    direct : DirectTransport
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
        "_tasks",
        "path_selector",
    )

    def __init__(
        self,
        direct: DirectTransport,
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
        self._tasks: set[asyncio.Task[StoreAnswer | KvUnavailable]] = set()
        self.path_selector = PathSelector(membership.own.zone, region_of_zone=region_of_zone or {})

    async def send(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a call over the paths until one brings an answer.

        A repeatable call is sent over the next path while earlier ones are still silent, with one
        deadline for all. A call that may have taken effect is retried only if it is repeatable;
        otherwise the unknown outcome is returned.
        """
        if call.is_long_poll:
            return await self._send_long_poll(call)
        peers = self._usable_peers()
        paths = self.path_selector.paths_through(peers, call.repeatable, _now_seconds())
        if call.repeatable:
            return await self._send_hedged(call, hedged_stages(paths, peers[MAX_PEERS:]))
        return await self._send_in_turn(call, paths)

    async def send_directly(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a call without peers; a repeatable one also over a new connection if needed."""
        if call.repeatable and not call.is_long_poll:
            return await self._send_hedged(call, hedged_stages([OWN_PATH]))
        return await self._send_direct(call)

    def _usable_peers(self) -> list[str]:
        """Return the peers that may forward a call now, in the order in which they are tried."""
        return self.path_selector.peers(
            self._peers(),
            _now_seconds(),
            self._stays_in_region(),
            self._links.silent_at_seconds,
        )

    async def _send_in_turn(self, call: StoreCall, paths: list[str]) -> StoreAnswer | KvUnavailable:
        """Make a call over one path after the other while it is known to have had no effect.

        Silence may be that of one connection, so the idle ones are not used again.
        """
        last_result: StoreAnswer | KvUnavailable = KvUnavailable(
            "no path to the service is available", effect_unknown=False
        )
        for path in paths:
            last_result = await self._send_via(path, call)
            if not _is_failure(last_result):
                return last_result
            if _is_silence(last_result):
                self._direct.discard_idle_connections()
                return last_result
        return last_result

    async def _send_long_poll(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a long poll over the first path that does not reject it.

        Silence is returned at once: the next call, which the service answers without waiting,
        finds out sooner which path works than another long poll.
        """
        if self.path_selector.take_probe(_now_seconds()):
            self._start(self._send_direct(probe_call(call.timeout_seconds)))
        paths = self.path_selector.paths_through(
            self._usable_peers(), repeatable=False, now_seconds=_now_seconds()
        )
        return await self._send_in_turn(call, paths)

    async def _send_hedged(
        self, call: StoreCall, stages: list[list[Attempt]]
    ) -> StoreAnswer | KvUnavailable:
        """Return the first answer to the attempts of a repeatable call, else a failure."""
        began_seconds = _now_seconds()
        interval_seconds = self._interval_seconds(call)
        deadline_seconds = began_seconds + call.timeout_seconds
        has_own_path_failed = not self.path_selector.is_own_path_up
        plan = AttemptPlan(stages, began_seconds, interval_seconds, has_own_path_failed)
        waiting: dict[asyncio.Task[StoreAnswer | KvUnavailable], Attempt] = {}
        result: StoreAnswer | KvUnavailable = KvUnavailable("no answer in time", True)
        now_seconds = began_seconds
        while now_seconds < deadline_seconds:
            due = plan.start_due(now_seconds, all_failed=not waiting)
            if due and any(attempt.path != OWN_PATH for attempt in waiting.values()):
                # A peer's silence may be that of its connection, and other idle ones may be silent.
                self._links.replace_idle(began_seconds)
            for attempt in due:
                limit_seconds = deadline_seconds - now_seconds
                if attempt.path != OWN_PATH:
                    limit_seconds = min(limit_seconds, PEER_INTERVALS * interval_seconds)
                waiting[self._start(self._attempt(call, attempt, limit_seconds))] = attempt
            if not waiting:
                return result
            wake_at_seconds = min(plan.next_at_seconds or deadline_seconds, deadline_seconds)
            done, _ = await asyncio.wait(
                waiting,
                timeout=max(0.0, wake_at_seconds - _now_seconds()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            # A timer may fire early by the clock's resolution.
            now_seconds = _now_seconds() if done else wake_at_seconds
            for task in done:
                result = task.result()
                if not _is_failure(result):
                    return result
                plan.record_failure(waiting.pop(task), is_silence=_is_silence(result))
        return result

    def _start(
        self, attempt: Coroutine[Any, Any, StoreAnswer | KvUnavailable]
    ) -> asyncio.Task[StoreAnswer | KvUnavailable]:
        """Start an attempt, which goes on after its call is answered, to learn of its path."""
        task = asyncio.create_task(attempt)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _attempt(
        self, call: StoreCall, attempt: Attempt, limit_seconds: float
    ) -> StoreAnswer | KvUnavailable:
        limited_call = msgspec.structs.replace(call, timeout_seconds=limit_seconds)
        if attempt.path != OWN_PATH:
            return await self._send_via(attempt.path, limited_call)
        if attempt.on_new_connection:
            self._direct.discard_idle_connections()
            return await self._send_direct(limited_call)
        return await self._send_first(limited_call)

    def _interval_seconds(self, call: StoreCall) -> float:
        """Return how long an attempt of a call may stay silent before the next one starts."""
        return self.path_selector.call_timeout_seconds(call.timeout_seconds, _now_seconds())

    def _peers(self) -> list[tuple[str, str]]:
        """Return the other daemons that may forward calls, with their zones."""
        if not self._through_peers:
            return []
        own = self._membership.own.daemon
        return [entry for entry in self._membership.live_zones() if entry[0] != own]

    async def _send_first(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a repeatable call over a pooled connection; its silence is not that of the path."""
        limit_seconds = self._interval_seconds(call)
        limited_call = msgspec.structs.replace(call, timeout_seconds=limit_seconds)
        started_at_seconds = _now_seconds()
        answer = await self._direct.send(limited_call)
        if not _is_silence(answer):
            self._record_direct(call, answer, started_at_seconds)
        return answer

    async def _send_direct(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        """Make a call over the direct path and record its outcome in the path selector.

        A path that stays silent for the time of a call counts as failed from then on, although
        its answer is still waited for.
        """
        started_at_seconds = _now_seconds()
        sending = asyncio.ensure_future(self._direct.send(call))
        try:
            if call.repeatable and not call.is_long_poll:
                limit_seconds = self._interval_seconds(call)
                await asyncio.wait({sending}, timeout=limit_seconds)
                if not sending.done():
                    self._record_direct_failure("no answer yet")
            answer = await sending
        finally:
            sending.cancel()
        self._record_direct(call, answer, started_at_seconds)
        return answer

    def _record_direct(
        self, call: StoreCall, answer: StoreAnswer | KvUnavailable, started_at_seconds: float
    ) -> None:
        if isinstance(answer, KvUnavailable) or answer.is_rejected:
            self._record_direct_failure(_detail(answer))
            return
        elapsed_seconds = _elapsed_seconds(call, started_at_seconds)
        answer.attempt_seconds = elapsed_seconds
        if self.path_selector.record_answer(OWN_PATH, elapsed_seconds, _now_seconds()):
            self._log.write(StorePathChanged(is_good=True, detail=""))

    def _record_direct_failure(self, detail: str) -> None:
        if self.path_selector.record_failure(OWN_PATH, _now_seconds()):
            self._log.write(StorePathChanged(is_good=False, detail=detail))

    async def _send_via(self, path: str, call: StoreCall) -> StoreAnswer | KvUnavailable:
        if path == OWN_PATH:
            return await self._send_direct(call)
        started_at_seconds = _now_seconds()
        answer = await self._forward_to(path, call)
        if isinstance(answer, KvUnavailable) or answer.is_rejected:
            self.path_selector.record_failure(path, _now_seconds())
        else:
            answer.attempt_seconds = _elapsed_seconds(call, started_at_seconds)
            self.path_selector.record_answer(path, 0.0, _now_seconds())
        return answer

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
            answer = await self._relay.send_directly(call)
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


def _is_silence(answer: StoreAnswer | KvUnavailable) -> bool:
    """Return whether a call was sent and brought neither an answer nor a refusal."""
    return isinstance(answer, KvUnavailable) and answer.effect_unknown


def _detail(answer: StoreAnswer | KvUnavailable) -> str:
    return answer.detail if isinstance(answer, KvUnavailable) else f"status {answer.status}"


def _elapsed_seconds(call: StoreCall, started_at_seconds: float) -> float:
    """Return how long an answer took; 0 for a call that the service holds open."""
    return 0.0 if call.is_long_poll else _now_seconds() - started_at_seconds
