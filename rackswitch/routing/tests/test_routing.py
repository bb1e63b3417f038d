"""Routing and admission: rules that hold for every policy, and what the shipped one is for."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.registry import UnknownNameError
from rackswitch.routing import (
    POLICIES,
    LoadReport,
    RoutedRequest,
    Target,
    admit,
    usable_targets,
)
from rackswitch.routing.targets import MAX_OPEN_SECONDS


def make_targets(loads):
    targets = [Target(f"t{n}", "", "z") for n in range(len(loads))]
    for target, load in zip(targets, loads, strict=True):
        target.take_report(LoadReport(load, 1, False, 0.0))
    return targets


def make_request(prefixes=()):
    return RoutedRequest(512.0, 100.0, prefixes, 1.0)


@given(
    st.sampled_from(POLICIES.names()),
    st.lists(st.floats(0, 1e6), min_size=1, max_size=12),
    st.integers(0, 9),
)
def test_every_policy_returns_one_of_the_targets(name, loads, seed):
    targets = make_targets(loads)
    chosen = POLICIES.get(name)(random.Random(seed)).choose(make_request((seed,)), targets)
    assert chosen in targets


def test_unknown_policy_names_the_known_ones():
    with pytest.raises(UnknownNameError, match="round_robin"):
        POLICIES.get("wishful")


def test_all_daemons_send_a_prefix_to_the_same_target():
    homes = set()
    for seed in range(20):
        policy = POLICIES.get("prefix_home")(random.Random(seed))
        homes.add(policy.choose(make_request((7,)), make_targets([0.0] * 6)).name)
    assert len(homes) == 1


def test_a_busy_home_is_left():
    policy = POLICIES.get("prefix_home")(random.Random(1))
    targets = make_targets([0.0] * 6)
    home = policy.choose(make_request((7,)), targets)
    home.take_report(LoadReport(1e5, 1, False, 0.0))
    assert policy.choose(make_request((7,)), targets) is not home


def test_a_slow_target_is_avoided_though_it_answers():
    targets = make_targets([100.0] * 4)
    for _ in range(30):
        targets[0].succeeded(20, 2.0)
        targets[1].succeeded(20, 0.1)
    policy = POLICIES.get("prefix_home")(random.Random(1))
    chosen = [policy.choose(make_request(), targets) for _ in range(200)]
    assert chosen.count(targets[0]) == 0


@given(st.lists(st.booleans(), min_size=1, max_size=10))
def test_breakers_never_empty_the_set(broken):
    targets = make_targets([0.0] * len(broken))
    for target, is_broken in zip(targets, broken, strict=True):
        for _ in range(5 if is_broken else 0):
            target.failed(0.0)
    usable = usable_targets(targets, 0.5)
    assert len(usable) >= len(targets) / 2
    if sum(broken) <= len(broken) / 2:
        assert all(
            not is_broken or t not in usable for t, is_broken in zip(targets, broken, strict=True)
        )


def test_an_open_breaker_probes_again_and_one_failure_reopens_it():
    target = make_targets([0.0, 0.0])[0]
    for _ in range(3):
        target.failed(0.0)
    assert target.open_until_seconds > 1.0
    reopened_at = target.open_until_seconds + 0.1
    target.failed(reopened_at)
    assert target.open_until_seconds > reopened_at + 2.0
    target.succeeded(5, 0.1)
    assert target.open_until_seconds == 0.0


def test_work_that_cannot_finish_is_refused_at_once_with_a_time():
    target = make_targets([1e6])[0]
    refusal = admit(make_request(), target, 2.0, 0)
    assert isinstance(refusal, NotRun)
    assert refusal.reason is NotRunReason.DEADLINE_TOO_NEAR
    assert refusal.retry_at_seconds > 2.0


def test_lower_classes_are_refused_first():
    target = make_targets([200.0 * 16 * 6])[0]
    assert admit(make_request(), target, None, 0) is None
    assert isinstance(admit(make_request(), target, None, 9), NotRun)


def draw_targets(policy_name: str, gap_seconds: float, seed: int) -> list[str]:
    """Let a daemon make ten calls some time apart; return the targets that it chose."""
    policy = POLICIES.get(policy_name)(random.Random(seed))
    targets = make_targets([0.0] * 14)
    chosen = []
    for number in range(10):
        now_seconds = number * gap_seconds
        target = policy.choose(RoutedRequest(0.0, 20.0, (), now_seconds), targets)
        target.at_hand_until_seconds = now_seconds + 9.0
        chosen.append(target.name)
    return chosen


def test_a_daemon_with_few_calls_stays_with_its_open_connection():
    assert len(set(draw_targets("at_hand", 0.5, 1))) == 1
    # Drawing among all opens a connection for most calls.
    assert len(set(draw_targets("two_choices", 0.5, 1))) > 5
    # A connection that was closed meanwhile is no reason.
    assert len(set(draw_targets("at_hand", 10.0, 1))) > 5


def test_many_daemons_with_few_calls_load_the_targets_evenly():
    counts = Counter(name for seed in range(165) for name in draw_targets("at_hand", 0.5, seed))
    mean = sum(counts.values()) / 14
    assert max(counts.values()) < 2.0 * mean


def test_calls_at_the_same_time_go_to_different_targets():
    policy = POLICIES.get("at_hand")(random.Random(1))
    targets = make_targets([0.0] * 6)
    for target in targets:
        target.at_hand_until_seconds = 9.0
    for _ in range(6):
        policy.choose(RoutedRequest(0.0, 20.0, (), 1.0), targets).begin(20.0, ())
    assert [target.own_requests for target in targets] == [1] * 6


def test_a_target_that_stays_silent_for_long_can_still_be_noted():
    """Story: the owner of all open jobs made no progress any more; its logs held 98 lines of a
    background task that had failed with "int too large to convert to float". While all targets of
    a plain service were down, each reward call tried them every few milliseconds, and the life of
    a breaker was two seconds times two to the power of its openings, worked out before it was
    bounded: after a thousand of them that is no float any more. Evidence: 2,177 refused
    connections on that day, and this.
    """
    target = Target("t", "http://t", "z")
    for number in range(3000):
        target.went_silent(float(number))
    assert target.open_until_seconds == 2999.0 + MAX_OPEN_SECONDS
