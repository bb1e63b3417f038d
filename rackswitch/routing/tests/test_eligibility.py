from rackswitch.routing import (
    Eligibility,
    Exclusion,
    ListedTarget,
    PathClass,
    RegionMap,
    TargetDirectory,
    intersect_regions,
)

REGIONS = RegionMap("n1", {"n1": "north", "n2": "north", "s1": "south"})


def directory_of(*zones: str) -> TargetDirectory:
    directory = TargetDirectory(eligibility=Eligibility(REGIONS))
    for zone in zones:
        directory.put(ListedTarget(f"t-{zone}", "app", "127.0.0.1", 80, zone))
    return directory


def test_a_directory_without_regions_and_evacuations_excludes_nothing():
    """Deployments without the new fields must get the targets that they got before."""
    directory = TargetDirectory()
    directory.put(ListedTarget("t", "app", "127.0.0.1", 80, "any"))
    assert [target.instance for target in directory.usable("app", 0.0)] == ["t"]


def test_targets_of_an_evacuated_zone_are_not_usable_until_it_is_taken_back():
    directory = directory_of("n1", "s1")
    assert directory.eligibility.evacuate("n1", 7, now_seconds=1.0)
    assert not directory.eligibility.evacuate("n1", 9, now_seconds=2.0)
    assert [target.zone for target in directory.usable("app", 2.0)] == ["s1"]
    ended = directory.eligibility.end_evacuation("n1")
    assert ended is not None and (ended.revision, ended.since_seconds) == (9, 1.0)
    assert len(directory.usable("app", 3.0)) == 2


def test_targets_outside_the_allowed_regions_are_not_usable():
    directory = directory_of("n1", "s1", "unlisted")
    usable = directory.usable("app", 0.0, frozenset({"south"}))
    assert [target.zone for target in usable] == ["s1"]
    assert directory.eligibility.exclusion("n1", frozenset({"south"})) is Exclusion.REGION


def test_both_lists_of_allowed_regions_bind():
    """A tenant's list must not widen its route's, nor the other way round."""
    assert intersect_regions((), ()) is None
    assert intersect_regions(("a", "b"), ()) == {"a", "b"}
    assert intersect_regions(("a", "b"), ("b", "c")) == {"b"}
    assert intersect_regions(("a",), ("b",)) == frozenset()


def test_path_classes_follow_zones_and_regions():
    assert REGIONS.path_class("n1") is PathClass.SAME_ZONE
    assert REGIONS.path_class("n2") is PathClass.SAME_REGION
    assert REGIONS.path_class("s1") is PathClass.OTHER_REGION
    assert REGIONS.has_regions
    assert RegionMap("a", {}).path_class("b") is PathClass.SAME_REGION
    assert not RegionMap("a", {"a": "r", "b": "r"}).has_regions
