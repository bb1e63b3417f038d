"""Moves runs away from engines that are leaving, before they end."""

from collections.abc import Iterable
from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.item_runner import REGION_DETAIL, ItemRunner
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
from rackswitch.telemetry.events import EngineLeaves, RunLeavesEngine, RunLeavesRegion

__all__ = ["LeavingRunMover"]

RESERVATION_SECONDS = 0.3
"""How long a slot is reserved for a run that was stopped to move. Covers the end of the run and the
delay before its item may start again."""


@dataclass(frozen=True, slots=True)
class _ReservedSlot:
    """A slot reserved at an engine for a run that continues there.

    Attributes
    ----------
    run, run_number : LocalRun, int
        The run that was stopped, and its number among the runs of its item.
    instance : str
        The engine.
    tokens : float
        Memory reserved with the slot, in tokens.
    until_seconds : float
        End of the reservation (monotonic).
    """

    run: LocalRun
    run_number: int
    instance: str
    tokens: float
    until_seconds: float


class LeavingRunMover:
    """Moves this daemon's runs away from engines that are leaving.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    runner : ItemRunner
        Stops the runs.
    """

    __slots__ = ("_context", "_leaving_engines", "_reserved_slots", "_runner")

    def __init__(self, context: GatewayContext, runner: ItemRunner):
        self._context = context
        self._runner = runner
        self._leaving_engines = LeavingEngines()
        self._reserved_slots: dict[tuple[str, str], _ReservedSlot] = {}

    def move_runs(
        self,
        engines: list[EngineCapacity],
        order: SlackOrder,
        load_based_services: frozenset[str],
        now_seconds: float,
    ) -> None:
        """Stop the runs that should continue elsewhere before their engine ends.

        Parameters
        ----------
        engines : list of EngineCapacity
            Capacity of the engines that stay; reduced by what these runs will use.
        order : SlackOrder
            Order of the items by urgency.
        load_based_services : frozenset of str
            Services whose runs are moved; other runs stay until their engine ends.
        now_seconds : float
            Monotonic clock.
        """
        if not self._context.policy.runs_leave:
            return
        self._update_leaving_engines(order.service_of, load_based_services, now_seconds)
        self._apply_reservations(engines, now_seconds)
        runs_by_key = {
            run.key: run
            for start in self._leaving_engines.until_seconds
            for run in self._runner.own_runs.runs_at(start)
            if self._can_move(run)
        }
        leaving_runs = [
            self._make_leaving_run(run, order, now_seconds) for run in runs_by_key.values()
        ]
        moves = runs_to_move(
            leaving_runs, self._leaving_engines.until_seconds, engines, now_seconds
        )
        for move, instance in moves:
            self._move(runs_by_key[move.key], move, instance, now_seconds)

    def stop_excluded_runs(self) -> None:
        """Stop the runs at engines whose region is no longer allowed; they continue elsewhere.

        Runs in an evacuated zone stay, as an evacuation only forbids new ones.
        """
        for start in list(self._runner.own_runs.by_start):
            for run in self._runner.own_runs.runs_at(start):
                regions = run.ledger.allowed_regions
                if regions is not None and self._context.regions.region(run.zone) not in regions:
                    self._stop_excluded(run)

    def _stop_excluded(self, run: LocalRun) -> None:
        if not self._runner.stop_run(run.key, REGION_DETAIL):
            return
        self._context.log.write(
            RunLeavesRegion(
                job=run.key[0],
                item=run.key[1],
                target=run.instance,
                zone=run.zone,
                table_revision=self._context.table_revision,
            )
        )

    def _can_move(self, run: LocalRun) -> bool:
        """Return whether a run may continue elsewhere.

        A text that one version must generate completely would start again from its beginning, and
        its engine may serve for longer than the minimum.
        """
        return not run.ledger.single_version and run.key not in self._reserved_slots

    def _update_leaving_engines(
        self, service_of: dict[str, str], load_based_services: frozenset[str], now_seconds: float
    ) -> None:
        """Record which engines with runs of this daemon are leaving."""
        leaving_starts: set[str] = set()
        for start in self._runner.own_runs.by_start:
            run = self._runner.own_runs.runs_at(start)[0]
            if service_of.get(run.ledger.job.job_id) not in load_based_services:
                continue
            instance = run.instance
            listed = self._context.directory.entries.get(instance)
            # An engine may leave without a notice: its entry is then missing, and it is expected to
            # serve for the minimum time after a notice.
            if listed is not None and listed.start == start and not listed.draining:
                continue
            leaving_starts.add(start)
            left_seconds = None
            if listed is not None and listed.start == start:
                left_seconds = listed.leaving_in_seconds
            self._record_notice(start, instance, left_seconds, now_seconds)
        self._leaving_engines.keep_only(leaving_starts)

    def _record_notice(
        self, start: str, instance: str, left_seconds: float | None, now_seconds: float
    ) -> None:
        min_seconds = self._context.settings.drain_seconds
        if not self._leaving_engines.record_notice(start, now_seconds, left_seconds, min_seconds):
            return
        self._context.log.write(
            EngineLeaves(
                target=instance,
                left_seconds=round(self._leaving_engines.until_seconds[start] - now_seconds, 3),
                is_told=left_seconds is not None,
                runs=len(self._runner.own_runs.runs_at(start)),
            )
        )

    def _apply_reservations(self, engines: Iterable[EngineCapacity], now_seconds: float) -> None:
        """Subtract the reserved capacity of stopped runs whose items may not start again yet."""
        engines_by_instance = {engine.instance: engine for engine in engines}
        for key, reserved in list(self._reserved_slots.items()):
            progress = reserved.run.progress
            is_waiting = progress.phase is ItemPhase.WAITING
            may_start = is_waiting and now_seconds >= progress.not_before_seconds
            may_start = may_start or progress.run_number != reserved.run_number
            is_engine_available = reserved.instance in engines_by_instance
            if may_start or not is_engine_available or now_seconds >= reserved.until_seconds:
                del self._reserved_slots[key]
                continue
            engines_by_instance[reserved.instance].reserve(reserved.tokens)

    def _make_leaving_run(self, run: LocalRun, order: SlackOrder, now_seconds: float) -> LeavingRun:
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
            allowed_regions=run.ledger.allowed_regions,
        )

    def _move(self, run: LocalRun, move: LeavingRun, instance: str, now_seconds: float) -> None:
        until_seconds = now_seconds + RESERVATION_SECONDS
        self._reserved_slots[run.key] = _ReservedSlot(
            run, run.progress.run_number, instance, move.tokens, until_seconds
        )
        self._runner.stop_run(run.key)
        self._context.log.write(
            RunLeavesEngine(
                job=run.key[0],
                item=run.key[1],
                target=run.instance,
                room_at=instance,
                remaining_seconds=round(move.remaining_seconds, 3),
                left_seconds=round(self._leaving_engines.until_seconds[run.start] - now_seconds, 3),
                slack_seconds=round(move.start_by_seconds - now_seconds, 3),
            )
        )
