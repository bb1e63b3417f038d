"""Engines that leave, and the runs here that go on elsewhere before they are gone."""

from collections.abc import Iterable
from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.item_runner import ItemRunner
from rackswitch.jobs import (
    EngineCapacity,
    ItemPhase,
    LeavingEngines,
    LeavingRun,
    LocalRun,
    SlackOrder,
    item_tokens,
    runs_to_move,
)
from rackswitch.telemetry.events import EngineLeaves, RunLeavesEngine

__all__ = ["LeavingRunMover"]

RESERVED_SECONDS = 0.3
"""How long a slot is kept for a run that has left its engine: it ends there within a tick, and
its item may start again after a short pause."""


@dataclass(frozen=True, slots=True)
class _Reserved:
    """A slot kept at an engine for a run that goes on there.

    Attributes
    ----------
    run, run_number : LocalRun, int
        The run that was ended, and its number among its item's.
    instance : str
        The engine that has the slot.
    tokens : float
        Memory that is kept with it.
    until_seconds : float
        How long it is kept (monotonic).
    """

    run: LocalRun
    run_number: int
    instance: str
    tokens: float
    until_seconds: float


class LeavingRunMover:
    """Moves runs away from engines that leave.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    runner : ItemRunner
        Ends the runs.
    """

    __slots__ = ("_context", "_engines", "_reserved", "_runner")

    def __init__(self, context: GatewayContext, runner: ItemRunner):
        self._context = context
        self._runner = runner
        self._engines = LeavingEngines()
        self._reserved: dict[tuple[str, str], _Reserved] = {}

    def move_runs(
        self,
        rooms: list[EngineCapacity],
        order: SlackOrder,
        sharing: frozenset[str],
        now_seconds: float,
    ) -> None:
        """End the runs here that are better gone on with elsewhere before their engine leaves.

        Parameters
        ----------
        rooms : list of EngineCapacity
            Room at the engines that stay; what these runs will take is taken off.
        order : SlackOrder
            Which are the most urgent.
        sharing : frozenset of str
            Services whose runs leave; those of others stay until their engine breaks them.
        now_seconds : float
            Monotonic clock.
        """
        if not self._context.policy.runs_leave:
            return
        self._look(order.service_of, sharing, now_seconds)
        self._keep_reserved(rooms, now_seconds)
        leaving = {
            run.key: run
            for start in self._engines.until_seconds
            for run in self._runner.own_runs.at(start)
            if self._may_move(run)
        }
        seen = [self._leaving_run(run, order, now_seconds) for run in leaving.values()]
        moves = runs_to_move(seen, self._engines.until_seconds, rooms, now_seconds)
        for move, instance in moves:
            self._move(leaving[move.key], move, instance, now_seconds)

    def _may_move(self, run: LocalRun) -> bool:
        """Return whether a run may go on elsewhere.

        A text that one version must make whole would be begun anew, and its engine may well
        serve for longer than it must.
        """
        return not run.ledger.single_version and run.key not in self._reserved

    def _look(
        self, service_of: dict[str, str], sharing: frozenset[str], now_seconds: float
    ) -> None:
        """Take in the notices of engines that run something of ours."""
        leaving: set[str] = set()
        for start in self._runner.own_runs.by_start:
            run = self._runner.own_runs.at(start)[0]
            if service_of.get(run.ledger.job.job_id) not in sharing:
                continue
            instance = run.instance
            listed = self._context.directory.entries.get(instance)
            # An engine may also leave without a notice: its entry is gone, and it still serves for
            # the time that any engine must after a notice.
            if listed is not None and listed.start == start and not listed.draining:
                continue
            leaving.add(start)
            left_seconds = None
            if listed is not None and listed.start == start:
                left_seconds = listed.leaving_in_seconds
            self._notice(start, instance, left_seconds, now_seconds)
        self._engines.keep_only(leaving)

    def _notice(
        self, start: str, instance: str, left_seconds: float | None, now_seconds: float
    ) -> None:
        min_seconds = self._context.settings.drain_seconds
        if not self._engines.noticed(start, now_seconds, left_seconds, min_seconds):
            return
        self._context.log.write(
            EngineLeaves(
                target=instance,
                left_seconds=round(self._engines.until_seconds[start] - now_seconds, 3),
                is_told=left_seconds is not None,
                runs=len(self._runner.own_runs.at(start)),
            )
        )

    def _keep_reserved(self, rooms: Iterable[EngineCapacity], now_seconds: float) -> None:
        """Take off the room of runs that have left their engine and wait for their pause's end."""
        by_instance = {room.instance: room for room in rooms}
        for key, reserved in list(self._reserved.items()):
            progress = reserved.run.progress
            is_waiting = progress.phase is ItemPhase.WAITING
            may_start = is_waiting and now_seconds >= progress.not_before_seconds
            may_start = may_start or progress.run_number != reserved.run_number
            has_room = reserved.instance in by_instance
            if may_start or not has_room or now_seconds >= reserved.until_seconds:
                del self._reserved[key]
                continue
            by_instance[reserved.instance].begin(reserved.tokens)

    def _leaving_run(self, run: LocalRun, order: SlackOrder, now_seconds: float) -> LeavingRun:
        job = run.ledger.job
        return LeavingRun(
            key=run.key,
            start=run.start,
            service=order.service_of.get(job.job_id, ""),
            model=job.model,
            oldest_version=job.oldest_version,
            remaining_pieces=self._runner.forecast.remaining_pieces(run.progress),
            seconds_per_piece=self._runner.paces.get(run.start, now_seconds),
            start_by_seconds=order.start_by_seconds(run.ledger, run.progress),
            tokens=item_tokens(run.progress, self._runner.forecast),
            is_surplus=order.is_surplus(run.ledger, run.progress),
        )

    def _move(self, run: LocalRun, move: LeavingRun, instance: str, now_seconds: float) -> None:
        until_seconds = now_seconds + RESERVED_SECONDS
        self._reserved[run.key] = _Reserved(
            run, run.progress.run_number, instance, move.tokens, until_seconds
        )
        self._runner.leave(run.key)
        self._context.log.write(
            RunLeavesEngine(
                job=run.key[0],
                item=run.key[1],
                target=run.instance,
                room_at=instance,
                remaining_seconds=round(move.remaining_seconds, 3),
                left_seconds=round(self._engines.until_seconds[run.start] - now_seconds, 3),
                slack_seconds=round(move.start_by_seconds - now_seconds, 3),
            )
        )
