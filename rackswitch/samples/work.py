"""Scheduling of the samples of a step."""

from dataclasses import dataclass, field

from rackswitch.samples.messages import StepPlan

__all__ = [
    "LengthForecast",
    "group_of_each_index",
    "may_start_next_step",
    "sort_by_expected_length",
]

FORECAST_SMOOTHING = 0.3


def group_of_each_index(plan: StepPlan) -> list[int]:
    """Return the group number of each sample index."""
    groups: list[int] = []
    for number, group in enumerate(plan.groups):
        groups.extend([number] * group.samples)
    return groups


@dataclass(slots=True)
class LengthForecast:
    """Expected tokens of a sample, estimated from finished samples of the same prompt."""

    by_prompt: dict[str, float] = field(default_factory=dict)
    overall_tokens: float = 128.0

    def record_length(self, prompt: str, tokens: int) -> None:
        """Update the estimate with a finished sample."""
        previous_tokens = self.by_prompt.get(prompt, float(tokens))
        self.by_prompt[prompt] = previous_tokens + FORECAST_SMOOTHING * (tokens - previous_tokens)
        self.overall_tokens += 0.02 * (tokens - self.overall_tokens)

    def expected_tokens(self, prompt: str, max_tokens: int) -> float:
        """Return the expected number of tokens."""
        return min(float(max_tokens), self.by_prompt.get(prompt, self.overall_tokens))


def sort_by_expected_length(
    plan: StepPlan, indices: set[int], forecast: LengthForecast
) -> list[int]:
    """Sort samples by descending expected length, keeping groups together.

    All samples are generated and handed over, so the order does not bias the step
    towards short samples.
    """
    groups = group_of_each_index(plan)

    def rank(index: int) -> tuple[float, int, int]:
        group = plan.groups[groups[index]]
        return (-forecast.expected_tokens(group.prompt, group.max_tokens), groups[index], index)

    return sorted(indices, key=rank)


def may_start_next_step(
    unfinished: int, total: int, idle_weight: float, staleness_weight: float
) -> bool:
    """Return whether samples of the next step may start before this step is complete.

    A higher share of the idle weight allows an earlier start: with idle weight only,
    the next step may start at once; with staleness weight only, never.
    """
    total_weight = idle_weight + staleness_weight
    if total_weight <= 0:
        return False
    return unfinished <= total * idle_weight / total_weight and idle_weight > 0
