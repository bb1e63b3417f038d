"""Sets up the parts that call the operators' API."""

import time
from collections.abc import Coroutine
from typing import Any

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_ROLE, DUTIES_TURN
from rackswitch.gateway.duties.scaling_manager import ScalingManager
from rackswitch.gateway.duties.usage_gathering import UsageGatherer
from rackswitch.gateway.duties.usage_reporter import UsageReporter
from rackswitch.gateway.duties.usage_service import UsageService
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.role_preference import RoleTurns
from rackswitch.gateway.turns import TurnManager
from rackswitch.platform.duty_calls import DutyClient
from rackswitch.usage import UsageCounts, UsageWindows

__all__ = ["Duties"]


class Duties:
    """One daemon's part in the duties that a single holder carries out.

    Parameters
    ----------
    context : GatewayContext
        The daemon; its usage counts are replaced by ones with the windows of the settings.
    roles : RoleManager
        Manages this daemon's leases on roles.
    known_jobs : KnownJobs
        All jobs of the fleet.

    Attributes
    ----------
    turns : TurnManager
        Decides when this daemon may call the operators' API.
    usage : UsageService
        Serves the usage counts of this daemon to others.
    """

    __slots__ = ("_context", "_known_jobs", "turns", "usage")

    def __init__(self, context: GatewayContext, roles: RoleManager, known_jobs: KnownJobs):
        self._context = context
        self._known_jobs = known_jobs
        self.turns = TurnManager(context, roles)
        settings = context.settings.duties
        if settings is not None:
            windows = UsageWindows(settings.window_seconds, settings.late_seconds)
            context.usage = UsageCounts(windows, time.time())
        self.usage = UsageService(context, context.usage)

    def required_roles(self) -> list[str]:
        """Return the roles that the settings require."""
        return [DUTIES_ROLE] if self._context.settings.duties is not None else []

    def role_turns(self) -> RoleTurns:
        """Return the last turn of the duties role; any other role has no last holder here."""
        group = DUTIES_TURN.group
        return RoleTurns(
            lambda role: self.turns.last_holder(group) if role == DUTIES_ROLE else None,
            lambda role: self.turns.may_act_from_seconds(group),
        )

    def background_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines to run until the daemon stops."""
        settings = self._context.settings.duties
        if settings is None:
            return []
        client = DutyClient(settings.url, self._context.daemon.sessions)
        tasks: list[Coroutine[Any, Any, None]] = []
        if settings.reports_usage:
            gatherer = UsageGatherer(self._context, self._context.usage)
            windows = self._context.usage.windows
            reporter = UsageReporter(self._context, self.turns, client, gatherer, windows)
            tasks.append(reporter.run())
        if settings.orders_engines:
            scaling = ScalingManager(
                self._context, self.turns, client, self._known_jobs, settings.calls_per_second
            )
            tasks.append(scaling.run())
        return tasks

    async def hand_over(self) -> None:
        """Hand over the usage counts to a daemon that keeps running."""
        settings = self._context.settings.duties
        if settings is None or not settings.reports_usage:
            return
        windows = self._context.usage.windows
        oldest_window = windows.number_at(time.time() - windows.allowed_late_seconds)
        await self.usage.hand_over(oldest_window)
