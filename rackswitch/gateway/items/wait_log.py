"""Logs the items of owned jobs that are at no engine for long, and why."""

from collections.abc import Iterator
from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.jobs import (
    EngineCapacity,
    EngineSurvey,
    ItemPhase,
    ItemProgress,
    JobLedger,
    LocalRuns,
    survey_engines,
    wait_reason,
)
from rackswitch.telemetry.events import ItemWaits

__all__ = ["WaitLog"]

FIRST_LINE_SECONDS = 1.0
"""Time at no engine after which an item is logged; again each time that its wait has doubled."""

CHECK_INTERVAL_SECONDS = 0.5
MAX_LINES = 8
"""Maximum number of lines of one check, for the items that have waited longest; the last one counts
the others."""

MAX_NAMED_ENGINES = 8


@dataclass(frozen=True, slots=True)
class _IdleItem:
    """An item at no engine."""

    owned: OwnedJob
    progress: ItemProgress
    idle_since_seconds: float

    @property
    def key(self) -> tuple[str, str]:
        """Job id and item id."""
        return (self.owned.ledger.job.job_id, self.progress.item.item_id)


class WaitLog:
    """Logs why items wait.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_context", "_next_check_seconds", "_next_line_seconds")

    def __init__(self, context: GatewayContext):
        self._context = context
        self._next_check_seconds = float("-inf")
        self._next_line_seconds: dict[tuple[str, str], float] = {}

    def log_due(
        self,
        owned_jobs: dict[str, OwnedJob],
        services: dict[str, str],
        engines: list[EngineCapacity],
        own_runs: LocalRuns,
        now_seconds: float,
    ) -> None:
        """Log the items that have been at no engine for long; at intervals.

        Parameters
        ----------
        owned_jobs : dict of str to OwnedJob
            The jobs owned here.
        services : dict of str to str
            By job, the service that runs its items; none if its route is not in the table.
        engines : list of EngineCapacity
            What the planned starts have left of the engines.
        own_runs : LocalRuns
            This daemon's runs at engines.
        now_seconds : float
            The current time (monotonic).
        """
        if now_seconds < self._next_check_seconds:
            return
        self._next_check_seconds = now_seconds + CHECK_INTERVAL_SECONDS
        idle_items = list(_idle_items(owned_jobs, own_runs, now_seconds))
        keys = {idle.key for idle in idle_items}
        for key in self._next_line_seconds.keys() - keys:
            del self._next_line_seconds[key]
        due_items = [
            idle for idle in idle_items if now_seconds >= self._next_line_seconds.get(idle.key, 0.0)
        ]
        due_items.sort(key=lambda idle: idle.idle_since_seconds)
        logged_items = due_items[:MAX_LINES]
        surveys: dict[str, EngineSurvey] = {}
        for idle in logged_items:
            ledger = idle.owned.ledger
            job_id, service = ledger.job.job_id, services.get(ledger.job.job_id)
            if job_id not in surveys:
                of_service = [engine for engine in engines if engine.service == service]
                surveys[job_id] = survey_engines(of_service, ledger, now_seconds)
            waited_seconds = now_seconds - idle.idle_since_seconds
            self._next_line_seconds[idle.key] = now_seconds + waited_seconds
            left_out = len(due_items) - len(logged_items) if idle is logged_items[-1] else 0
            self._log(idle, service is not None, surveys[job_id], now_seconds, left_out)

    def _log(
        self,
        idle: _IdleItem,
        has_route: bool,
        survey: EngineSurvey,
        now_seconds: float,
        left_out: int,
    ) -> None:
        progress, ledger = idle.progress, idle.owned.ledger
        until_seconds = progress.not_before_seconds - now_seconds
        self._context.log.write(
            ItemWaits(
                job=ledger.job.job_id,
                item=progress.item.item_id,
                run=progress.run_number,
                reason=wait_reason(progress, ledger, has_route, survey, now_seconds).value,
                waited_seconds=round(now_seconds - idle.idle_since_seconds, 3),
                remaining_seconds=round(until_seconds, 3) if until_seconds > 0 else -1.0,
                last_target=progress.avoided_instance,
                engines_with_room=list(survey.with_room[:MAX_NAMED_ENGINES]),
                obstacles=survey.obstacles,
                list_age_seconds=self._context.list_age_seconds(),
                table_revision=self._context.table_revision,
                items_left_out=left_out,
            )
        )


def _idle_items(
    owned_jobs: dict[str, OwnedJob], own_runs: LocalRuns, now_seconds: float
) -> Iterator[_IdleItem]:
    """Yield the items at no engine for at least `FIRST_LINE_SECONDS`."""
    at_engines = {key for runs in own_runs.by_start.values() for key in runs}
    for job_id, owned in owned_jobs.items():
        for progress in _unfinished(owned.ledger):
            since_seconds = progress.idle_since_seconds
            if (
                since_seconds is not None
                and now_seconds - since_seconds >= FIRST_LINE_SECONDS
                and (job_id, progress.item.item_id) not in at_engines
            ):
                yield _IdleItem(owned, progress, since_seconds)


def _unfinished(ledger: JobLedger) -> Iterator[ItemProgress]:
    """Yield the items of a job that wait or are believed to run."""
    if ledger.ended:
        return
    for progress in ledger.items.values():
        if progress.phase in (ItemPhase.WAITING, ItemPhase.RUNNING):
            yield progress
