"""Counts the runs of items in the daemon's load estimates."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.jobs import PieceIntervals
from rackswitch.platform.item_runs import ItemRunEnd, ItemRunEnded
from rackswitch.routing import ListedTarget, SentRequest, TargetEstimate, WorkKind

__all__ = ["RunLoadTracker"]


class RunLoadTracker:
    """Reports runs to the load estimator, and returns its estimates of engines.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_context",)

    def __init__(self, context: GatewayContext):
        self._context = context

    def estimate(self, target: ListedTarget, now_seconds: float) -> TargetEstimate | None:
        """Return an engine's estimate for a typical run; None if its load is not considered."""
        if not self._context.chooses_targets_by_load(target.service):
            return None
        return self._estimate(target, now_seconds)

    def record_start(self, target: ListedTarget, now_seconds: float) -> SentRequest:
        """Add a run that starts now."""
        estimate = self._estimate(target, now_seconds)
        return self._context.load_estimator.record_send(
            target, WorkKind.TEXT, estimate, now_seconds
        )

    def record_end(
        self, target: ListedTarget, sent: SentRequest, ended: ItemRunEnded | None, pieces: int
    ) -> None:
        """Remove a run and update the estimates by its end; `ended` is None if it was cancelled."""
        load_estimator = self._context.load_estimator
        load_estimator.record_end(sent)
        now_seconds = self._context.now_seconds()
        # The slowness of a cold engine says nothing about its pace once it is warm.
        if ended is None or self._context.cold_sends.is_limited(target, now_seconds):
            return
        if ended.end is ItemRunEnd.COMPLETE and pieces > 0:
            load_estimator.record_completion(sent, float(pieces), now_seconds)
        elif ended.end is ItemRunEnd.FAILED:
            load_estimator.record_failure(sent.start, now_seconds)
        elif ended.end is ItemRunEnd.NOT_RUN:
            load_estimator.record_refusal(sent.start, now_seconds)

    def expected_interval_seconds(
        self,
        target: ListedTarget,
        intervals: PieceIntervals,
        remaining_pieces: float,
        engine_seconds_per_piece: float,
    ) -> float | None:
        """Return the expected interval between a run's next pieces; None if too few have arrived.

        For engines chosen by load this is the estimate over the rest of the text, since a slowdown
        seen in the latest pieces may be over before a move would gain time. For others it is the
        smaller of the run's median interval and its engine's mean interval: the median ignores a
        single delay, but on a busy VM, where short and long intervals alternate, it may be far
        above the mean, with which the pace of the other engines is measured.

        Parameters
        ----------
        target : ListedTarget
            The engine of the run.
        intervals : PieceIntervals
            The run's latest intervals.
        remaining_pieces : float
            Number of pieces that its text probably still lacks.
        engine_seconds_per_piece : float
            Mean interval between the pieces of the engine's streams.
        """
        measured_seconds = intervals.seconds_per_piece()
        if measured_seconds is None:
            return None
        load_estimator = self._context.load_estimator
        if not self._context.chooses_targets_by_load(target.service):
            return min(measured_seconds, engine_seconds_per_piece)
        now_seconds = self._context.now_seconds()
        estimate = load_estimator.estimate(target, WorkKind.TEXT, remaining_pieces, now_seconds)
        return estimate.unit_seconds * estimate.pace

    def _estimate(self, target: ListedTarget, now_seconds: float) -> TargetEstimate:
        load_estimator = self._context.load_estimator
        units = load_estimator.typical_units(target.service, WorkKind.TEXT)
        target_state = self._context.targets.get(target.instance)
        arrival_seconds = 2 * target_state.one_way_seconds if target_state is not None else 0.0
        return load_estimator.estimate(
            target,
            WorkKind.TEXT,
            units,
            now_seconds,
            arrival_seconds,
            path_class=self._context.path_class(target.zone),
        )
