"""What is logged of callers' requests and their attempts."""

from rackswitch.telemetry.events.base import Event, registered
from rackswitch.telemetry.events.places import PlaceSeen

__all__ = [
    "AttemptFailed",
    "RequestEnded",
    "RequestRefused",
]


@registered
class RequestRefused(Event, tag="request refused", frozen=True):
    """A request was refused by this daemon itself, before any target was chosen."""

    request: str
    path: str
    status: int
    detail: str
    table_revision: int


@registered
class AttemptFailed(Event, tag="attempt failed", frozen=True):
    """A target did not serve a request.

    Attributes
    ----------
    may_have_run : bool
        False only if the target cannot have begun, or said that it did not.
    list_age_seconds : float
        How old the list of targets was that the target was chosen from.
    fingerprint : str
        What it has in common with other sends of the same request, if the run broke.
    """

    request: str
    service: str
    target: str
    attempt: int
    may_have_run: bool
    detail: str
    attempt_seconds: float
    list_age_seconds: float
    fingerprint: str = ""


@registered
class RequestEnded(Event, tag="request ended", frozen=True):
    """A request's final answer.

    Attributes
    ----------
    target : str
        The target whose answer was passed on; empty if there is none.
    targets_known : int
        Targets of the service that could be used when the request ended.
    place : PlaceSeen or None
        What was believed of the target as it was chosen, if its service tells its pace.
    """

    request: str
    route: str
    caller_class: int
    table_revision: int
    list_age_seconds: float
    targets_known: int
    target: str
    attempts: int
    elapsed_seconds: float
    outcome: str
    tenant: str = ""
    place: PlaceSeen | None = None

    @property
    def is_routine(self) -> bool:
        """Whether the request was served at the first try."""
        return self.attempts <= 1 and self.outcome.startswith("2")
