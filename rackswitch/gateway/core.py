"""One gateway, put together from its parts."""

import asyncio
import random

from rackswitch.clocks import suspended_seconds
from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.callers.call_handler import CallHandler
from rackswitch.gateway.callers.caller_handler import CallerHandler
from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.daemon_context import make_daemon_context
from rackswitch.gateway.daemon_snapshot import DaemonSnapshot, beliefs_of
from rackswitch.gateway.duties.duties import Duties
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.load_poller import LoadPoller
from rackswitch.gateway.jobs.job_cleaner import JobCleaner
from rackswitch.gateway.jobs.job_handler import JobHandler
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_placer import AdoptedJobs, JobPlacer
from rackswitch.gateway.jobs.job_reader import JobReader
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.listeners import StatusPages, listeners
from rackswitch.gateway.peer_service import GatewayPeersService
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.reload import compare_settings
from rackswitch.gateway.store.control_entries import CONTROL_PREFIX, ControlEntries
from rackswitch.gateway.store.presence import Presence
from rackswitch.gateway.store.reachability import StoreReachability
from rackswitch.gateway.store.role_entries import ROLES_PREFIX, RoleEntries
from rackswitch.gateway.store.session import Session
from rackswitch.gateway.store.state_manager import StateManager
from rackswitch.gateway.store.store_relay import ForwardedCalls
from rackswitch.gateway.store.watching import ReplicaManager
from rackswitch.gateway.versions.version_manager import VersionManager
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.item_runs import ItemClient
from rackswitch.platform.names import OPERATOR_PREFIX, SERVERS_PREFIX
from rackswitch.platform.orders import OrderClient
from rackswitch.platform.settings import NodeSettings
from rackswitch.platform.target_calls import TargetClient
from rackswitch.routing import ListedTarget, ReportedLoad
from rackswitch.telemetry.events import (
    HandOverGivenUp,
    MachineSuspended,
    Reloaded,
    Started,
    Stopped,
    Stopping,
    StoreCalls,
)

__all__ = ["Gateway"]

LAST_LINES_SECONDS = 0.01
"""Between tries to write the last lines while their reader is slow."""

COUNTS_LOG_SECONDS = 10.0
"""Between log lines that tell how many calls the key-value service got so far."""

FORGET_SECONDS = 5.0
"""Between looks for starts of targets that have gone."""

BALANCER_NOTICE_SECONDS = 2.5
"""How long a stopping daemon still takes connections: the balancer asks each second and
leaves a daemon out that has said no twice."""

FLEET_START_SECONDS = 1.0
"""After a loss of all processes, how long another one may need more than this one to appear
among the members: all start within some 0.3 s, and a session takes another 0.1 s."""

NOTICED_SUSPENSION_SECONDS = 0.5
"""Shorter ones are as good as a pause of the processor; connections rest for 4 s and more."""

STOP_MARGIN_SECONDS = 1.0
"""What is left of the grace when the last requests are given up."""


