"""Loads of weights in zones with cold engines."""

from rackswitch.warmup import allowed_loads

ZONES = {"a0": "a", "a1": "a", "a2": "a", "a3": "a", "b0": "b", "b1": "b", "c0": "c"}


def test_half_of_a_zone_may_load_while_others_are_cold():
    """Guards against a zone whose engines all load or are cold at the same time."""
    assert allowed_loads(ZONES, {"a0"}, ["a1", "b0"]) == {"a": 1}
    assert allowed_loads(ZONES, {"a0", "b1"}, ["a1", "a2", "a3", "gone"]) == {"a": 0, "b": 1}


def test_a_single_engine_may_load():
    """Guards against a zone with one cold engine that never gets its weights."""
    assert allowed_loads(ZONES, {"c0"}, []) == {"c": 1}


def test_zones_without_cold_engines_are_not_limited():
    """Guards against a change of version orders where no engine is cold."""
    assert allowed_loads(ZONES, set(), ["a1", "a2", "a3"]) == {}
