"""Everything that a gateway does towards the operators' API, put together."""

import time
from collections.abc import Coroutine
from typing import Any

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_ROLE, DUTIES_TURN
from rackswitch.gateway.duties.scaling_manager import ScalingManager
from rackswitch.gateway.duties.usage_gathering import UsageGathering
from rackswitch.gateway.duties.usage_reporter import UsageReporter
from rackswitch.gateway.duties.usage_service import UsageService
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.turns import TurnManager
from rackswitch.platform.duty_calls import DutyClient
from rackswitch.usage import UsageCounts, UsageWindows

__all__ = ["Duties"]


class Duties:
    """One daemon's part in the duties of one holder.

    Parameters
    ----------
    context : GatewayContext
        The daemon; it counts usage from now on as the settings cut time.
    roles : RoleManager
        Leases on roles.
    known : KnownJobs
        All jobs of the fleet.

    Attributes
    ----------
    turns : TurnManager
        Who calls the operators' API.
    usage : UsageService
        What was counted here.
    """

    __slots__ = ("_context", "_known", "turns", "usage")

    def __init__(self, context: GatewayContext, roles: RoleManager, known: KnownJobs):
        self._context = context
        self._known = known
        self.turns = TurnManager(context, roles)
        settings = context.settings.duties
        if settings is not None:
            windows = UsageWindows(settings.window_seconds, settings.late_seconds)
            context.usage = UsageCounts(windows, time.time())
        self.usage = UsageService(context, context.usage)

    def wanted_roles(self) -> list[str]:
        """Return the roles that the settings call for."""
        return [DUTIES_ROLE] if self._context.settings.duties is not None else []

    def last_holder(self, role: str) -> str | None:
        """Return the daemon that held the role last; None if it is another role."""
        return self.turns.last_holder(DUTIES_TURN.group) if role == DUTIES_ROLE else None

    def runs(self) -> list[Coroutine[Any, Any, None]]:
        """Return what is to be run until the daemon ends."""
        settings = self._context.settings.duties
        if settings is None:
            return []
        client = DutyClient(settings.url, self._context.daemon.sessions)
        work: list[Coroutine[Any, Any, None]] = []
        if settings.reports_usage:
            gathering = UsageGathering(self._context, self._context.usage)
            windows = self._context.usage.windows
            usage = UsageReporter(self._context, self.turns, client, gathering, windows)
            work.append(usage.run())
        if settings.orders_engines:
            scale = ScalingManager(
                self._context, self.turns, client, self._known, settings.calls_per_second
            )
            work.append(scale.run())
        return work

    async def hand_over(self) -> None:
        """Leave what was counted to a daemon that goes on."""
        settings = self._context.settings.duties
        if settings is None or not settings.reports_usage:
            return
        windows = self._context.usage.windows
        oldest = windows.number_at(time.time() - windows.allowed_late_seconds)
        await self.usage.hand_over(oldest)
