"""What is logged of targets that ended under requests, and of requests that are held back."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = ["EndsTold", "RequestAcquitted", "RequestHeldBack", "TargetEnded", "TrialClaimed"]


@registered
class TargetEnded(Event, tag="target ended", frozen=True):
    """The process of a target has ended under runs of this daemon.

    Attributes
    ----------
    target : str
        The start that ended.
    evidence : str
        How this is known.
    runs : list of str
        Fingerprints of the requests whose runs broke there.
    """

    target: str
    evidence: str
    runs: list[str]
    list_age_seconds: float


@registered
class EndsTold(Event, tag="ends told", frozen=True):
    """This daemon's record of ends, as it was told to the others.

    Attributes
    ----------
    number : int
        Counts the records.
    kept : bool
        Whether the key-value service has it.
    told : int
        Daemons that were told directly, as the service did not take it at once.
    """

    number: int
    ends: int
    kept: bool
    told: int


@registered
class RequestHeldBack(Event, tag="request held back", frozen=True):
    """A send of a request did not take place.

    Attributes
    ----------
    ends, trials : int
        Targets that ended under it, and sends of it since it is held back.
    for_seconds : float
        How long it is not worth another try.
    """

    fingerprint: str
    ends: int
    trials: int
    for_seconds: float

    @property
    def is_routine(self) -> bool:
        """Whatever is asked for again and again is refused again and again."""
        return True


@registered
class TrialClaimed(Event, tag="trial claimed", frozen=True):
    """A request that is held back is sent once, if the claim was this daemon's."""

    fingerprint: str
    trial: int
    claimed: bool


@registered
class RequestAcquitted(Event, tag="request acquitted", frozen=True):
    """A target has answered a request that was present when others ended."""

    fingerprint: str
    ends: int
