import hypothesis.strategies as st
from hypothesis import given

from rackswitch.jobs import EngineLoad, EngineOccupancy
from rackswitch.jobs.occupancy import LOAD_REPORT_LIFETIME_SECONDS


def test_runs_of_others_are_the_reported_load_less_own_runs():
    occupancy = EngineOccupancy()
    for _ in range(3):
        occupancy.record_start("e")
    assert occupancy.other_runs("e", 0.0) == 0
    occupancy.record_load("e", EngineLoad(running=8, waiting=2), 0.0)
    assert occupancy.other_runs("e", 0.5) == 7
    occupancy.record_end("e")
    assert occupancy.other_runs("e", 0.5) == 7


def test_load_report_expires():
    occupancy = EngineOccupancy()
    occupancy.record_load("e", EngineLoad(running=12, waiting=4), 0.0)
    assert occupancy.other_runs("e", LOAD_REPORT_LIFETIME_SECONDS - 0.01) == 16
    assert occupancy.other_runs("e", LOAD_REPORT_LIFETIME_SECONDS) == 0


@given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 12))
def test_report_older_than_own_runs_gives_no_negative_count(running, waiting, own):
    occupancy = EngineOccupancy()
    for _ in range(own):
        occupancy.record_start("e")
    occupancy.record_load("e", EngineLoad(running, waiting), 0.0)
    assert occupancy.other_runs("e", 0.0) == max(0, running + waiting - own)
