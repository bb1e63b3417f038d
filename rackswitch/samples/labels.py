"""Sample labels, built from the version spans that engines report."""

from dataclasses import dataclass

from rackswitch.requests import VersionSpan
from rackswitch.samples.messages import SampleLabel

__all__ = ["LabelUnknown", "make_label", "may_resume", "staleness_versions"]


@dataclass(frozen=True, slots=True)
class LabelUnknown:
    """The sample's versions are not fully known; it must be generated again."""

    detail: str


def make_label(
    spans: list[VersionSpan], tokens: int, scorer_version: str | None = None
) -> SampleLabel | LabelUnknown:
    """Return a sample's label, or the reason why there is none.

    Parameters
    ----------
    spans : list of VersionSpan
        Spans reported by the engines over all attempts of the sample.
    tokens : int
        Number of tokens in the sample.
    scorer_version : str, optional
        Version that the scorer reported.
    """
    merged_spans: list[tuple[int, int]] = []
    for span in spans:
        if span.version is None:
            return LabelUnknown("an engine did not report its version")
        if merged_spans and merged_spans[-1][0] == span.version:
            merged_spans[-1] = (span.version, merged_spans[-1][1] + span.tokens)
        else:
            merged_spans.append((span.version, span.tokens))
    if not merged_spans:
        return LabelUnknown("no tokens")
    if sum(span_tokens for _, span_tokens in merged_spans) != tokens:
        return LabelUnknown("the spans do not cover the tokens")
    return SampleLabel(spans=tuple(merged_spans), scorer_version=scorer_version)


def staleness_versions(label: SampleLabel, policy_version: int) -> int:
    """Return how many versions the sample's oldest token is behind the trainer."""
    return max(0, policy_version - label.oldest_version)


def may_resume(spans: list[VersionSpan], policy_version: int, bound_versions: int) -> bool:
    """Return whether to resume an interrupted sample.

    Resuming keeps its oldest span. A sample that one more version would make too old
    is restarted, because the next version is likely before its end.
    """
    versions = [span.version for span in spans]
    if not versions or any(version is None for version in versions):
        return False
    oldest = min(version for version in versions if version is not None)
    return policy_version + 1 - oldest <= bound_versions
