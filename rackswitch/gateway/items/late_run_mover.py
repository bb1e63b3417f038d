"""Moves runs whose engine has sent no piece for long to engines with free slots."""

from collections import defaultdict
from collections.abc import Iterable

from rackswitch.gateway.context import GatewayContext
from rackswitch.jobs import EngineCapacity, FirstPieceTimes, LocalRun, LocalRuns
from rackswitch.routing import ListedTarget

__all__ = ["LateRunMover"]

MIN_FREE_SLOTS = 1.0
"""Free slots that another engine must have by its report."""


class LateRunMover:
    """Finds runs that wait for their first piece much longer than other runs of their service.

    It is used only in deployments with several regions.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    own_runs : LocalRuns
        This daemon's runs in progress.
    max_late_seconds : float
        Time without a first piece after which a run is interrupted anyway.
    """

    __slots__ = ("_context", "_max_late_seconds", "_own_runs", "_times")

    def __init__(self, context: GatewayContext, own_runs: LocalRuns, max_late_seconds: float):
        self._context = context
        self._own_runs = own_runs
        self._max_late_seconds = max_late_seconds
        self._times: dict[str, FirstPieceTimes] = defaultdict(
            lambda: FirstPieceTimes(max_late_seconds)
        )

    def record_first_piece(self, target: ListedTarget, first_piece_seconds: float) -> None:
        """Record how long a run waited for its first piece."""
        self._times[target.service].record(first_piece_seconds)

    def runs_to_stop(self, engines: Iterable[EngineCapacity], now_seconds: float) -> list[LocalRun]:
        """Return the late runs for which another engine has a free slot.

        At most one run is returned for each free slot.

        Parameters
        ----------
        engines : iterable of EngineCapacity
            Capacity of the engines; reduced by what these runs will use.
        now_seconds : float
            Monotonic clock.
        """
        if not self._context.regions.has_regions:
            return []
        late_runs = [
            run
            for runs in self._own_runs.by_start.values()
            for run in runs.values()
            if self._is_late(run, now_seconds)
        ]
        if not late_runs:
            return []
        stopped = []
        engines = list(engines)
        for run in late_runs:
            engine = self._free_engine(run, engines)
            if engine is None:
                continue
            engine.reserve()
            stopped.append(run)
        return stopped

    def record_stopped(self, run: LocalRun, now_seconds: float, is_engine_active: bool) -> None:
        """Record that a late run was stopped to move elsewhere, which an item does once.

        Its engine counts as full until it reports its load again, and as unresponsive if none of
        its other runs has progressed since this one was sent.
        """
        run.progress.late_moves += 1
        self._context.load_estimator.record_refusal(run.start, now_seconds)
        target_state = self._context.targets.get(run.instance)
        if target_state is not None and not is_engine_active:
            target_state.record_no_response(now_seconds)

    def _is_late(self, run: LocalRun, now_seconds: float) -> bool:
        listed = self._context.directory.entries.get(run.instance)
        if listed is None or run.has_begun or run.progress.late_moves:
            return False
        if self._context.cold_sends.is_limited(listed, now_seconds):
            return False
        round_trip_seconds = 2 * self._context.targets[run.instance].one_way_seconds
        late_seconds = self._times[listed.service].late_seconds() + round_trip_seconds
        # A run that is interrupted anyway in a moment is not moved, or its engine's silence would
        # not be noticed.
        late_seconds = min(late_seconds, self._max_late_seconds)
        waited_seconds = now_seconds - run.sent_at_seconds
        return late_seconds <= waited_seconds < self._max_late_seconds

    def _free_engine(
        self, run: LocalRun, engines: Iterable[EngineCapacity]
    ) -> EngineCapacity | None:
        """Return an engine where the run need not wait, by its report."""
        job = run.ledger.job
        service = self._context.directory.entries[run.instance].service
        for engine in engines:
            if (
                engine.service == service
                and engine.instance != run.instance
                and engine.free_slots > 0
                and engine.is_allowed(run.ledger.allowed_regions)
                and engine.versions.get(job.model, 0) >= job.oldest_version
                and engine.estimate is not None
                and engine.estimate.report_age_seconds < float("inf")
                and engine.estimate.free_slots >= MIN_FREE_SLOTS
            ):
                return engine
        return None
