"""Decides which requests a starting daemon refuses, as it cannot serve them in time."""

from dataclasses import dataclass

__all__ = ["STOP_MARGIN_SECONDS", "StartForecast", "StartRefusal", "refusal_of_waiting"]

STOP_MARGIN_SECONDS = 1.0
"""Part of the grace period that is left for shutdown when the last requests are given up."""

START_MODULE_COUNT = 720
"""Modules that a start imports after it listens."""

MIN_IMPORTED_SHARE = 0.1
"""Share of the imports before which their pace says nothing."""

MAX_WAIT_SHARE = 0.75
"""Share of a caller's time that its request may wait, so that enough is left for another daemon."""

MAX_RETURN_SHARE = 1 / 3
"""Share of its remaining time after which a caller no longer follows a `Retry-After`."""

NO_DEADLINE_SECONDS = 10.0
"""Time after which the caller of a request without a time limit is taken to give up."""


class StartForecast:
    """Estimates when a starting daemon serves requests, by the pace of its imports.

    Parameters
    ----------
    started_seconds : float
        When the imports began (boot clock).
    """

    __slots__ = ("_imported_count", "_is_imported", "_started_seconds")

    def __init__(self, started_seconds: float):
        self._started_seconds = started_seconds
        self._imported_count = 0
        self._is_imported = False

    def record_import(self) -> None:
        """Record that the import of one more module begins."""
        self._imported_count += 1

    def record_imports_ended(self) -> None:
        """Record that all modules are imported."""
        self._is_imported = True

    def ready_at_seconds(self, now_seconds: float) -> float:
        """Return when the daemon is expected to serve requests; now if that is not known."""
        share = self._imported_count / START_MODULE_COUNT
        if self._is_imported or not MIN_IMPORTED_SHARE <= share < 1.0:
            return now_seconds
        return self._started_seconds + (now_seconds - self._started_seconds) / share


@dataclass(frozen=True, slots=True)
class StartRefusal:
    """Why a request is refused during a start, and when its caller may come back.

    Attributes
    ----------
    retry_at_seconds : float
        Boot clock.
    """

    detail: str
    retry_at_seconds: float


def refusal_of_waiting(
    received_at_seconds: float,
    deadline_seconds: float | None,
    ready_at_seconds: float,
    stop_deadline_seconds: float | None,
    now_seconds: float,
) -> StartRefusal | None:
    """Return why a request has to be refused now, or None if it may wait.

    Parameters
    ----------
    received_at_seconds : float
        When the request arrived (boot clock, as all times here).
    deadline_seconds : float or None
        When its caller gives it up; None if that is not known.
    ready_at_seconds : float
        When the daemon is expected to serve requests.
    stop_deadline_seconds : float or None
        When a planned stop that was requested during the start has to be over.
    now_seconds : float
        The current time.
    """
    if deadline_seconds is None:
        deadline_seconds = received_at_seconds + NO_DEADLINE_SECONDS
    wait_until_seconds = received_at_seconds + MAX_WAIT_SHARE * (
        deadline_seconds - received_at_seconds
    )
    detail = "this daemon is still starting"
    if stop_deadline_seconds is not None and stop_deadline_seconds < wait_until_seconds:
        wait_until_seconds = stop_deadline_seconds
        detail = "this daemon is stopping"
    expected_seconds = max(ready_at_seconds, now_seconds)
    if expected_seconds <= wait_until_seconds:
        return None
    latest_return_seconds = now_seconds + MAX_RETURN_SHARE * max(
        0.0, deadline_seconds - now_seconds
    )
    return StartRefusal(detail, min(expected_seconds, latest_return_seconds))
