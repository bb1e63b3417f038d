import hypothesis.strategies as st
from hypothesis import given

from rackswitch.jobs import EngineLoad, EngineOccupancy
from rackswitch.jobs.occupancy import LOAD_LIFE_SECONDS

SLOTS = 12


def test_what_others_run_at_an_engine_takes_room():
    occupancy = EngineOccupancy()
    for _ in range(3):
        occupancy.began("e")
    assert occupancy.free_slots("e", SLOTS, 0.0) == 9
    occupancy.heard("e", EngineLoad(running=8, waiting=2, slots=SLOTS), 0.0)
    assert occupancy.free_slots("e", SLOTS, 0.5) == 2
    occupancy.ended("e")
    assert occupancy.free_slots("e", SLOTS, 0.5) == 3


def test_an_engines_word_grows_old():
    occupancy = EngineOccupancy()
    occupancy.heard("e", EngineLoad(running=SLOTS, waiting=4, slots=SLOTS), 0.0)
    assert occupancy.free_slots("e", SLOTS, LOAD_LIFE_SECONDS - 0.01) < 0
    assert occupancy.free_slots("e", SLOTS, LOAD_LIFE_SECONDS) == SLOTS


def test_a_word_that_lags_behind_the_own_runs_says_nothing_of_others():
    occupancy = EngineOccupancy()
    for _ in range(5):
        occupancy.began("e")
    occupancy.heard("e", EngineLoad(running=2, waiting=0, slots=SLOTS), 0.0)
    assert occupancy.free_slots("e", SLOTS, 0.0) == SLOTS - 5


@given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 12))
def test_never_more_room_than_the_own_runs_leave(running, waiting, own):
    occupancy = EngineOccupancy()
    for _ in range(own):
        occupancy.began("e")
    occupancy.heard("e", EngineLoad(running, waiting, SLOTS), 0.0)
    assert occupancy.free_slots("e", SLOTS, 0.0) <= SLOTS - own
