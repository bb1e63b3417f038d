"""Events of calls to the operators' API."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = ["EnginesOrdered", "UsageFinalized", "UsageHandedOver", "UsageSent"]


@register_event
class UsageFinalized(Event, tag="usage fixed", frozen=True):
    """The usage of a window was gathered and is final.

    Attributes
    ----------
    daemons, daemons_silent, daemons_partial : int
        Daemons that reported their counts, those that did not answer, and those that counted
        during a part of the window only.
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


@register_event
class UsageSent(Event, tag="usage sent", frozen=True):
    """The usage of a window was sent; `outcome` is the answer of the operators' API."""

    window: int
    requests: int
    fencing: int
    after_end_seconds: float
    in_time: bool
    outcome: str


@register_event
class UsageHandedOver(Event, tag="usage handed over", frozen=True):
    """A stopping daemon handed its usage counts over to another daemon."""

    requests: int
    outcome: str


@register_event
class EnginesOrdered(Event, tag="engines ordered", frozen=True):
    """Engines of one kind were ordered in a zone; `outcome` is the answer of the operators' API.

    Attributes
    ----------
    count, added : int
        Engines ordered for this zone and kind in all, and how many of them are new.
    wanted, present : int
        Engines that the service needs in all, and those that are serving.
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
