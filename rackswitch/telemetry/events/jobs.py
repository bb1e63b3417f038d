"""Events of batch jobs: their owners, items and results."""

from rackswitch.telemetry.events.base import Event, register_event
from rackswitch.telemetry.events.estimates import EstimateLogged

__all__ = [
    "EngineLeaves",
    "GiveUpPostponed",
    "ItemGivenUp",
    "ItemRunEnded",
    "ItemWaits",
    "ItemWorkFailed",
    "JobCallRefused",
    "JobDropped",
    "JobEnded",
    "JobExcluded",
    "JobExpired",
    "JobHandedOver",
    "JobNotOwned",
    "JobOwned",
    "JobPlaced",
    "JobReceived",
    "JobResumed",
    "JobSubmitted",
    "ResultsAppended",
    "ResultsRead",
    "RewardCallEnded",
    "RunLeavesEngine",
    "RunLeavesRegion",
]


@register_event
class JobSubmitted(Event, tag="job submitted", frozen=True):
    """The answer to a job's submission."""

    job: str
    route: str
    step: int
    items: int
    table_revision: int
    outcome: int
    detail: str


@register_event
class JobOwned(Event, tag="job owned", frozen=True):
    """This daemon became the owner of a job; `owner_revision` fences its writes."""

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


@register_event
class JobPlaced(Event, tag="job placed", frozen=True):
    """A job that was submitted here was passed to the daemon that should own it.

    Attributes
    ----------
    open_items, max_items : int
        Items that the chosen daemon had, and how many it can carry.
    limited_by : str
        The resource that limits them: "processor", "link" or "memory".
    overloaded_here : bool
        Whether the event loop of the daemon that chose was late.
    """

    job: str
    owner: str
    elapsed_seconds: float
    outcome: str
    open_items: int = 0
    max_items: int = 0
    limited_by: str = ""
    overloaded_here: bool = False


@register_event
class JobResumed(Event, tag="job resumed", frozen=True):
    """Unfinished texts of a former owner were resumed; none if its runs may still be active."""

    job: str
    former_owner: str
    runs_ended: bool
    items_kept: int
    items_resumed: int


@register_event
class JobHandedOver(Event, tag="job handed over", frozen=True):
    """A stopping owner offered a job to another daemon; `outcome` is the result."""

    job: str
    successor: str
    outcome: str
    owner_revision: int
    elapsed_seconds: float
    items_kept: int


@register_event
class JobReceived(Event, tag="job received", frozen=True):
    """A job was received from a stopping owner.

    `outcome` is "owned", "not owned yet" while the key-value service is unreachable, or the reason
    why this daemon does not work on it.
    """

    job: str
    former_owner: str
    outcome: str
    owner_revision: int
    elapsed_seconds: float


@register_event
class JobDropped(Event, tag="job dropped", frozen=True):
    """This daemon stopped working on a job."""

    job: str
    reason: str
    listed: int
    items: int
    owner_revision: int


@register_event
class JobNotOwned(Event, tag="job not owned", frozen=True):
    """This daemon claimed a job but does not work on it."""

    job: str
    reason: str


@register_event
class JobEnded(Event, tag="job ended", frozen=True):
    """The answer to a submitter's request to end a job."""

    job: str
    outcome: str


@register_event
class JobExpired(Event, tag="job forgotten", frozen=True):
    """An expired job was deleted, or the deletion failed."""

    job: str
    outcome: str


@register_event
class JobCallRefused(Event, tag="job call refused", frozen=True):
    """A call about a job was refused."""

    job: str
    call: str
    outcome: str
    detail: str


@register_event
class ItemRunEnded(Event, tag="item run ended", frozen=True):
    """A run of an item at an engine ended."""

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
    """Identifies repeated sends of the same request, if the run was interrupted."""

    place: EstimateLogged | None = None
    """Estimate of the engine's load when the run began, if its service reports a pace."""

    routed_by_revision: int = 0
    """Revision of the table by which the run was routed."""

    routed_by_age_seconds: float = -1.0
    """Age of that table's last confirmation when the run began; -1 if there was none."""

    @property
    def is_routine(self) -> bool:
        """Whether the first run completed the text."""
        return self.run == 1 and self.outcome == "whole"


