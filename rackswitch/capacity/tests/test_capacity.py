"""How many engines are wanted, and which orders follow from that."""

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
TERMS = Capacity(1, 11, 4.0, 8, PRICES, 0.15)


def standing(per_zone: int) -> Counter:
    return Counter({EngineLocation(zone, KEPT): per_zone for zone in PRICES})


class Platform:
    """Gives what is ordered after its boot time, and takes back what is not."""

    def __init__(self, per_zone: int, kinds: str = "added"):
        self.state = ServiceState(standing(per_zone), standing(per_zone))
        self.planner = CapacityPlanner(KIND_POLICIES.get(kinds))
        self.booting: list[tuple[float, EngineLocation]] = []
        self.orders: list = []
        self.dry: set[EngineLocation] = set()

    def step(self, wanted: int, now: float) -> None:
        for ready, place in [entry for entry in self.booting if entry[0] <= now]:
            self.booting.remove((ready, place))
            self.state.present[place] += 1
        for order in self.planner.orders(self.state, TERMS, wanted, now):
            if order.place in self.dry:
                self.planner.refused(order.place, now)
                continue
            added = order.count - self.state.ordered[order.place]
            self.state.ordered[order.place] = order.count
            self.planner.taken(added, TERMS, now)
            self.orders.append(order)
            self.booting += [(now + TERMS.boot_seconds, order.place)] * max(0, added)
            self.state.present[order.place] = min(self.state.present[order.place], order.count)

    def play(self, wanted: int, seconds: float, start: float = 0.0) -> None:
        for tick in range(int(seconds * 2)):
            self.step(wanted, start + tick / 2)

    @property
    def engines(self) -> int:
        return sum(self.state.present.values())


def test_the_wanted_slots_follow_each_trainers_largest_recent_job():
    jobs = [
        JobLoad("m", 60.0, is_open=False),
        JobLoad("m", 75.0, is_open=True),
        JobLoad("n", 25.0, is_open=False),
    ]
    assert wanted_slots(jobs, 7.5) == pytest.approx(40.0)
    assert wanted_slots([], 7.5) == 0


def test_without_any_job_nothing_is_ordered():
    for name in CAPACITY_POLICIES.names():
        assert CAPACITY_POLICIES.get(name)(0.0, 0.0, 8) is None
    assert CAPACITY_POLICIES.get("standing")(100.0, 50.0, 8) is None
    assert CAPACITY_POLICIES.get("forecast")(100.0, 0.0, 8) == 15
    assert CAPACITY_POLICIES.get("utilisation")(0.0, 28.0, 8) == 10


def test_a_large_lack_is_met_at_once_and_once_with_engines_spread_over_zones():
    platform = Platform(2)
    platform.step(12, 0.0)
    ordered = {order.place: order.count for order in platform.orders}
    assert ordered == {EngineLocation(zone, RECLAIMABLE): 2 for zone in PRICES}
    platform.play(12, 20.0, 0.5)
    assert platform.engines == 12
    assert len(platform.orders) == 3


def test_engines_that_fail_for_a_moment_are_not_replaced_and_those_lost_for_good_are():
    platform = Platform(4)
    lost = EngineLocation("a", KEPT)
    platform.state.present[lost] -= 1
    platform.play(12, 2.5)
    platform.state.present[lost] += 1
    platform.play(12, 10.0, 2.5)
    assert not platform.orders
    platform.state.present[lost] -= 1
    platform.play(12, 12.0, 20.0)
    assert platform.engines == 12
    assert len(platform.orders) == 1


def test_a_zone_that_runs_dry_is_left_for_another_and_then_tried_again():
    platform = Platform(2)
    platform.dry = {EngineLocation("b", RECLAIMABLE)}
    platform.play(8, 20.0)
    assert platform.engines == 8
    assert not any(order.place.zone == "b" for order in platform.orders)
    platform.dry.clear()
    platform.play(10, 20.0, 40.0)
    assert any(order.place.zone == "b" for order in platform.orders)


def test_a_reclaimed_zone_is_made_up_for_elsewhere():
    platform = Platform(2)
    platform.play(9, 12.0)
    taken = next(p for p in platform.state.present if p.kind is RECLAIMABLE)
    platform.state.present[taken] = 0
    platform.dry = {taken}
    platform.play(9, 20.0, 12.0)
    assert platform.engines >= 9


def test_a_surplus_is_given_back_slowly_dearest_first_and_never_below_what_is_wanted():
    platform = Platform(4)
    platform.play(8, 10.0)
    assert platform.engines == 12
    platform.play(8, 60.0, 10.0)
    assert 8 <= platform.engines <= 10
    assert platform.orders[0].place == EngineLocation("c", KEPT)


@given(st.lists(st.integers(0, 60), min_size=1, max_size=40), st.sampled_from(["none", "added"]))
def test_no_order_leaves_the_bounds_and_swinging_needs_do_not_flap(needs, kinds):
    platform = Platform(3, kinds)
    for number, wanted in enumerate(needs):
        platform.play(wanted, 2.0, 2.0 * number)
        for zone in PRICES:
            total = sum(platform.state.ordered[EngineLocation(zone, kind)] for kind in EngineKind)
            assert TERMS.least <= total <= TERMS.most
        if kinds == "none":
            assert not any(order.place.kind is RECLAIMABLE for order in platform.orders)
    given_back = [o for o in platform.orders if o.count < 3 and o.place.kind is KEPT]
    assert len(given_back) <= 2 * (len(needs) // 6 + 1)
