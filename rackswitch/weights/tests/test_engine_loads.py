from rackswitch.weights import EngineLoads
from rackswitch.weights.engine_loads import INITIAL_LOAD_SECONDS, MAX_LOAD_SECONDS


def test_an_engine_is_loading_a_model_until_it_lists_the_version():
    loads = EngineLoads()
    loads.record_order("e", "m", 2, 10.0)
    assert loads.is_loading("e", "m", 10.5)
    assert not loads.is_loading("e", "n", 10.5)
    assert not loads.is_loading("f", "m", 10.5)
    loads.record_versions("e", {"m": 1, "n": 2}, 10.6)
    assert loads.is_loading("e", "m", 10.6)
    loads.record_versions("e", {"m": 2}, 10.8)
    assert not loads.is_loading("e", "m", 10.8)


def test_a_load_that_is_not_listed_as_done_ends_after_its_typical_time():
    loads = EngineLoads()
    loads.record_order("e", "m", 2, 10.0)
    # A repeated report of the same order does not restart the load.
    loads.record_order("e", "m", 2, 10.9)
    assert not loads.is_loading("e", "m", 10.0 + INITIAL_LOAD_SECONDS)
    loads.record_order("e", "m", 3, 12.0)
    assert loads.is_loading("e", "m", 12.1)


def typical_seconds_after(*durations_seconds: float) -> float:
    loads = EngineLoads()
    for number, seconds in enumerate(durations_seconds):
        loads.record_order("e", "m", number, 10.0 * number)
        loads.record_versions("e", {"m": number}, 10.0 * number + seconds)
    return loads.typical_load_seconds


def test_the_typical_time_follows_short_loads_at_once_and_long_ones_slowly():
    assert typical_seconds_after(0.5, 0.7) < 0.6
    assert 2.0 < typical_seconds_after(*[2.5] * 12) <= 2.5
    assert typical_seconds_after(MAX_LOAD_SECONDS + 1.0) == INITIAL_LOAD_SECONDS


def test_an_engine_that_is_gone_is_not_loading():
    loads = EngineLoads()
    loads.record_order("e", "m", 2, 10.0)
    loads.remove_engine("e")
    assert not loads.is_loading("e", "m", 10.1)