@register_event
class ItemWaits(Event, tag="item waits", frozen=True):
    """An item of an owned job has been at no engine for long.

    Attributes
    ----------
    run : int
        Number of its runs so far.
    reason : str
        What it waits for.
    remaining_seconds : float
        Time until it may start; -1 if no time is set.
    last_target : str
        Target of its last interrupted run; empty if there was none.
    engines_with_room : list of str
        Some of the engines that had room for it.
    obstacles : dict of str to int
        Number of engines that each obstacle excluded.
    items_left_out : int
        Further items that waited at that time and are not logged.
    """

    job: str
    item: str
    run: int
    reason: str
    waited_seconds: float
    remaining_seconds: float
    last_target: str
    engines_with_room: list[str]
    obstacles: dict[str, int]
    list_age_seconds: float
    table_revision: int
    items_left_out: int = 0


@register_event
class ItemWorkFailed(Event, tag="item work failed", frozen=True):
    """An unexpected error ended a run of an item or its reward call; the item continues later.

    Attributes
    ----------
    errors : int
        Number of such errors of the item so far.
    """

    job: str
    item: str
    run: int
    errors: int
    detail: str


@register_event
class EngineLeaves(Event, tag="engine leaves", frozen=True):
    """An engine with runs of this daemon is leaving; it serves for `left_seconds` at least."""

    target: str
    left_seconds: float
    is_told: bool
    """Whether the engine itself reported that time; if not, it is the minimum drain time."""

    runs: int


@register_event
class RunLeavesEngine(Event, tag="run leaves engine", frozen=True):
    """A run was ended so that it resumes at another engine before its engine is gone."""

    job: str
    item: str
    target: str
    room_at: str
    """An engine with a free slot; the run resumes at the best engine when it starts."""

    remaining_seconds: float
    left_seconds: float
    slack_seconds: float
    """Time left until the run has to resume elsewhere for its step to be in time."""


@register_event
class JobExcluded(Event, tag="job excluded", frozen=True):
    """A job's items wait as rules exclude all engines of its service; logged once per reason.

    Attributes
    ----------
    reasons : dict of str to int
        Number of engines that each rule excludes.
    """

    job: str
    service: str
    reasons: dict[str, int]
    table_revision: int


@register_event
class RunLeavesRegion(Event, tag="run leaves region", frozen=True):
    """A run was ended as the table no longer allows its engine's region; it resumes elsewhere."""

    job: str
    item: str
    target: str
    zone: str
    table_revision: int


@register_event
class RewardCallEnded(Event, tag="reward call ended", frozen=True):
    """A call that scores an item's text ended.

    Attributes
    ----------
    is_hedged : bool
        Whether it was sent a second time because the first stayed without an answer.
    routed_by_revision : int
        Revision of the table by which the call was routed.
    """

    job: str
    item: str
    request: str
    target: str
    attempts: int
    failures: int
    outcome: str
    place: EstimateLogged | None = None
    is_hedged: bool = False
    routed_by_revision: int = 0

    @property
    def is_routine(self) -> bool:
        """Whether the call was served at the first attempt."""
        return self.attempts <= 1 and self.outcome.startswith("2")


@register_event
class ItemGivenUp(Event, tag="item given up", frozen=True):
    """An item was listed without a text.

    Attributes
    ----------
    table_age_seconds : float
        Age of the last confirmation of the table; -1 if there was none.
    confirmed_revision, owner_revision : int
        The key-value service's revision as of which it confirmed the table, and that of the
        owner's claim of the job.
    """

    job: str
    item: str
    reason: str
    table_revision: int
    table_age_seconds: float = -1.0
    confirmed_revision: int = 0
    owner_revision: int = 0


@register_event
class GiveUpPostponed(Event, tag="give-up postponed", frozen=True):
    """A job's items would be given up, but the table may be outdated; logged once per reason.

    The fields are those of `ItemGivenUp`.
    """

    job: str
    reason: str
    table_revision: int
    table_age_seconds: float
    confirmed_revision: int
    owner_revision: int


@register_event
class ResultsAppended(Event, tag="results appended", frozen=True):
    """Results were stored from a position on, or storing them failed."""

    job: str
    position: int
    items: list[str]
    owner_revision: int
    outcome: str

    @property
    def is_routine(self) -> bool:
        """Whether the results were stored."""
        return self.outcome == "Appended"


@register_event
class ResultsRead(Event, tag="results read", frozen=True):
    """A reader's request for results was answered; `source` is where they came from."""

    job: str
    position: int
    count: int
    source: str
    listed: int
    elapsed_seconds: float

    @property
    def is_routine(self) -> bool:
        """Always true: reads change no state."""
        return True
