"""Simulated fleets whose connections, daemons and paths to the service go silent.

The shipped client, relay, links and replicas run on a virtual clock; connections are simulated.
A connection knows when it was opened, so that open ones can go silent while new ones work.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from rackswitch.clients.kv import KvUnavailable
from rackswitch.gateway.store.store_relay import ForwardedCalls, RelayTransport
from rackswitch.gateway.store.tests.spread_run import STATE, SimulatedDaemon, SpreadRun
from rackswitch.peers import links as peer_links
from rackswitch.peers.links import PeerLinks
from rackswitch.platform.store import PlatformKvClient
from rackswitch.platform.store_calls import StoreCall
from rackswitch.platform.store_messages import StoreAnswer
from rackswitch.registry import Registry
from rackswitch.standins.platform_store import PlatformStoreStandIn

CONNECT_SECONDS = 0.003
ONE_WAY_SECONDS = 0.001
ANSWER_SECONDS = 0.004
SLOW_ANSWER_SECONDS = 0.4
FOREVER_SECONDS = 3600.0
BOUND_SECONDS = 2.0
"""Time after its acknowledgement within which a change must be in force."""
CONTACT_SECONDS = 3.0
"""Time for which a daemon counts as disturbed after a disruption has ended."""


DISRUPTIONS: Registry[Callable[["SilenceRun", SimulatedDaemon], None]] = Registry("disruption")
"""Disruptions of one daemon by name."""


class Network:
    """What the open connections of a run have in common."""

    def __init__(self) -> None:
        self.silenced_at_seconds = float("-inf")

    def is_silent(self, opened_at_seconds: float) -> bool:
        return opened_at_seconds < self.silenced_at_seconds

    def silence_open_connections(self) -> None:
        self.silenced_at_seconds = now_seconds()


class SimulatedTransport:
    """One daemon's direct path to the service, over pooled connections."""

    def __init__(self, run: "SilenceRun"):
        self._run = run
        self._idle_connections: list[float] = []
        self.is_cut = False
        self.is_rejected = False

    async def send(self, call: StoreCall) -> StoreAnswer | KvUnavailable:
        try:
            async with asyncio.timeout(call.timeout_seconds):
                return await self._send(call)
        except TimeoutError:
            return KvUnavailable("TimeoutError", effect_unknown=True)

    async def _send(self, call: StoreCall) -> StoreAnswer:
        connection = self._idle_connections.pop() if self._idle_connections else None
        await self._wait_while_cut()
        if connection is None:
            connection = now_seconds()
            await asyncio.sleep(CONNECT_SECONDS)
        await self._pass(connection)
        if self.is_rejected:
            return StoreAnswer(503, b"")
        path, _, query = call.target.partition("?")
        await asyncio.sleep(self._run.answer_seconds)
        status, answer = await self._run.stand_in.answer(path, query, call.content)
        await self._pass(connection)
        self._idle_connections.append(connection)
        return StoreAnswer(status, msgspec.json.encode(answer))

    def discard_idle_connections(self) -> None:
        self._idle_connections.clear()

    async def _pass(self, connection: float) -> None:
        await asyncio.sleep(ONE_WAY_SECONDS)
        if self._run.network.is_silent(connection):
            await asyncio.sleep(FOREVER_SECONDS)
        await self._wait_while_cut()

    async def _wait_while_cut(self) -> None:
        if self.is_cut:
            await asyncio.sleep(FOREVER_SECONDS)


class SimulatedChannel:
    """A connection to a peer; stands for the gRPC library's channel."""

    runs: dict[int, "SilenceRun"] = {}

    def __init__(self, host: str, port: int):
        self._run = self.runs[port]
        self._peer = self._run.daemons[host]
        self._opened_at_seconds: float | None = None

    def request(self, name, *_, **__):
        return SimulatedCall(self, name.rpartition("/")[2])

    def close(self) -> None:
        self._opened_at_seconds = None

    async def exchange(self, method: str, message: object) -> object:
        if self._opened_at_seconds is None:
            await self._pass_to_peer()
            self._opened_at_seconds = now_seconds()
        opened_at_seconds = self._opened_at_seconds
        await self._pass_to_peer(opened_at_seconds)
        reply = await self._run.serve(self._peer, method, message)
        await self._pass_to_peer(opened_at_seconds)
        return reply

    async def _pass_to_peer(self, opened_at_seconds: float = float("inf")) -> None:
        await asyncio.sleep(ONE_WAY_SECONDS)
        if not self._peer.alive or self._run.network.is_silent(opened_at_seconds):
            await asyncio.sleep(FOREVER_SECONDS)


