"""Labels contain the versions that engines report, not the versions that were ordered."""

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
def test_label_matches_the_reported_versions_or_is_unknown(versions):
    label = make_label(spans_of(versions), len(versions))
    if None in versions:
        assert isinstance(label, LabelUnknown)
    else:
        assert isinstance(label, SampleLabel)
        assert expand(label) == versions
        assert label.oldest_version == min(versions)


@given(VERSIONS, st.integers(1, 3))
def test_spans_that_miss_tokens_give_no_label(versions, missing):
    assert isinstance(make_label(spans_of(versions), len(versions) + missing), LabelUnknown)


def test_labels_from_ordered_versions_are_wrong_when_loads_fail():
    """Compares with a naive label that uses the last ordered version."""
    rng = random.Random(1)
    actual, ordered, false_labels = 1, 1, 0
    for _ in range(200):
        if rng.random() < 0.2:
            ordered += 1
            actual = ordered if rng.random() < 0.7 else actual
        actual_versions = [actual] * 5
        label = make_label(spans_of(actual_versions), 5)
        assert expand(label) == actual_versions
        false_labels += [ordered] * 5 != actual_versions
    assert false_labels > 0


def test_no_resume_when_the_oldest_span_would_be_too_old():
    spans = [VersionSpan(3, 10)]
    assert may_resume(spans, policy_version=3, bound_versions=1)
    assert not may_resume(spans, policy_version=4, bound_versions=1)
    assert not may_resume([VersionSpan(None, 1)], policy_version=1, bound_versions=5)
