"""Labels say what the engine said, never what was ordered."""

import random

from hypothesis import given
from hypothesis import strategies as st

from rackswitch.requests import VersionSpan
from rackswitch.samples import LabelUnknown, SampleLabel, make_label, may_resume

VERSIONS = st.lists(st.one_of(st.none(), st.integers(1, 5)), min_size=1, max_size=40)


def spans_of(versions):
    return [VersionSpan(version, 1) for version in versions]


def expand(label):
    return [version for version, count in label.spans for _ in range(count)]


@given(VERSIONS)
def test_label_is_the_engines_record_or_none(versions):
    label = make_label(spans_of(versions), len(versions))
    if None in versions:
        assert isinstance(label, LabelUnknown)
    else:
        assert isinstance(label, SampleLabel)
        assert expand(label) == versions
        assert label.oldest_version == min(versions)


@given(VERSIONS, st.integers(1, 3))
def test_a_gap_in_the_spans_is_no_label(versions, missing):
    assert isinstance(make_label(spans_of(versions), len(versions) + missing), LabelUnknown)


def test_labels_from_orders_are_false_when_swaps_fail():
    """Naive: label with the version that was last ordered."""
    rng = random.Random(1)
    actual, ordered, false_labels = 1, 1, 0
    for _ in range(200):
        if rng.random() < 0.2:
            ordered += 1
            actual = ordered if rng.random() < 0.7 else actual
        truth = [actual] * 5
        label = make_label(spans_of(truth), 5)
        assert expand(label) == truth
        false_labels += [ordered] * 5 != truth
    assert false_labels > 0


def test_resuming_is_refused_when_the_oldest_span_would_be_too_old():
    spans = [VersionSpan(3, 10)]
    assert may_resume(spans, policy_version=3, bound_versions=1)
    assert not may_resume(spans, policy_version=4, bound_versions=1)
    assert not may_resume([VersionSpan(None, 1)], policy_version=1, bound_versions=5)
