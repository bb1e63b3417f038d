import random
from dataclasses import replace
from hashlib import blake2b

import hypothesis.strategies as st
import pytest
from hypothesis import given

from rackswitch.membership import VmCapacity
from rackswitch.spread import FAN_OUT, DistributionTree, TreeMember

ZONES = 6


def fleet(count: int, zones: int = ZONES) -> list[TreeMember]:
    return [
        TreeMember(f"d{n}", f"z{n % zones}", VmCapacity(0.7 if n < zones else 0.5))
        for n in range(count)
    ]


def naive_sources(members: list[TreeMember], daemon: str) -> tuple[str, ...]:
    """Return the first two daemons by name, as a small fleet may do."""
    first_names = sorted(member.daemon for member in members)[:2]
    return () if daemon in first_names else tuple(first_names)


def max_followers(members, sources_of) -> int:
    first_sources = [sources_of(member.daemon)[:1] for member in members]
    return max(first_sources.count((member.daemon,)) for member in members)


@pytest.mark.parametrize("count", [3, 30, 165, 330])
def test_followers_are_bounded_and_each_zone_has_one_link_to_the_root(count):
    members = fleet(count)
    tree = DistributionTree(members)
    zones = {member.daemon: member.zone for member in members}
    cross_zone = [
        name
        for name in zones
        if (first_sources := tree.sources(name)[:1]) and zones[first_sources[0]] != zones[name]
    ]
    assert len(cross_zone) <= ZONES - 1
    assert max_followers(members, tree.sources) <= FAN_OUT + ZONES - 1
    assert max(tree.level(name) for name in zones) <= 3
    if count > 100:
        naive = max_followers(members, lambda name: naive_sources(members, name))
        assert naive == count - 2


def test_root_and_standby_have_the_largest_cpu_share_and_different_zones():
    tree = DistributionTree(fleet(40))
    large = {f"d{n}" for n in range(ZONES)}
    assert {tree.root, tree.standby} <= large
    assert tree.root != tree.standby
    assert tree.sources(tree.standby) == (tree.root,)


def test_the_root_does_not_depend_on_the_order_of_names():
    roots = {
        DistributionTree(TreeMember(f"{s}{n}", "z") for n in range(5)).root[1:] for s in "abcdefgh"
    }
    assert len(roots) > 2


capacities = st.builds(
    VmCapacity,
    st.sampled_from([0.5, 0.7]),
    st.sampled_from([0.0, 200.0, 552.0]),
    st.sampled_from([0.0, 30.0, 200.0]),
)
member_lists = st.lists(
    st.builds(TreeMember, st.text("abcd", min_size=1), st.sampled_from("xyz"), capacities),
    unique_by=lambda member: member.daemon,
    max_size=60,
)


@given(member_lists)
def test_all_sources_lead_to_the_root_and_each_daemon_has_a_second_one(members):
    tree = DistributionTree(members)
    for member in members:
        seen, name = set(), member.daemon
        while sources := tree.sources(name):
            assert name not in seen
            assert name not in sources
            seen.add(name)
            name = sources[-1]
        assert name == tree.root
        sources = tree.sources(member.daemon)
        if len(members) > 2 and member.daemon not in (tree.root, tree.standby):
            assert len(sources) >= 2


def region_fleet(seed: int, count: int) -> list[TreeMember]:
    rng = random.Random(seed)
    zones = {f"z{n}": f"r{n % 2}" for n in range(ZONES)}
    drawn = [rng.choice(sorted(zones)) for _ in range(count)]
    return [
        TreeMember(f"d{n}", zone, VmCapacity(rng.choice([0.5, 0.7])), zones[zone])
        for n, zone in enumerate(drawn)
    ]


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("count", [5, 30, 165])
def test_entries_cross_the_link_between_regions_once(seed, count):
    """Guards against a copy of each entry over the link between regions for each zone."""
    members = region_fleet(seed, count)
    tree = DistributionTree(members)
    regions = {member.daemon: member.region for member in members}
    crossing = []
    for name in regions:
        sources = tree.sources(name)
        assert name not in sources
        if sources and regions[sources[0]] != regions[name]:
            crossing.append(name)
        assert tree.level(name) <= 4
    assert len(crossing) == len(set(regions.values())) - 1


