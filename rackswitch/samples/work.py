"""Which samples to make next, and for whom."""

from dataclasses import dataclass, field

from rackswitch.samples.messages import StepPlan

__all__ = ["LengthForecast", "index_groups", "shadow_allowed", "work_order"]

FORECAST_SMOOTHING = 0.3


def index_groups(plan: StepPlan) -> list[int]:
    """Return the group of each sample index."""
    groups: list[int] = []
    for number, group in enumerate(plan.groups):
        groups.extend([number] * group.samples)
    return groups


@dataclass(slots=True)
class LengthForecast:
    """Expected tokens of a sample, learnt from finished ones of the same prompt."""

    by_prompt: dict[str, float] = field(default_factory=dict)
    overall_tokens: float = 128.0

    def note(self, prompt: str, tokens: int) -> None:
        """Take in a finished sample."""
        before = self.by_prompt.get(prompt, float(tokens))
        self.by_prompt[prompt] = before + FORECAST_SMOOTHING * (tokens - before)
        self.overall_tokens += 0.02 * (tokens - self.overall_tokens)

    def expect(self, prompt: str, max_tokens: int) -> float:
        """Return the expected number of tokens."""
        return min(float(max_tokens), self.by_prompt.get(prompt, self.overall_tokens))


def work_order(plan: StepPlan, indices: set[int], forecast: LengthForecast) -> list[int]:
    """Order the samples still to be made: expected longest first, groups together.

    All of them will be made and handed over; only the order is chosen, so the set that
    a trainer gets does not lean towards short samples.
    """
    groups = index_groups(plan)

    def rank(index: int) -> tuple[float, int, int]:
        group = plan.groups[groups[index]]
        return (-forecast.expect(group.prompt, group.max_tokens), groups[index], index)

    return sorted(indices, key=rank)


def shadow_allowed(
    unfinished: int, total: int, idle_weight: float, staleness_weight: float
) -> bool:
    """Return whether the next step's samples may start before this step is whole.

    The heavier idle time weighs against staleness, the earlier the next step starts:
    with idle weight alone at once, with staleness weight alone never.
    """
    whole = idle_weight + staleness_weight
    if whole <= 0:
        return False
    return unfinished <= total * idle_weight / whole and idle_weight > 0
