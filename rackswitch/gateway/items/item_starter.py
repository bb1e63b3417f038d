"""Starting the items of owned jobs at engines that have room."""

import asyncio
import math
from collections.abc import Iterable
from functools import partial

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.gateway.items.leaving_run_mover import LeavingRunMover
from rackswitch.gateway.items.step_ranks import StepRanks
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.jobs import (
    MIDDLE_URGENCY,
    EngineCapacity,
    ItemPhase,
    ItemProgress,
    ItemStart,
    free_capacity,
    item_tokens,
    plan_starts,
    spare_capacities,
    tokens_at_end,
)
from rackswitch.platform.item_runs import ItemRunEnd
from rackswitch.routing import ListedTarget, WorkKind
from rackswitch.table import RouteRow, ServiceRow
from rackswitch.telemetry.events import ItemGivenUp

__all__ = ["ItemStarter"]

FULL_PAUSE_SECONDS = 0.1
"""How long an engine that refused a run is left alone; it is full or loads weights."""

DEFAULT_SLOTS = 4
"""Runs at an engine whose slots nobody tells."""


class ItemStarter:
    """Carries out what the schedule decides, and keeps count of the runs at each engine.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    runner : ItemRunner
        Runs items.
    wake : asyncio.Event
        Set when a run or a reward call has ended, so that more may start.
    """

    __slots__ = ("_context", "_full_until_seconds", "_leave_watch", "_ranks", "_runner", "_wake")

    def __init__(self, context: GatewayContext, runner: ItemRunner, wake: asyncio.Event):
        self._context = context
        self._runner = runner
        self._wake = wake
        self._full_until_seconds: dict[str, float] = {}
        self._ranks = StepRanks(context)
        self._leave_watch = LeavingRunMover(context, runner)

    def start_items(self, owned_jobs: dict[str, OwnedJob]) -> None:
        """Start what may start now, and give up items that cannot be run any more."""
        if not owned_jobs:
            return
        now_seconds = self._context.now_seconds()
        services = self._services(owned_jobs, now_seconds)
        sharing = self._sharing(services.values())
        rooms = self._engine_rooms(set(services.values()), sharing, now_seconds)
        due_seconds = {job_id: owned.due_seconds for job_id, owned in owned_jobs.items()}
        ledgers = [owned.ledger for owned in owned_jobs.values()]
        forecast, policy = self._runner.forecast, self._context.policy
        order = self._ranks.order(owned_jobs, services, rooms, forecast)
        self._leave_watch.move_runs(rooms, order, sharing, now_seconds)
        for is_shared in (True, False):
            # Services have no engine in common, so their plans do not meet.
            planned = {
                job_id: service
                for job_id, service in services.items()
                if (service in sharing) is is_shared
            }
            if not planned:
                continue
            counts_memory = is_shared and policy.memory_counted
            starts = plan_starts(
                ledgers,
                rooms,
                planned,
                due_seconds,
                now_seconds,
                forecast,
                policy.longest_first,
                self._context.rng,
                order if is_shared and policy.steps_by_slack else None,
                partial(item_tokens, forecast=forecast) if counts_memory else None,
            )
            for start in starts:
                urgency = MIDDLE_URGENCY
                if is_shared:
                    urgency = self._ranks.urgency(order, start.ledger, start.progress)
                self._start(owned_jobs[start.ledger.job.job_id], start, urgency)
        for owned in owned_jobs.values():
            self._score_restored(owned)
        waiting = any(ledger.waiting(now_seconds) for ledger in ledgers)
        if policy.room_shared:
            # A run is not moved to an engine where it would have to queue.
            rooms = [
                room for room in rooms if room.service not in sharing or room.runs < room.slots
            ]
        self._runner.spare = {} if waiting else spare_capacities(rooms)

    def _sharing(self, services: Iterable[str]) -> frozenset[str]:
        """Return the services whose engines are placed by what they tell of their load.

        Only for these do slack, shared room, memory, urgency and leaving engines count.
        """
        return frozenset(filter(self._context.places_by_load, services))

    def _services(self, owned_jobs: dict[str, OwnedJob], now_seconds: float) -> dict[str, str]:
        """Return the service that runs each job; items that no engine may run are given up."""
        services: dict[str, str] = {}
        for job_id, owned in owned_jobs.items():
            route = self._route(owned)
            if route is not None:
                services[job_id] = route.choices[0].serves
            elif self._context.table_revision:
                self._give_up(owned, "its route is gone")
            if now_seconds >= owned.keep_until_seconds:
                self._give_up(owned, "it is past the time it is kept for")
        return services

    def _route(self, owned: OwnedJob) -> RouteRow | None:
        job = owned.ledger.job
        return self._context.routes.find(job.host, job.path)

    def _give_up(self, owned: OwnedJob, reason: str) -> None:
        for progress in owned.ledger.items.values():
            if progress.phase is ItemPhase.WAITING:
                owned.ledger.give_up(progress)
                self._context.log.write(
                    ItemGivenUp(
                        job=owned.ledger.job.job_id,
                        item=progress.item.item_id,
                        reason=reason,
                        table_revision=self._context.table_revision,
                    )
                )

    def _engine_rooms(
        self, services: set[str], sharing: frozenset[str], now_seconds: float
    ) -> list[EngineCapacity]:
        rooms: list[EngineCapacity] = []
        for service in services:
            row = self._context.daemon.view.row(ServiceRow, service)
            default_slots = (row.slots if row is not None else 0) or DEFAULT_SLOTS
            rooms.extend(
                self._room(listed, default_slots, service in sharing, now_seconds)
                for listed in self._context.directory.usable(service, now_seconds)
                if not self._is_left_alone(listed.instance, now_seconds)
            )
        return rooms

    def _is_left_alone(self, instance: str, now_seconds: float) -> bool:
        """Return whether an engine gets no runs now, as it is full or was silent."""
        if now_seconds < self._full_until_seconds.get(instance, 0.0):
            return True
        return now_seconds < self._context.targets[instance].open_until_seconds

    def _room(
        self, listed: ListedTarget, default_slots: int, is_shared: bool, now_seconds: float
    ) -> EngineCapacity:
        slots = listed.slots or default_slots
        occupancy, own_runs = self._runner.occupancy, self._runner.own_runs
        own = occupancy.own.get(listed.instance, 0)
        others = occupancy.others_last(listed.instance)
        # Where an engine tells nothing of its load, each owner counts all its slots as its own.
        is_room_shared = is_shared and self._context.policy.room_shared and others is not None
        # An engine without requests sends no words, so its last one may be old. For new runs that
        # one counts however old it is; for moves it fades.
        others_new = occupancy.others(listed.instance, now_seconds)
        room = free_capacity(
            slots,
            own,
            own_runs.queued(listed.start, now_seconds),
            others if others is not None else others_new,
            self._free_tokens(listed, is_shared, now_seconds),
            is_room_shared,
        )
        versions = {
            model: version
            for model, version in listed.versions.items()
            if not self._context.loads.is_loading(listed.instance, model, now_seconds)
        }
        return EngineCapacity(
            listed.instance,
            listed.service,
            room.slots,
            self._runner.paces.get(listed.start, now_seconds),
            versions,
            slots,
            own + others_new,
            self._runner.loads.place(listed, now_seconds),
            self._context.load_estimator.usual_run_seconds(listed.service, WorkKind.TEXT),
            room.tokens,
        )

    def _free_tokens(self, listed: ListedTarget, is_shared: bool, now_seconds: float) -> float:
        """Return what memory an engine has left for more runs; infinite if that is not counted."""
        runner = self._runner
        if not (is_shared and self._context.policy.memory_counted):
            return math.inf
        own_tokens = tokens_at_end(runner.own_runs.at(listed.start), runner.forecast)
        return runner.memory.free_tokens(listed.start, own_tokens, now_seconds)

    def _start(self, owned: OwnedJob, start: ItemStart, urgency: int) -> None:
        start.ledger.started(start.progress)
        task = self._context.daemon.spawn(self._carry_out(owned, start, urgency))
        owned.runs[start.progress.item.item_id] = task

    def _score_restored(self, owned: OwnedJob) -> None:
        """Begin the reward calls of texts that a former owner made whole."""
        for item_id, progress in owned.ledger.items.items():
            if progress.phase is ItemPhase.SCORING and item_id not in owned.runs:
                task = self._context.daemon.spawn(self._score(owned, progress))
                owned.runs[item_id] = task

    async def _score(self, owned: OwnedJob, progress: ItemProgress) -> None:
        await self._runner.score(owned.ledger, progress)
        self._wake.set()
        owned.runs.pop(progress.item.item_id, None)

    async def _carry_out(self, owned: OwnedJob, start: ItemStart, urgency: int) -> None:
        ledger, progress = start.ledger, start.progress
        listed = self._context.directory.entries.get(start.instance)
        if listed is None:
            ledger.broke(progress, start.instance, self._context.now_seconds())
            return
        held_until_seconds = await self._runner.held_back(ledger.job, progress.item)
        if held_until_seconds is not None:
            ledger.postponed(progress, held_until_seconds)
            owned.runs.pop(progress.item.item_id, None)
            return
        self._runner.occupancy.began(start.instance)
        try:
            ended = await self._runner.run(ledger, progress, listed, urgency)
        finally:
            self._runner.occupancy.ended(start.instance)
            self._wake.set()
        if ended.end is ItemRunEnd.NOT_RUN:
            until_seconds = self._context.now_seconds() + FULL_PAUSE_SECONDS
            self._full_until_seconds[start.instance] = until_seconds
        if progress.phase is ItemPhase.SCORING:
            await self._score(owned, progress)
        else:
            owned.runs.pop(progress.item.item_id, None)
