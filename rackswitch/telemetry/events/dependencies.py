"""What is logged of the services and daemons that a daemon needs."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = [
    "CallNotPassedOn",
    "CannotFollow",
    "DependencyLost",
    "DependencyRegained",
    "EntryContinued",
    "EntryUnreadable",
    "Follows",
    "LeavingTold",
    "PredecessorEnded",
    "SessionBegun",
    "SessionEnded",
    "SessionLost",
    "StoreCalls",
    "StorePathChanged",
    "WatchesService",
]


@registered
class DependencyLost(Event, tag="dependency lost", frozen=True):
    """A call to the service went unanswered or was refused."""

    dependency: str
    detail: str


@registered
class DependencyRegained(Event, tag="dependency regained", frozen=True):
    """The service answers again."""

    dependency: str
    away_seconds: float


@registered
class SessionBegun(Event, tag="session begun", frozen=True):
    """The daemon has a lease in the key-value service."""

    lease: int


@registered
class SessionLost(Event, tag="session lost", frozen=True):
    """The service says that the lease is over, and with it what hung on it."""

    lease: int


@registered
class SessionEnded(Event, tag="session ended", frozen=True):
    """The daemon gave its lease back."""

    lease: int | None
    outcome: str


@registered
class PredecessorEnded(Event, tag="predecessor's lease ended", frozen=True):
    """The lease of this daemon's earlier process was ended."""

    lease: int


@registered
class Follows(Event, tag="follows", frozen=True):
    """The daemon takes its copies of the service's entries from another daemon."""

    daemon_followed: str


@registered
class CannotFollow(Event, tag="cannot follow", frozen=True):
    """Another daemon's copies cannot be taken."""

    daemon_asked: str
    reason: str


@registered
class StoreCalls(Event, tag="key-value calls", frozen=True):
    """Calls to the key-value service so far, by kind."""

    calls: dict[str, int]


@registered
class EntryUnreadable(Event, tag="entry unreadable", frozen=True):
    """An entry of the service cannot be decoded: in the list of targets it names none, and
    elsewhere what was known before stays."""

    key: str
    revision: int
    detail: str


@registered
class StorePathChanged(Event, tag="key-value path changed", frozen=True):
    """The daemon's own path to the service broke, or is good again; calls go through peers between.

    Attributes
    ----------
    detail : str
        What the call brought that showed it broken.
    """

    is_good: bool
    detail: str


@registered
class CallNotPassedOn(Event, tag="call not passed on", frozen=True):
    """Another daemon asked for a call to the service that it may not ask for."""

    daemon_asking: str
    detail: str


@registered
class WatchesService(Event, tag="watches the service", frozen=True):
    """The daemon begins, or ceases, to watch the key-value service by itself."""

    watches: bool


@registered
class EntryContinued(Event, tag="entry continued", frozen=True):
    """The daemon goes on with the lease of its predecessor's entry among the members."""

    lease: int


@registered
class LeavingTold(Event, tag="leaving told", frozen=True):
    """A stopping daemon told the others, or could not."""

    outcome: str
