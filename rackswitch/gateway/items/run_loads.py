"""The runs of items in the load picture."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.jobs import PieceIntervals
from rackswitch.platform.item_runs import ItemRunEnd, ItemRunEnded
from rackswitch.routing import ListedTarget, SentRequest, TargetEstimate, WorkKind

__all__ = ["RunLoads"]


class RunLoads:
    """Tells the load picture of runs, and asks it of engines.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = ("_context",)

    def __init__(self, context: GatewayContext):
        self._context = context

    def place(self, target: ListedTarget, now_seconds: float) -> TargetEstimate | None:
        """Return what a place for a usual run is worth; None if it is not placed by load."""
        if not self._context.places_by_load(target.service):
            return None
        return self._place(target, now_seconds)

    def sent(self, target: ListedTarget, now_seconds: float) -> SentRequest:
        """Count a run in that begins now."""
        place = self._place(target, now_seconds)
        return self._context.load_estimator.sent(target, WorkKind.TEXT, place, now_seconds)

    def ended(self, sent: SentRequest, ended: ItemRunEnded | None, pieces: int) -> None:
        """Count a run out and learn from its end; None if it was cancelled."""
        load_estimator = self._context.load_estimator
        load_estimator.done(sent)
        if ended is None:
            return
        now_seconds = self._context.now_seconds()
        if ended.end is ItemRunEnd.WHOLE and pieces > 0:
            load_estimator.worked(sent, float(pieces), now_seconds)
        elif ended.end is ItemRunEnd.FAILED:
            load_estimator.failed(sent.start, now_seconds)
        elif ended.end is ItemRunEnd.NOT_RUN:
            load_estimator.refused(sent.start, now_seconds)

    def expected_gap_seconds(
        self, target: ListedTarget, gaps: PieceIntervals, remaining_pieces: float
    ) -> float | None:
        """Return the gap between a run's pieces to come; None if too few were seen.

        Where engines are placed by load it is what is believed of the engine over the rest of the
        text: what the last pieces show may be noise that is over before a move would gain.
        """
        seen_seconds = gaps.seconds_per_piece()
        load_estimator = self._context.load_estimator
        if seen_seconds is None or not self._context.places_by_load(target.service):
            return seen_seconds
        now_seconds = self._context.now_seconds()
        place = load_estimator.place(target, WorkKind.TEXT, remaining_pieces, now_seconds)
        return place.unit_seconds * place.pace

    def _place(self, target: ListedTarget, now_seconds: float) -> TargetEstimate:
        load_estimator = self._context.load_estimator
        units = load_estimator.usual_units(target.service, WorkKind.TEXT)
        load = self._context.targets.get(target.instance)
        arrival_seconds = 2 * load.one_way_seconds if load is not None else 0.0
        return load_estimator.place(target, WorkKind.TEXT, units, now_seconds, arrival_seconds)
