"""Which orders of engines to give now.

Orders up follow a lack at once if it is large, else once it has lasted as long as engines that fail
for a moment are away. Orders down follow a surplus that has lasted, a few engines at a time, and
never leave fewer engines than are wanted.
"""

from collections import Counter
from dataclasses import dataclass, field

from rackswitch.capacity.engines import Capacity, EngineCounts, EngineKind, EngineLocation
from rackswitch.capacity.policies import KindPolicy

__all__ = ["CapacityPlanner", "EngineOrder", "ServiceState"]

LACK_SECONDS = 3.0
"""How long a small lack must last before engines are ordered for it. An engine that fails for a
moment is back after 3.5 to 4.5 s; a new one needs 4 s."""

URGENT_SHARE = 0.75
"""With less than this part of the wanted engines there, a lack is not waited out."""

SURPLUS_SECONDS = 12.0
"""How long a surplus must last before engines are given back: three times a trainer's usual
pause between two steps, so that each has asked for one since."""

SURPLUS_SHARE = 1.25
"""How many times the wanted engines are no surplus yet: giving an engine back and ordering it again
costs its boot and the loads of every model."""

MAX_GIVEN_BACK = 2
"""Engines given back by one round of orders: their runs move to others within a second."""

REFUSED_SECONDS = 10.0
"""How long a place is left alone that had none to give: the platform's zones run dry for some
3.5 s at a time."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """How many engines a place is to have from now on."""

    place: EngineLocation
    count: int


@dataclass(slots=True)
class ServiceState:
    """What is known of a service's engines.

    Attributes
    ----------
    present : EngineCounts
        Engines that serve, by place.
    ordered : EngineCounts
        What was last ordered in each place; what stood at first where nothing was.
    """

    present: EngineCounts = field(default_factory=Counter)
    ordered: EngineCounts = field(default_factory=Counter)


@dataclass(slots=True)
class CapacityPlanner:
    """Decides on the orders for one service.

    Parameters
    ----------
    kinds : KindPolicy
        How many engines may be reclaimable.
    """

    kinds: KindPolicy
    _lack_since_seconds: float | None = None
    _surplus_since_seconds: float | None = None
    _refused_until_seconds: dict[EngineLocation, float] = field(default_factory=dict)
    _booting_until_seconds: list[float] = field(default_factory=list)

    def refused(self, place: EngineLocation, now_seconds: float) -> None:
        """Note that the platform has no engine to give in a place now."""
        self._refused_until_seconds[place] = now_seconds + REFUSED_SECONDS

    def taken(self, added: int, capacity: Capacity, now_seconds: float) -> None:
        """Note that an order was taken that adds engines."""
        until_seconds = now_seconds + 2 * capacity.boot_seconds
        self._booting_until_seconds.extend([until_seconds] * max(0, added))

    def orders(
        self, state: ServiceState, capacity: Capacity, wanted: int, now_seconds: float
    ) -> list[EngineOrder]:
        """Return the orders to give now, the cheapest place first.

        Parameters
        ----------
        state : ServiceState
            What is known of the engines.
        capacity : Capacity
            On which terms they are had.
        wanted : int
            How many there should be in all.
        now_seconds : float
            Monotonic clock.
        """
        bounded = self._bounded(wanted, capacity)
        present = sum(state.present.values())
        missing = bounded - present - self._booting(state, now_seconds)
        if self._lack_lasts(missing, present, bounded, now_seconds):
            return self._orders_up(state, capacity, bounded, missing, now_seconds)
        if self._surplus_lasts(present, bounded, now_seconds):
            self._surplus_since_seconds = now_seconds
            return self._orders_down(state, capacity, present - bounded)
        return []

    def _bounded(self, wanted: int, capacity: Capacity) -> int:
        zones = len(capacity.zone_prices)
        return max(capacity.least * zones, min(wanted, capacity.most * zones))

    def _booting(self, state: ServiceState, now_seconds: float) -> int:
        """Return how many engines are ordered and probably still booting."""
        self._booting_until_seconds = [
            until for until in self._booting_until_seconds if now_seconds < until
        ]
        not_there = sum((state.ordered - state.present).values())
        return min(len(self._booting_until_seconds), not_there)

    def _lack_lasts(self, missing: int, present: int, wanted: int, now_seconds: float) -> bool:
        if missing <= 0:
            self._lack_since_seconds = None
            return False
        if self._lack_since_seconds is None:
            self._lack_since_seconds = now_seconds
        is_urgent = present < URGENT_SHARE * wanted
        return is_urgent or now_seconds >= self._lack_since_seconds + LACK_SECONDS

    def _surplus_lasts(self, present: int, wanted: int, now_seconds: float) -> bool:
        if present <= SURPLUS_SHARE * wanted:
            self._surplus_since_seconds = None
            return False
        if self._surplus_since_seconds is None:
            self._surplus_since_seconds = now_seconds
        return now_seconds >= self._surplus_since_seconds + SURPLUS_SECONDS

    def _orders_up(
        self,
        state: ServiceState,
        capacity: Capacity,
        wanted: int,
        missing: int,
        now_seconds: float,
    ) -> list[EngineOrder]:
        """Spread what is missing over the zones that have fewest, the cheaper ones first."""
        counts = Counter(state.ordered)
        kept = sum(n for place, n in state.present.items() if place.kind is EngineKind.KEPT)
        reclaimable = sum(state.present.values()) - kept
        may_be_reclaimable = max(0, self.kinds(wanted, kept) - reclaimable)
        changed: set[EngineLocation] = set()
        for number in range(missing):
            kinds = [EngineKind.KEPT]
            if number < may_be_reclaimable and capacity.reclaimable_price <= 1:
                kinds = [EngineKind.RECLAIMABLE, EngineKind.KEPT]
            place = self._place_for_one(counts, capacity, kinds, now_seconds)
            if place is None:
                break
            counts[place] += 1
            changed.add(place)
        ordered = [EngineOrder(place, counts[place]) for place in changed]
        return sorted(ordered, key=lambda order: (capacity.price(order.place), order.place.zone))

    def _place_for_one(
        self,
        counts: EngineCounts,
        capacity: Capacity,
        kinds: list[EngineKind],
        now_seconds: float,
    ) -> EngineLocation | None:
        """Return where one more engine goes, or None if none can be had."""
        for kind in kinds:
            places = [
                EngineLocation(zone, kind)
                for zone in capacity.zone_prices
                if capacity.room(counts, zone) > 0
                and now_seconds >= self._refused_until_seconds.get(EngineLocation(zone, kind), 0.0)
            ]
            if places:
                return min(
                    places,
                    key=lambda place: (counts[place], capacity.price(place), place.zone),
                )
        return None

    def _orders_down(
        self, state: ServiceState, capacity: Capacity, surplus: int
    ) -> list[EngineOrder]:
        """Give back a few engines, the dearest first, where a zone has more than its least."""
        counts = Counter(state.present)
        changed: set[EngineLocation] = set()
        for _ in range(min(surplus, MAX_GIVEN_BACK)):
            places = [
                place
                for place, count in counts.items()
                if count > 0
                and place.zone in capacity.zone_prices
                and sum(counts[EngineLocation(place.zone, kind)] for kind in EngineKind)
                > capacity.least
            ]
            if not places:
                break
            dearest = max(
                places, key=lambda place: (capacity.price(place), counts[place], place.zone)
            )
            counts[dearest] -= 1
            changed.add(dearest)
        return [EngineOrder(place, counts[place]) for place in changed]
