"""Starts the items of owned jobs at engines with free capacity."""

import asyncio
import math
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Any

from rackswitch.decoding import error_detail
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.give_up_checker import GiveUpChecker
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.leaving_run_mover import LeavingRunMover
from rackswitch.gateway.items.step_ranks import StepRanks
from rackswitch.gateway.items.wait_log import WaitLog
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.gateway.start_times import StartPart
from rackswitch.jobs import (
    DEFAULT_URGENCY,
    EngineCapacity,
    ItemPhase,
    ItemProgress,
    ItemStart,
    JobLedger,
    free_capacity,
    item_tokens,
    plan_overdue_starts,
    plan_starts,
    spare_capacities,
    startable_before_report,
    tokens_at_end,
)
from rackswitch.platform.item_runs import ItemRunEnd
from rackswitch.routing import ListedTarget, WorkKind
from rackswitch.table import RouteRow, ServiceRow
from rackswitch.telemetry.events import ItemWorkFailed, JobExcluded

__all__ = ["ItemStarter"]

ItemWork = Callable[[], Coroutine[Any, Any, None]]
"""Runs an item, or sends its reward call."""

REFUSAL_COOLDOWN_SECONDS = 0.1
"""How long an engine that refused a run gets no new ones; it is full or loading weights."""

DEFAULT_SLOTS = 4
"""Slots of an engine if neither it nor its service states a number."""


