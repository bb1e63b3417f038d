import hypothesis.strategies as st
from hypothesis import given

from rackswitch.jobs import EngineLoad, EngineOccupancy
from rackswitch.jobs.occupancy import LOAD_LIFE_SECONDS


def test_what_an_engine_has_besides_the_own_runs_is_others():
    occupancy = EngineOccupancy()
    for _ in range(3):
        occupancy.began("e")
    assert occupancy.others("e", 0.0) == 0
    occupancy.heard("e", EngineLoad(running=8, waiting=2), 0.0)
    assert occupancy.others("e", 0.5) == 7
    occupancy.ended("e")
    assert occupancy.others("e", 0.5) == 7


def test_an_engines_word_grows_old():
    occupancy = EngineOccupancy()
    occupancy.heard("e", EngineLoad(running=12, waiting=4), 0.0)
    assert occupancy.others("e", LOAD_LIFE_SECONDS - 0.01) == 16
    assert occupancy.others("e", LOAD_LIFE_SECONDS) == 0


@given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 12))
def test_a_word_that_lags_behind_the_own_runs_says_nothing_of_others(running, waiting, own):
    occupancy = EngineOccupancy()
    for _ in range(own):
        occupancy.began("e")
    occupancy.heard("e", EngineLoad(running, waiting), 0.0)
    assert occupancy.others("e", 0.0) == max(0, running + waiting - own)
