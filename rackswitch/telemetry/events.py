"""What a daemon logs: one class for each kind of decision or change of belief.

An event's fields hold the identity of what it is about, the inputs that decided,
with their age or version, and the outcome. Times in fields are durations that
have passed, never points on a clock: each line carries the daemon's clocks itself.
"""

from typing import TypeVar

import msgspec

from rackswitch.registry import Registry

__all__ = [
    "EVENTS",
    "AttemptFailed",
    "CannotFollow",
    "DependencyLost",
    "DependencyRegained",
    "EditAccepted",
    "EntryUnreadable",
    "Event",
    "Follows",
    "HandOverGivenUp",
    "ItemGivenUp",
    "ItemRunEnded",
    "JobCallRefused",
    "JobDropped",
    "JobEnded",
    "JobForgotten",
    "JobNotOwned",
    "JobOwned",
    "JobResumed",
    "JobSubmitted",
    "LedgerLoaded",
    "LinesFolded",
    "LoadOrdered",
    "OrdersTakenOver",
    "PredecessorEnded",
    "Reloaded",
    "ReloadRefused",
    "RequestEnded",
    "RequestRefused",
    "ResultsAppended",
    "ResultsRead",
    "RetireAnswered",
    "RewardCallEnded",
    "RoleAcquired",
    "RoleLost",
    "SampleEnded",
    "SessionBegun",
    "SessionEnded",
    "SessionLost",
    "Started",
    "Stopped",
    "Stopping",
    "StoreCalls",
    "TableInForce",
    "TargetGone",
    "TargetListed",
    "VersionNamed",
]


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """One line of the log."""

    @property
    def is_routine(self) -> bool:
        """Whether the line may be folded into a count under load."""
        return False


EVENTS: Registry[type[Event]] = Registry("event")

EventT = TypeVar("EventT", bound=type[Event])


def _registered(kind: EventT) -> EventT:
    """File an event class under the name that its lines carry."""
    EVENTS.register(str(kind.__struct_config__.tag))(kind)
    return kind


# The life of a process


@_registered
class Started(Event, tag="started", frozen=True):
    """The process serves from now on."""

    zone: str
    machine_class: str = ""


@_registered
class Stopping(Event, tag="stopping", frozen=True):
    """A planned stop has begun."""

    requests_in_flight: int


@_registered
class HandOverGivenUp(Event, tag="hand-over given up", frozen=True):
    """A planned stop could not hand these jobs over in time; they are taken over later."""

    jobs: list[str]


@_registered
class Stopped(Event, tag="stopped", frozen=True):
    """A planned stop is over; `whole` if no request was left."""

    whole: bool


@_registered
class Reloaded(Event, tag="reloaded", frozen=True):
    """The settings file has changed."""

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]


@_registered
class ReloadRefused(Event, tag="reload refused", frozen=True):
    """The settings file cannot be used; the settings in force stay."""

    detail: str


@_registered
class LinesFolded(Event, tag="lines folded", frozen=True):
    """How many routine lines were not written one by one, by event."""

    counts: dict[str, int]


# Dependencies


@_registered
class DependencyLost(Event, tag="dependency lost", frozen=True):
    """A call to the service went unanswered or was refused."""

    dependency: str
    detail: str


@_registered
class DependencyRegained(Event, tag="dependency regained", frozen=True):
    """The service answers again."""

    dependency: str
    away_seconds: float


@_registered
class SessionBegun(Event, tag="session begun", frozen=True):
    """The daemon has a lease in the key-value service."""

    lease: int


@_registered
class SessionLost(Event, tag="session lost", frozen=True):
    """The service says that the lease is over, and with it what hung on it."""

    lease: int


@_registered
class SessionEnded(Event, tag="session ended", frozen=True):
    """The daemon gave its lease back."""

    lease: int | None
    outcome: str


@_registered
class PredecessorEnded(Event, tag="predecessor's lease ended", frozen=True):
    """The lease of this daemon's earlier process was ended."""

    lease: int


@_registered
class Follows(Event, tag="follows", frozen=True):
    """The daemon takes its copies of the service's entries from another daemon."""

    daemon_followed: str


@_registered
class CannotFollow(Event, tag="cannot follow", frozen=True):
    """Another daemon's copies cannot be taken."""

    daemon_asked: str
    reason: str


@_registered
class StoreCalls(Event, tag="key-value calls", frozen=True):
    """Calls to the key-value service so far, by kind."""

    calls: dict[str, int]


@_registered
class EntryUnreadable(Event, tag="entry unreadable", frozen=True):
    """An entry of the service cannot be decoded; what was known before stays."""

    key: str
    revision: int
    detail: str


# What the daemon believes


@_registered
class TableInForce(Event, tag="table in force", frozen=True):
    """Another revision of the table holds here."""

    revision: int
    revision_before: int


@_registered
class EditAccepted(Event, tag="edit accepted", frozen=True):
    """An operator's edit is in the table."""

    edit: str
    operator: str


@_registered
class TargetListed(Event, tag="target listed", frozen=True):
    """A target is new in the list, or its state there has changed."""

    target: str
    service: str
    draining: bool
    revision: int


