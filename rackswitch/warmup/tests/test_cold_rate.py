"""The number of senders and their interval, from a service's cold rate and the bound."""

import math
from itertools import product

import pytest

from rackswitch.warmup import ColdBudget, ColdTerms, plan_sends

ROADWISE = ColdTerms(17.0, 1.5, 5.0)


def max_sends_within_a_second(interval_seconds: float) -> int:
    """Count the sends of one sender that always has work, within a closed second."""
    budget = ColdBudget(interval_seconds)
    sends_seconds: list[float] = []
    now_seconds = 0.0
    while now_seconds < 2.0:
        assert budget.may_send("e@1", now_seconds)
        budget.record_send("e@1", now_seconds)
        sends_seconds.append(now_seconds)
        now_seconds = budget.next_send_seconds("e@1")
    # All intervals are equal.
    return sum(at <= 1.0 for at in sends_seconds)


def test_figures_of_the_design_page():
    """Guards against another number of senders or interval than the design page derives."""
    plan = plan_sends(ROADWISE)
    assert plan.sender_count == 3
    assert plan.interval_seconds == pytest.approx(1 / 4.6)
    assert max_sends_within_a_second(plan.interval_seconds) == 5
    assert plan.requests_per_second >= 0.8 * ROADWISE.requests_per_second


@pytest.mark.parametrize("candidate_count", [None, 0, 1, 2, 50])
@pytest.mark.parametrize("kind_count", [1, 2])
@pytest.mark.parametrize(
    ("rate", "factor", "slack"),
    product([0.2, 1.0, 4.0, 17.0, 100.0, 400.0], [1.0, 1.5, 3.0], [0.0, 5.0]),
)
def test_one_view_uses_at_most_half_of_any_bound(rate, factor, slack, kind_count, candidate_count):
    """Guards against figures by which two disjoint views of the fleet exceed the bound."""
    terms = ColdTerms(rate, factor, slack)
    plan = plan_sends(terms, kind_count, candidate_count)
    sends = plan.sender_count * max_sends_within_a_second(plan.interval_seconds)
    if terms.max_per_second >= 2 * kind_count:
        assert 2 * sends * kind_count <= terms.max_per_second
    else:
        assert (plan.sender_count, sends) == (1, 1)
    assert plan.requests_per_second * kind_count <= rate * (1 + 1e-9)


@pytest.mark.parametrize(("candidate_count", "sends"), [(1, 14), (2, 7), (3, 5), (70, 5)])
def test_fewer_candidates_send_more_often(candidate_count, sends):
    """Guards against a rate that stays unused while a single daemon owns all jobs."""
    plan = plan_sends(ROADWISE, candidate_count=candidate_count)
    assert plan.sender_count == min(3, candidate_count)
    assert max_sends_within_a_second(plan.interval_seconds) == sends
    assert plan.requests_per_second >= 0.75 * ROADWISE.requests_per_second


def test_a_small_rate_has_one_sender():
    """Guards against a plan without a sender, or with several that exceed a small rate."""
    plan = plan_sends(ColdTerms(1.0, 1.5, 5.0))
    assert plan.sender_count == 1
    assert plan.interval_seconds >= 1.0


def test_no_rate_means_no_limit():
    """Guards against holding all requests of a service whose row states no cold rate."""
    assert plan_sends(ColdTerms(0.0, 1.5, 5.0)) is None
    assert ColdTerms(0.0).max_per_second == math.inf


def test_unused_budget_does_not_accumulate():
    """Guards against a burst of a daemon that had no work for some time."""
    budget = ColdBudget(0.2)
    budget.record_send("e@1", 0.0)
    assert budget.may_send("e@1", 10.0)
    budget.record_send("e@1", 10.0)
    assert not budget.may_send("e@1", 10.19)
    assert budget.next_send_seconds("e@1") == pytest.approx(10.2)
    assert budget.may_send("e@2", 10.0)


def test_budget_of_unlisted_starts_is_removed():
    """Guards against state that grows with every start of a target."""
    budget = ColdBudget(0.2)
    budget.record_send("e@1", 0.0)
    budget.keep_only({"e@2"})
    assert budget.next_send_seconds("e@1") == -math.inf
