import random

import hypothesis.strategies as st
import pytest
from hypothesis import given

from rackswitch.spread import FAN_OUT, DistributionTree, TreeMember

ZONES = 6


def fleet(count: int, zones: int = ZONES) -> list[TreeMember]:
    return [TreeMember(f"d{n}", f"z{n % zones}", 0.7 if n < zones else 0.5) for n in range(count)]


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


member_lists = st.lists(
    st.builds(
        TreeMember, st.text("abcd", min_size=1), st.sampled_from("xyz"), st.sampled_from([0.5, 0.7])
    ),
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
        TreeMember(f"d{n}", zone, rng.choice([0.5, 0.7]), zones[zone])
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


def test_one_region_has_the_same_tree_as_none():
    """Guards against other sources in deployments without several regions."""
    members = fleet(40)
    tree = DistributionTree(members)
    regional = DistributionTree(
        TreeMember(member.daemon, member.zone, member.cpu_share, "r") for member in members
    )
    for member in members:
        assert tree.sources(member.daemon) == regional.sources(member.daemon)
