"""The order of work leaves nothing out and does not lean towards short samples."""

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.samples import (
    GroupPlan,
    LengthForecast,
    StepPlan,
    shadow_allowed,
    work_order,
)

GROUPS = st.lists(st.integers(1, 9), min_size=1, max_size=6)


def plan_of(sizes):
    groups = tuple(GroupPlan(prompt=f"p{n}", samples=size) for n, size in enumerate(sizes))
    return StepPlan(step=1, groups=groups)


@given(GROUPS, st.dictionaries(st.integers(0, 5), st.integers(1, 500)))
def test_every_sample_is_in_the_order_once_longest_first(sizes, lengths):
    plan = plan_of(sizes)
    forecast = LengthForecast()
    for group, tokens in lengths.items():
        forecast.note(f"p{group}", tokens)
    order = work_order(plan, set(range(plan.total_samples)), forecast)
    assert sorted(order) == list(range(plan.total_samples))
    groups = [n for n, size in enumerate(sizes) for _ in range(size)]
    expected = [forecast.expect(f"p{groups[index]}", 256) for index in order]
    assert expected == sorted(expected, reverse=True)


def test_weights_decide_when_the_next_step_may_start():
    assert shadow_allowed(100, 100, idle_weight=1, staleness_weight=0)
    assert not shadow_allowed(1, 100, idle_weight=0, staleness_weight=1)
    assert shadow_allowed(50, 100, idle_weight=1, staleness_weight=1)
    assert not shadow_allowed(51, 100, idle_weight=1, staleness_weight=1)
