"""What is logged of a process: its start and stop, its settings, its own log."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = [
    "HandOverGivenUp",
    "LinesFolded",
    "MachineSuspended",
    "Reloaded",
    "ReloadRefused",
    "Started",
    "Stopped",
    "Stopping",
]


@registered
class Started(Event, tag="started", frozen=True):
    """The process serves from now on."""

    zone: str
    machine_class: str = ""


@registered
class MachineSuspended(Event, tag="machine suspended", frozen=True):
    """The machine has slept; deadlines that passed meanwhile have passed."""

    for_seconds: float


@registered
class Stopping(Event, tag="stopping", frozen=True):
    """A planned stop has begun."""

    requests_in_flight: int


@registered
class HandOverGivenUp(Event, tag="hand-over given up", frozen=True):
    """A planned stop could not hand these jobs over in time; they are taken over later."""

    jobs: list[str]


@registered
class Stopped(Event, tag="stopped", frozen=True):
    """A planned stop is over; `whole` if no request was left."""

    whole: bool


@registered
class Reloaded(Event, tag="reloaded", frozen=True):
    """The settings file has changed."""

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]


@registered
class ReloadRefused(Event, tag="reload refused", frozen=True):
    """The settings file cannot be used; the settings in force stay."""

    detail: str


@registered
class LinesFolded(Event, tag="lines folded", frozen=True):
    """How many routine lines were not written one by one, by event."""

    counts: dict[str, int]
