"""Which line of a story decided how it ended, and what that means."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from rackswitch.explain.story import Story, StoryLine
from rackswitch.registry import Registry
from rackswitch.telemetry import events as ev

__all__ = ["JUDGES", "Verdict", "judge_story"]

TAKE_OVER_SECONDS = 1.0
"""A job without an owner for longer than this has lost time that its step feels."""

LONG_RUN_SECONDS = 3.0
"""A run that took longer is named as the reason of a late item: some three times a usual
one, of 0.9 s."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The line that decided, and the cause in words.

    Attributes
    ----------
    weight : int
        How directly the line decides; the heaviest verdict is told.
    """

    line: StoryLine
    cause: str
    weight: int


EventT = TypeVar("EventT", bound=ev.Event)
Judge = Callable[[Story], Verdict | None]
JUDGES: Registry[Judge] = Registry("judge")


def judge_story(story: Story) -> Verdict | None:
    """Return the cause of how a story ended; None if nothing in it went wrong."""
    verdicts = [JUDGES.get(name)(story) for name in JUDGES.names()]
    found = [verdict for verdict in verdicts if verdict is not None]
    return max(found, key=lambda verdict: verdict.weight, default=None)


@dataclass(frozen=True, slots=True)
class _Told(Generic[EventT]):
    """A line of a story, with its event by its own type."""

    line: StoryLine
    event: EventT


def _last(story: Story, kind: type[EventT]) -> _Told[EventT] | None:
    """Return the last line of a kind among the story's own."""
    for line in reversed(story.own):
        if isinstance(line.event, kind):
            return _Told(line, line.event)
    return None


def _away_before(story: Story, line: StoryLine) -> str:
    """Return a clause about the service if a daemon was without it at a line's moment."""
    lost: StoryLine | None = None
    for other in story.lines:
        if other.at_seconds > line.at_seconds:
            break
        if other.daemon == line.daemon and isinstance(other.event, ev.DependencyLost):
            lost = other
        if other.daemon == line.daemon and isinstance(other.event, ev.DependencyRegained):
            lost = None
    if lost is None or not isinstance(lost.event, ev.DependencyLost):
        return ""
    away_seconds = line.at_seconds - lost.at_seconds
    return (
        f"; {line.daemon} had been without the {lost.event.dependency} service for "
        f"{away_seconds:.1f} s ({lost.event.detail})"
    )


@JUDGES.register("request refused by the daemon")
def _request_refused(story: Story) -> Verdict | None:
    told = _last(story, ev.RequestRefused)
    if told is None:
        return None
    event = told.event
    cause = (
        f"{told.line.daemon} refused it with {event.status} before any target was chosen: "
        f"{event.detail} (table revision {event.table_revision})"
    )
    return Verdict(told.line, cause, 80)


@JUDGES.register("request not served")
def _request_not_served(story: Story) -> Verdict | None:
    ended = _last(story, ev.RequestEnded)
    if ended is None:
        return None
    event = ended.event
    if event.outcome.startswith("2"):
        return None
    if event.outcome == "caller left":
        cause = f"the caller left after {event.elapsed_seconds:.3f} s"
        return Verdict(ended.line, cause, 70)
    failed = _last(story, ev.AttemptFailed)
    if failed is None:
        cause = (
            f"no target was tried: {event.targets_known} of the route's targets could be used, "
            f"by a list {event.list_age_seconds:.1f} s old ({event.outcome})"
        )
        return Verdict(ended.line, cause + _away_before(story, ended.line), 75)
    attempt = failed.event
    cause = (
        f"target {attempt.target} did not serve attempt {attempt.attempt} "
        f"({attempt.detail}, after {attempt.attempt_seconds:.3f} s); the last answer was: "
        f"{event.outcome}"
    )
    return Verdict(failed.line, cause, 75)


@JUDGES.register("call refused for want of room")
def _call_refused(story: Story) -> Verdict | None:
    told = _last(story, ev.CallDecided)
    if told is None or not told.event.outcome.startswith("refused"):
        return None
    event = told.event
    word = (
        f"a word {event.word_age_seconds:.2f} s old" if event.word_age_seconds >= 0 else "no word"
    )
    cause = (
        f"{told.line.daemon} {event.outcome}, after {event.waited_seconds:.3f} s: class "
        f"{event.caller_class} would have waited {event.expected_wait_seconds:.3f} s of the "
        f"{event.left_seconds:.3f} s left at {event.service}, where {event.in_flight} of its calls "
        f"were at a limit of {event.limit:.2f}, {event.waiting} waited and {event.free_slots:.0f} "
        f"slots were free by {word}; told to come back after {event.come_back_seconds:.3f} s"
    )
    return Verdict(told.line, cause, 78)


@JUDGES.register("request slow")
def _request_slow(story: Story) -> Verdict | None:
    failed = _last(story, ev.AttemptFailed)
    ended = _last(story, ev.RequestEnded)
    if failed is None or ended is None:
        return None
    cause = (
        f"it was served after a failed attempt at {failed.event.target} that took "
        f"{failed.event.attempt_seconds:.3f} s ({failed.event.detail})"
    )
    return Verdict(failed.line, cause, 30)


@JUDGES.register("job not taken")
def _job_not_taken(story: Story) -> Verdict | None:
    told = _last(story, ev.JobSubmitted)
    if told is None or told.event.outcome == 202:
        return None
    cause = f"{told.line.daemon} answered {told.event.outcome}: {told.event.detail}"
    return Verdict(told.line, cause + _away_before(story, told.line), 60)


