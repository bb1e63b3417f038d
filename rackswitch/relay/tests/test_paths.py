import hypothesis.strategies as st
from hypothesis import given
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rackswitch.relay import OWN_PATH, PathSelector
from rackswitch.relay.paths import AVOID_SECONDS, MIN_TIMEOUT_SECONDS, PROBE_SECONDS

PEERS = [("b", "y"), ("c", "x"), ("d", "y"), ("e", "x")]


def broken(at_seconds: float = 10.0) -> PathSelector:
    choice = PathSelector("x")
    assert choice.failed(OWN_PATH, at_seconds)
    return choice


def test_the_own_path_goes_first_and_peers_of_the_own_zone_before_others():
    assert PathSelector("x").paths(PEERS, True, 10.0) == [OWN_PATH, "c", "e"]
    assert PathSelector("y").paths(PEERS, False, 10.0) == [OWN_PATH, "b", "d"]


def test_a_broken_own_path_is_left_out_while_a_peer_is_there():
    assert broken().paths(PEERS, True, 10.1) == ["c", "e"]
    assert broken().paths([], True, 10.1) == [OWN_PATH]


def test_only_a_repeatable_call_tries_a_broken_path_and_one_at_a_time():
    choice = broken()
    probe_seconds = 10.0 + PROBE_SECONDS
    assert OWN_PATH not in choice.paths(PEERS, False, probe_seconds)
    assert choice.paths(PEERS, True, probe_seconds)[0] == OWN_PATH
    assert OWN_PATH not in choice.paths(PEERS, True, probe_seconds + 0.1)


def test_an_answer_makes_the_own_path_good_again():
    choice = broken()
    assert choice.answered(OWN_PATH, 0.004)
    assert choice.own_is_good
    assert not choice.answered(OWN_PATH, 0.004)


def test_a_peer_that_failed_is_left_alone_for_a_while():
    choice = broken()
    choice.failed("c", 10.0)
    assert choice.paths(PEERS, True, 10.1) == ["e", "b"]
    assert choice.paths(PEERS, False, 10.0 + AVOID_SECONDS) == ["c", "e"]


def test_patience_grows_with_what_the_service_takes():
    choice = PathSelector("x")
    choice.answered(OWN_PATH, 0.004)
    assert choice.patience_seconds(1.5) == MIN_TIMEOUT_SECONDS
    choice.answered(OWN_PATH, 0.25)
    assert choice.patience_seconds(1.5) == 1.0
    assert choice.patience_seconds(0.85) == 0.85
    for _ in range(40):
        choice.answered(OWN_PATH, 0.004)
    assert choice.patience_seconds(1.5) == MIN_TIMEOUT_SECONDS


class PathMachine(RuleBasedStateMachine):
    """Whatever happens, a call has a way, and a broken path is tried again in time."""

    def __init__(self):
        super().__init__()
        self.choice = PathSelector("x")
        self.now_seconds = 0.0

    @rule(seconds=st.floats(0.0, 2.0))
    def time_goes_by(self, seconds):
        self.now_seconds += seconds

    @rule(path=st.sampled_from([OWN_PATH, *(name for name, _ in PEERS)]))
    def fails(self, path):
        self.choice.failed(path, self.now_seconds)

    @rule(path=st.sampled_from([OWN_PATH, *(name for name, _ in PEERS)]))
    def answers(self, path):
        self.choice.answered(path, 0.01)

    @invariant()
    def a_call_has_a_way_and_none_twice(self):
        for live in ([], PEERS[:1], PEERS):
            paths = self.choice.paths(live, False, self.now_seconds)
            assert paths
            assert len(paths) == len(set(paths))

    @invariant()
    def a_broken_path_is_tried_again_in_time(self):
        later_seconds = self.now_seconds + PROBE_SECONDS
        copy = PathSelector("x", self.choice.broken_since_seconds)
        copy._next_probe_seconds = self.choice._next_probe_seconds
        assert copy.paths(PEERS, True, later_seconds)[0] == OWN_PATH


TestPathMachine = PathMachine.TestCase


@given(st.lists(st.floats(0.0, 1.0), max_size=30))
def test_patience_never_exceeds_the_calls_own_limit(answers):
    choice = PathSelector("x")
    for took_seconds in answers:
        choice.answered(OWN_PATH, took_seconds)
    assert MIN_TIMEOUT_SECONDS <= choice.patience_seconds(1.5) <= 1.5
