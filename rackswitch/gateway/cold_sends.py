"""What this daemon may send to targets that are cold or have just become warm."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from rackswitch.daemon.context import DaemonContext
from rackswitch.outcomes import BrokenInvariant
from rackswitch.platform.settings import NodeSettings
from rackswitch.routing import ListedTarget, TargetDirectory, WorkKind
from rackswitch.table import Handling, RouteRow, ServiceRow
from rackswitch.telemetry.events import ColdTargetHeld, ColdTargetSent, TargetCold, TargetWarm
from rackswitch.warmup import (
    ColdBudget,
    ColdTargets,
    ColdTerms,
    SenderViews,
    SendPlan,
    Warmth,
    plan_sends,
    sender_factor,
    warmth,
)

__all__ = ["ColdSends", "ColdSource"]

UPDATE_INTERVAL_SECONDS = 0.2
"""Interval between two samples of the known daemons while no target is cold. As entries are delayed
by up to 0.8 s, a view is at most 1 s old."""

SAMPLE_INTERVAL_SECONDS = 0.1
"""Minimum interval between two samples while targets are cold."""


class TargetStart(Protocol):
    """A start of a target, and its service."""

    @property
    def start(self) -> str:
        """Key of the start, as `ListedTarget.start`."""

    @property
    def service(self) -> str:
        """The service."""


class ColdSource(Enum):
    """Why a target counts as cold, as it is logged."""

    ENTRY = "entry"
    EVACUATION_ENDED = "evacuation ended"


@dataclass(frozen=True, slots=True)
class _ColdService:
    """What limits the sends to the cold targets of a service.

    Attributes
    ----------
    kind_count : int
        Kinds of work that it gets by the table's routes.
    """

    terms: ColdTerms
    kind_count: int


class ColdSends:
    """Applies the limits on cold targets to this daemon's sends.

    Parameters
    ----------
    daemon : DaemonContext
        The daemon.
    directory : TargetDirectory
        The listed targets.
    settings : callable
        Returns the settings in force.

    Attributes
    ----------
    targets : ColdTargets
        Until when each start is cold.
    job_owners : callable
        Returns the daemons that own open jobs.
    is_view_complete : callable
        Returns whether the members and jobs of the fleet have been read since this daemon started.
        Until then it sends nothing to cold targets: it might take itself for the only sender.
    """

    __slots__ = (
        "_budgets",
        "_daemon",
        "_directory",
        "_known_cold",
        "_services",
        "_services_revision",
        "_services_settings",
        "_sampled_at_seconds",
        "_settings",
        "_unlogged",
        "_views",
        "is_view_complete",
        "job_owners",
        "targets",
    )

    def __init__(
        self,
        daemon: DaemonContext,
        directory: TargetDirectory,
        settings: Callable[[], NodeSettings],
    ):
        self._daemon = daemon
        self._directory = directory
        self._settings = settings
        self.targets = ColdTargets()
        self.job_owners: Callable[[], Iterable[str]] = lambda: (settings().daemon,)
        self.is_view_complete: Callable[[], bool] = lambda: True
        self._views = {kind: SenderViews() for kind in WorkKind}
        self._budgets: dict[tuple[str, WorkKind], ColdBudget] = {}
        self._known_cold: dict[str, ListedTarget] = {}
        self._unlogged: dict[str, tuple[ListedTarget, ColdSource]] = {}
        self._sampled_at_seconds = float("-inf")
        self._services_revision = -1
        self._services_settings: NodeSettings | None = None
        self._services: dict[str, _ColdService] = {}

    # Which targets are cold

    def record_entry(self, target: ListedTarget, revision: int) -> None:
        """Apply a target's entry."""
        now_seconds = self._daemon.now_seconds()
        became_cold = self.targets.record_entry(
            target.instance, target.start, revision, target.cold_left_seconds, now_seconds
        )
        if became_cold:
            self._log_cold(target, ColdSource.ENTRY, now_seconds)

    def mark_zone_cold(self, zone: str) -> None:
        """Make the targets of a zone cold whose evacuation has ended, for their service's time."""
        now_seconds = self._daemon.now_seconds()
        for target in self._directory.entries.values():
            row = self._daemon.view.row(ServiceRow, target.service)
            if target.zone != zone or row is None or row.cold_seconds <= 0:
                continue
            if self.targets.mark_cold(target.start, now_seconds + row.cold_seconds):
                self._log_cold(target, ColdSource.EVACUATION_ENDED, now_seconds)

    def warmth(self, target: TargetStart, now_seconds: float) -> Warmth:
        """Return the phase of a target; always warm if its service's targets are never cold."""
        if self.targets.until_seconds(target.start) == float("-inf"):
            return Warmth.WARM
        if target.service not in self._cold_services():
            return Warmth.WARM
        self._sample_if_due(now_seconds)
        return warmth(self.targets.until_seconds(target.start), now_seconds)

    def is_limited(self, target: TargetStart, now_seconds: float) -> bool:
        """Return whether sends to a target are limited, as it is or was just cold."""
        return self.warmth(target, now_seconds) is not Warmth.WARM

    def cold_left_seconds(self) -> dict[str, float]:
        """Return how much longer the listed targets are cold, by instance."""
        now_seconds = self._daemon.now_seconds()
        return {
            target.instance: round(self.targets.until_seconds(target.start) - now_seconds, 3)
            for target in self._directory.entries.values()
            if self.warmth(target, now_seconds) is Warmth.COLD
        }

    # What may be sent to them

    def may_send(self, target: ListedTarget, kind: WorkKind, now_seconds: float) -> bool:
        """Return whether this daemon may send a request to a target now."""
        return self.next_send_seconds(target, kind, now_seconds) <= now_seconds

    def next_send_seconds(self, target: ListedTarget, kind: WorkKind, now_seconds: float) -> float:
        """Return when this daemon may next send to a target.

        Returns
        -------
        float
            Minus infinity if it may do so at any time; infinite if other daemons are the target's
            senders now.
        """
        if not self.is_limited(target, now_seconds):
            return float("-inf")
        if not self._is_sender(target, kind, now_seconds):
            return float("inf")
        return self._budget(target.service, kind).next_send_seconds(target.start)

    def try_send(self, target: ListedTarget, kind: WorkKind, request: str) -> bool:
        """Record a send that follows at once; return whether it is allowed.

        Parameters
        ----------
        target : ListedTarget
            The target.
        kind : WorkKind
            The kind of work.
        request : str
            Identity of the request or item, for the log.
        """
        now_seconds = self._daemon.now_seconds()
        if not self.is_limited(target, now_seconds):
            return True
        left_seconds = round(self.targets.until_seconds(target.start) - now_seconds, 3)
        if not self.may_send(target, kind, now_seconds):
            self._daemon.log.write(
                ColdTargetHeld(
                    request=request,
                    target=target.instance,
                    service=target.service,
                    kind=kind.value,
                    cold_left_seconds=left_seconds,
                )
            )
            return False
        self._budget(target.service, kind).record_send(target.start, now_seconds)
        self._daemon.log.write(
            ColdTargetSent(
                request=request,
                target=target.instance,
                service=target.service,
                kind=kind.value,
                cold_left_seconds=left_seconds,
            )
        )
        return True

    def send_rate(self, target: ListedTarget, kind: WorkKind, now_seconds: float) -> float:
        """Return the requests per second that this daemon may send to a cold target."""
        if not self._is_sender(target, kind, now_seconds):
            return 0.0
        return 1 / self._plan(target.service, kind).interval_seconds

    # Background work

    async def run(self) -> None:
        """Sample the known daemons and log the targets that become warm, until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(UPDATE_INTERVAL_SECONDS)

    def update(self) -> None:
        """Sample the known daemons now, and log the targets that have become warm."""
        now_seconds = self._daemon.now_seconds()
        if self._cold_services():
            self._sample(now_seconds)
        unlogged, self._unlogged = self._unlogged, {}
        for target, source in unlogged.values():
            self._log_cold(target, source, now_seconds)
        for start, target in list(self._known_cold.items()):
            listed = self._directory.entries.get(target.instance)
            is_listed = listed is not None and listed.start == start
            if is_listed and self.warmth(target, now_seconds) is Warmth.COLD:
                continue
            del self._known_cold[start]
            self._daemon.log.write(
                TargetWarm(
                    target=target.instance,
                    service=target.service,
                    zone=target.zone,
                    is_listed=is_listed,
                )
            )

    def keep_only(self, starts: set[str]) -> None:
        """Remove the state of starts that are no longer listed."""
        self.targets.keep_only(starts, self._daemon.now_seconds())
        for budget in self._budgets.values():
            budget.keep_only(starts)

    def _sample_if_due(self, now_seconds: float) -> None:
        if now_seconds >= self._sampled_at_seconds + SAMPLE_INTERVAL_SECONDS:
            self._sample(now_seconds)

    def _sample(self, now_seconds: float) -> None:
        pause_began_seconds = self._views[WorkKind.CALL].pause_began_seconds(now_seconds)
        if pause_began_seconds is not None:
            self.targets.record_pause(pause_began_seconds, now_seconds)
        if not self.is_view_complete():
            return
        self._sampled_at_seconds = now_seconds
        self._views[WorkKind.TEXT].record(self.job_owners(), now_seconds)
        self._views[WorkKind.CALL].record(self._daemon.membership.live(), now_seconds)

    def _is_sender(self, target: ListedTarget, kind: WorkKind, now_seconds: float) -> bool:
        self._sample_if_due(now_seconds)
        plan = self._plan(target.service, kind)
        until_seconds = self.targets.until_seconds(target.start)
        sender_count = plan.sender_count * sender_factor(until_seconds, now_seconds)
        key = f"{target.start}\0{kind.value}"
        daemon = self._settings().daemon
        return self._views[kind].is_sender(daemon, key, sender_count, now_seconds)

    def _plan(self, service: str, kind: WorkKind) -> SendPlan:
        """Return the senders and the interval, by the candidates of the last second."""
        cold_service = self._cold_services()[service]
        candidate_count = self._views[kind].max_candidate_count()
        plan = plan_sends(cold_service.terms, cold_service.kind_count, candidate_count)
        if plan is None:
            raise BrokenInvariant("a service with cold targets has a cold rate")
        return plan

    def _budget(self, service: str, kind: WorkKind) -> ColdBudget:
        plan = self._plan(service, kind)
        budget = self._budgets.get((service, kind))
        if budget is None:
            budget = self._budgets[service, kind] = ColdBudget(plan.interval_seconds)
        budget.interval_seconds = plan.interval_seconds
        return budget

    def _cold_services(self) -> dict[str, _ColdService]:
        """Return the services whose targets can be cold."""
        settings = self._settings()
        revision = self._daemon.view.revision
        if revision != self._services_revision or settings is not self._services_settings:
            self._services_revision = revision
            self._services_settings = settings
            self._services = self._make_cold_services(settings)
        return self._services

    def _make_cold_services(self, settings: NodeSettings) -> dict[str, _ColdService]:
        kinds = self._kinds_by_service()
        services: dict[str, _ColdService] = {}
        for row in self._daemon.view.rows(ServiceRow):
            terms = ColdTerms(
                row.cold_requests_per_second,
                settings.cold_rate_factor,
                settings.cold_rate_slack,
            )
            if row.cold_seconds > 0 and row.cold_requests_per_second > 0:
                kind_count = max(1, len(kinds.get(row.name, ())))
                services[row.name] = _ColdService(terms, kind_count)
        return services

    def _kinds_by_service(self) -> dict[str, set[WorkKind]]:
        """Return the kinds of work that each service gets by the table's routes."""
        kinds: dict[str, set[WorkKind]] = {}
        for route in self._daemon.view.rows(RouteRow):
            kind = WorkKind.TEXT if route.handling is Handling.BATCH else WorkKind.CALL
            for choice in route.choices:
                kinds.setdefault(choice.serves, set()).add(kind)
        return kinds

    def _log_cold(self, target: ListedTarget, source: ColdSource, now_seconds: float) -> None:
        if target.start in self._known_cold:
            return
        if self.warmth(target, now_seconds) is not Warmth.COLD:
            if now_seconds < self.targets.until_seconds(target.start):
                # The table may follow that says how much a cold target carries.
                self._unlogged[target.start] = (target, source)
            return
        self._known_cold[target.start] = target
        self._daemon.log.write(
            TargetCold(
                target=target.instance,
                service=target.service,
                zone=target.zone,
                left_seconds=round(self.targets.until_seconds(target.start) - now_seconds, 3),
                source=source.value,
            )
        )
