"""Decides which orders of engines to send to the platform.

A large shortage is ordered for at once; a small one only after it has lasted longer than a brief
failure of engines. A lasting surplus is released a few engines at a time, and never below the
number of engines wanted.
"""

from collections import Counter
from dataclasses import dataclass, field

from rackswitch.capacity.engines import Capacity, EngineCounts, EngineKind, EngineLocation
from rackswitch.capacity.policies import KindPolicy

__all__ = ["CapacityPlanner", "EngineOrder", "ServiceState"]

SHORTAGE_SECONDS = 3.0
"""How long a small shortage must last before engines are ordered. An engine that fails briefly is
back after 3.5 to 4.5 s; a new one needs 4 s."""

URGENT_SHARE = 0.75
"""If less than this share of the wanted engines is present, orders are sent at once."""

SURPLUS_SECONDS = 12.0
"""How long a surplus must last before engines are released: longer than a trainer's typical
interval between two steps."""

SURPLUS_FACTOR = 1.25
"""Engines up to this multiple of the wanted number are no surplus. Releasing an engine and ordering
it again costs its boot time and the loading of every model."""

MAX_RELEASED = 2
"""Maximum number of engines released at a time; their runs move to other engines."""

REFUSAL_COOLDOWN_SECONDS = 10.0
"""How long no engine is ordered in a location after the platform had none there; such shortages
last some 3.5 s at a time."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """The number of engines that a location is to have."""

    location: EngineLocation
    count: int


@dataclass(slots=True)
class ServiceState:
    """The engines of a service.

    Attributes
    ----------
    present : EngineCounts
        Engines that serve, by location.
    ordered : EngineCounts
        Number last ordered in each location, or the initial number if none was ordered.
    cold : EngineCounts
        Those of the present engines that are cold. They are not missing, as engines ordered in
        their place would serve later, but they are no surplus before they serve.
    """

    present: EngineCounts = field(default_factory=Counter)
    ordered: EngineCounts = field(default_factory=Counter)
    cold: EngineCounts = field(default_factory=Counter)


@dataclass(slots=True)
class CapacityPlanner:
    """Decides on the orders for one service.

    Parameters
    ----------
    kind_policy : KindPolicy
        How many engines may be reclaimable.
    """

    kind_policy: KindPolicy
    _shortage_since_seconds: float | None = None
    _surplus_since_seconds: float | None = None
    _refused_until_seconds: dict[EngineLocation, float] = field(default_factory=dict)
    _booting_until_seconds: list[float] = field(default_factory=list)

    def record_refusal(self, location: EngineLocation, now_seconds: float) -> None:
        """Record that the platform has no engine available in a location."""
        self._refused_until_seconds[location] = now_seconds + REFUSAL_COOLDOWN_SECONDS

    def record_accepted_order(self, added: int, capacity: Capacity, now_seconds: float) -> None:
        """Record that the platform accepted an order that adds engines."""
        until_seconds = now_seconds + 2 * capacity.boot_seconds
        self._booting_until_seconds.extend([until_seconds] * max(0, added))

    def orders(
        self, state: ServiceState, capacity: Capacity, wanted: int, now_seconds: float
    ) -> list[EngineOrder]:
        """Return the orders to send now, the cheapest location first.

        Parameters
        ----------
        state : ServiceState
            The service's engines.
        capacity : Capacity
            Their bounds, boot time and prices.
        wanted : int
            Total number of engines wanted.
        now_seconds : float
            Monotonic clock.
        """
        bounded = self._bounded(wanted, capacity)
        present = sum(state.present.values())
        missing = bounded - present - self._booting(state, now_seconds)
        available = present - sum(state.cold.values())
        if self._shortage_lasts(missing, available, bounded, now_seconds):
            return self._scale_up_orders(state, capacity, bounded, missing, now_seconds)
        if self._surplus_lasts(available, bounded, now_seconds):
            self._surplus_since_seconds = now_seconds
            return self._scale_down_orders(state, capacity, available - bounded)
        return []

    def _bounded(self, wanted: int, capacity: Capacity) -> int:
        zones = len(capacity.zone_prices)
        return max(capacity.min_engines * zones, min(wanted, capacity.max_engines * zones))

    def _booting(self, state: ServiceState, now_seconds: float) -> int:
        """Return how many engines are ordered and probably still booting."""
        self._booting_until_seconds = [
            until for until in self._booting_until_seconds if now_seconds < until
        ]
        absent = sum((state.ordered - state.present).values())
        return min(len(self._booting_until_seconds), absent)

    def _shortage_lasts(
        self, missing: int, available: int, wanted: int, now_seconds: float
    ) -> bool:
        if missing <= 0:
            self._shortage_since_seconds = None
            return False
        if self._shortage_since_seconds is None:
            self._shortage_since_seconds = now_seconds
        is_urgent = available < URGENT_SHARE * wanted
        return is_urgent or now_seconds >= self._shortage_since_seconds + SHORTAGE_SECONDS

    def _surplus_lasts(self, available: int, wanted: int, now_seconds: float) -> bool:
        if available <= SURPLUS_FACTOR * wanted:
            self._surplus_since_seconds = None
            return False
        if self._surplus_since_seconds is None:
            self._surplus_since_seconds = now_seconds
        return now_seconds >= self._surplus_since_seconds + SURPLUS_SECONDS

    def _scale_up_orders(
        self,
        state: ServiceState,
        capacity: Capacity,
        wanted: int,
        missing: int,
        now_seconds: float,
    ) -> list[EngineOrder]:
        """Distribute the missing engines over the zones with fewest engines, cheaper ones first."""
        counts = Counter(state.ordered)
        kept = sum(
            count for location, count in state.present.items() if location.kind is EngineKind.KEPT
        )
        reclaimable = sum(state.present.values()) - kept
        max_reclaimable = max(0, self.kind_policy(wanted, kept) - reclaimable)
        changed: set[EngineLocation] = set()
        for number in range(missing):
            kinds = [EngineKind.KEPT]
            if number < max_reclaimable and capacity.reclaimable_price <= 1:
                kinds = [EngineKind.RECLAIMABLE, EngineKind.KEPT]
            location = self._choose_location(counts, capacity, kinds, now_seconds)
            if location is None:
                break
            counts[location] += 1
            changed.add(location)
        orders = [EngineOrder(location, counts[location]) for location in changed]
        return sorted(
            orders, key=lambda order: (capacity.price(order.location), order.location.zone)
        )

    def _choose_location(
        self,
        counts: EngineCounts,
        capacity: Capacity,
        kinds: list[EngineKind],
        now_seconds: float,
    ) -> EngineLocation | None:
        """Return where to order one more engine, or None if no location is available."""
        for kind in kinds:
            locations = [
                EngineLocation(zone, kind)
                for zone in capacity.zone_prices
                if capacity.remaining(counts, zone) > 0
                and now_seconds >= self._refused_until_seconds.get(EngineLocation(zone, kind), 0.0)
            ]
            if locations:
                return min(
                    locations,
                    key=lambda location: (
                        counts[location],
                        capacity.price(location),
                        location.zone,
                    ),
                )
        return None

    def _scale_down_orders(
        self, state: ServiceState, capacity: Capacity, surplus: int
    ) -> list[EngineOrder]:
        """Release a few engines, the most expensive first, from zones above their minimum."""
        counts = Counter(state.present)
        changed: set[EngineLocation] = set()
        for _ in range(min(surplus, MAX_RELEASED)):
            locations = [
                location
                for location, count in counts.items()
                if count > 0
                and location.zone in capacity.zone_prices
                and sum(counts[EngineLocation(location.zone, kind)] for kind in EngineKind)
                > capacity.min_engines
            ]
            if not locations:
                break
            most_expensive = max(
                locations,
                key=lambda location: (
                    capacity.price(location),
                    counts[location],
                    location.zone,
                ),
            )
            counts[most_expensive] -= 1
            changed.add(most_expensive)
        return [EngineOrder(location, counts[location]) for location in changed]
