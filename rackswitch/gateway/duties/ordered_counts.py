"""The last engine orders, as stored for the next holder."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from rackswitch.capacity import EngineCounts, EngineKind, EngineLocation, EngineOrder

__all__ = ["OrderedCount", "OrderedCounts"]


class OrderedCount(msgspec.Struct, frozen=True, array_like=True):
    """Ordered number of engines of a kind for a service in a zone."""

    service: str
    zone: str
    kind: EngineKind
    count: int


class OrderedCounts(msgspec.Struct, frozen=True):
    """The last ordered counts of all services and locations."""

    orders: tuple[OrderedCount, ...] = ()

    def for_service(self, service: str) -> EngineCounts:
        """Return the ordered counts of a service by location."""
        return Counter(
            {
                EngineLocation(order.zone, order.kind): order.count
                for order in self.orders
                if order.service == service
            }
        )

    def with_orders(self, service: str, orders: Iterable[EngineOrder]) -> "OrderedCounts":
        """Return the counts after further orders for a service."""
        counts = self.for_service(service)
        for order in orders:
            counts[order.location] = order.count
        other_orders = tuple(order for order in self.orders if order.service != service)
        own_orders = tuple(
            OrderedCount(service, location.zone, location.kind, count)
            for location, count in counts.items()
        )
        return OrderedCounts(other_orders + own_orders)
