"""What is logged of calls to the operators' API."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = ["UsageFixed", "UsageHandedOver", "UsageSent"]


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
