"""The gateway daemon, set up from its parts."""

import asyncio
import random
import socket
from dataclasses import replace

from rackswitch.clocks import suspended_seconds
from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.callers.call_handler import CallHandler
from rackswitch.gateway.callers.caller_handler import CallerHandler
from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.gateway.callers.target_choice import TargetChooser
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.daemon_context import make_daemon_context
from rackswitch.gateway.daemon_snapshot import DaemonSnapshot, take_snapshot
from rackswitch.gateway.duties.duties import Duties
from rackswitch.gateway.early_callers import POLL_INTERVAL_SECONDS, EarlyCallers
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.load_poller import LoadPoller
from rackswitch.gateway.jobs.job_cleaner import JobCleaner
from rackswitch.gateway.jobs.job_handler import JobHandler
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.jobs.job_placer import ForwardedJobReceiver, JobPlacer
from rackswitch.gateway.jobs.job_reader import JobReader
from rackswitch.gateway.jobs.job_store import JobStore
from rackswitch.gateway.listeners import StatusPages, make_servers
from rackswitch.gateway.loop_delay_probe import run_loop_delay_probe
from rackswitch.gateway.peer_service import GatewayPeersService
from rackswitch.gateway.policy import PolicySettings
from rackswitch.gateway.quarantine.quarantine_manager import QuarantineManager
from rackswitch.gateway.reload import compare_settings
from rackswitch.gateway.role_preference import RolePreference
from rackswitch.gateway.start_forecast import STOP_MARGIN_SECONDS
from rackswitch.gateway.start_times import StartTimes
from rackswitch.gateway.store.control_entries import CONTROL_PREFIX, ControlEntries
from rackswitch.gateway.store.presence import Presence
from rackswitch.gateway.store.reachability import StoreReachability
from rackswitch.gateway.store.replica_manager import ReplicaManager
from rackswitch.gateway.store.role_entries import ROLES_PREFIX, RoleEntries
from rackswitch.gateway.store.session import Session
from rackswitch.gateway.store.state_manager import StateManager
from rackswitch.gateway.store.store_relay import ForwardedCalls
from rackswitch.gateway.versions.version_manager import VersionManager
from rackswitch.platform.connections import TargetSessions, body_budget_for
from rackswitch.platform.item_runs import ItemClient
from rackswitch.platform.names import OPERATOR_PREFIX, SERVERS_PREFIX
from rackswitch.platform.orders import OrderClient
from rackswitch.platform.settings import Address, NodeSettings
from rackswitch.platform.target_calls import TargetClient
from rackswitch.routing import ListedTarget, ReportedLoad
from rackswitch.telemetry.events import (
    HandOverTimedOut,
    IdleConnectionsClosed,
    ListenerClosed,
    Reloaded,
    RequestRefused,
    ServerStopped,
    Started,
    Stopped,
    Stopping,
    StoreCalls,
    VmSuspended,
)

__all__ = ["Gateway"]

LOG_FLUSH_INTERVAL_SECONDS = 0.01
"""Interval between attempts to write the last log lines if their reader is slow."""

STORE_CALLS_LOG_INTERVAL_SECONDS = 10.0
"""Interval between log lines with the number of calls to the key-value service."""

START_LOG_DELAY_SECONDS = 10.0
"""How long the log line about the start waits for a first job and a first item."""

UNLISTED_CHECK_INTERVAL_SECONDS = 5.0
"""Interval between checks for target starts that are no longer listed."""

BALANCER_DRAIN_SECONDS = 2.5
"""How long a stopping daemon still accepts connections: the balancer checks readiness every second
and removes a daemon after two failed checks."""

FIRST_READ_WAIT_SECONDS = 0.5
"""How long callers' connections that arrived during the start wait for the first read of the table
and the targets. Before it, all requests are refused, and a caller that has only one retry may give
up."""

MIN_SUSPENSION_SECONDS = 0.5
"""Shorter suspensions are ignored: they are no worse than a pause of the processor, and idle
connections stay open for 4 s and more."""


