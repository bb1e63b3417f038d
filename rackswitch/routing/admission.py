"""Admission control before a request is sent to its target."""

from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.routing.policies import BATCH_WIDTH, RoutedRequest, estimated_wait_seconds
from rackswitch.routing.targets import Target

__all__ = ["admit"]

MAX_QUEUE_SECONDS = 8.0
"""Longest estimated queue that a request of the most urgent class joins."""

CLASS_QUEUE_REDUCTION = 0.06
"""Share of `MAX_QUEUE_SECONDS` by which the limit shrinks with each less urgent caller class."""


def admit(
    request: RoutedRequest,
    target: Target,
    deadline_seconds: float | None,
    caller_class: int,
) -> NotRun | None:
    """Decide whether the chosen target can serve the request in time.

    Requests that would miss their deadline are refused before they cost an engine anything.
    Less urgent classes (larger numbers) have a lower queue limit, so a burst displaces them first.

    Returns
    -------
    NotRun or None
        The refusal with the time to retry at, or None if the request is admitted.
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
    max_queue_seconds = MAX_QUEUE_SECONDS * (1.0 - CLASS_QUEUE_REDUCTION * caller_class)
    if queue_seconds > max_queue_seconds:
        return NotRun(
            NotRunReason.OVERLOADED,
            f"the shortest queue is {queue_seconds:.1f} s long",
            request.now_seconds + queue_seconds - max_queue_seconds + 0.5,
        )
    return None
