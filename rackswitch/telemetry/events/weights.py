"""What is logged of orders to engines to load versions of weights."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = [
    "LoadOrdered",
    "OrdersTakenOver",
]


@registered
class OrdersTakenOver(Event, tag="orders taken over", frozen=True):
    """This daemon orders a service's engines, from `wait_seconds` on."""

    service: str
    fencing: int
    wait_seconds: float


@registered
class LoadOrdered(Event, tag="load ordered", frozen=True):
    """An order to an engine, with the state that it was decided on, and the engine's answer."""

    target: str
    model: str
    version: int
    version_listed: int | None
    fencing: int
    orders_taken: int | None
    outcome: str
