"""The daemon, assembled from its components."""

import asyncio
import random
import time

from blacksheep import Content, Request, Response

from rackswitch.clients.http import HttpSessions
from rackswitch.clients.kv import KV_CLIENTS
from rackswitch.clients.plain_service import PlainServiceClient
from rackswitch.clients.vm_list import VmListClient
from rackswitch.clients.weight_store import WeightStoreClient
from rackswitch.daemon.access import find_operator
from rackswitch.daemon.admin_handler import AdminHandler
from rackswitch.daemon.caller_handler import CallerHandler
from rackswitch.daemon.claim_store import ClaimStore
from rackswitch.daemon.completions import CompletionDispatcher
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.heartbeats import Heartbeats
from rackswitch.daemon.ledger_manager import LedgerManager
from rackswitch.daemon.ledger_store import ledger_role
from rackswitch.daemon.limit_manager import LimitManager
from rackswitch.daemon.peers import PeersService
from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.rollout_manager import RolloutManager, rollout_role
from rackswitch.daemon.sample_runner import SampleRunner
from rackswitch.daemon.service_calls import ServiceDispatcher
from rackswitch.daemon.settings import DaemonSettings
from rackswitch.daemon.table_manager import TableManager
from rackswitch.daemon.target_choice import TargetChooser
from rackswitch.daemon.target_manager import TargetManager
from rackswitch.daemon.trainer_handler import TrainerHandler
from rackswitch.membership import Membership, MemberState, MemberUpdate
from rackswitch.peers.links import PeerLinks
from rackswitch.table import DaemonRow, ModelRow, TableView, TrainerRow, choose_watchers
from rackswitch.telemetry import DecisionLog, Telemetry
from rackswitch.telemetry.events import Started, Stopped, Stopping
from rackswitch.web import WebServer
from rackswitch.web.handlers import add_route, json_response, make_application
from rackswitch.web.problems import Problem, problem_response

__all__ = ["Daemon"]

CLAIM_CLEANING_ROLE = "claim-cleaning"
CLAIM_CLEANING_INTERVAL_SECONDS = 30.0
FORWARDED_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
STOP_TIMEOUT_SECONDS = 120.0
BALANCER_NOTICE_SECONDS = 0.3
"""How long a stopping daemon still serves, so that the load balancer sees it not ready."""


