"""The number of engines wanted, and the orders that follow from it."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.capacity import (
    CAPACITY_POLICIES,
    KIND_POLICIES,
    Capacity,
    CapacityPlanner,
    EngineKind,
    EngineLocation,
    JobLoad,
    ServiceState,
    wanted_slots,
)

KEPT, RECLAIMABLE = EngineKind.KEPT, EngineKind.RECLAIMABLE
PRICES = {"a": 1.0, "b": 0.8, "c": 1.25}
CAPACITY = Capacity(1, 11, 4.0, 8, PRICES, 0.15)


def kept_engines(per_zone: int) -> Counter:
    return Counter({EngineLocation(zone, KEPT): per_zone for zone in PRICES})


class SimulatedPlatform:
    """Starts ordered engines after their boot time, and stops those that are no longer ordered."""

    def __init__(self, per_zone: int, kind_policy: str = "added"):
        self.state = ServiceState(kept_engines(per_zone), kept_engines(per_zone))
        self.planner = CapacityPlanner(KIND_POLICIES.get(kind_policy))
        self.booting: list[tuple[float, EngineLocation]] = []
        self.orders: list = []
        self.unavailable: set[EngineLocation] = set()

    def step(self, wanted: int, now_seconds: float) -> None:
        for ready_seconds, location in [entry for entry in self.booting if entry[0] <= now_seconds]:
            self.booting.remove((ready_seconds, location))
            self.state.present[location] += 1
        for order in self.planner.orders(self.state, CAPACITY, wanted, now_seconds):
            if order.location in self.unavailable:
                self.planner.record_refusal(order.location, now_seconds)
                continue
            added = order.count - self.state.ordered[order.location]
            self.state.ordered[order.location] = order.count
            self.planner.record_accepted_order(added, CAPACITY, now_seconds)
            self.orders.append(order)
            self.booting += [(now_seconds + CAPACITY.boot_seconds, order.location)] * max(0, added)
            self.state.present[order.location] = min(
                self.state.present[order.location], order.count
            )

    def run(self, wanted: int, seconds: float, start_seconds: float = 0.0) -> None:
        for tick in range(int(seconds * 2)):
            self.step(wanted, start_seconds + tick / 2)

    @property
    def engines(self) -> int:
        return sum(self.state.present.values())


def test_wanted_slots_follow_each_models_largest_recent_job():
    jobs = [
        JobLoad("m", 60.0, is_open=False),
        JobLoad("m", 75.0, is_open=True),
        JobLoad("n", 25.0, is_open=False),
    ]
    assert wanted_slots(jobs, 7.5) == pytest.approx(40.0)
    assert wanted_slots([], 7.5) == 0


def test_without_any_job_the_engines_are_left_as_they_are():
    for name in CAPACITY_POLICIES.names():
        assert CAPACITY_POLICIES.get(name)(0.0, 0.0, 8) is None
    assert CAPACITY_POLICIES.get("standing")(100.0, 50.0, 8) is None
    assert CAPACITY_POLICIES.get("forecast")(100.0, 0.0, 8) == 15
    assert CAPACITY_POLICIES.get("utilisation")(0.0, 28.0, 8) == 10


def test_a_large_shortage_is_ordered_for_at_once_and_spread_over_zones():
    platform = SimulatedPlatform(2)
    platform.step(12, 0.0)
    ordered = {order.location: order.count for order in platform.orders}
    assert ordered == {EngineLocation(zone, RECLAIMABLE): 2 for zone in PRICES}
    platform.run(12, 20.0, 0.5)
    assert platform.engines == 12
    assert len(platform.orders) == 3


def test_engines_are_replaced_after_a_lasting_failure_only():
    platform = SimulatedPlatform(4)
    failed = EngineLocation("a", KEPT)
    platform.state.present[failed] -= 1
    platform.run(12, 2.5)
    platform.state.present[failed] += 1
    platform.run(12, 10.0, 2.5)
    assert not platform.orders
    platform.state.present[failed] -= 1
    platform.run(12, 12.0, 20.0)
    assert platform.engines == 12
    assert len(platform.orders) == 1


def test_an_unavailable_zone_is_skipped_and_retried_later():
    platform = SimulatedPlatform(2)
    platform.unavailable = {EngineLocation("b", RECLAIMABLE)}
    platform.run(8, 20.0)
    assert platform.engines == 8
    assert not any(order.location.zone == "b" for order in platform.orders)
    platform.unavailable.clear()
    platform.run(10, 20.0, 40.0)
    assert any(order.location.zone == "b" for order in platform.orders)


def test_reclaimed_engines_are_replaced_elsewhere():
    platform = SimulatedPlatform(2)
    platform.run(9, 12.0)
    reclaimed = next(
        location for location in platform.state.present if location.kind is RECLAIMABLE
    )
    platform.state.present[reclaimed] = 0
    platform.unavailable = {reclaimed}
    platform.run(9, 20.0, 12.0)
    assert platform.engines >= 9


def test_a_surplus_is_released_slowly_and_the_most_expensive_first():
    platform = SimulatedPlatform(4)
    platform.run(8, 10.0)
    assert platform.engines == 12
    platform.run(8, 60.0, 10.0)
    assert 8 <= platform.engines <= 10
    assert platform.orders[0].location == EngineLocation("c", KEPT)


@given(st.lists(st.integers(0, 60), min_size=1, max_size=40), st.sampled_from(["none", "added"]))
def test_orders_stay_within_bounds_and_do_not_follow_every_change(wanted_counts, kind_policy):
    platform = SimulatedPlatform(3, kind_policy)
    for number, wanted in enumerate(wanted_counts):
        platform.run(wanted, 2.0, 2.0 * number)
        for zone in PRICES:
            total = sum(platform.state.ordered[EngineLocation(zone, kind)] for kind in EngineKind)
            assert CAPACITY.min_engines <= total <= CAPACITY.max_engines
        if kind_policy == "none":
            assert not any(order.location.kind is RECLAIMABLE for order in platform.orders)
    released = [
        order for order in platform.orders if order.count < 3 and order.location.kind is KEPT
    ]
    assert len(released) <= 2 * (len(wanted_counts) // 6 + 1)


def test_cold_engines_are_neither_missing_nor_surplus():
    """Guards against a release of warm engines, or new orders, while ordered ones are cold."""
    platform = SimulatedPlatform(6)
    platform.state.cold = kept_engines(2)
    platform.run(18, 30.0)
    platform.run(12, 30.0, 30.0)
    assert not platform.orders
    platform.state.cold = Counter()
    platform.run(12, 30.0, 60.0)
    assert platform.engines < 18


@pytest.mark.parametrize(("cold_count", "is_ordered_at_once"), [(0, False), (2, True)])
def test_a_small_shortage_is_urgent_while_other_engines_are_cold(cold_count, is_ordered_at_once):
    """Guards against counting an ordered engine as serving before its cold time is over."""
    platform = SimulatedPlatform(4)
    platform.state.present[EngineLocation("a", KEPT)] -= 2
    platform.state.cold[EngineLocation("b", KEPT)] = cold_count
    platform.step(12, 0.0)
    assert bool(platform.orders) is is_ordered_at_once