@_registered
class TargetGone(Event, tag="target gone", frozen=True):
    """A target's entry is gone; `still_used` if it may only have lapsed with the service."""

    target: str
    still_used: bool


@_registered
class VersionNamed(Event, tag="version named", frozen=True):
    """A trainer has named a version of a model."""

    model: str
    version: int
    version_before: int


@_registered
class RoleAcquired(Event, tag="role acquired", frozen=True):
    """This daemon holds a role."""

    role: str
    fencing: int


@_registered
class RoleLost(Event, tag="role lost", frozen=True):
    """This daemon does not hold a role any more."""

    role: str
    fencing: int
    reason: str


@_registered
class RetireAnswered(Event, tag="retire", frozen=True):
    """An order to empty a VM was answered."""

    vm: str
    outcome: str


# Callers' requests


@_registered
class RequestRefused(Event, tag="request refused", frozen=True):
    """A request was refused by this daemon itself, before any target was chosen."""

    request: str
    path: str
    status: int
    detail: str
    table_revision: int


@_registered
class AttemptFailed(Event, tag="attempt failed", frozen=True):
    """A target did not serve a request.

    Attributes
    ----------
    may_have_run : bool
        False only if the target cannot have begun, or said that it did not.
    list_age_seconds : float
        How old the list of targets was that the target was chosen from.
    """

    request: str
    service: str
    target: str
    attempt: int
    may_have_run: bool
    detail: str
    attempt_seconds: float
    list_age_seconds: float


@_registered
class RequestEnded(Event, tag="request ended", frozen=True):
    """A request's final answer.

    Attributes
    ----------
    target : str
        The target whose answer was passed on; empty if there is none.
    targets_known : int
        Targets of the service that could be used when the request ended.
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

    @property
    def is_routine(self) -> bool:
        """Whether the request was served at the first try."""
        return self.attempts <= 1 and self.outcome.startswith("2")


# Batch jobs


@_registered
class JobSubmitted(Event, tag="job submitted", frozen=True):
    """The answer to a job's submission."""

    job: str
    route: str
    step: int
    items: int
    table_revision: int
    outcome: int
    detail: str


@_registered
class JobOwned(Event, tag="job owned", frozen=True):
    """This daemon works on a job from now on; `owner_revision` fences its writes."""

    job: str
    step: int
    items: int
    listed: int
    age_seconds: float
    owner_revision: int
    oldest_version: int


@_registered
class JobResumed(Event, tag="job resumed", frozen=True):
    """Unfinished texts of a former owner were gone on with; none if its runs may still go on."""

    job: str
    former_owner: str
    runs_ended: bool
    items_kept: int
    items_resumed: int


@_registered
class JobDropped(Event, tag="job dropped", frozen=True):
    """This daemon works on a job no more."""

    job: str
    reason: str
    listed: int
    items: int
    owner_revision: int


@_registered
class JobNotOwned(Event, tag="job not owned", frozen=True):
    """A job that was claimed here is not worked on."""

    job: str
    reason: str


@_registered
class JobEnded(Event, tag="job ended", frozen=True):
    """The answer to a submitter that ends its job."""

    job: str
    outcome: str


@_registered
class JobForgotten(Event, tag="job forgotten", frozen=True):
    """A job past its time was deleted, or could not be."""

    job: str
    outcome: str


@_registered
class JobCallRefused(Event, tag="job call refused", frozen=True):
    """A call about a job was not served."""

    job: str
    call: str
    outcome: str
    detail: str


@_registered
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

    @property
    def is_routine(self) -> bool:
        """Whether the run brought the whole text at once."""
        return self.run == 1 and self.outcome == "whole"


@_registered
class RewardCallEnded(Event, tag="reward call ended", frozen=True):
    """The end of a call that scores an item's text."""

    job: str
    item: str
    request: str
    target: str
    attempts: int
    failures: int
    outcome: str

    @property
    def is_routine(self) -> bool:
        """Whether the call was served at the first try."""
        return self.attempts <= 1 and self.outcome.startswith("2")


@_registered
class ItemGivenUp(Event, tag="item given up", frozen=True):
    """An item is listed without a text."""

    job: str
    item: str
    reason: str
    table_revision: int


@_registered
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


@_registered
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


# Versions of weights


@_registered
class OrdersTakenOver(Event, tag="orders taken over", frozen=True):
    """This daemon orders a service's engines, from `wait_seconds` on."""

    service: str
    fencing: int
    wait_seconds: float


@_registered
class LoadOrdered(Event, tag="load ordered", frozen=True):
    """An order to an engine, with the state that it was decided on, and the engine's answer."""

    target: str
    model: str
    version: int
    version_listed: int | None
    fencing: int
    orders_taken: int | None
    outcome: str


# The stand-alone deployment


@_registered
class LedgerLoaded(Event, tag="ledger loaded", frozen=True):
    """This daemon keeps a trainer's ledger from now on."""

    trainer: str
    fencing: int


@_registered
class SampleEnded(Event, tag="sample ended", frozen=True):
    """The end of an order for one sample."""

    trainer: str
    step: int
    index: int
    attempt: int
    elapsed_seconds: float
    outcome: str

    @property
    def is_routine(self) -> bool:
        """Whether the sample was made."""
        return self.outcome == "made"