class SimulatedCall:
    """One call over a channel; stands for the gRPC library's stream."""

    def __init__(self, channel: SimulatedChannel, method: str):
        self._channel = channel
        self._method = method
        self._message: object = None

    async def __aenter__(self) -> "SimulatedCall":
        return self

    async def __aexit__(self, *_) -> None:
        return None

    async def send_message(self, message: object, end: bool = False) -> None:
        self._message = message

    async def recv_message(self) -> object:
        return await self._channel.exchange(self._method, self._message)


@dataclass(slots=True)
class Change:
    """A change that the service acknowledged at a time."""

    value: str
    acknowledged_at_seconds: float


class SilenceRun(SpreadRun):
    """A fleet whose connections to peers and to the service can go silent."""

    def __init__(self, daemons: int, zones: int, seed: int):
        super().__init__(daemons, zones, seed)
        self.network = Network()
        self.stand_in = PlatformStoreStandIn()
        self.stand_in.store = self.service.store
        self.answer_seconds = ANSWER_SECONDS
        self.disturbed: set[str] = set()
        self.changes: list[Change] = []
        SimulatedChannel.runs[seed] = self
        self.seed = seed
        self.contact_at_seconds: dict[str, float] = {}
        self.transports: dict[str, SimulatedTransport] = {}
        self._forwarded: dict[str, ForwardedCalls] = {}
        for name, daemon in self.daemons.items():
            self._connect(name, daemon)

    def _connect(self, name: str, daemon: SimulatedDaemon) -> None:
        context = daemon.context
        context.settings = replace(context.settings, host=name)
        # The port identifies the run to the simulated channels.
        daemon.presence._peer_port = self.seed
        context.daemon.links = PeerLinks("")
        self.transports[name] = SimulatedTransport(self)
        relay = RelayTransport(
            self.transports[name],
            context.daemon.links,
            context.daemon.membership,
            context.log,
            through_peers=True,
        )
        context.daemon.kv = PlatformKvClient(relay)
        self._forwarded[name] = ForwardedCalls(context, relay)

    async def start(self) -> None:
        self.put(f"{STATE}a", "first")
        for daemon in self.daemons.values():
            self._start_daemon(daemon)

    def _start_daemon(self, daemon: SimulatedDaemon) -> None:
        for work in (daemon.replica_manager.run, daemon.presence.run):
            delay_seconds = self.rng.uniform(0.0, 0.3)
            self._tasks.append((daemon, asyncio.create_task(run_after(delay_seconds, work))))

    def put(self, key: str, value: str) -> None:
        self.stand_in.put(key, value)
        self.changes.append(Change(msgspec.json.encode(value).decode(), now_seconds()))

    async def serve(self, daemon: SimulatedDaemon, method: str, message: object) -> object:
        if method == "Follow":
            return await daemon.replica_manager.server.serve(message)
        return await self._forwarded[daemon.context.daemon_name].serve(message)

    @DISRUPTIONS.register("freeze")
    def freeze(self, daemon: SimulatedDaemon) -> None:
        """Stop a daemon without a reset of its connections."""
        self.disturbed.add(daemon.context.daemon_name)
        self.kill(daemon)

    @DISRUPTIONS.register("cut")
    def cut_from_service(self, daemon: SimulatedDaemon) -> None:
        self.disturbed.add(daemon.context.daemon_name)
        self.transports[daemon.context.daemon_name].is_cut = True

    @DISRUPTIONS.register("reject")
    def reject_calls(self, daemon: SimulatedDaemon) -> None:
        """Make the service turn a daemon away; it is still reachable through peers."""
        self.transports[daemon.context.daemon_name].is_rejected = True

    @DISRUPTIONS.register("restart")
    def restart(self, daemon: SimulatedDaemon) -> None:
        """End a daemon and start another process in its place."""
        self.kill(daemon)
        name = daemon.context.daemon_name
        self.daemons[name] = SimulatedDaemon(name, daemon.zone, self.service, self.rng)
        self._connect(name, self.daemons[name])
        self._start_daemon(self.daemons[name])
        self.contact_at_seconds[name] = now_seconds() + CONTACT_SECONDS

    async def write_changes(self, until_seconds: float) -> None:
        while now_seconds() < until_seconds:
            await asyncio.sleep(self.rng.uniform(0.1, 0.3))
            self.put(f"{STATE}a", f"change {len(self.changes)}")

    def late_changes(self) -> list[str]:
        """Return the changes that an undisturbed daemon did not have in time.

        A daemon counts as disturbed for `CONTACT_SECONDS` after its start, and all do after open
        connections went silent.
        """
        silence_over_seconds = self.network.silenced_at_seconds + CONTACT_SECONDS
        late: list[str] = []
        for name, daemon in self.daemons.items():
            # A daemon without a table refuses all requests, so that it follows no older one.
            if name in self.disturbed or not daemon.received_at_seconds:
                continue
            contact_at_seconds = max(
                silence_over_seconds, self.contact_at_seconds.get(name, float("-inf"))
            )
            for number, change in enumerate(self.changes):
                deadline_seconds = max(
                    change.acknowledged_at_seconds + BOUND_SECONDS, contact_at_seconds
                )
                current_at_seconds = self._current_at_seconds(daemon, number)
                if now_seconds() > deadline_seconds < current_at_seconds:
                    delay_seconds = current_at_seconds - change.acknowledged_at_seconds
                    late.append(f"{name}: {change.value} after {delay_seconds:.2f} s")
        return late

    def _current_at_seconds(self, daemon: SimulatedDaemon, number: int) -> float:
        """Return when a daemon first had a change or a later one; `FOREVER_SECONDS` if never."""
        times = [
            daemon.received_at_seconds[change.value]
            for change in self.changes[number:]
            if change.value in daemon.received_at_seconds
        ]
        return min(times, default=FOREVER_SECONDS)


