"""Events of orders to engines to load versions of weights."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = [
    "LoadOrdered",
    "OrdersTakenOver",
]


@register_event
class OrdersTakenOver(Event, tag="orders taken over", frozen=True):
    """This daemon takes over a service's load orders and sends its first after `wait_seconds`."""

    service: str
    fencing: int
    wait_seconds: float


@register_event
class LoadOrdered(Event, tag="load ordered", frozen=True):
    """An engine was ordered to load a version; `outcome` is its answer.

    The other fields are the state that the order was based on.
    """

    target: str
    model: str
    version: int
    version_listed: int | None
    fencing: int
    orders_taken: int | None
    outcome: str
