"""A story as text for a person."""

from typing import Any

import msgspec

from rackswitch.explain.story import Story, StoryLine
from rackswitch.explain.verdicts import Verdict

__all__ = ["format_story"]

DECISIVE_MARK = ">"
MAX_LINES = 120
"""Lines printed of a long story; those about the subject go first."""

DAEMON_WIDTH = 20
EVENT_WIDTH = 22


def format_story(story: Story, verdict: Verdict | None) -> str:
    """Return a story's lines with times from its first line on, the decisive one marked."""
    first_seconds = story.lines[0].at_seconds
    chosen = _shortened(story, verdict)
    text = [f"{story.subject.kind} {story.subject.identity}: {len(story.lines)} lines"]
    for line in chosen:
        mark = DECISIVE_MARK if verdict is not None and line is verdict.line else " "
        text.append(
            f"{mark} {line.at_seconds - first_seconds:9.3f} s  {line.daemon:<{DAEMON_WIDTH}} "
            f"{line.event.__struct_config__.tag!s:<{EVENT_WIDTH}} {_fields(line)}"
        )
    if len(chosen) < len(story.lines):
        text.append(f"  ({len(story.lines) - len(chosen)} lines left out)")
    text.append(f"cause: {verdict.cause}" if verdict is not None else "cause: nothing went wrong")
    return "\n".join(text)


def _shortened(story: Story, verdict: Verdict | None) -> list[StoryLine]:
    if len(story.lines) <= MAX_LINES:
        return story.lines
    kept = {id(line) for line in story.own[:MAX_LINES]}
    if verdict is not None:
        kept.add(id(verdict.line))
    return [line for line in story.lines if id(line) in kept]


def _fields(line: StoryLine) -> str:
    values: dict[str, Any] = msgspec.to_builtins(line.event)
    return " ".join(
        f"{name}={value}" for name, value in values.items() if name != "event" and value != ""
    )
