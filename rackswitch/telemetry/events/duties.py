"""What is logged of calls to the operators' API."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = ["EnginesOrdered", "UsageFixed", "UsageHandedOver", "UsageSent"]


@registered
class UsageFixed(Event, tag="usage fixed", frozen=True):
    """A window's usage was gathered; this content is written and sent, and no other.

    Attributes
    ----------
    daemons, daemons_silent, daemons_partial : int
        How many told their counts, did not answer, and have counted for a part of the window
        only.
    after_end_seconds : float
        Time since the window's end.
    """

    window: int
    requests: int
    tenants: int
    daemons: int
    daemons_silent: int
    daemons_partial: int
    after_end_seconds: float


@registered
class UsageSent(Event, tag="usage sent", frozen=True):
    """A window's usage was sent, and how the operators' API answered."""

    window: int
    requests: int
    fencing: int
    after_end_seconds: float
    in_time: bool
    outcome: str


@registered
class UsageHandedOver(Event, tag="usage handed over", frozen=True):
    """A stopping daemon gave what it had counted to another one."""

    requests: int
    outcome: str


@registered
class EnginesOrdered(Event, tag="engines ordered", frozen=True):
    """Engines were ordered in a place, and how the operators' API answered.

    Attributes
    ----------
    count, added : int
        What the place is to have, and how many of these are new.
    wanted, present : int
        Engines that the service should have in all, and those that served.
    """

    service: str
    zone: str
    engine_kind: str
    count: int
    added: int
    wanted: int
    present: int
    fencing: int
    outcome: str