@JUDGES.register("item given up")
def _item_given_up(story: Story) -> Verdict | None:
    if story.subject.kind != "item":
        return None
    told = _last(story, ev.ItemGivenUp)
    if told is not None:
        return Verdict(told.line, f"the item was given up: {told.event.reason}", 90)
    reward = _last(story, ev.RewardCallEnded)
    if reward is None:
        return None
    if reward.event.outcome.startswith("2"):
        return None
    cause = (
        f"its text was whole, but the reward call ended with {reward.event.outcome!r} after "
        f"{reward.event.failures} failures"
    )
    return Verdict(reward.line, cause, 85)


@JUDGES.register("item impossible")
def _item_impossible(story: Story) -> Verdict | None:
    told = _last(story, ev.ItemRunEnded)
    if told is None:
        return None
    if story.subject.kind != "item" or told.event.outcome != "impossible":
        return None
    return Verdict(told.line, f"engine {told.event.target} says that it can never be done", 90)


@JUDGES.register("item begun anew")
def _item_begun_anew(story: Story) -> Verdict | None:
    """Name the run that cost an item the most time without making it whole."""
    if story.subject.kind != "item":
        return None
    lost = [
        (line.event.run_seconds, line)
        for line in story.own
        if isinstance(line.event, ev.ItemRunEnded) and line.event.outcome != "whole"
    ]
    if not lost:
        return None
    seconds, line = max(lost, key=lambda pair: pair[0])
    event = line.event
    assert isinstance(event, ev.ItemRunEnded)
    cause = (
        f"run {event.run} at {event.target} took {seconds:.3f} s and ended {event.outcome} "
        f"({event.detail}) with {event.pieces} pieces"
    )
    return Verdict(line, cause, 40)


@JUDGES.register("item long")
def _item_long(story: Story) -> Verdict | None:
    told = _last(story, ev.ItemRunEnded)
    if told is None:
        return None
    event = told.event
    if story.subject.kind != "item" or event.run_seconds < LONG_RUN_SECONDS:
        return None
    cause = f"its text of {event.pieces} pieces took {event.run_seconds:.1f} s at {event.target}"
    return Verdict(told.line, cause, 35)


@JUDGES.register("job changed hands")
def _job_changed_hands(story: Story) -> Verdict | None:
    """Name a time in which nobody worked on a job."""
    dropped: StoryLine | None = None
    worst: tuple[float, StoryLine, StoryLine] | None = None
    for line in story.own:
        if isinstance(line.event, ev.JobDropped) and line.event.reason != "ended":
            dropped = line
        if isinstance(line.event, ev.JobOwned):
            before = dropped or _death_before(story, line)
            dropped = None
            if before is None:
                continue
            gap_seconds = line.at_seconds - before.at_seconds
            if worst is None or gap_seconds > worst[0]:
                worst = (gap_seconds, before, line)
    if worst is None or worst[0] < TAKE_OVER_SECONDS:
        return None
    gap_seconds, before, owned = worst
    cause = (
        f"nobody worked on the job for {gap_seconds:.1f} s, from the end of its owner "
        f"{before.daemon} until {owned.daemon} took it over"
    )
    return Verdict(owned, cause, 50)


def _death_before(story: Story, owned: StoryLine) -> StoryLine | None:
    """Return the former owner's last line, if it said nothing about leaving the job."""
    former = [
        line
        for line in story.own
        if line.at_seconds < owned.at_seconds and line.daemon != owned.daemon
    ]
    holders = {line.daemon for line in former if isinstance(line.event, ev.JobOwned)}
    last = [line for line in former if line.daemon in holders]
    return last[-1] if last else None


@JUDGES.register("call about a job refused")
def _job_call_refused(story: Story) -> Verdict | None:
    told = _last(story, ev.JobCallRefused)
    if told is None:
        return None
    cause = (
        f"{told.event.call} at {told.line.daemon}: {told.event.outcome} {told.event.detail}".strip()
    )
    return Verdict(told.line, cause + _away_before(story, told.line), 20)


@JUDGES.register("usage not reported in time")
def _usage_late(story: Story) -> Verdict | None:
    sent = _last(story, ev.UsageSent)
    if sent is None:
        fixed = _last(story, ev.UsageFixed)
        if fixed is None:
            return None
        cause = f"{fixed.line.daemon} gathered it and never sent it"
        return Verdict(fixed.line, cause + _away_before(story, fixed.line), 60)
    event = sent.event
    if event.in_time and event.outcome.startswith("taken"):
        return None
    cause = f"its last report, {event.after_end_seconds:.1f} s after its end, was {event.outcome}"
    return Verdict(sent.line, cause, 60)


@JUDGES.register("usage incomplete")
def _usage_incomplete(story: Story) -> Verdict | None:
    fixed = _last(story, ev.UsageFixed)
    if fixed is None:
        return None
    event = fixed.event
    if not event.daemons_silent and not event.daemons_partial:
        return None
    cause = (
        f"of {event.daemons + event.daemons_silent} daemons {event.daemons_silent} did not tell "
        f"their counts, and {event.daemons_partial} had counted for a part of the window only"
    )
    return Verdict(fixed.line, cause, 50)
