"""Formats a story as text."""

from typing import Any

import msgspec

from rackswitch.explain.story import Timeline, TimelineLine
from rackswitch.explain.verdicts import Verdict

__all__ = ["format_timeline"]

DECISIVE_MARK = ">"
MAX_SHOWN_LINES = 120
"""Limit on the printed lines; of a longer story, only lines about the subject are shown."""

DAEMON_WIDTH = 20
EVENT_WIDTH = 22


def format_timeline(story: Timeline, verdict: Verdict | None) -> str:
    """Return a story's lines with times relative to the first, the decisive one marked."""
    first_seconds = story.lines[0].at_seconds
    selected_lines = _select_lines(story, verdict)
    output_lines = [f"{story.subject.kind} {story.subject.identity}: {len(story.lines)} lines"]
    for line in selected_lines:
        mark = DECISIVE_MARK if verdict is not None and line is verdict.line else " "
        output_lines.append(
            f"{mark} {line.at_seconds - first_seconds:9.3f} s  {line.daemon:<{DAEMON_WIDTH}} "
            f"{line.event.__struct_config__.tag!s:<{EVENT_WIDTH}} {_format_fields(line)}"
        )
    if len(selected_lines) < len(story.lines):
        output_lines.append(f"  ({len(story.lines) - len(selected_lines)} lines left out)")
    output_lines.append(
        f"cause: {verdict.cause}" if verdict is not None else "cause: nothing went wrong"
    )
    return "\n".join(output_lines)


def _select_lines(story: Timeline, verdict: Verdict | None) -> list[TimelineLine]:
    if len(story.lines) <= MAX_SHOWN_LINES:
        return story.lines
    kept_ids = {id(line) for line in story.own_lines[:MAX_SHOWN_LINES]}
    if verdict is not None:
        kept_ids.add(id(verdict.line))
    return [line for line in story.lines if id(line) in kept_ids]


def _format_fields(line: TimelineLine) -> str:
    values: dict[str, Any] = msgspec.to_builtins(line.event)
    return " ".join(
        f"{name}={value}" for name, value in values.items() if name != "event" and value != ""
    )
