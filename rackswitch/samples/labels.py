"""From version spans, as the engine named them, to a sample's label."""

from dataclasses import dataclass

from rackswitch.requests import VersionSpan
from rackswitch.samples.messages import SampleLabel

__all__ = ["LabelUnknown", "make_label", "may_resume", "staleness_versions"]


@dataclass(frozen=True, slots=True)
class LabelUnknown:
    """The sample cannot be labelled truthfully and must be made again."""

    detail: str


def make_label(
    spans: list[VersionSpan], tokens: int, scorer_version: str | None = None
) -> SampleLabel | LabelUnknown:
    """Label a sample, or say why it cannot be labelled.

    Parameters
    ----------
    spans : list of VersionSpan
        What the engines said, over all attempts that the sample was resumed through.
    tokens : int
        Number of tokens in the sample.
    scorer_version : str, optional
        The scorer's word about itself.
    """
    merged: list[tuple[int, int]] = []
    for span in spans:
        if span.version is None:
            return LabelUnknown("an engine could not name its version")
        if merged and merged[-1][0] == span.version:
            merged[-1] = (span.version, merged[-1][1] + span.tokens)
        else:
            merged.append((span.version, span.tokens))
    if not merged:
        return LabelUnknown("no tokens")
    if sum(count for _, count in merged) != tokens:
        return LabelUnknown("the spans do not cover the tokens")
    return SampleLabel(spans=tuple(merged), scorer_version=scorer_version)


def staleness_versions(label: SampleLabel, policy_version: int) -> int:
    """Return how many versions the sample's oldest token lies behind the trainer's."""
    return max(0, policy_version - label.oldest_version)


def may_resume(spans: list[VersionSpan], policy_version: int, bound_versions: int) -> bool:
    """Return whether a broken-off sample is worth resuming.

    Resuming keeps its oldest span; if one more version would already make it too old,
    it is started again, since it will not be finished under the present weights.
    """
    versions = [span.version for span in spans]
    if not versions or any(version is None for version in versions):
        return False
    oldest = min(version for version in versions if version is not None)
    return policy_version + 1 - oldest <= bound_versions
