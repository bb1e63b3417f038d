"""Routing policies, circuit breakers and admission control."""

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


def make_targets(queued_tokens):
    targets = [Target(f"t{n}", "", "z") for n in range(len(queued_tokens))]
    for target, tokens in zip(targets, queued_tokens, strict=True):
        target.record_report(LoadReport(tokens, 1, False, 0.0))
    return targets


def make_request(prefixes=()):
    return RoutedRequest(512.0, 100.0, prefixes, 1.0)


@given(
    st.sampled_from(POLICIES.names()),
    st.lists(st.floats(0, 1e6), min_size=1, max_size=12),
    st.integers(0, 9),
)
def test_every_policy_returns_one_of_the_targets(name, queued_tokens, seed):
    targets = make_targets(queued_tokens)
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


def test_a_busy_home_is_not_chosen():
    policy = POLICIES.get("prefix_home")(random.Random(1))
    targets = make_targets([0.0] * 6)
    home = policy.choose(make_request((7,)), targets)
    home.record_report(LoadReport(1e5, 1, False, 0.0))
    assert policy.choose(make_request((7,)), targets) is not home


def test_a_slow_target_that_answers_is_not_chosen():
    targets = make_targets([100.0] * 4)
    for _ in range(30):
        targets[0].record_success(20, 2.0)
        targets[1].record_success(20, 0.1)
    policy = POLICIES.get("prefix_home")(random.Random(1))
    chosen = [policy.choose(make_request(), targets) for _ in range(200)]
    assert chosen.count(targets[0]) == 0


@given(st.lists(st.booleans(), min_size=1, max_size=10))
def test_breakers_exclude_at_most_half_of_the_targets(failing):
    targets = make_targets([0.0] * len(failing))
    for target, is_failing in zip(targets, failing, strict=True):
        for _ in range(5 if is_failing else 0):
            target.record_failure(0.0)
    usable = usable_targets(targets, 0.5)
    assert len(usable) >= len(targets) / 2
    if sum(failing) <= len(failing) / 2:
        assert all(
            not is_failing or target not in usable
            for target, is_failing in zip(targets, failing, strict=True)
        )


def test_one_failure_of_a_probe_reopens_the_breaker():
    target = make_targets([0.0, 0.0])[0]
    for _ in range(3):
        target.record_failure(0.0)
    assert target.open_until_seconds > 1.0
    reopened_at = target.open_until_seconds + 0.1
    target.record_failure(reopened_at)
    assert target.open_until_seconds > reopened_at + 2.0
    target.record_success(5, 0.1)
    assert target.open_until_seconds == 0.0


def test_a_request_that_would_miss_its_deadline_is_refused_with_a_retry_time():
    target = make_targets([1e6])[0]
    refusal = admit(make_request(), target, 2.0, 0)
    assert isinstance(refusal, NotRun)
    assert refusal.reason is NotRunReason.DEADLINE_TOO_NEAR
    assert refusal.retry_at_seconds > 2.0


def test_less_urgent_classes_are_refused_first():
    target = make_targets([200.0 * 16 * 6])[0]
    assert admit(make_request(), target, None, 0) is None
    assert isinstance(admit(make_request(), target, None, 9), NotRun)


def draw_targets(policy_name: str, interval_seconds: float, seed: int) -> list[str]:
    """Return the targets that a daemon chooses for ten calls at the given interval."""
    policy = POLICIES.get(policy_name)(random.Random(seed))
    targets = make_targets([0.0] * 14)
    chosen = []
    for number in range(10):
        now_seconds = number * interval_seconds
        target = policy.choose(RoutedRequest(0.0, 20.0, (), now_seconds), targets)
        target.idle_connection_until_seconds = now_seconds + 9.0
        chosen.append(target.name)
    return chosen


def test_a_daemon_with_few_calls_reuses_its_open_connection():
    assert len(set(draw_targets("at_hand", 0.5, 1))) == 1
    # Drawing among all targets opens a connection for most calls.
    assert len(set(draw_targets("two_choices", 0.5, 1))) > 5
    # A connection that was closed meanwhile does not count.
    assert len(set(draw_targets("at_hand", 10.0, 1))) > 5


def test_many_daemons_with_few_calls_load_the_targets_evenly():
    counts = Counter(name for seed in range(165) for name in draw_targets("at_hand", 0.5, seed))
    mean = sum(counts.values()) / 14
    assert max(counts.values()) < 2.0 * mean


def test_concurrent_calls_go_to_different_targets():
    policy = POLICIES.get("at_hand")(random.Random(1))
    targets = make_targets([0.0] * 6)
    for target in targets:
        target.idle_connection_until_seconds = 9.0
    for _ in range(6):
        policy.choose(RoutedRequest(0.0, 20.0, (), 1.0), targets).record_start(20.0, ())
    assert [target.own_requests for target in targets] == [1] * 6


def test_the_breakers_backoff_is_bounded_after_thousands_of_failures():
    """The exponential backoff must not overflow a float while a target stays down."""
    target = Target("t", "http://t", "z")
    for number in range(3000):
        target.record_no_response(float(number))
    assert target.open_until_seconds == 2999.0 + MAX_OPEN_SECONDS
