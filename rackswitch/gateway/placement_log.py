"""What is logged of the place that a request was given."""

import math

from rackswitch.gateway.context import GatewayContext
from rackswitch.routing import TargetEstimate, WorkKind
from rackswitch.telemetry.events import PlaceSeen

__all__ = ["placement_event"]


def placement_event(
    context: GatewayContext, place: TargetEstimate | None, service: str, kind: WorkKind
) -> PlaceSeen | None:
    """Return the inputs of a choice for its log line; None if they did not decide."""
    if place is None or not context.places_by_load(service):
        return None
    run_seconds = context.load_estimator.usual_run_seconds(service, kind)
    has_word = math.isfinite(place.word_age_seconds)
    return PlaceSeen(
        slots=place.slots,
        running=round(place.running, 2),
        waiting=round(place.waiting, 2),
        pace=round(place.pace, 3),
        wait_seconds=round(place.wait_seconds(run_seconds), 4),
        word_age_seconds=round(place.word_age_seconds, 3) if has_word else -1.0,
    )
