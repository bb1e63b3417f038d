"""Events of the services and daemons that a daemon depends on."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = [
    "RelayRefused",
    "ReplicationRefused",
    "DependencyLost",
    "DependencyRegained",
    "EntryContinued",
    "EntryFailed",
    "EntryUnreadable",
    "ReplicationStarted",
    "LeavingNotified",
    "PredecessorLeaseRevoked",
    "SessionBegun",
    "SessionEnded",
    "SessionLost",
    "StoreCalls",
    "StorePathChanged",
    "ServiceWatchChanged",
]


@register_event
class DependencyLost(Event, tag="dependency lost", frozen=True):
    """A call to a dependency was refused or not answered."""

    dependency: str
    detail: str


@register_event
class DependencyRegained(Event, tag="dependency regained", frozen=True):
    """A dependency answers again."""

    dependency: str
    away_seconds: float


@register_event
class SessionBegun(Event, tag="session begun", frozen=True):
    """The daemon acquired a lease in the key-value service."""

    lease: int


@register_event
class SessionLost(Event, tag="session lost", frozen=True):
    """The key-value service reported that the lease and the keys attached to it have expired."""

    lease: int


@register_event
class SessionEnded(Event, tag="session ended", frozen=True):
    """The daemon revoked its own lease."""

    lease: int | None
    outcome: str


@register_event
class PredecessorLeaseRevoked(Event, tag="predecessor's lease ended", frozen=True):
    """The lease of this daemon's previous process was revoked."""

    lease: int


@register_event
class ReplicationStarted(Event, tag="follows", frozen=True):
    """The daemon replicates the key-value service's entries from another daemon."""

    daemon_followed: str


@register_event
class ReplicationRefused(Event, tag="cannot follow", frozen=True):
    """The daemon cannot replicate entries from another daemon."""

    daemon_asked: str
    reason: str


@register_event
class StoreCalls(Event, tag="key-value calls", frozen=True):
    """Number of calls to the key-value service so far, by kind."""

    calls: dict[str, int]


@register_event
class EntryUnreadable(Event, tag="entry unreadable", frozen=True):
    """An entry of the key-value service cannot be decoded.

    In the list of targets it is left out; elsewhere the previous value stays in use.
    """

    key: str
    revision: int
    detail: str


@register_event
class EntryFailed(Event, tag="entry failed", frozen=True):
    """The handling of an entry raised an unexpected error; other entries are not affected.

    `key` is the prefix if the error was raised after the changes of a batch.
    """

    key: str
    revision: int
    detail: str


@register_event
class StorePathChanged(Event, tag="key-value path changed", frozen=True):
    """The daemon's direct path to the key-value service failed or recovered.

    In between, calls are relayed by peers.

    Attributes
    ----------
    detail : str
        Result of the call that showed the failure.
    """

    is_good: bool
    detail: str


@register_event
class RelayRefused(Event, tag="call not passed on", frozen=True):
    """This daemon refused to relay a call to the key-value service for another daemon."""

    daemon_asking: str
    detail: str


@register_event
class ServiceWatchChanged(Event, tag="watches the service", frozen=True):
    """The daemon started or stopped its own watch of the key-value service."""

    watches: bool


@register_event
class EntryContinued(Event, tag="entry continued", frozen=True):
    """The daemon continues the lease of the membership entry of its previous process."""

    lease: int


@register_event
class LeavingNotified(Event, tag="leaving told", frozen=True):
    """A stopping daemon notified the other daemons, or failed to."""

    outcome: str
