"""Kinds of engines, their locations, and the bounds and prices that apply to them."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

__all__ = ["Capacity", "EngineCounts", "EngineKind", "EngineLocation"]


class EngineKind(Enum):
    """How long the platform provides an engine."""

    KEPT = "kept"
    """Runs until it is released."""

    RECLAIMABLE = "reclaimable"
    """Cheaper; the platform may reclaim all of a zone at a few seconds' notice."""


@dataclass(frozen=True, slots=True)
class EngineLocation:
    """A kind of engine in an availability zone; each location is ordered separately."""

    zone: str
    kind: EngineKind


EngineCounts = Counter[EngineLocation]
"""Number of engines, present or ordered, by location."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Bounds, boot time and prices of a service's engines.

    Attributes
    ----------
    min_engines, max_engines : int
        Bounds of a zone's engines, both kinds together.
    boot_seconds : float
        Time from an order until the new engine serves.
    slots : int
        Maximum number of concurrent runs of an engine.
    zone_prices : dict of str to float
        Price of a second of a kept engine, by zone; engines are ordered in these zones only.
    reclaimable_price : float
        Price of a reclaimable engine as a share of a kept one's; over 1 if there are none.
    """

    min_engines: int
    max_engines: int
    boot_seconds: float
    slots: int
    zone_prices: dict[str, float]
    reclaimable_price: float

    def price(self, location: EngineLocation) -> float:
        """Return the price of a second of an engine in a location."""
        price = self.zone_prices[location.zone]
        return price * (self.reclaimable_price if location.kind is EngineKind.RECLAIMABLE else 1.0)

    def remaining(self, counts: EngineCounts, zone: str) -> int:
        """Return how many more engines a zone may have."""
        return self.max_engines - sum(counts[EngineLocation(zone, kind)] for kind in EngineKind)
