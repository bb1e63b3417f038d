"""One gateway, put together from its parts."""

import asyncio
import random
import time
from typing import Any

from rackswitch.clients.http import HttpSessions
from rackswitch.clients.kv import KvEntry
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.roles import RoleKeeper
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.gateway.call_edge import CallEdge
from rackswitch.gateway.contact import StoreContact
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.edge import CallerEdge
from rackswitch.gateway.item_runner import ItemRunner
from rackswitch.gateway.job_edge import JobEdge
from rackswitch.gateway.job_keeper import JobKeeper
from rackswitch.gateway.job_reader import JobReader
from rackswitch.gateway.job_records import JOBS_PREFIX, OWNERS_PREFIX
from rackswitch.gateway.job_store import JobStore
from rackswitch.gateway.peer_service import GatewayPeersService
from rackswitch.gateway.request_front import RequestFront
from rackswitch.gateway.session import MEMBERS_PREFIX, Session, decode_member
from rackswitch.gateway.state_keeper import StateKeeper
from rackswitch.gateway.target_choice import TargetChooser
from rackswitch.gateway.version_keeper import ORDERS_PREFIX, VersionKeeper
from rackswitch.gateway.watching import CopyHandlers, CopyKeeper
from rackswitch.membership import Membership, MemberState, MemberUpdate, VmEntry
from rackswitch.peers.links import PeerLinks
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.item_runs import ItemClient
from rackswitch.platform.names import OPERATOR_PREFIX, SERVERS_PREFIX
from rackswitch.platform.orders import OrderClient
from rackswitch.platform.settings import METRICS_PATH, NodeSettings
from rackswitch.platform.store import PROTOCOL_NAME, PlatformKvClient
from rackswitch.platform.target_calls import TargetClient
from rackswitch.table import TableView
from rackswitch.telemetry import DecisionLog, Telemetry
from rackswitch.web import WebServer
from rackswitch.web.exchange import Exchange

__all__ = ["Gateway"]

CONTROL_PREFIX = "control/"
"""Members, job markers and job owners: small entries that every daemon follows."""

ROLE_LEASE_SECONDS = 2.0
"""Life of a role's lease; a successor waits for it and for the turn that the platform
wants between two holders' orders."""

LOG_PUMP_SECONDS = 0.1
COUNTS_LOG_SECONDS = 10.0
"""Between log lines that tell how many calls the key-value service got so far."""

BALANCER_NOTICE_SECONDS = 2.5
"""How long a stopping daemon still takes connections: the balancer asks each second and
leaves a daemon out that has said no twice."""

STOP_MARGIN_SECONDS = 1.0
"""What is left of the grace when the last requests are given up."""

KEEP_ALIVE_SECONDS = 120
"""Longer than any idle time that operators allow callers, so that it is always the caller
who closes an idle connection and no request crosses a close."""


