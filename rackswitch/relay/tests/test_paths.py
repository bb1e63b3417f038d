import hypothesis.strategies as st
from hypothesis import given
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rackswitch.relay import OWN_PATH, PathSelector
from rackswitch.relay.paths import (
    MIN_TIMEOUT_SECONDS,
    PEER_COOLDOWN_SECONDS,
    PROBE_INTERVAL_SECONDS,
)
from rackswitch.relay.recent import MEMORY_SECONDS

PEERS = [("b", "y"), ("c", "x"), ("d", "y"), ("e", "x")]


def failed_selector(at_seconds: float = 10.0) -> PathSelector:
    selector = PathSelector("x")
    assert selector.record_failure(OWN_PATH, at_seconds)
    return selector


def test_the_own_path_goes_first_then_peers_of_the_own_zone():
    assert PathSelector("x").paths(PEERS, True, 10.0) == [OWN_PATH, "c", "e"]
    assert PathSelector("y").paths(PEERS, False, 10.0) == [OWN_PATH, "b", "d"]


def test_a_failed_own_path_is_not_used_while_there_are_peers():
    assert failed_selector().paths(PEERS, True, 10.1) == ["c", "e"]
    assert failed_selector().paths([], True, 10.1) == [OWN_PATH]


def test_a_failed_path_is_probed_by_one_repeatable_call_per_interval():
    selector = failed_selector()
    probe_seconds = 10.0 + PROBE_INTERVAL_SECONDS
    assert OWN_PATH not in selector.paths(PEERS, False, probe_seconds)
    assert selector.paths(PEERS, True, probe_seconds)[0] == OWN_PATH
    assert OWN_PATH not in selector.paths(PEERS, True, probe_seconds + 0.1)


def test_an_answer_restores_the_own_path():
    selector = failed_selector()
    assert selector.record_answer(OWN_PATH, 0.004, 10.0)
    assert selector.is_own_path_up
    assert not selector.record_answer(OWN_PATH, 0.004, 10.0)


def test_a_failed_peer_is_not_used_during_its_cooldown():
    selector = failed_selector()
    selector.record_failure("c", 10.0)
    assert selector.paths(PEERS, True, 10.1) == ["e", "b"]
    assert selector.paths(PEERS, False, 10.0 + PEER_COOLDOWN_SECONDS) == ["c", "e"]


def test_silent_peers_come_after_all_others():
    # Guards against silent peers that are asked again and again before sound ones.
    silent = {"c": 9.0, "b": 8.0}
    selector = failed_selector()
    assert selector.peers(PEERS, 10.1, silent_at_seconds=silent) == ["e", "d", "b", "c"]
    assert selector.paths(PEERS, True, 10.1, silent_at_seconds=silent) == ["e", "d"]


def test_the_timeout_follows_the_slowest_recent_answer():
    selector = PathSelector("x")
    selector.record_answer(OWN_PATH, 0.004, 10.0)
    assert selector.call_timeout_seconds(1.5, 10.0) == MIN_TIMEOUT_SECONDS
    selector.record_answer(OWN_PATH, 0.25, 10.0)
    assert selector.call_timeout_seconds(1.5, 10.0) == 1.0
    assert selector.call_timeout_seconds(0.85, 10.0) == 0.85
    for _ in range(40):
        selector.record_answer(OWN_PATH, 0.004, 10.0)
    assert selector.call_timeout_seconds(1.5, 10.0) == MIN_TIMEOUT_SECONDS


def test_the_timeout_of_a_slow_service_ends_although_no_call_is_made():
    selector = PathSelector("x")
    selector.record_answer(OWN_PATH, 0.4, 10.0)
    assert selector.call_timeout_seconds(1.5, 10.5) == 1.5
    assert selector.call_timeout_seconds(1.5, 10.0 + MEMORY_SECONDS) == MIN_TIMEOUT_SECONDS


class PathMachine(RuleBasedStateMachine):
    """Guards against calls without a path, and against a failed path that is never probed."""

    def __init__(self):
        super().__init__()
        self.selector = PathSelector("x")
        self.now_seconds = 0.0

    @rule(seconds=st.floats(0.0, 2.0))
    def advance_time(self, seconds):
        self.now_seconds += seconds

    @rule(path=st.sampled_from([OWN_PATH, *(name for name, _ in PEERS)]))
    def record_failure(self, path):
        self.selector.record_failure(path, self.now_seconds)

    @rule(path=st.sampled_from([OWN_PATH, *(name for name, _ in PEERS)]))
    def record_answer(self, path):
        self.selector.record_answer(path, 0.01, self.now_seconds)

    @invariant()
    def each_call_has_distinct_paths(self):
        for live in ([], PEERS[:1], PEERS):
            paths = self.selector.paths(live, False, self.now_seconds)
            assert paths
            assert len(paths) == len(set(paths))

    @invariant()
    def a_failed_path_is_probed_within_the_interval(self):
        later_seconds = self.now_seconds + PROBE_INTERVAL_SECONDS
        later_selector = PathSelector("x", self.selector.failed_since_seconds)
        later_selector._next_probe_seconds = self.selector._next_probe_seconds
        assert later_selector.paths(PEERS, True, later_seconds)[0] == OWN_PATH


TestPathMachine = PathMachine.TestCase


@given(st.lists(st.floats(0.0, 1.0), max_size=30))
def test_the_timeout_never_exceeds_the_limit_of_the_call(durations_seconds):
    selector = PathSelector("x")
    for duration_seconds in durations_seconds:
        selector.record_answer(OWN_PATH, duration_seconds, 10.0)
    assert MIN_TIMEOUT_SECONDS <= selector.call_timeout_seconds(1.5, 10.0) <= 1.5


REGION_OF_ZONE = {"x": "north", "y": "north", "z": "south"}
ALL_PEERS = [("b", "z"), ("d", "y")]


def test_peers_of_the_own_region_come_before_those_of_another():
    """Traffic between regions costs more than traffic between zones."""
    selector = PathSelector("x", region_of_zone=REGION_OF_ZONE)
    assert selector.paths(ALL_PEERS, True, 10.0) == [OWN_PATH, "d", "b"]
    assert selector.paths([*ALL_PEERS, ("e", "x")], True, 10.0) == [OWN_PATH, "e", "d"]


def test_calls_that_must_stay_in_the_region_use_no_peer_of_another():
    """A relayed call may hold the body of a job that is restricted to regions."""
    selector = PathSelector("x", region_of_zone=REGION_OF_ZONE)
    assert selector.paths(ALL_PEERS, True, 10.0, own_region_only=True) == [OWN_PATH, "d"]
    assert selector.paths([("b", "z")], True, 10.0, own_region_only=True) == [OWN_PATH]
    without_regions = PathSelector("x")
    assert without_regions.paths(ALL_PEERS, True, 10.0, own_region_only=True) == [
        OWN_PATH,
        "b",
        "d",
    ]
