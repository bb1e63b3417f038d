"""Scheduling includes every sample and is not biased towards short ones."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.samples import (
    GroupPlan,
    LengthForecast,
    StepPlan,
    may_start_next_step,
    sort_by_expected_length,
)

GROUPS = st.lists(st.integers(1, 9), min_size=1, max_size=6)


def plan_of(sizes):
    groups = tuple(GroupPlan(prompt=f"p{n}", samples=size) for n, size in enumerate(sizes))
    return StepPlan(step=1, groups=groups)


@given(GROUPS, st.dictionaries(st.integers(0, 5), st.integers(1, 500)))
def test_each_sample_is_scheduled_once_longest_first(sizes, lengths):
    plan = plan_of(sizes)
    forecast = LengthForecast()
    for group, tokens in lengths.items():
        forecast.record_length(f"p{group}", tokens)
    order = sort_by_expected_length(plan, set(range(plan.total_samples)), forecast)
    assert sorted(order) == list(range(plan.total_samples))
    groups = [n for n, size in enumerate(sizes) for _ in range(size)]
    expected = [forecast.expected_tokens(f"p{groups[index]}", 256) for index in order]
    assert expected == sorted(expected, reverse=True)


def test_weights_decide_when_the_next_step_may_start():
    assert may_start_next_step(100, 100, idle_weight=1, staleness_weight=0)
    assert not may_start_next_step(1, 100, idle_weight=0, staleness_weight=1)
    assert may_start_next_step(50, 100, idle_weight=1, staleness_weight=1)
    assert not may_start_next_step(51, 100, idle_weight=1, staleness_weight=1)
