"""Events of callers' requests and their attempts."""

from rackswitch.telemetry.events.base import Event, register_event
from rackswitch.telemetry.events.estimates import EstimateLogged

__all__ = [
    "AttemptFailed",
    "RequestCancelled",
    "RequestEnded",
    "RequestRefused",
    "TargetsExcluded",
]


@register_event
class RequestRefused(Event, tag="request refused", frozen=True):
    """This daemon refused a request before choosing a target.

    Attributes
    ----------
    table_age_seconds : float
        Age of the last confirmation of the table; -1 if there is none.
    """

    request: str
    path: str
    status: int
    detail: str
    table_revision: int
    table_age_seconds: float = -1.0


@register_event
class RequestCancelled(Event, tag="request cancelled", frozen=True):
    """A planned stop ended before the request did."""

    request: str
    path: str


@register_event
class AttemptFailed(Event, tag="attempt failed", frozen=True):
    """An attempt to have a target serve a request failed.

    Attributes
    ----------
    may_have_run : bool
        False only if the target cannot have started the request, or reported that it did not.
    list_age_seconds : float
        Age of the list of targets that the target was chosen from.
    fingerprint : str
        Identifies repeated sends of the same request, if the run was interrupted.
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


@register_event
class RequestEnded(Event, tag="request ended", frozen=True):
    """A request ended.

    Attributes
    ----------
    target : str
        The target whose answer was forwarded to the caller; empty if there is none.
    targets_known : int
        Usable targets of the service when the request ended.
    routed_by_revision : int
        Revision of the table by which the request was routed; `table_revision` is the one in
        force when it ended.
    routed_by_age_seconds : float
        Age of that table's last confirmation when the request was routed; -1 if there was none.
    place : EstimateLogged or None
        Estimate of the target's load when it was chosen, if its service reports a pace.
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
    routed_by_revision: int = 0
    routed_by_age_seconds: float = -1.0
    place: EstimateLogged | None = None

    @property
    def is_routine(self) -> bool:
        """Whether the request was served at the first attempt."""
        return self.attempts <= 1 and self.outcome.startswith("2")


@register_event
class TargetsExcluded(Event, tag="targets excluded", frozen=True):
    """A request was refused as rules exclude all targets of its service.

    Attributes
    ----------
    reasons : dict of str to int
        Number of targets that each rule excludes.
    """

    request: str
    service: str
    reasons: dict[str, int]

    @property
    def is_routine(self) -> bool:
        """Always true: the request's own last line names the reason too."""
        return True