class Gateway:
    """The daemon of one VM.

    Parameters
    ----------
    settings : NodeSettings
        Its settings.
    log_descriptor : int
        Where its decisions are logged; standard output by default.
    """

    def __init__(self, settings: NodeSettings, log_descriptor: int = 1):
        self.settings = settings
        self.log = DecisionLog(settings.daemon, log_descriptor)
        rng = random.Random(random.SystemRandom().randrange(1 << 60))
        daemon = _daemon_context(settings, rng)
        self.context = GatewayContext(settings, daemon, StoreContact(self.log), self.log)
        self._sessions = TargetSessions()
        self.state = StateKeeper(self.context)
        self.session = Session(self.context, settings.peer_ports[0], self._session_lost)
        self.roles = RoleKeeper(daemon, self._wanted_roles)
        self.front = RequestFront(
            self.context, TargetChooser(self.context), TargetClient(self._sessions)
        )
        job_store = JobStore(self.context)
        runner = ItemRunner(self.context, ItemClient(self._sessions), self.front)
        self.jobs = JobKeeper(self.context, self.session, job_store, runner)
        self.versions = VersionKeeper(
            self.context, self.roles, OrderClient(self._sessions), self.jobs.oldest_usable_version
        )
        reader = JobReader(self.context, self.jobs, job_store, self.session)
        self._members: dict[str, VmEntry] = {}
        handlers = {
            OPERATOR_PREFIX: self.state.operator_handlers(),
            SERVERS_PREFIX: self.state.target_handlers(),
            CONTROL_PREFIX: CopyHandlers(self._control_put, self._control_deleted),
        }
        self.copies = CopyKeeper(self.context, handlers)
        self._peers = GatewayPeersService(self.context, self.copies, reader)
        edge = CallerEdge(
            self.context,
            CallEdge(self.context, self.front),
            JobEdge(self.context, self.jobs, reader),
        )
        self._servers = _servers(settings, edge, self._on_ready, self._on_metrics)

    async def start(self) -> None:
        """Listen and begin all duties."""
        for server in self._servers:
            await server.start()
        await self._peers.start(self.settings.host, self.settings.peer_ports[0])
        for duty in (
            self.copies.run(),
            self.session.run(),
            self._hold_roles(),
            self.versions.run(),
            self.jobs.run(),
            self._pump_log(),
        ):
            self.context.daemon.spawn_duty(duty)
        self.log.write(
            "started", zone=self.settings.zone, machine_class=self.settings.machine_class
        )

    async def stop(self) -> None:
        """Stop as planned: hand over, serve what still comes, finish, then end."""
        deadline_seconds = (
            self.context.now_seconds() + self.settings.stop_grace_seconds - STOP_MARGIN_SECONDS
        )
        self.log.write("stopping", requests_in_flight=self.context.daemon.in_flight.count)
        self.context.daemon.stopping = True
        self.context.daemon.membership.leave()
        notice = asyncio.create_task(asyncio.sleep(BALANCER_NOTICE_SECONDS))
        async with asyncio.timeout_at(deadline_seconds):
            await asyncio.gather(self.roles.tend(), self.jobs.hand_over())
        await notice
        left_seconds = deadline_seconds - self.context.now_seconds()
        whole = await self.context.daemon.in_flight.wait_idle(max(0.0, left_seconds))
        await self.session.end()
        self.log.write("stopped", whole=whole)
        while self.log.pump() and self.context.now_seconds() < deadline_seconds:
            await asyncio.sleep(LOG_PUMP_SECONDS / 10)

    async def crash(self) -> None:
        """End at once, as a killed process would (for tests)."""
        await self.context.daemon.cancel_all()
        for server in self._servers:
            await server.crash()
        await self.close()

    async def close(self) -> None:
        """End all work and close all connections."""
        await self.context.daemon.cancel_all()
        await self._peers.stop()
        self.context.daemon.links.close()
        await self.context.daemon.sessions.close()
        await self._sessions.close()
        self.context.daemon.telemetry.close()

    @property
    def url(self) -> str:
        """Where callers reach this daemon."""
        return self._servers[0].url

    def settings_changed(self, settings: NodeSettings) -> None:
        """Take in settings that changed while this daemon runs."""
        self.settings = settings
        self.context.settings = settings
        self.log.write("reloaded")

    async def _hold_roles(self) -> None:
        await self.roles.end_predecessors()
        await self.roles.run()

    def _session_lost(self) -> None:
        self.jobs.session_lost()

    def _wanted_roles(self) -> list[str]:
        return self.versions.wanted_roles()

    def _control_put(self, entry: KvEntry) -> None:
        if entry.key.startswith(MEMBERS_PREFIX):
            self._take_member(entry)
            self._members_changed()
        elif entry.key.startswith(JOBS_PREFIX):
            self.jobs.marker_put(entry)
        elif entry.key.startswith(OWNERS_PREFIX):
            self.jobs.owner_put(entry)
        elif entry.key.startswith(ORDERS_PREFIX):
            self.versions.orders_put(entry)

    def _control_deleted(self, key: str) -> None:
        if key.startswith(MEMBERS_PREFIX):
            self._members.pop(key.removeprefix(MEMBERS_PREFIX), None)
            self._members_changed()
        elif key.startswith(JOBS_PREFIX):
            self.jobs.marker_deleted(key)
        elif key.startswith(OWNERS_PREFIX):
            self.jobs.owner_deleted(key)

    def _take_member(self, entry: KvEntry) -> None:
        name = entry.key.removeprefix(MEMBERS_PREFIX)
        self._members[name] = decode_member(name, entry.value)

    def _members_changed(self) -> None:
        membership = self.context.daemon.membership
        membership.learn_listed(list(self._members.values()), self.context.now_seconds())

    async def _pump_log(self) -> None:
        next_count_seconds = self.context.now_seconds()
        calls = getattr(self.context.kv, "calls_by_path", {})
        while True:
            self.log.pump()
            if self.context.now_seconds() >= next_count_seconds:
                next_count_seconds += COUNTS_LOG_SECONDS
                self.log.write("key-value calls", calls=dict(calls))
            await asyncio.sleep(LOG_PUMP_SECONDS)

    async def _on_ready(self, exchange: Exchange) -> None:
        known = self.copies.is_complete and self.context.table_revision > 0
        ready = known and not self.context.daemon.stopping
        await exchange.respond(200 if ready else 503)

    async def _on_metrics(self, exchange: Exchange) -> None:
        if exchange.path != METRICS_PATH:
            await exchange.respond(404)
            return
        figures = self.context.daemon.telemetry.exposition()
        await exchange.respond(200, (("content-type", "text/plain; version=0.0.4"),), figures)


def _daemon_context(settings: NodeSettings, rng: random.Random) -> DaemonContext:
    sessions = HttpSessions()
    own = MemberUpdate(
        settings.daemon,
        settings.host,
        settings.peer_ports[0],
        settings.zone,
        int(time.time() * 1000),
        MemberState.ALIVE,
    )
    return DaemonContext(
        settings=DaemonSettings(
            daemon=settings.daemon,
            zone=settings.zone,
            host=settings.host,
            kv_url=settings.kv_url,
            kv_protocol=PROTOCOL_NAME,
            weight_store_url="",
            vm_list_url="",
            fleet_secret="",
            operator_token_sha256="",
            lease_seconds=max(ROLE_LEASE_SECONDS, settings.lease_least_seconds),
        ),
        sessions=sessions,
        kv=PlatformKvClient(settings.kv_url, sessions),
        links=PeerLinks(""),
        view=TableView(),
        membership=Membership(own, 1.0, rng),
        telemetry=Telemetry(settings.daemon),
        rng=rng,
    )


def _servers(
    settings: NodeSettings, edge: CallerEdge, on_ready: Any, on_metrics: Any
) -> list[WebServer]:
    servers = []
    if settings.callers is not None:
        address = settings.callers
        server = WebServer(edge, address.host, address.port, keep_alive_seconds=KEEP_ALIVE_SECONDS)
        servers.append(server)
    for at, handler in ((settings.readiness, on_ready), (settings.metrics, on_metrics)):
        if at is not None:
            servers.append(WebServer(_one_handler(handler), at.host, at.port))
    return servers


def _one_handler(handler: Any) -> Any:
    async def application(scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await handler(Exchange(scope, receive, send))

    return application
