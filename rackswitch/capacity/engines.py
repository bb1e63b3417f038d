"""Kinds of engines, where they stand, and on which terms they are had."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

__all__ = ["Capacity", "EngineCounts", "EngineKind", "EngineLocation"]


class EngineKind(Enum):
    """On which terms an engine is had."""

    KEPT = "kept"
    """Stays until it is given back."""

    RECLAIMABLE = "reclaimable"
    """Cheaper; the platform may take all of a zone back with a few seconds' notice."""


@dataclass(frozen=True, slots=True)
class EngineLocation:
    """A kind of engine in an availability zone; each place is ordered by itself."""

    zone: str
    kind: EngineKind


EngineCounts = Counter[EngineLocation]
"""How many engines there are, or are ordered, in each place."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """On which terms a service's engines are had.

    Attributes
    ----------
    least, most : int
        Bounds of a zone's engines, both kinds together.
    boot_seconds : float
        From an order until a new engine serves.
    slots : int
        Runs that an engine works on at once.
    zone_prices : dict of str to float
        Price of a kept engine's second, by zone; only these zones are ordered in.
    reclaimable_price : float
        Price of a reclaimable engine as a share of a kept one's; over 1 if there are none.
    """

    least: int
    most: int
    boot_seconds: float
    slots: int
    zone_prices: dict[str, float]
    reclaimable_price: float

    def price(self, place: EngineLocation) -> float:
        """Return the price of an engine's second in a place."""
        price = self.zone_prices[place.zone]
        return price * (self.reclaimable_price if place.kind is EngineKind.RECLAIMABLE else 1.0)

    def room(self, counts: EngineCounts, zone: str) -> int:
        """Return how many more engines a zone may have."""
        return self.most - sum(counts[EngineLocation(zone, kind)] for kind in EngineKind)
