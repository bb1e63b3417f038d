"""Guards against roll-outs that don't converge, and callers left without an allowed version."""

import random

import pytest

from rackswitch.table import ModelRow, RouteChoice
from rackswitch.weights import (
    EngineView,
    RolloutState,
    desired_version,
    partition_of,
    plan_load_orders,
)


class Engines:
    """Engines that lose some orders, fail some and execute others late."""

    def __init__(self, count, rng):
        self.rng = rng
        self.version = {f"e{n}": 1 for n in range(count)}
        self.loading = {}

    def views(self):
        return [EngineView(name, v, name in self.loading) for name, v in self.version.items()]

    def receive_order(self, order, now_seconds):
        """Return False if the order got lost."""
        if self.rng.random() < 0.1:
            return False
        self.loading[order.engine] = (now_seconds + self.rng.random() * 3, order.version)
        return True

    def advance(self, now_seconds, state):
        for name, (done_at_seconds, version) in list(self.loading.items()):
            if now_seconds < done_at_seconds:
                continue
            del self.loading[name]
            failed = self.rng.random() < 0.15
            self.version[name] = None if failed else version
            state.record_end(name, not failed, now_seconds)


def roll_out(seed, rules, versions, late_version=0):
    """Return the engines after a series of desired versions; checks the limit of loads."""
    rng = random.Random(seed)
    engines = Engines(7, rng)
    state = RolloutState()
    now_seconds = 0.0
    for desired in versions:
        for _ in range(200):
            now_seconds += 0.25
            engines.advance(now_seconds, state)
            orders = plan_load_orders(desired, 0.34, engines.views(), rules, state, now_seconds)
            for order in orders:
                state.record_order(order)
                if not engines.receive_order(order, now_seconds):
                    state.record_end(order.engine, False, now_seconds)
            if late_version and rng.random() < 0.05:
                # A former holder sends an outdated order; engines don't check fencing numbers.
                engine_name = rng.choice(list(engines.version))
                if engine_name not in engines.loading:
                    engines.loading[engine_name] = (now_seconds + 1.0, late_version)
                late_version = late_version if rng.random() < 0.7 else 0
            assert len(engines.loading) <= 3
            if all(v == desired for v in engines.version.values()) and not late_version:
                break
    return engines


@pytest.mark.parametrize("seed", range(20))
def test_all_engines_reach_the_last_version(seed):
    engines = roll_out(seed, [RouteChoice(serves="m")], [2, 3, 5, 4])
    assert set(engines.version.values()) == {4}


@pytest.mark.parametrize("seed", range(20))
def test_late_orders_of_a_former_holder_are_corrected(seed):
    engines = roll_out(seed, [], [3], late_version=2)
    assert set(engines.version.values()) == {3}


def test_the_last_engine_of_an_allowed_version_keeps_it():
    rules = [RouteChoice(serves="m", newest_version=1)]
    views = [EngineView(f"e{n}", 1, False) for n in range(3)]
    state = RolloutState()
    version = {"e0": 1, "e1": 1, "e2": 1}
    for tick in range(20):
        views = [EngineView(name, v, False) for name, v in version.items()]
        for order in plan_load_orders(2, 1.0, views, rules, state, tick * 20.0):
            version[order.engine] = order.version
    assert sorted(version.values()) == [1, 2, 2]


def test_a_pinned_version_replaces_the_latest_one():
    assert desired_version(ModelRow(name="m"), 9) == 9
    assert desired_version(ModelRow(name="m", pinned_version=7), 9) == 7


def test_engines_are_spread_evenly_over_partitions():
    counts = [0] * 8
    for number in range(600):
        counts[partition_of(f"engine-{number}", 8)] += 1
    assert min(counts) > 45
