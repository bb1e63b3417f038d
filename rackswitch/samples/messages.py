"""Messages about samples, as they travel between trainers and daemons."""

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
    """All samples of one training step; a sample's index counts through the groups."""

    step: Count
    groups: Annotated[tuple[GroupPlan, ...], msgspec.Meta(min_length=1)]

    @property
    def total_samples(self) -> int:
        """The number of samples in the step."""
        return sum(group.samples for group in self.groups)


class Draw(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A trainer's call for the next batch.

    Attributes
    ----------
    acknowledged_batch : int
        The last batch of this step that the trainer keeps; 0 for none.
    policy_version : int
        The version the trainer is at; staleness is counted from it.
    trainer_epoch : int
        Grows by one each time the trainer restarts from a checkpoint. Only a higher
        epoch may acknowledge less than was acknowledged before.
    wait_seconds : float
        How long the daemon may wait for samples.
    """

    step: Count
    acknowledged_batch: Count
    policy_version: Count
    trainer_epoch: Count = 0
    most_samples: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    wait_seconds: Annotated[float, msgspec.Meta(ge=0, le=30)] = 2.0


class SampleOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to make one sample; `attempt` tells a remade one from its elder.

    Attributes
    ----------
    policy_version, staleness_bound_versions : int
        The trainer's version and the bound when the order was given.
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
        """The oldest version that may make any token."""
        return max(0, self.policy_version - self.staleness_bound_versions)


class SampleLabel(msgspec.Struct, frozen=True, kw_only=True):
    """Which weights made the sample: (version, tokens) in order of generation."""

    spans: tuple[tuple[int, int], ...]
    scorer_version: str | None = None

    @property
    def oldest_version(self) -> int:
        """The oldest version that made any token."""
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
    """The answer to a draw; without samples it says to draw again."""

    step: int
    batch: int
    fencing: int
    step_complete: bool
    samples: tuple[Sample, ...] = ()