class Gateway:
    """The daemon of one VM.

    Parameters
    ----------
    settings : NodeSettings
        Its settings.
    log_descriptor : int or None
        Where its decisions are logged: standard output by default, None for nowhere.
    policy : PolicySettings, optional
        Mechanisms that are switched on; all by default.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log_descriptor: int | None = 1,
        policy: PolicySettings | None = None,
    ):
        self.settings = settings
        policy = policy or PolicySettings()
        rng = random.Random(random.SystemRandom().randrange(1 << 60))
        made = make_daemon_context(settings, rng, log_descriptor, policy)
        self.direct = made.direct
        self.log = made.context.log
        self.context = GatewayContext(settings, made.context, StoreReachability(self.log), policy)
        self._sessions = TargetSessions(self._word_heard)
        self._started_seconds = float("-inf")
        self._suspended_seconds = suspended_seconds()
        self.quarantine = QuarantineManager(self.context, lambda: self.copies.is_complete)
        self.state = StateManager(self.context, self.quarantine.watch)
        self.session = Session(self.context, self._session_lost, self._owns_jobs)
        self._role_entries = RoleEntries()
        self.roles = RoleManager(
            made.context,
            self._wanted_roles,
            self._preferred_holder,
            ROLES_PREFIX,
            self._vacant_seconds,
        )
        chooser = TargetChooser(self.context)
        self.front = RequestDispatcher(
            self.context, chooser, TargetClient(self._sessions), self.quarantine, chooser.places
        )
        job_store = JobStore(self.context)
        paces = EnginePaces()
        runner = ItemRunner(
            self.context, ItemClient(self._sessions), self.front, paces, self.quarantine
        )
        orders = OrderClient(self._sessions)
        looks = LoadPoller(self.context, orders, runner.occupancy, runner.hear_memory)
        self.jobs = JobManager(self.context, self.session, job_store, runner, looks)
        self.versions = VersionManager(
            self.context,
            self.roles,
            orders,
            self.jobs.known.oldest_usable_version,
            paces,
        )
        self._cleaner = JobCleaner(self.context, self.jobs.known, job_store)
        reader = JobReader(self.context, self.jobs, job_store, self.session)
        self._duties = Duties(self.context, self.roles, self.jobs.known)
        control = ControlEntries(
            self.context,
            self.jobs,
            self.versions,
            self._role_entries,
            self.roles,
            self._duties.turns,
            self.quarantine,
        )
        handlers = {
            OPERATOR_PREFIX: self.state.operator_handlers(),
            SERVERS_PREFIX: self.state.target_handlers(),
            CONTROL_PREFIX: control.handlers(),
        }
        self.copies = ReplicaManager(self.context, handlers, paces, CONTROL_PREFIX)
        self.presence = Presence(self.context, settings.peer_ports[0], self.copies.looked)
        passed_on = ForwardedCalls(self.context, made.relay)
        self._peers = GatewayPeersService(
            self.context,
            self.copies.server,
            reader,
            self.jobs,
            passed_on,
            AdoptedJobs(self.context, self.jobs),
            self._duties.usage,
            self.quarantine,
        )
        edge = CallerHandler(
            self.context,
            CallHandler(self.context, self.front),
            JobHandler(self.context, self.jobs, reader, JobPlacer(self.context, self.jobs)),
        )
        pages = StatusPages(self.context, self.copies, self.beliefs)
        self._servers = listeners(self.context, edge, pages)

    async def start(self) -> None:
        """Listen and begin all duties."""
        self._started_seconds = self.context.now_seconds()
        for server in self._servers:
            await server.start()
        await self._peers.start(self.settings.host, self.settings.peer_ports[0])
        for duty in (
            self.copies.run(),
            self.presence.run(),
            self.session.run(),
            self.roles.run(),
            self.versions.run(),
            self.jobs.run(),
            self._cleaner.run(),
            self.quarantine.run(),
            *self._duties.background_tasks(),
            self.log.run(),
            self._count_calls(),
            self._forget_unlisted(),
        ):
            self.context.daemon.spawn_duty(duty)
        self.log.write(Started(zone=self.settings.zone, machine_class=self.settings.machine_class))

    async def stop(self) -> None:
        """Stop as planned: hand over, serve what still comes, finish, then end."""
        deadline_seconds = (
            self.context.now_seconds() + self.settings.stop_grace_seconds - STOP_MARGIN_SECONDS
        )
        self.log.write(Stopping(requests_in_flight=self.context.daemon.in_flight.count))
        self.context.daemon.stopping = True
        self.context.daemon.membership.leave()
        notice = asyncio.create_task(asyncio.sleep(BALANCER_NOTICE_SECONDS))
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await self.presence.tell_leaving()
                await asyncio.gather(self.roles.tend(), self.jobs.hand_over())
        except TimeoutError:
            # What was not handed over is taken over when this daemon's leases are over.
            self.log.write(HandOverGivenUp(jobs=list(self.jobs.owned)))
        await notice
        left_seconds = deadline_seconds - self.context.now_seconds()
        whole = await self.context.daemon.in_flight.wait_idle(max(0.0, left_seconds))
        await self._duties.hand_over()
        await self.session.end()
        whole = await self._finish_serving(deadline_seconds) and whole
        self.log.write(Stopped(whole=whole))
        while self.log.pump() and self.context.now_seconds() < deadline_seconds:
            await asyncio.sleep(LAST_LINES_SECONDS)

    async def _finish_serving(self, deadline_seconds: float) -> bool:
        """Take nothing more, and return whether all that had come was answered in time.

        Callers use their open connections to the end: without this, what they sent during the
        last moments would be cut by the process's end.
        """
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await asyncio.gather(*(server.stop() for server in self._servers))
        except TimeoutError:
            return False
        return True

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

    def beliefs(self) -> DaemonSnapshot:
        """Return what this daemon believes now."""
        return beliefs_of(self.context, self.copies, self.presence, self.roles, self.jobs)

    @property
    def url(self) -> str:
        """Where callers reach this daemon."""
        return self._servers[0].url

    def settings_changed(self, settings: NodeSettings) -> None:
        """Take in settings that changed while this daemon runs."""
        changes = compare_settings(self.settings, settings)
        self.settings = settings
        self.context.settings = settings
        self.direct.url = settings.kv_url
        self.log.write(Reloaded(applied=changes.applied, needs_restart=changes.needs_restart))

    def look_at_clocks(self) -> None:
        """Take in that the machine was suspended, if it was since the last look."""
        before_seconds = self._suspended_seconds
        self._suspended_seconds = suspended_seconds()
        for_seconds = self._suspended_seconds - before_seconds
        if for_seconds >= NOTICED_SUSPENSION_SECONDS:
            self.log.write(MachineSuspended(for_seconds=round(for_seconds, 3)))
            self._sessions.drop_unused()

    def _word_heard(self, target: ListedTarget, word: ReportedLoad) -> None:
        self.context.load_estimator.heard(target.start, target.service, word)

    def _session_lost(self) -> None:
        self.jobs.session_lost()

    def _owns_jobs(self) -> bool:
        return bool(self.jobs.owned)

    def _vacant_seconds(self, role: str) -> float | None:
        return self._role_entries.vacant_seconds(role, self.context.now_seconds())

    def _wanted_roles(self) -> list[str]:
        # Who ordered last is known once the copies are.
        if not self.copies.is_complete:
            return []
        return [*self.versions.wanted_roles(), *self._duties.wanted_roles()]

    def _preferred_holder(self, role: str) -> str | None:
        """Return who ordered last if that daemon is there, or is probably just starting too."""
        holder = self._duties.last_holder(role) or self.versions.last_holder(role)
        now_seconds = self.context.now_seconds()
        starting = now_seconds < self._started_seconds + FLEET_START_SECONDS
        if holder in self.context.daemon.membership.live() or starting:
            return holder
        return None

    async def _count_calls(self) -> None:
        calls = getattr(self.context.kv, "calls_by_path", {})
        while True:
            self.log.write(StoreCalls(calls=dict(calls)))
            await asyncio.sleep(COUNTS_LOG_SECONDS)

    async def _forget_unlisted(self) -> None:
        while True:
            self.context.forget_unlisted()
            await asyncio.sleep(FORGET_SECONDS)
