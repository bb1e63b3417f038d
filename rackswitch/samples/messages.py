"""Sample messages exchanged between trainers and daemons."""

from typing import Annotated

import msgspec

__all__ = [
    "Batch",
    "Draw",
    "GroupPlan",
    "Sample",
    "SampleLabel",
    "SampleOrder",
    "StepPlan",
]

MAX_SAMPLES_PER_GROUP = 256

Count = Annotated[int, msgspec.Meta(ge=0)]


class GroupPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Samples of one prompt."""

    prompt: str
    samples: Annotated[int, msgspec.Meta(ge=1, le=MAX_SAMPLES_PER_GROUP)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 256
    seed: int = 0


class StepPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All samples of one training step; sample indices run consecutively over the groups."""

    step: Count
    groups: Annotated[tuple[GroupPlan, ...], msgspec.Meta(min_length=1)]

    @property
    def total_samples(self) -> int:
        """The number of samples in the step."""
        return sum(group.samples for group in self.groups)


class Draw(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A trainer's request for the next batch.

    Attributes
    ----------
    acknowledged_batch : int
        The last batch of this step that the trainer has received; 0 if none.
    policy_version : int
        The trainer's current version; staleness is measured from it.
    trainer_epoch : int
        Increases by one with each restart of the trainer from a checkpoint. Only a higher
        epoch may acknowledge an earlier batch than before.
    wait_seconds : float
        Maximum time that the daemon waits for samples.
    """

    step: Count
    acknowledged_batch: Count
    policy_version: Count
    trainer_epoch: Count = 0
    most_samples: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    wait_seconds: Annotated[float, msgspec.Meta(ge=0, le=30)] = 2.0


class SampleOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to generate one sample; `attempt` distinguishes repeated orders.

    Attributes
    ----------
    policy_version, staleness_bound_versions : int
        The trainer's version and the staleness bound at the time of the order.
    """

    trainer: str
    model: str
    step: int
    index: int
    group: int
    attempt: int
    prompt: str
    seed: int
    max_tokens: int
    scorer: str | None = None
    policy_version: int = 0
    staleness_bound_versions: int = 0

    @property
    def oldest_version(self) -> int:
        """The oldest version allowed to generate a token."""
        return max(0, self.policy_version - self.staleness_bound_versions)


class SampleLabel(msgspec.Struct, frozen=True, kw_only=True):
    """The weights that generated the sample: (version, tokens) in generation order."""

    spans: tuple[tuple[int, int], ...]
    scorer_version: str | None = None

    @property
    def oldest_version(self) -> int:
        """The oldest version that generated a token."""
        return min(version for version, _ in self.spans)


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """A finished sample."""

    step: int
    index: int
    group: int
    attempt: int
    seed: int
    text: str
    tokens: int
    label: SampleLabel
    score: float | None = None


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a draw; if it has no samples, the trainer draws again."""

    step: int
    batch: int
    fencing: int
    step_complete: bool
    samples: tuple[Sample, ...] = ()
