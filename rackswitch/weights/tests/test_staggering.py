import hypothesis.strategies as st
import pytest
from hypothesis import given

from rackswitch.weights import EngineView, VersionNeed, engines_to_load, loads_at_once


def views(*versions: int) -> list[EngineView]:
    return [EngineView(f"e{n}", version, False) for n, version in enumerate(versions)]


def names(engines: list[EngineView]) -> list[str]:
    return [engine.name for engine in engines]


def test_half_of_the_engines_load_each_version():
    assert names(engines_to_load(VersionNeed(2, 1), views(1, 1, 1, 1))) == ["e0", "e1"]
    assert names(engines_to_load(VersionNeed(3, 2), views(2, 2, 1, 1))) == ["e2", "e3"]
    assert engines_to_load(VersionNeed(3, 2), views(2, 2, 3, 3)) == []


def test_an_engine_that_no_job_can_use_loads_first_whatever_the_share():
    assert names(engines_to_load(VersionNeed(5, 4), views(5, 5, 3, 4))) == ["e2"]


def test_a_job_that_needs_the_newest_version_makes_all_load():
    assert names(engines_to_load(VersionNeed(5, 5), views(5, 5, 4, 4))) == ["e2", "e3"]


def test_a_single_engine_loads_every_version():
    assert names(engines_to_load(VersionNeed(2, 1), views(1))) == ["e0"]


@given(st.lists(st.integers(1, 6), min_size=1, max_size=12), st.integers(2, 6))
def test_once_done_every_engine_is_usable_and_half_have_the_newest(versions, newest):
    versions = [min(version, newest) for version in versions]
    engines = views(*versions)
    loaded = set(names(engines_to_load(VersionNeed(newest, newest - 1), engines)))
    after = [newest if engine.name in loaded else engine.version for engine in engines]
    assert all(version >= newest - 1 for version in after)
    assert 2 * sum(version == newest for version in after) >= len(after)


def test_of_those_that_serve_on_the_oldest_load_first_then_by_name():
    engines = [EngineView(name, version, False) for name, version in (("b", 4), ("a", 4), ("c", 3))]
    assert names(engines_to_load(VersionNeed(5, 3), engines)) == ["c", "a"]


@pytest.mark.parametrize(
    ("engines", "loads"), [(1, 2), (5, 2), (6, 2), (8, 3), (22, 8), (600, 240)]
)
def test_loads_at_once_grow_with_the_engines(engines, loads):
    assert loads_at_once(engines) == loads