class Daemon:
    """One daemon of the service, on one VM.

    Parameters
    ----------
    settings : DaemonSettings
        The daemon's settings.
    log_descriptor : int or None
        File descriptor of the decision log; None writes no log.
    """

    def __init__(self, settings: DaemonSettings, log_descriptor: int | None = None):
        self.settings = settings
        sessions = HttpSessions()
        seed = settings.seed or random.SystemRandom().randrange(1 << 60)
        rng = random.Random(seed)
        own = MemberUpdate(
            settings.daemon, settings.host, settings.peer_port, settings.zone,
            int(time.time() * 1000), MemberState.ALIVE,
        )  # fmt: skip
        telemetry = Telemetry(settings.daemon)
        self.context = DaemonContext(
            settings=settings,
            sessions=sessions,
            kv=KV_CLIENTS.get(settings.kv_protocol)(settings.kv_url, sessions),
            links=PeerLinks(settings.fleet_secret),
            view=TableView(),
            membership=Membership(own, settings.heartbeat_seconds, rng),
            telemetry=telemetry,
            log=DecisionLog(settings.daemon, log_descriptor, telemetry.events.count),
            rng=rng,
        )
        self.table = TableManager(self.context, self._announce)
        self.heartbeats = Heartbeats(
            self.context,
            VmListClient(settings.vm_list_url, sessions),
            self.table.record_peer_revision,
            self.table.confirmation_age_seconds,
            self._is_watcher,
        )
        self.roles = RoleManager(self.context, self._required_roles)
        self.limits = LimitManager(self.context, self.heartbeats)
        self.targets = TargetManager(self.context, lambda: set(self.heartbeats.leaving_targets))
        self.claims = ClaimStore(self.context)
        chooser = TargetChooser(self.context, self.targets)
        self.runner = SampleRunner(self.context, self.targets, chooser)
        self.ledgers = LedgerManager(self.context, self.roles, self.runner)
        weight_store = WeightStoreClient(settings.weight_store_url, sessions)
        self.rollouts = RolloutManager(self.context, self.roles, self.targets, weight_store)
        completions = CompletionDispatcher(self.context, self.targets, chooser)
        plain_client = PlainServiceClient(sessions)
        services = ServiceDispatcher(self.context, chooser, self.claims, plain_client)
        self.caller_handler = CallerHandler(self.context, completions, services, self.limits)
        self._peers = PeersService(
            self.context,
            self.heartbeats,
            self.limits,
            self.ledgers.call_here,
            self.runner.run_encoded,
        )
        self._server = WebServer(
            self._application(), settings.host, settings.port, settings.most_connections
        )

    @property
    def url(self) -> str:
        """The address for callers, trainers and operators."""
        return self._server.url

    @property
    def peer_port(self) -> int:
        """The port for other daemons."""
        return self.context.membership.own.peer_port

    async def start(self) -> None:
        """Start the listeners, fetch the table and start all duties."""
        peer_port = await self._peers.start(self.settings.host, self.settings.peer_port)
        own = self.context.membership.own
        self.context.membership.own = MemberUpdate(
            own.daemon, own.host, peer_port, own.zone, own.incarnation, own.state
        )
        await self._server.start()
        await self.heartbeats.refresh_vm_list()
        await self.table.boot()
        await self.targets.poll()
        for duty in (
            self.table.run(),
            self.heartbeats.run(),
            self.roles.run(),
            self.limits.run(),
            self.targets.run(),
            self.ledgers.run(),
            self.rollouts.run(),
            self._clean_claims(),
            self.context.log.run(),
        ):
            self.context.spawn_duty(duty)
        self.context.log.write(Started(zone=self.settings.zone))

    async def stop(self) -> None:
        """Stop as planned: release the roles, finish requests in flight, then close."""
        self.context.log.write(Stopping(requests_in_flight=self.context.in_flight.count))
        self.context.stopping = True
        self._server.announce_stop()
        self.context.membership.leave()
        await self.roles.update_roles()
        await self.heartbeats.announce()
        await asyncio.sleep(BALANCER_NOTICE_SECONDS)
        # Without this, callers that reconnect would keep requests in flight until the timeout.
        self._server.close_listener()
        is_drained = await self.context.in_flight.wait_idle(STOP_TIMEOUT_SECONDS)
        await self._server.stop()
        self.context.log.write(Stopped(whole=is_drained))
        await self._close()
        self.context.log.flush()

    async def crash(self) -> None:
        """Stop at once, as a killed process would (for tests)."""
        await self.context.cancel_all()
        await self._server.crash()
        await self._close()

    async def _close(self) -> None:
        await self._peers.stop()
        await self.context.cancel_all()
        self.context.links.close()
        await self.context.sessions.close()
        self.context.telemetry.close()

    async def _clean_claims(self) -> None:
        while True:
            await asyncio.sleep(CLAIM_CLEANING_INTERVAL_SECONDS)
            if self.roles.may_act(CLAIM_CLEANING_ROLE):
                await self.claims.clean(self.roles.fence(CLAIM_CLEANING_ROLE))

    async def _announce(self) -> None:
        await self.heartbeats.announce()

    def _is_watcher(self) -> bool:
        live = self.context.membership.live_zones()
        return self.settings.daemon in choose_watchers(live, self.settings.watchers_per_zone)

    def _required_roles(self) -> list[str]:
        view = self.context.view
        roles = [ledger_role(trainer.name) for trainer in view.rows(TrainerRow)]
        roles.append(CLAIM_CLEANING_ROLE)
        for model in view.rows(ModelRow):
            for partition in range(self.settings.rollout_partitions):
                roles.append(rollout_role(model.name, partition))
        return roles

    def _is_draining(self) -> bool:
        row = self.context.view.row(DaemonRow, self.settings.daemon)
        return row is not None and row.draining

    def _application(self):
        application = make_application()
        trainers = TrainerHandler(self.context, self.ledgers)
        admin = AdminHandler(self.context, self.table, self.heartbeats, self.roles)
        add_route(application, "POST", "/v1/completions", self.caller_handler.completions)
        for method in FORWARDED_METHODS:
            path = "/v1/services/{service}/{path:path}"
            add_route(application, method, path, self.caller_handler.service)
        add_route(application, "POST", "/v1/trainers/{trainer}/plans", trainers.plan)
        add_route(application, "POST", "/v1/trainers/{trainer}/draws", trainers.draw)
        add_route(application, "GET", "/admin/v1/table", admin.table)
        add_route(application, "GET", "/admin/v1/rows/{kind}/{name}", admin.get_row)
        add_route(application, "PUT", "/admin/v1/rows/{kind}/{name}", admin.put_row)
        add_route(application, "DELETE", "/admin/v1/rows/{kind}/{name}", admin.delete_row)
        add_route(application, "POST", "/admin/v1/edits", admin.edit)
        add_route(application, "GET", "/admin/v1/history", admin.history)
        add_route(application, "GET", "/admin/v1/status", admin.status)
        add_route(application, "GET", "/healthz", self._on_health)
        add_route(application, "GET", "/readyz", self._on_ready)
        add_route(application, "GET", "/metrics", self._on_metrics)
        return application

    async def _on_health(self, request: Request) -> Response:
        healthy = self.context.violated_invariant is None
        return json_response({"healthy": healthy}, 200 if healthy else 500)

    async def _on_ready(self, request: Request) -> Response:
        ready = self.table.is_ready and not self.context.stopping and not self._is_draining()
        body = {"ready": ready, "revision": self.context.view.revision}
        return json_response(body, 200 if ready else 503)

    async def _on_metrics(self, request: Request) -> Response:
        # The metrics name every tenant, so only operators may read them.
        token = self.settings.operator_token_sha256
        if find_operator(self.context.view, request, token) is None:
            return problem_response(Problem(401, "unauthorized", "Unknown bearer token."))
        return Response(200, content=Content(b"text/plain", self.context.telemetry.exposition()))
