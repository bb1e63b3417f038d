"""All daemons together keep a cold target's bound, and use its rate while their views agree."""

import random

import pytest

from rackswitch.warmup import ColdBudget
from rackswitch.warmup.tests.fleet_run import (
    COLD_FROM_SECONDS,
    MAX_LAG_SECONDS,
    RUN_SECONDS,
    TERMS,
    Entry,
    FleetDaemon,
    FleetHistory,
    cold_entries,
    max_within_a_second,
    random_daemons,
    random_owners,
    run_fleet,
)


@pytest.mark.parametrize("size", [20, 70])
@pytest.mark.parametrize("seed", range(18))
def test_arrivals_never_exceed_the_bound(seed, size):
    """Guards against a burst at a cold target by daemons whose views of the fleet differ."""
    rng = random.Random(seed)
    names = [f"d{number}" for number in range(size)]
    is_for_ever = seed % 3 == 0
    cold_until_seconds = RUN_SECONDS if is_for_ever else rng.uniform(7.0, RUN_SECONDS)
    arrivals_seconds = run_fleet(
        # A daemon that is cut off cannot know that a target is cold for longer than it said.
        random_daemons(names, rng, are_some_cut=not is_for_ever),
        random_owners(names, rng, rng.choice([0.1, 0.4, 2.0])),
        cold_entries(rng, cold_until_seconds, seed % 2 == 0, is_for_ever),
        (COLD_FROM_SECONDS, cold_until_seconds),
        rng,
    )
    assert max_within_a_second(arrivals_seconds) <= TERMS.max_per_second


@pytest.mark.parametrize("seed", range(5))
def test_two_disjoint_views_keep_the_bound(seed):
    """Guards against a bound that holds only if a zone that is cut off knows the other owners."""
    rng = random.Random(seed)
    names = [f"d{number}" for number in range(40)]
    owners = FleetHistory([-5.0, 0.0], [frozenset(names[:20]), frozenset(names[20:])])
    daemons = [FleetDaemon(name, 0.1) for name in names]
    for daemon in daemons[:20]:
        daemon.cut_at_seconds = 0.05
        daemon.learn(owners, FleetHistory([-5.0], [Entry("e@1", 1, RUN_SECONDS)]), 0.0)
    entries = FleetHistory([-5.0], [Entry("e@1", 1, RUN_SECONDS)])
    arrivals_seconds = run_fleet(daemons, owners, entries, (0.0, RUN_SECONDS), rng)
    assert TERMS.max_per_second * 0.8 < max_within_a_second(arrivals_seconds)
    assert max_within_a_second(arrivals_seconds) <= TERMS.max_per_second


@pytest.mark.parametrize(("size", "owner_count"), [(20, 1), (20, 12), (70, 3), (300, 12)])
def test_the_rate_is_used_while_views_agree(size, owner_count):
    """Guards against a limit that keeps cold targets idle while work waits."""
    rng = random.Random(size)
    names = [f"d{number}" for number in range(size)]
    owners = FleetHistory([-5.0], [frozenset(rng.sample(names, owner_count))])
    entries = FleetHistory([COLD_FROM_SECONDS], [Entry("e@1", 10, 30.0)])
    daemons = [FleetDaemon(name, rng.uniform(0.0, MAX_LAG_SECONDS)) for name in names]
    # All daemons know the target by then.
    from_seconds = COLD_FROM_SECONDS + 1.0
    until_seconds = from_seconds + 20.0
    arrivals_seconds = run_fleet(daemons, owners, entries, (from_seconds, until_seconds), rng)
    rate_per_second = len(arrivals_seconds) / (until_seconds - from_seconds)
    assert rate_per_second >= 0.8 * TERMS.requests_per_second
    assert max_within_a_second(arrivals_seconds) <= TERMS.max_per_second / 2


def test_without_the_budget_the_bound_is_exceeded(monkeypatch):
    """Guards against a simulation that finds no fault: without intervals it must exceed it."""
    monkeypatch.setattr(ColdBudget, "may_send", lambda *args: True)
    rng = random.Random(1)
    names = [f"d{number}" for number in range(20)]
    entries = FleetHistory([COLD_FROM_SECONDS], [Entry("e@1", 10, 5.0)])
    owners = FleetHistory([-5.0], [frozenset(names)])
    daemons = [FleetDaemon(name, 0.1) for name in names]
    arrivals_seconds = run_fleet(daemons, owners, entries, (3.0, 8.0), rng)
    assert max_within_a_second(arrivals_seconds) > TERMS.max_per_second
