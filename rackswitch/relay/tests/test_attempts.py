"""When the paths of one call are tried."""

import hypothesis.strategies as st
from hypothesis import given

from rackswitch.relay import OWN_PATH, Attempt, AttemptPlan, hedged_stages

INTERVAL_SECONDS = 0.3
OWN = Attempt(OWN_PATH)
OWN_ANEW = Attempt(OWN_PATH, on_new_connection=True)


def test_silence_of_the_own_path_is_answered_by_a_new_connection_and_a_peer():
    plan = AttemptPlan(hedged_stages([OWN_PATH, "b", "c"]), 10.0, INTERVAL_SECONDS)
    assert plan.start_due(10.0, all_failed=True) == [OWN]
    assert plan.start_due(10.2, all_failed=False) == []
    assert plan.start_due(10.3, all_failed=False) == [OWN_ANEW, Attempt("b")]
    assert plan.start_due(10.4, all_failed=True) == [Attempt("c")]
    assert plan.next_at_seconds is None


def test_a_rejected_call_is_not_sent_over_a_new_connection():
    plan = AttemptPlan(hedged_stages([OWN_PATH, "b"]), 10.0, INTERVAL_SECONDS)
    plan.start_due(10.0, all_failed=True)
    plan.drop_new_connection()
    assert plan.start_due(10.0, all_failed=True) == [Attempt("b")]


def test_a_call_without_peers_is_still_sent_over_a_new_connection():
    assert hedged_stages([OWN_PATH]) == [[OWN], [OWN_ANEW]]
    assert hedged_stages([]) == []


def test_a_failed_own_path_is_tried_if_the_first_peer_does_not_help():
    assert hedged_stages(["b", "c"]) == [[Attempt("b")], [OWN_ANEW, Attempt("c")]]


def test_the_reserve_passes_many_silent_peers_in_few_stages():
    # Guards against a call that waits an interval for each silent peer.
    reserve = [f"d{number}" for number in range(14)]
    stages = hedged_stages(["b", "c"], reserve)
    assert [len(stage) for stage in stages] == [1, 2, 2, 4, 8]
    assert [one.path for stage in stages[2:] for one in stage] == reserve


def test_refusals_by_two_peers_end_the_attempts():
    # Guards against an outage in which each daemon asks the whole fleet.
    stages = hedged_stages(["b", "c"], ["d", "e"])
    plan = AttemptPlan(stages, 10.0, INTERVAL_SECONDS, has_own_path_failed=True)
    plan.start_due(10.0, all_failed=True)
    plan.record_refusal()
    plan.start_due(10.0, all_failed=True)
    plan.record_refusal()
    assert plan.start_due(10.0, all_failed=True) == []


def test_the_reserve_is_tried_once_the_own_path_has_failed_with_an_answer():
    # Guards against a slow service that is called by way of the whole fleet, and against a daemon
    # that the service turns away and that asks two peers only.
    plan = AttemptPlan(hedged_stages([OWN_PATH, "b"], ["c"]), 10.0, INTERVAL_SECONDS)
    for _ in range(2):
        plan.start_due(10.0, all_failed=True)
    plan.record_failure(OWN, is_silence=True)
    assert plan.start_due(10.0, all_failed=True) == []
    assert plan.next_at_seconds is None
    plan.record_failure(OWN_ANEW, is_silence=False)
    assert [one.path for one in plan.start_due(10.0, all_failed=True)] == ["c"]


@given(
    st.lists(st.sampled_from(["b", "c", "d"]), unique=True),
    st.booleans(),
    st.lists(st.tuples(st.floats(0.0, 1.0), st.booleans()), max_size=12),
)
def test_every_path_is_tried_once_and_in_order(peers, has_own, steps):
    paths = [OWN_PATH, *peers] if has_own else peers
    plan = AttemptPlan(hedged_stages(paths), 0.0, INTERVAL_SECONDS)
    now_seconds = 0.0
    started = []
    for elapsed_seconds, all_failed in [*steps, *[(INTERVAL_SECONDS, True)] * 6]:
        now_seconds += elapsed_seconds
        started.extend(plan.start_due(now_seconds, all_failed))
    assert [one.path for one in started if not one.on_new_connection] == paths
    assert sum(one.on_new_connection for one in started) == bool(paths)
