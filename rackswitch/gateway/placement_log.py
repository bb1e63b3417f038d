"""Log event of the target estimate behind a placement."""

import math

from rackswitch.gateway.context import GatewayContext
from rackswitch.routing import TargetEstimate, WorkKind
from rackswitch.telemetry.events import EstimateLogged

__all__ = ["placement_event"]


def placement_event(
    context: GatewayContext, estimate: TargetEstimate | None, service: str, kind: WorkKind
) -> EstimateLogged | None:
    """Return the inputs of a placement for the log; None if the load did not decide it."""
    if estimate is None or not context.chooses_targets_by_load(service):
        return None
    run_seconds = context.load_estimator.typical_run_seconds(service, kind)
    has_report = math.isfinite(estimate.report_age_seconds)
    return EstimateLogged(
        slots=estimate.slots,
        running=round(estimate.running, 2),
        waiting=round(estimate.waiting, 2),
        pace=round(estimate.pace, 3),
        wait_seconds=round(estimate.wait_seconds(run_seconds), 4),
        word_age_seconds=round(estimate.report_age_seconds, 3) if has_report else -1.0,
        path=estimate.path_class.name.lower() if context.regions.has_regions else "",
    )
