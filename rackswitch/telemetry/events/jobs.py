"""What is logged of batch jobs: who owns them, their items, their results."""

from rackswitch.telemetry.events.base import Event, registered
from rackswitch.telemetry.events.places import PlaceSeen

__all__ = [
    "ItemGivenUp",
    "ItemRunEnded",
    "JobCallRefused",
    "JobDropped",
    "JobEnded",
    "JobForgotten",
    "JobNotOwned",
    "JobOwned",
    "JobPlaced",
    "JobResumed",
    "JobSubmitted",
    "ResultsAppended",
    "ResultsRead",
    "RewardCallEnded",
]


@registered
class JobSubmitted(Event, tag="job submitted", frozen=True):
    """The answer to a job's submission."""

    job: str
    route: str
    step: int
    items: int
    table_revision: int
    outcome: int
    detail: str


@registered
class JobOwned(Event, tag="job owned", frozen=True):
    """This daemon works on a job from now on; `owner_revision` fences its writes."""

    job: str
    step: int
    items: int
    listed: int
    age_seconds: float
    owner_revision: int
    oldest_version: int
    model: str = ""
    groups: int = 0
    wanted_groups: int = 0


@registered
class JobPlaced(Event, tag="job placed", frozen=True):
    """A job that came here was passed to the daemon that should own it."""

    job: str
    owner: str
    elapsed_seconds: float
    outcome: str


@registered
class JobResumed(Event, tag="job resumed", frozen=True):
    """Unfinished texts of a former owner were gone on with; none if its runs may still go on."""

    job: str
    former_owner: str
    runs_ended: bool
    items_kept: int
    items_resumed: int


@registered
class JobDropped(Event, tag="job dropped", frozen=True):
    """This daemon works on a job no more."""

    job: str
    reason: str
    listed: int
    items: int
    owner_revision: int


@registered
class JobNotOwned(Event, tag="job not owned", frozen=True):
    """A job that was claimed here is not worked on."""

    job: str
    reason: str


@registered
class JobEnded(Event, tag="job ended", frozen=True):
    """The answer to a submitter that ends its job."""

    job: str
    outcome: str


@registered
class JobForgotten(Event, tag="job forgotten", frozen=True):
    """A job past its time was deleted, or could not be."""

    job: str
    outcome: str


@registered
class JobCallRefused(Event, tag="job call refused", frozen=True):
    """A call about a job was not served."""

    job: str
    call: str
    outcome: str
    detail: str


@registered
class ItemRunEnded(Event, tag="item run ended", frozen=True):
    """The end of one run of an item at an engine."""

    job: str
    item: str
    run: int
    target: str
    first_piece: int
    pieces: int
    versions: list[int]
    oldest_version: int
    run_seconds: float
    list_age_seconds: float
    outcome: str
    detail: str
    first_piece_seconds: float = -1.0
    """From the run's start to its first piece; -1 if none came."""

    fingerprint: str = ""
    """What the item has in common with other sends of the same request, if the run broke."""

    place: PlaceSeen | None = None
    """What was believed of the engine as the run began, if its service tells its pace."""

    @property
    def is_routine(self) -> bool:
        """Whether the run brought the whole text at once."""
        return self.run == 1 and self.outcome == "whole"


@registered
class RewardCallEnded(Event, tag="reward call ended", frozen=True):
    """The end of a call that scores an item's text."""

    job: str
    item: str
    request: str
    target: str
    attempts: int
    failures: int
    outcome: str
    place: PlaceSeen | None = None

    @property
    def is_routine(self) -> bool:
        """Whether the call was served at the first try."""
        return self.attempts <= 1 and self.outcome.startswith("2")


@registered
class ItemGivenUp(Event, tag="item given up", frozen=True):
    """An item is listed without a text."""

    job: str
    item: str
    reason: str
    table_revision: int


@registered
class ResultsAppended(Event, tag="results appended", frozen=True):
    """Results were kept from a position on, or could not be."""

    job: str
    position: int
    items: list[str]
    owner_revision: int
    outcome: str

    @property
    def is_routine(self) -> bool:
        """Whether the results are kept."""
        return self.outcome == "Appended"


@registered
class ResultsRead(Event, tag="results read", frozen=True):
    """The answer to a reader of results, and where it was taken from."""

    job: str
    position: int
    count: int
    source: str
    listed: int
    elapsed_seconds: float

    @property
    def is_routine(self) -> bool:
        """Reads change nothing."""
        return True
