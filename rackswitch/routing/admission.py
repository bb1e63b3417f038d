"""Whether to take a request on at all."""

from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.routing.policies import BATCH_WIDTH, RoutedRequest, estimated_wait_seconds
from rackswitch.routing.targets import Target

__all__ = ["admit"]

QUEUE_BOUND_SECONDS = 8.0
"""Longest estimated wait that a request without a deadline is queued for."""

CLASS_HEADROOM = 0.06
"""Part of the bound that each step down in caller class gives up under load."""


def admit(
    request: RoutedRequest,
    target: Target,
    deadline_seconds: float | None,
    caller_class: int,
) -> NotRun | None:
    """Decide whether the request can be served in time by the chosen target.

    Work that cannot finish is refused before it costs an engine anything. Lower classes
    (larger numbers) meet the queue bound earlier, so a burst displaces them first.

    Returns
    -------
    NotRun or None
        The refusal with the time to come back, or None to go on.
    """
    wait_seconds = estimated_wait_seconds(request, target)
    finish_seconds = request.now_seconds + wait_seconds
    if deadline_seconds is not None and finish_seconds > deadline_seconds:
        return NotRun(
            NotRunReason.DEADLINE_TOO_NEAR,
            f"needs about {wait_seconds:.2f} s, past its deadline",
            request.now_seconds + wait_seconds,
        )
    queue_seconds = target.outstanding_tokens() / (
        max(1.0, target.speed_tokens_per_second) * BATCH_WIDTH
    )
    bound_seconds = QUEUE_BOUND_SECONDS * (1.0 - CLASS_HEADROOM * caller_class)
    if queue_seconds > bound_seconds:
        return NotRun(
            NotRunReason.OVERLOADED,
            f"the shortest queue is {queue_seconds:.1f} s long",
            request.now_seconds + queue_seconds - bound_seconds + 0.5,
        )
    return None
