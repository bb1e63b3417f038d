"""What was last ordered of engines, as it is kept for a successor."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from rackswitch.capacity import EngineCounts, EngineKind, EngineLocation, EngineOrder

__all__ = ["OrderedCount", "OrderedCounts"]


class OrderedCount(msgspec.Struct, frozen=True, array_like=True):
    """How many engines of a kind a service is to have in a zone."""

    service: str
    zone: str
    kind: EngineKind
    count: int


class OrderedCounts(msgspec.Struct, frozen=True):
    """What was last ordered, for every place that anything was ordered for."""

    orders: tuple[OrderedCount, ...] = ()

    def of(self, service: str) -> EngineCounts:
        """Return what was ordered for a service."""
        return Counter(
            {
                EngineLocation(order.zone, order.kind): order.count
                for order in self.orders
                if order.service == service
            }
        )

    def with_orders(self, service: str, orders: Iterable[EngineOrder]) -> "OrderedCounts":
        """Return what is ordered once more orders are given."""
        counts = self.of(service)
        for order in orders:
            counts[order.place] = order.count
        others = tuple(order for order in self.orders if order.service != service)
        own = tuple(
            OrderedCount(service, place.zone, place.kind, count) for place, count in counts.items()
        )
        return OrderedCounts(others + own)