def disturb(run: SilenceRun, kinds: list[str]) -> list[Callable[[], None]]:
    """Return the disruptions of a run, in the order in which they happen."""
    (root,) = run.watchers()
    followed = [one.context.daemon_name for one in run.living()]
    run.rng.shuffle(followed)
    names = [
        root.context.daemon_name,
        *[name for name in followed if name != root.context.daemon_name],
    ]
    actions: list[Callable[[], None]] = []
    for kind in kinds:
        victims = names[: run.rng.randint(1, 3)]
        if run.rng.random() < 0.4:
            victims = run.rng.sample(names, run.rng.randint(1, 3))
        if kind == "silence":
            actions.append(run.network.silence_open_connections)
        else:
            disrupt = DISRUPTIONS.get(kind)
            actions.extend(
                lambda disrupt=disrupt, victim=victim: disrupt(run, run.daemons[victim])
                for victim in victims
            )
    run.rng.shuffle(actions)
    return actions


async def run_disruptions(seed: int, kinds: list[str], slow_before: bool) -> list[str]:
    """Return the changes that came late in a run of disruptions within half a second."""
    run = SilenceRun(9, zones=4, seed=seed)
    await run.start()
    await run.wait_until_settled()
    await asyncio.sleep(1.0)
    if slow_before:
        run.answer_seconds = SLOW_ANSWER_SECONDS
        await asyncio.sleep(3.0)
        run.answer_seconds = ANSWER_SECONDS
        await asyncio.sleep(3.2)
        await run.wait_until_settled()
    writing = asyncio.create_task(run.write_changes(now_seconds() + 6.0))
    await asyncio.sleep(run.rng.uniform(0.0, 1.0))
    for action in disturb(run, kinds):
        await asyncio.sleep(run.rng.uniform(0.0, 0.2))
        action()
    await writing
    await asyncio.sleep(6.0)
    late = run.late_changes()
    await run.stop()
    return late


def use_simulated_channels(monkeypatch) -> None:
    monkeypatch.setattr(peer_links, "Channel", SimulatedChannel)


async def run_after(delay_seconds: float, work) -> None:
    await asyncio.sleep(delay_seconds)
    await work()


def now_seconds() -> float:
    return asyncio.get_running_loop().time()
