from rackswitch.weights import EngineLoads
from rackswitch.weights.engine_loads import FIRST_LOAD_SECONDS, MAX_LOAD_SECONDS


def test_an_engine_that_loads_a_model_gets_no_items_of_it_until_it_has_it():
    loads = EngineLoads()
    loads.told("e", "m", 2, 10.0)
    assert loads.is_loading("e", "m", 10.5)
    assert not loads.is_loading("e", "n", 10.5)
    assert not loads.is_loading("f", "m", 10.5)
    loads.listed("e", {"m": 1, "n": 2}, 10.6)
    assert loads.is_loading("e", "m", 10.6)
    loads.listed("e", {"m": 2}, 10.8)
    assert not loads.is_loading("e", "m", 10.8)


def test_an_engine_whose_load_should_be_over_is_tried_although_nobody_has_listed_that():
    loads = EngineLoads()
    loads.told("e", "m", 2, 10.0)
    # The same word once more, with the next order's entry, begins nothing anew.
    loads.told("e", "m", 2, 10.9)
    assert not loads.is_loading("e", "m", 10.0 + FIRST_LOAD_SECONDS)
    loads.told("e", "m", 3, 12.0)
    assert loads.is_loading("e", "m", 12.1)


def after_loads(*lasted_seconds: float) -> float:
    loads = EngineLoads()
    for number, seconds in enumerate(lasted_seconds):
        loads.told("e", "m", number, 10.0 * number)
        loads.listed("e", {"m": number}, 10.0 * number + seconds)
    return loads.usual_seconds


def test_the_time_of_a_load_is_learnt_the_shortest_first():
    assert after_loads(0.5, 0.7) < 0.6
    assert 2.0 < after_loads(*[2.5] * 12) <= 2.5
    assert after_loads(MAX_LOAD_SECONDS + 1.0) == FIRST_LOAD_SECONDS


def test_an_engine_that_is_gone_is_forgotten():
    loads = EngineLoads()
    loads.told("e", "m", 2, 10.0)
    loads.gone("e")
    assert not loads.is_loading("e", "m", 10.1)
