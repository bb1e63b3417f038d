"""Events of targets that ended during requests, and of requests that are held back."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = ["EndsReported", "RequestCleared", "RequestHeldBack", "TargetEnded", "TrialClaimed"]


@register_event
class TargetEnded(Event, tag="target ended", frozen=True):
    """The process of a target ended during runs of this daemon.

    Attributes
    ----------
    target : str
        The target's start (one process of it) that ended.
    evidence : str
        How the end was detected.
    runs : list of str
        Fingerprints of the requests whose runs were interrupted.
    """

    target: str
    evidence: str
    runs: list[str]
    list_age_seconds: float


@register_event
class EndsReported(Event, tag="ends told", frozen=True):
    """This daemon sent its record of ended targets to the others.

    Attributes
    ----------
    number : int
        Sequence number of the record.
    kept : bool
        Whether the key-value service stored the record.
    told : int
        Daemons notified directly, as the service did not store the record at once.
    """

    number: int
    ends: int
    kept: bool
    told: int


@register_event
class RequestHeldBack(Event, tag="request held back", frozen=True):
    """A request was not sent, as targets ended during earlier sends of it.

    Attributes
    ----------
    ends, trials : int
        Targets that ended during it, and sends of it since it is held back.
    for_seconds : float
        Minimum delay before a retry.
    """

    fingerprint: str
    ends: int
    trials: int
    for_seconds: float

    @property
    def is_routine(self) -> bool:
        """Always true: a repeated request is refused each time."""
        return True


@register_event
class TrialClaimed(Event, tag="trial claimed", frozen=True):
    """A trial send of a held-back request was due; `claimed` if this daemon may send it."""

    fingerprint: str
    trial: int
    claimed: bool


@register_event
class RequestCleared(Event, tag="request acquitted", frozen=True):
    """A request was cleared of suspicion: a target answered it after others had ended during it."""

    fingerprint: str
    ends: int
