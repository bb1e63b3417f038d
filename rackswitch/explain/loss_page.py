"""Formats the time losses of steps as text."""

from collections import defaultdict

from rackswitch.explain.losses import JobLoss, Reason

__all__ = ["format_losses"]

MAX_STEPS = 40
"""Number of steps printed individually, the slowest first."""

MIN_SHOWN_SECONDS = 0.05
"""Shorter parts are left out of a step's line."""


def format_losses(rows: list[JobLoss]) -> str:
    """Return the slowest steps with their parts, then each model's means by reason."""
    if not rows:
        return "no job in these logs was both run and listed"
    first_seconds = rows[0].submitted_at_seconds
    output_lines = ["submitted    took  behind  step  whole  model            where the time went"]
    slowest = sorted(rows, key=lambda row: -row.took_seconds)[:MAX_STEPS]
    output_lines.extend(_step_line(row, first_seconds) for row in slowest)
    if len(rows) > MAX_STEPS:
        output_lines.append(f"({len(rows) - MAX_STEPS} faster steps left out)")
    output_lines.append("")
    output_lines.append("mean seconds a step, by model and reason")
    output_lines.extend(_model_lines(rows))
    return "\n".join(output_lines)


def _step_line(row: JobLoss, first_seconds: float) -> str:
    parts = sorted(row.parts_seconds.items(), key=lambda part: -part[1])
    shown = ", ".join(
        f"{seconds:.2f} {reason.value}" for reason, seconds in parts if seconds >= MIN_SHOWN_SECONDS
    )
    return (
        f"{row.submitted_at_seconds - first_seconds:8.2f}  {row.took_seconds:6.2f}  "
        f"{row.behind_seconds:6.2f}  {row.step:4d}  {'yes' if row.is_complete else 'no':5}  "
        f"{row.model:<15}  {shown}"
    )


def _model_lines(rows: list[JobLoss]) -> list[str]:
    by_model: dict[str, list[JobLoss]] = defaultdict(list)
    for row in rows:
        by_model[row.model].append(row)
    lines = []
    for model, steps in by_model.items():
        took_seconds = sum(row.took_seconds for row in steps) / len(steps)
        behind_seconds = sum(row.behind_seconds for row in steps) / len(steps)
        lines.append(
            f"{model}: {len(steps)} steps, {took_seconds:.2f} s each, "
            f"submitted {behind_seconds:.2f} s behind the usual interval"
        )
        for reason in Reason:
            seconds = sum(row.parts_seconds.get(reason, 0.0) for row in steps) / len(steps)
            lines.append(f"  {seconds:7.3f}  {reason.value}")
    return lines
