import hypothesis.strategies as st
from hypothesis import given

from rackswitch.jobs import is_expired

KEEP_SECONDS = 120.0


@given(st.floats(0.0, 1e6), st.floats(0.0, KEEP_SECONDS), st.booleans())
def test_job_is_kept_for_its_retention_time_despite_clock_skew(sent, age, ended):
    assert not is_expired(sent, ended, KEEP_SECONDS, sent + age + 5.0)


def test_ended_job_expires_after_its_retention_time_and_an_open_one_later():
    assert is_expired(1000.0, True, KEEP_SECONDS, 1000.0 + KEEP_SECONDS + 11.0)
    assert not is_expired(1000.0, False, KEEP_SECONDS, 1000.0 + KEEP_SECONDS + 11.0)
    assert is_expired(1000.0, False, KEEP_SECONDS, 1000.0 + 2 * 86_400.0)