class Gateway:
    """The daemon of one VM.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the daemon.
    log_descriptor : int or None
        File descriptor of the decision log; standard output by default, None for no log.
    policy : PolicySettings, optional
        Switches of the gateway's mechanisms; the defaults if left out.
    sockets : dict of Address to socket, optional
        Listening sockets that are already open. The servers of these addresses take them over and
        remove them from the dictionary.
    early_callers : EarlyCallers, optional
        Callers whose requests were read while the process started.
    start_times : StartTimes, optional
        Parts of the start that were reached before; by default the start begins now.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log_descriptor: int | None = 1,
        policy: PolicySettings | None = None,
        sockets: dict[Address, socket.socket] | None = None,
        early_callers: EarlyCallers | None = None,
        start_times: StartTimes | None = None,
    ):
        self.settings = settings
        sockets = {} if sockets is None else sockets
        self._early_callers = early_callers
        self._callers_wait = settings.callers in sockets
        policy = policy or PolicySettings()
        rng = random.Random(random.SystemRandom().randrange(1 << 60))
        parts = make_daemon_context(settings, rng, log_descriptor, policy)
        self.direct_transport = parts.direct
        self.log = parts.context.log
        self.context = GatewayContext(settings, parts.context, StoreReachability(self.log), policy)
        if start_times is not None:
            self.context.start_times = start_times
        has_regions = self.context.regions.has_regions
        self._sessions = TargetSessions(
            self._record_load_report,
            self.context.record_round_trip if has_regions else None,
            body_budget_for(settings.memory_mb),
        )
        parts.context.links.extra_timeout_seconds = self.context.extra_timeout_seconds
        self._suspended_seconds = suspended_seconds()
        self.quarantine = QuarantineManager(self.context, lambda: self.replicas.is_complete)
        self.state = StateManager(self.context, self.quarantine.end_detector)
        self.session = Session(self.context, self._session_lost, self._owns_jobs)
        self._role_entries = RoleEntries()
        self.roles = RoleManager(
            parts.context,
            self._required_roles,
            lambda role: self._role_preference.holder(role),
            ROLES_PREFIX,
            self._vacant_seconds,
            lambda role: self._role_preference.reserved_until_seconds(role),
        )
        target_chooser = TargetChooser(self.context)
        self.request_dispatcher = RequestDispatcher(
            self.context,
            target_chooser,
            TargetClient(self._sessions),
            self.quarantine,
            target_chooser.estimates,
        )
        self.state.on_targets_excluded = self.request_dispatcher.record_targets_excluded
        job_store = JobStore(self.context)
        paces = EnginePaces()
        item_runner = ItemRunner(
            self.context,
            ItemClient(self._sessions),
            self.request_dispatcher,
            paces,
            self.quarantine,
        )
        orders = OrderClient(self._sessions)
        load_poller = LoadPoller(
            self.context, orders, item_runner.occupancy, item_runner.record_memory
        )
        self.jobs = JobManager(self.context, self.session, job_store, item_runner, load_poller)
        self.versions = VersionManager(
            self.context,
            self.roles,
            orders,
            self.jobs.known.oldest_usable_version,
            paces,
        )
        self._job_cleaner = JobCleaner(self.context, self.jobs.known, job_store)
        job_reader = JobReader(self.context, self.jobs, job_store, self.session)
        self._duties = Duties(self.context, self.roles, self.jobs.known)
        self._role_preference = RolePreference(
            self.context, (self._duties.role_turns(), self.versions.role_turns())
        )
        control_entries = ControlEntries(
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
            CONTROL_PREFIX: control_entries.handlers(),
        }
        self.replicas = ReplicaManager(self.context, handlers, paces, CONTROL_PREFIX)
        self.context.cold_sends.is_view_complete = lambda: self.replicas.is_complete
        self.presence = Presence(self.context, settings.peer_ports[0], self.replicas.members_read)
        forwarded_calls = ForwardedCalls(self.context, parts.relay)
        self._peers = GatewayPeersService(
            self.context,
            self.replicas.server,
            job_reader,
            self.jobs,
            forwarded_calls,
            ForwardedJobReceiver(self.context, self.jobs),
            self._duties.usage,
            self.quarantine,
        )
        caller_handler = CallerHandler(
            self.context,
            CallHandler(self.context, self.request_dispatcher),
            JobHandler(self.context, self.jobs, job_reader, JobPlacer(self.context, self.jobs)),
        )
        pages = StatusPages(self.context, self.replicas, self.snapshot)
        self._servers = make_servers(self.context, caller_handler, pages, sockets)

    async def start(self) -> None:
        """Start listening and start all background tasks.

        Connections of callers that already wait are accepted after the first read of the table and
        the targets, or after `FIRST_READ_WAIT_SECONDS`.
        """
        waiting_count = 1 if self._callers_wait else 0
        for server in self._servers[waiting_count:]:
            await server.start()
        await self._peers.start(self.settings.host, self.settings.peer_ports[0])
        for task in (
            self.replicas.run(),
            self.presence.run(),
            self.session.run(),
            self.roles.run(),
            self.versions.run(),
            self.jobs.run(),
            self._job_cleaner.run(),
            self.quarantine.run(),
            *self._duties.background_tasks(),
            self.log.run(),
            self._check_jobs_after_first_reads(),
            self._log_store_calls(),
            run_loop_delay_probe(self.context),
            self._forget_unlisted_targets(),
            self.context.cold_sends.run(),
        ):
            self.context.daemon.spawn_duty(task)
        for server in self._servers[:waiting_count]:
            await self._wait_for_first_read()
            callers = self._early_callers.take() if self._early_callers is not None else ()
            await server.start(callers)
        self._log_early_refusals()
        self.context.daemon.spawn(self._log_start_times())
        self.log.write(Started(zone=self.settings.zone, machine_class=self.settings.machine_class))

    async def _wait_for_first_read(self) -> None:
        """Wait for the first read of the table and targets, and read early callers meanwhile."""
        until_seconds = self.context.now_seconds() + FIRST_READ_WAIT_SECONDS
        has_state = False
        while not has_state and self.context.now_seconds() < until_seconds:
            if self._early_callers is not None:
                self._early_callers.poll()
            has_state = await self.replicas.wait_for_first_read(POLL_INTERVAL_SECONDS)
        if self._early_callers is not None:
            self._early_callers.poll()

    def _log_early_refusals(self) -> None:
        for refusal in self._early_callers.refusals if self._early_callers is not None else ():
            self.log.write(
                RequestRefused(
                    request=refusal.request_id,
                    path=refusal.path,
                    status=503,
                    detail=refusal.detail,
                    table_revision=0,
                )
            )

    async def stop(self, requested_seconds: float | None = None) -> None:
        """Stop as planned: hand over roles and jobs, finish the requests in flight, then end.

        Parameters
        ----------
        requested_seconds : float, optional
            When the stop was requested (event loop time), from which the grace period counts; now
            if left out.
        """
        if requested_seconds is None:
            requested_seconds = self.context.now_seconds()
        deadline_seconds = (
            requested_seconds + self.settings.stop_grace_seconds - STOP_MARGIN_SECONDS
        )
        self.log.write(Stopping(requests_in_flight=self.context.daemon.in_flight.count))
        self.context.daemon.stopping = True
        self.context.stop_deadline_seconds = deadline_seconds
        for server in self._servers:
            server.announce_stop()
        self.context.daemon.membership.leave()
        # A stop that was requested during a long start has less time left.
        drain_seconds = min(BALANCER_DRAIN_SECONDS, deadline_seconds - self.context.now_seconds())
        balancer_drain = asyncio.create_task(asyncio.sleep(max(0.0, drain_seconds)))
        try:
            async with asyncio.timeout_at(deadline_seconds):
                await self.presence.announce_leaving()
                await asyncio.gather(self.roles.update_roles(), self.jobs.hand_over())
        except TimeoutError:
            # Other daemons take over the rest when this daemon's leases expire.
            self.log.write(HandOverTimedOut(jobs=list(self.jobs.owned)))
        await balancer_drain
        if self.context.daemon.in_flight.count > 0:
            # Otherwise callers that reconnect could keep requests in flight until the deadline.
            self._close_listener()
            await self._close_idle_connections()
        remaining_seconds = deadline_seconds - self.context.now_seconds()
        completed = await self.context.daemon.in_flight.wait_idle(max(0.0, remaining_seconds))
        await self._duties.hand_over()
        await self.session.end()
        completed = await self._finish_serving(deadline_seconds) and completed
        self.log.write(Stopped(whole=completed))
        while self.log.flush() and self.context.now_seconds() < deadline_seconds:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_SECONDS)

    def _close_listener(self) -> None:
        """Accept no further connections of callers."""
        server = self._servers[0]
        if server.is_listening:
            self.log.write(ListenerClosed(backlog_accepted=server.close_listener()))

    async def _close_idle_connections(self) -> None:
        """Have callers with unused connections send their next requests to other daemons.

        They learn of the stop only with their next response, and requests that take long could not
        end here any more.
        """
        closed_count = await self._servers[0].close_idle_connections()
        self.log.write(IdleConnectionsClosed(closed=closed_count))

    async def _finish_serving(self, deadline_seconds: float) -> bool:
        """Stop the servers; return whether all received requests were answered in time.

        Callers may still send requests on open connections; the end of the process must not cut
        these off.
        """
        self._close_listener()
        reports = await asyncio.gather(*(server.stop(deadline_seconds) for server in self._servers))
        report = reports[0]
        self.log.write(
            ServerStopped(
                connections_open=report.open_count,
                connections_idle=report.idle_count,
                requests_cancelled=report.cancelled_count,
            )
        )
        return report.cancelled_count == 0

    async def crash(self) -> None:
        """End at once like a killed process (for tests)."""
        await self.context.daemon.cancel_all()
        for server in self._servers:
            await server.crash()
        await self.close()

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        await self.context.daemon.cancel_all()
        await self._peers.stop()
        self.context.daemon.links.close()
        await self.context.daemon.sessions.close()
        await self._sessions.close()
        self.context.daemon.telemetry.close()

    def snapshot(self) -> DaemonSnapshot:
        """Return a snapshot of this daemon's state."""
        return take_snapshot(self.context, self.replicas, self.presence, self.roles, self.jobs)

    @property
    def url(self) -> str:
        """URL for callers of this daemon."""
        return self._servers[0].url

    def settings_changed(self, settings: NodeSettings) -> None:
        """Apply settings that changed while this daemon runs."""
        changes = compare_settings(self.settings, settings)
        self.settings = settings
        self.context.settings = settings
        self.direct_transport.url = settings.kv_url
        self.log.write(Reloaded(applied=changes.applied, needs_restart=changes.needs_restart))

    def check_suspension(self) -> None:
        """Drop idle connections if the VM was suspended since the last call."""
        before_seconds = self._suspended_seconds
        self._suspended_seconds = suspended_seconds()
        duration_seconds = self._suspended_seconds - before_seconds
        if duration_seconds >= MIN_SUSPENSION_SECONDS:
            self.log.write(VmSuspended(for_seconds=round(duration_seconds, 3)))
            self._sessions.close_idle_connections()

    def _record_load_report(self, target: ListedTarget, reported_load: ReportedLoad) -> None:
        if self.context.cold_sends.is_limited(target, self.context.now_seconds()):
            # The pace of a cold target says nothing about its pace once it is warm.
            reported_load = replace(reported_load, pace=None)
        self.context.load_estimator.record_report(target.start, target.service, reported_load)

    def _session_lost(self) -> None:
        self.jobs.session_lost()

    def _owns_jobs(self) -> bool:
        return bool(self.jobs.owned)

    def _vacant_seconds(self, role: str) -> float | None:
        return self._role_entries.vacant_seconds(role, self.context.now_seconds())

    def _required_roles(self) -> list[str]:
        # The last holders are known only once the replicas are complete.
        if not self.replicas.is_complete:
            return []
        return [*self.versions.required_roles(), *self._duties.required_roles()]

    async def _check_jobs_after_first_reads(self) -> None:
        """Claim jobs and start items as soon as the entries that this depends on are known."""
        for is_read in (self.replicas.members_read, self.replicas.state_read):
            await is_read.wait()
            self.jobs.check_now()

    async def _log_start_times(self) -> None:
        await self.context.start_times.wait_for_all(START_LOG_DELAY_SECONDS)
        self.log.write(self.context.start_times.event())

    async def _log_store_calls(self) -> None:
        calls = getattr(self.context.kv, "calls_by_path", {})
        while True:
            repeated = {"repeated": self.direct_transport.repeat_count}
            self.log.write(StoreCalls(calls={**calls, **repeated}))
            await asyncio.sleep(STORE_CALLS_LOG_INTERVAL_SECONDS)

    async def _forget_unlisted_targets(self) -> None:
        while True:
            self.context.remove_unlisted_estimates()
            self.context.refresh_path_delays()
            await asyncio.sleep(UNLISTED_CHECK_INTERVAL_SECONDS)
