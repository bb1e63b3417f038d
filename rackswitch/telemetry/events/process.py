"""Events of a process: start and stop, settings, and the log itself."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = [
    "HandOverTimedOut",
    "LinesFolded",
    "IdleConnectionsClosed",
    "ListenerClosed",
    "LoopDelayMeasured",
    "VmSuspended",
    "Reloaded",
    "ReloadRefused",
    "ServerStopped",
    "StartTimed",
    "Started",
    "Stopped",
    "Stopping",
]


@register_event
class Started(Event, tag="started", frozen=True):
    """The process started to serve."""

    zone: str
    machine_class: str = ""


@register_event
class StartTimed(Event, tag="start timed", frozen=True):
    """How long the start took, from the start of the process to each part.

    Attributes
    ----------
    listening_seconds : float or None
        To the listening for callers. None in all fields: not reached when this was logged.
    event_loop_seconds : float or None
        To the start of the event loop, after all imports.
    first_read_seconds : float or None
        To the end of the first read of the table and the targets.
    session_seconds : float or None
        To the lease under which jobs are owned; a daemon without jobs has none.
    first_job_seconds, first_item_seconds : float or None
        To the first owned job and to the start of its first item.
    """

    listening_seconds: float | None = None
    event_loop_seconds: float | None = None
    first_read_seconds: float | None = None
    session_seconds: float | None = None
    first_job_seconds: float | None = None
    first_item_seconds: float | None = None


@register_event
class VmSuspended(Event, tag="machine suspended", frozen=True):
    """The VM was suspended; deadlines that passed meanwhile have expired."""

    for_seconds: float


@register_event
class Stopping(Event, tag="stopping", frozen=True):
    """A planned stop began."""

    requests_in_flight: int


@register_event
class HandOverTimedOut(Event, tag="hand-over given up", frozen=True):
    """A planned stop could not hand these jobs over in time; other daemons take them over later."""

    jobs: list[str]


@register_event
class LoopDelayMeasured(Event, tag="loop delay", frozen=True):
    """How late the event loop ran timers in the last seconds."""

    median_seconds: float
    max_seconds: float
    is_overloaded: bool

    @property
    def is_routine(self) -> bool:
        """Whether the event loop keeps up."""
        return not self.is_overloaded


@register_event
class ListenerClosed(Event, tag="listener closed", frozen=True):
    """A planned stop accepts no further connections of callers.

    Attributes
    ----------
    backlog_accepted : int
        Connections that were established but not accepted yet, which are still served.
    """

    backlog_accepted: int


@register_event
class IdleConnectionsClosed(Event, tag="idle connections closed", frozen=True):
    """A planned stop closed the connections of callers without a request on them."""

    closed: int


@register_event
class ServerStopped(Event, tag="server stopped", frozen=True):
    """A planned stop closed the connections of callers.

    Attributes
    ----------
    connections_open : int
        Connections that were open when closing began.
    connections_idle : int
        Those of them that were closed at once because no request was on them.
    requests_cancelled : int
        Requests that had not ended by the deadline.
    """

    connections_open: int
    connections_idle: int
    requests_cancelled: int


@register_event
class Stopped(Event, tag="stopped", frozen=True):
    """A planned stop ended; `whole` if no request was left."""

    whole: bool


@register_event
class Reloaded(Event, tag="reloaded", frozen=True):
    """A changed settings file was loaded."""

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]


@register_event
class ReloadRefused(Event, tag="reload refused", frozen=True):
    """The settings file is invalid; the current settings stay in effect."""

    detail: str


@register_event
class LinesFolded(Event, tag="lines folded", frozen=True):
    """Number of routine lines that were counted instead of written, by event tag."""

    counts: dict[str, int]