def test_the_head_of_a_region_is_replaced_when_it_is_lost():
    """Guards against a region without updates after the daemon that relays them has ended."""
    members = region_fleet(1, 30)
    tree = DistributionTree(members)
    root_region = next(member.region for member in members if member.daemon == tree.root)
    far = [member.daemon for member in members if member.region != root_region]
    [head] = [name for name in far if tree.sources(name)[0] == tree.root]
    assert all(tree.root in tree.sources(name) for name in far)
    remaining = DistributionTree(member for member in members if member.daemon != head)
    assert [name for name in far if name != head and remaining.sources(name)[0] == tree.root]


def order_by_processor(members: list[TreeMember]) -> list[str]:
    """Return the daemons in the order used before memory and link counted, as a reference."""

    def rank_key(member: TreeMember) -> tuple[float, bytes]:
        tie_breaker = blake2b(member.daemon.encode(), digest_size=8).digest()
        return -member.capacity.processor_share, tie_breaker

    return [member.daemon for member in sorted(members, key=rank_key)]


@pytest.mark.parametrize("limits", [(0.0, 0.0), (300.0, 50.0), (0.0, 50.0)])
@pytest.mark.parametrize("seed", range(5))
def test_without_different_memory_or_link_the_order_is_by_processor_share(seed, limits):
    """Guards against another tree in fleets that state no memory or link, or equal ones."""
    rng = random.Random(seed)
    members = [
        replace(member, capacity=VmCapacity(rng.choice([0.0, 0.5, 0.7]), *limits), zone="z")
        for member in fleet(60)
    ]
    order = order_by_processor(members)
    tree = DistributionTree(members)
    assert tree.root == order[0]
    assert tree.standby == order[1]
    for position, name in enumerate(order[2:], 2):
        assert tree.sources(name)[0] == order[(position - 1) // FAN_OUT]


@pytest.mark.parametrize("seed", range(5))
def test_daemons_with_a_narrow_link_or_little_memory_have_no_followers(seed):
    """Guards against a root or parent that sends each change over the narrowest link."""
    rng = random.Random(seed)
    members = [
        replace(
            member, capacity=VmCapacity(*rng.choice([(2.15, 200.0, 90.0), (2.15, 400.0, 30.0)]))
        )
        if rng.random() < 0.4
        else replace(member, capacity=VmCapacity(rng.uniform(0.5, 1.0), 400.0, 90.0))
        for member in fleet(60)
    ]
    tree = DistributionTree(members)
    roomy = {m.daemon for m in members if (m.capacity.memory_mb, m.capacity.link_mbps) == (400, 90)}
    assert {tree.root, tree.standby} <= roomy
    assert {tree.sources(m.daemon)[0] for m in members if m.daemon != tree.root} <= roomy


def test_if_all_daemons_are_constrained_the_processor_share_decides():
    """Guards against a fleet without a root."""
    members = [
        TreeMember("a", "y", VmCapacity(0.5, 200.0, 90.0)),
        TreeMember("b", "z", VmCapacity(0.7, 400.0, 30.0)),
    ]
    assert DistributionTree(members).root == "b"


def test_one_region_has_the_same_tree_as_none():
    """Guards against other sources in deployments without several regions."""
    members = fleet(40)
    tree = DistributionTree(members)
    regional = DistributionTree(
        TreeMember(member.daemon, member.zone, member.capacity, "r") for member in members
    )
    for member in members:
        assert tree.sources(member.daemon) == regional.sources(member.daemon)