class ItemStarter:
    """Plans which items start where, and starts them.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    runner : ItemRunner
        Runs items.
    wake : asyncio.Event
        Set when a run or a reward call has ended, so that more items may start.
    """

    __slots__ = (
        "_cold_timer",
        "_context",
        "_cooldown_until_seconds",
        "_exclusion_reasons",
        "_give_ups",
        "_leaving_run_mover",
        "_step_ranks",
        "_runner",
        "_wait_log",
        "_wake",
    )

    def __init__(self, context: GatewayContext, runner: ItemRunner, wake: asyncio.Event):
        self._context = context
        self._runner = runner
        self._wake = wake
        self._cooldown_until_seconds: dict[str, float] = {}
        self._exclusion_reasons: dict[str, dict[str, int]] = {}
        self._cold_timer: asyncio.TimerHandle | None = None
        self._give_ups = GiveUpChecker(context)
        self._step_ranks = StepRanks(context)
        self._leaving_run_mover = LeavingRunMover(context, runner)
        self._wait_log = WaitLog(context)

    def start_items(self, owned_jobs: dict[str, OwnedJob]) -> None:
        """Start the items that may start now, and give up those that can no longer run."""
        if not owned_jobs:
            return
        now_seconds = self._context.now_seconds()
        services = self._services(owned_jobs, now_seconds)
        load_based_services = self._load_based_services(services.values())
        all_engines = self._engine_capacities(
            set(services.values()), load_based_services, now_seconds
        )
        engines = [engine for engine in all_engines if now_seconds >= engine.excluded_until_seconds]
        due_seconds = {job_id: owned.due_seconds for job_id, owned in owned_jobs.items()}
        ledgers = [owned.ledger for owned in owned_jobs.values()]
        forecast, policy = self._runner.forecast, self._context.policy
        for ledger in ledgers:
            ledger.allowed_regions = self._context.job_regions(ledger.job)
            ledger.record_idle_items(now_seconds)
        self._leaving_run_mover.stop_excluded_runs()
        self._log_excluded_jobs(ledgers, services, engines, now_seconds)
        order = self._step_ranks.order(owned_jobs, services, engines, forecast)
        warm_engines = [engine for engine in engines if not engine.is_cold]
        cold_engines = [engine for engine in engines if engine.is_cold]
        self._leaving_run_mover.move_runs(warm_engines, order, load_based_services, now_seconds)
        self._runner.stop_late_runs(warm_engines, now_seconds)
        for is_load_based in (True, False):
            # No engine serves two services, so the two plans are independent.
            planned_services = {
                job_id: service
                for job_id, service in services.items()
                if (service in load_based_services) is is_load_based
            }
            if not planned_services:
                continue
            counts_memory = is_load_based and policy.memory_counted
            # Cold engines get what the others have no capacity for.
            for planned_engines in (warm_engines, cold_engines):
                if not planned_engines:
                    continue
                starts = plan_starts(
                    ledgers,
                    planned_engines,
                    planned_services,
                    due_seconds,
                    now_seconds,
                    forecast,
                    policy.longest_first,
                    self._context.rng,
                    order if is_load_based and policy.steps_by_slack else None,
                    partial(item_tokens, forecast=forecast) if counts_memory else None,
                )
                for start in starts:
                    urgency = DEFAULT_URGENCY
                    if is_load_based:
                        urgency = self._step_ranks.urgency(order, start.ledger, start.progress)
                    self._start(owned_jobs[start.ledger.job.job_id], start, urgency)
        overdue_starts = plan_overdue_starts(
            ledgers,
            all_engines,
            services,
            due_seconds,
            now_seconds,
            forecast,
            self._context.rng,
        )
        for start in overdue_starts:
            self._start(owned_jobs[start.ledger.job.job_id], start, DEFAULT_URGENCY)
        for owned in owned_jobs.values():
            self._resume_reward_calls(owned, now_seconds)
        has_waiting_items = any(
            ledger.startable_items(now_seconds)
            for ledger in ledgers
            if self._has_allowed_engine(engines, ledger.allowed_regions)
        )
        self._schedule_cold_send(cold_engines if has_waiting_items else [], now_seconds)
        spare_engines = warm_engines
        if policy.room_shared:
            # Runs are moved only to engines where they need not queue.
            spare_engines = [
                engine
                for engine in warm_engines
                if engine.service not in load_based_services or engine.runs < engine.slots
            ]
        self._runner.spare = {} if has_waiting_items else spare_capacities(spare_engines)
        self._wait_log.log_due(
            owned_jobs, services, all_engines, self._runner.own_runs, now_seconds
        )

    def _schedule_cold_send(self, cold_engines: list[EngineCapacity], now_seconds: float) -> None:
        """Plan again when the budget of one of these engines allows the next send."""
        if self._cold_timer is not None:
            self._cold_timer.cancel()
            self._cold_timer = None
        next_sends_seconds = [
            self._context.cold_sends.next_send_seconds(listed, WorkKind.TEXT, now_seconds)
            for engine in cold_engines
            if (listed := self._context.directory.entries.get(engine.instance)) is not None
        ]
        later_seconds = [seconds for seconds in next_sends_seconds if seconds > now_seconds]
        next_send_seconds = min(later_seconds, default=math.inf)
        if next_send_seconds < math.inf:
            loop = asyncio.get_running_loop()
            self._cold_timer = loop.call_at(next_send_seconds, self._wake.set)

    def _log_excluded_jobs(
        self,
        ledgers: list[JobLedger],
        services: dict[str, str],
        engines: list[EngineCapacity],
        now_seconds: float,
    ) -> None:
        """Log the jobs for which rules exclude all engines, once while the reasons stay."""
        directory = self._context.directory
        previous, self._exclusion_reasons = self._exclusion_reasons, {}
        for ledger in ledgers:
            job_id, regions = ledger.job.job_id, ledger.allowed_regions
            service = services.get(job_id)
            if service is None or any(
                engine.service == service and engine.is_allowed(regions) for engine in engines
            ):
                continue
            # Engines in cooldown are not excluded.
            if directory.usable(service, now_seconds, regions):
                continue
            exclusions = directory.exclusions(service, regions)
            if not exclusions:
                continue
            reasons = {reason.value: count for reason, count in exclusions.items()}
            self._exclusion_reasons[job_id] = reasons
            if previous.get(job_id) != reasons:
                self._context.log.write(
                    JobExcluded(
                        job=job_id,
                        service=service,
                        reasons=reasons,
                        table_revision=self._context.table_revision,
                    )
                )

    def _has_allowed_engine(
        self, engines: list[EngineCapacity], allowed_regions: frozenset[str] | None
    ) -> bool:
        """Return whether an engine may run a job's items; assumed for jobs without a restriction.

        Items that no engine may run wait, and must not keep other items from moving.
        """
        return allowed_regions is None or any(
            engine.is_allowed(allowed_regions) for engine in engines
        )

    def _load_based_services(self, services: Iterable[str]) -> frozenset[str]:
        """Return the services whose engines are chosen by their reported load.

        Slack, other owners' runs, memory, urgency and leaving engines count only for these.
        """
        return frozenset(filter(self._context.chooses_targets_by_load, services))

    def _services(self, owned_jobs: dict[str, OwnedJob], now_seconds: float) -> dict[str, str]:
        """Return the service that runs each job; give up items that can no longer run."""
        services: dict[str, str] = {}
        self._give_ups.keep_only(set(owned_jobs))
        for job_id, owned in owned_jobs.items():
            route = self._route(owned)
            if route is not None:
                services[job_id] = route.choices[0].serves
            self._give_ups.check(owned, route, now_seconds)
        return services

    def _route(self, owned: OwnedJob) -> RouteRow | None:
        job = owned.ledger.job
        return self._context.routes.find(job.host, job.path)

    def _engine_capacities(
        self, services: set[str], load_based_services: frozenset[str], now_seconds: float
    ) -> list[EngineCapacity]:
        engines: list[EngineCapacity] = []
        for service in services:
            row = self._context.daemon.view.row(ServiceRow, service)
            default_slots = (row.slots if row is not None else 0) or DEFAULT_SLOTS
            engines.extend(
                self._engine_capacity(
                    listed, default_slots, service in load_based_services, now_seconds
                )
                for listed in self._context.directory.usable(service, now_seconds)
            )
        return engines

    def _excluded_until_seconds(self, instance: str) -> float:
        """Return until when an engine gets no runs as it refused one or did not respond."""
        return max(
            self._cooldown_until_seconds.get(instance, 0.0),
            self._context.targets[instance].open_until_seconds,
        )

    def _engine_capacity(
        self, listed: ListedTarget, default_slots: int, is_load_based: bool, now_seconds: float
    ) -> EngineCapacity:
        slots = listed.slots or default_slots
        occupancy, own_runs = self._runner.occupancy, self._runner.own_runs
        own_count = occupancy.own_runs.get(listed.instance, 0)
        last_others = occupancy.last_reported_other_runs(listed.instance)
        # Without a load report, each owner uses all of an engine's slots.
        counts_others = (
            is_load_based and self._context.policy.room_shared and last_others is not None
        )
        # An idle engine sends no load reports, so its last one may be old. It is used for new runs
        # whatever its age, but for moves only while it is current.
        recent_others = occupancy.other_runs(listed.instance, now_seconds)
        free = free_capacity(
            slots,
            own_count,
            own_runs.queued_count(listed.start, now_seconds),
            last_others if last_others is not None else recent_others,
            self._free_tokens(listed, is_load_based, now_seconds),
            counts_others,
        )
        versions = {
            model: version
            for model, version in listed.versions.items()
            if not self._context.loads.is_loading(listed.instance, model, now_seconds)
        }
        cold_sends = self._context.cold_sends
        is_cold = cold_sends.is_limited(listed, now_seconds)
        free_slots = free.slots
        if is_cold:
            # The next send is allowed only after the interval of the budget.
            allowed = int(cold_sends.may_send(listed, WorkKind.TEXT, now_seconds))
            free_slots = min(free_slots, allowed)
        return EngineCapacity(
            listed.instance,
            listed.service,
            self._startable(listed, free_slots, slots),
            self._runner.paces.get(listed.start, now_seconds),
            versions,
            slots,
            own_count + recent_others,
            self._runner.load_tracker.estimate(listed, now_seconds),
            self._context.load_estimator.typical_run_seconds(listed.service, WorkKind.TEXT),
            free.tokens,
            region=self._context.regions.region(listed.zone),
            is_cold=is_cold,
            excluded_until_seconds=self._excluded_until_seconds(listed.instance),
        )

    def _startable(self, listed: ListedTarget, free_slots: int, slots: int) -> int:
        """Return how many runs an engine may get now; fewer than are free with several regions."""
        if not self._context.regions.has_regions:
            return free_slots
        reported_at_seconds = self._runner.occupancy.reported_at_seconds(listed.instance)
        unanswered = self._runner.own_runs.unanswered_count(listed.start, reported_at_seconds)
        return startable_before_report(free_slots, slots, unanswered)

    def _free_tokens(self, listed: ListedTarget, is_load_based: bool, now_seconds: float) -> float:
        """Return an engine's free memory in tokens; infinite if memory is not considered."""
        runner = self._runner
        if not (is_load_based and self._context.policy.memory_counted):
            return math.inf
        own_tokens = tokens_at_end(runner.own_runs.runs_at(listed.start), runner.forecast)
        return runner.memory.free_tokens(listed.start, own_tokens, now_seconds)

    def _start(self, owned: OwnedJob, start: ItemStart, urgency: int) -> None:
        start.ledger.record_start(start.progress)
        self._spawn(owned, start.progress, partial(self._run_item, owned, start, urgency))

    def _resume_reward_calls(self, owned: OwnedJob, now_seconds: float) -> None:
        """Start the reward calls of complete texts for which no call is in progress.

        These are the texts of a job that was taken over, and those whose call ended unexpectedly.
        """
        for item_id, progress in owned.ledger.items.items():
            if (
                progress.phase is ItemPhase.SCORING
                and item_id not in owned.runs
                and now_seconds >= progress.not_before_seconds
            ):
                self._spawn(owned, progress, partial(self._score, owned.ledger, progress))

    def _spawn(self, owned: OwnedJob, progress: ItemProgress, work: ItemWork) -> None:
        """Work on an item in the background, until the work ends or is cancelled."""
        task = self._context.daemon.spawn(self._work_on_item(owned, progress, work))
        owned.runs[progress.item.item_id] = task

    async def _work_on_item(self, owned: OwnedJob, progress: ItemProgress, work: ItemWork) -> None:
        """Await the work on an item; if it raises an error, let the item continue later.

        The item would wait for ever for the end of work that nobody does.
        """
        try:
            await work()
        except Exception as error:
            owned.ledger.record_error(progress, self._context.now_seconds())
            self._context.log.write(
                ItemWorkFailed(
                    job=owned.ledger.job.job_id,
                    item=progress.item.item_id,
                    run=progress.run_number,
                    errors=progress.errors,
                    detail=f"{type(error).__name__}: {error_detail(error)}",
                )
            )
            raise
        finally:
            item_id = progress.item.item_id
            if owned.runs.get(item_id) is asyncio.current_task():
                del owned.runs[item_id]

    def _postpone_unsent(self, owned: OwnedJob, progress: ItemProgress) -> None:
        """Let an item wait again that quarantine admitted but that was not sent."""
        self._runner.record_not_sent(owned.ledger.job, progress.item)
        owned.ledger.postpone(progress, self._context.now_seconds())

    async def _run_item(self, owned: OwnedJob, start: ItemStart, urgency: int) -> None:
        """Run an item at an engine, then send its reward call if its text is complete."""
        ledger, progress = start.ledger, start.progress
        listed = self._context.directory.entries.get(start.instance)
        if listed is None:
            now_seconds = self._context.now_seconds()
            ledger.record_interruption(progress, start.instance, now_seconds, was_at_engine=False)
            return
        quarantined_until_seconds = await self._runner.quarantined_until(ledger.job, progress)
        if quarantined_until_seconds is not None:
            ledger.postpone(progress, quarantined_until_seconds)
            return
        item_id = progress.item.item_id
        if not self._context.directory.may_receive(listed, self._context.job_regions(ledger.job)):
            # Excluded while quarantine was asked: the item was not sent and waits for another one.
            self._postpone_unsent(owned, progress)
            self._wake.set()
            return
        if not self._context.cold_sends.try_send(listed, WorkKind.TEXT, item_id):
            # The item may start elsewhere at once.
            self._postpone_unsent(owned, progress)
            return
        self._runner.occupancy.record_start(start.instance)
        self._context.start_times.record(StartPart.FIRST_ITEM, self._context.now_seconds())
        try:
            ended = await self._runner.run(ledger, progress, listed, urgency)
        finally:
            self._runner.occupancy.record_end(start.instance)
            self._wake.set()
        if ended.end is ItemRunEnd.NOT_RUN:
            until_seconds = self._context.now_seconds() + REFUSAL_COOLDOWN_SECONDS
            self._cooldown_until_seconds[start.instance] = until_seconds
        if progress.phase is ItemPhase.SCORING:
            await self._score(ledger, progress)

    async def _score(self, ledger: JobLedger, progress: ItemProgress) -> None:
        await self._runner.score(ledger, progress)
        self._wake.set()
