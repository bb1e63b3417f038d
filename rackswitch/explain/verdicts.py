"""Judges: functions that find the decisive line of a story and state the cause."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from rackswitch.explain.story import Timeline, TimelineLine
from rackswitch.registry import Registry
from rackswitch.telemetry import events as ev

__all__ = ["JUDGES", "Verdict", "find_cause"]

MIN_OWNERLESS_SECONDS = 1.0
"""Time without an owner from which it is reported as the cause of a job's delay."""

SLOW_RUN_SECONDS = 3.0
"""Duration from which a run is reported as the cause of an item's delay."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decisive line of a story, and the cause as text.

    Attributes
    ----------
    weight : int
        Priority; of several verdicts the one with the highest weight is reported.
    """

    line: TimelineLine
    cause: str
    weight: int


EventT = TypeVar("EventT", bound=ev.Event)
Judge = Callable[[Timeline], Verdict | None]
JUDGES: Registry[Judge] = Registry("judge")


def find_cause(story: Timeline) -> Verdict | None:
    """Return the cause of a story's outcome; None if nothing went wrong."""
    verdicts = [JUDGES.get(name)(story) for name in JUDGES.names()]
    found_verdicts = [verdict for verdict in verdicts if verdict is not None]
    return max(found_verdicts, key=lambda verdict: verdict.weight, default=None)


@dataclass(frozen=True, slots=True)
class _TypedLine(Generic[EventT]):
    """A line of a story and its event, with the event's class as its static type."""

    line: TimelineLine
    event: EventT


def _last_event(story: Timeline, event_class: type[EventT]) -> _TypedLine[EventT] | None:
    """Return the last own line of a story whose event is of a class."""
    for line in reversed(story.own_lines):
        if isinstance(line.event, event_class):
            return _TypedLine(line, line.event)
    return None


def _outage_clause(story: Timeline, line: TimelineLine) -> str:
    """Return a clause on the dependency that was unreachable at a line's time, if any."""
    lost_line: TimelineLine | None = None
    for earlier_line in story.lines:
        if earlier_line.at_seconds > line.at_seconds:
            break
        if earlier_line.daemon == line.daemon and isinstance(earlier_line.event, ev.DependencyLost):
            lost_line = earlier_line
        if earlier_line.daemon == line.daemon and isinstance(
            earlier_line.event, ev.DependencyRegained
        ):
            lost_line = None
    if lost_line is None or not isinstance(lost_line.event, ev.DependencyLost):
        return ""
    outage_seconds = line.at_seconds - lost_line.at_seconds
    return (
        f"; {line.daemon} had been without the {lost_line.event.dependency} service for "
        f"{outage_seconds:.1f} s ({lost_line.event.detail})"
    )


@JUDGES.register("request refused by the daemon")
def _request_refused(story: Timeline) -> Verdict | None:
    match = _last_event(story, ev.RequestRefused)
    if match is None:
        return None
    event = match.event
    cause = (
        f"{match.line.daemon} refused it with {event.status} before any target was chosen: "
        f"{event.detail} (table revision {event.table_revision})"
    )
    return Verdict(match.line, cause, 80)


@JUDGES.register("request not served")
def _request_not_served(story: Timeline) -> Verdict | None:
    ended = _last_event(story, ev.RequestEnded)
    if ended is None:
        return None
    event = ended.event
    if event.outcome.startswith("2"):
        return None
    if event.outcome == "caller left":
        cause = f"the caller left after {event.elapsed_seconds:.3f} s"
        return Verdict(ended.line, cause, 70)
    failed = _last_event(story, ev.AttemptFailed)
    if failed is None:
        cause = (
            f"no target was tried: {event.targets_known} of the route's targets could be used, "
            f"by a list {event.list_age_seconds:.1f} s old ({event.outcome})"
        )
        return Verdict(ended.line, cause + _outage_clause(story, ended.line), 75)
    attempt = failed.event
    cause = (
        f"target {attempt.target} did not serve attempt {attempt.attempt} "
        f"({attempt.detail}, after {attempt.attempt_seconds:.3f} s); the last answer was: "
        f"{event.outcome}"
    )
    return Verdict(failed.line, cause, 75)


@JUDGES.register("all targets excluded")
def _all_targets_excluded(story: Timeline) -> Verdict | None:
    """Report the rules that excluded every target of a refused call."""
    match = _last_event(story, ev.TargetsExcluded)
    ended = _last_event(story, ev.RequestEnded)
    if match is None or (ended is not None and ended.event.outcome.startswith("2")):
        return None
    event = match.event
    cause = f"{match.line.daemon} sent it to no target of {event.service}: {_rules(event.reasons)}"
    return Verdict(match.line, cause, 79)


@JUDGES.register("all engines excluded")
def _all_engines_excluded(story: Timeline) -> Verdict | None:
    """Report the rules that kept a job's items waiting."""
    match = _last_event(story, ev.JobExcluded)
    if match is None:
        return None
    event = match.event
    cause = (
        f"its items waited at {match.line.daemon}, as no engine of {event.service} was eligible: "
        f"{_rules(event.reasons)} (table revision {event.table_revision})"
    )
    return Verdict(match.line, cause, 45)


@JUDGES.register("items wait for a confirmed table")
def _give_up_postponed(story: Timeline) -> Verdict | None:
    """Report items that waited as the table without their route was not confirmed."""
    match = _last_event(story, ev.GiveUpPostponed)
    if match is None:
        return None
    event = match.event
    cause = (
        f"its items waited at {match.line.daemon} until a current table was known: {event.reason} "
        f"in table revision {event.table_revision}, as of revision {event.confirmed_revision} of "
        f"the key-value service"
    )
    return Verdict(match.line, cause, 44)


@JUDGES.register("item at no engine")
def _item_waited(story: Timeline) -> Verdict | None:
    """Report what an item at no engine waited for, by its last line."""
    match = _last_event(story, ev.ItemWaits)
    if match is None or story.subject.kind != "item":
        return None
    event = match.event
    room = f"{len(event.engines_with_room)} engines had room"
    if event.obstacles:
        room += f", others not: {_rules(event.obstacles)}"
    cause = (
        f"it was at no engine for {event.waited_seconds:.1f} s at {match.line.daemon} and waited "
        f"for {event.reason}; {room}"
    )
    return Verdict(match.line, cause, 42)


def _rules(reasons: dict[str, int]) -> str:
    return ", ".join(f"{reason} ({count})" for reason, count in reasons.items())


@JUDGES.register("call refused by admission control")
def _call_refused(story: Timeline) -> Verdict | None:
    match = _last_event(story, ev.CallDecided)
    if match is None or not match.event.outcome.startswith("refused"):
        return None
    event = match.event
    load_report = (
        f"a word {event.word_age_seconds:.2f} s old" if event.word_age_seconds >= 0 else "no word"
    )
    cause = (
        f"{match.line.daemon} {event.outcome}, after {event.waited_seconds:.3f} s: class "
        f"{event.caller_class} would have waited {event.expected_wait_seconds:.3f} s of the "
        f"{event.left_seconds:.3f} s left at {event.service}, where {event.in_flight} of its calls "
        f"were at a limit of {event.limit:.2f}, {event.waiting} waited and {event.free_slots:.0f} "
        f"slots were free by {load_report}; told to come back after {event.come_back_seconds:.3f} s"
    )
    return Verdict(match.line, cause, 78)


@JUDGES.register("request slow")
def _request_slow(story: Timeline) -> Verdict | None:
    failed = _last_event(story, ev.AttemptFailed)
    ended = _last_event(story, ev.RequestEnded)
    if failed is None or ended is None:
        return None
    cause = (
        f"it was served after a failed attempt at {failed.event.target} that took "
        f"{failed.event.attempt_seconds:.3f} s ({failed.event.detail})"
    )
    return Verdict(failed.line, cause, 30)


@JUDGES.register("job not accepted")
def _job_not_accepted(story: Timeline) -> Verdict | None:
    match = _last_event(story, ev.JobSubmitted)
    if match is None or match.event.outcome == 202:
        return None
    cause = f"{match.line.daemon} answered {match.event.outcome}: {match.event.detail}"
    return Verdict(match.line, cause + _outage_clause(story, match.line), 60)


@JUDGES.register("item given up")
def _item_given_up(story: Timeline) -> Verdict | None:
    if story.subject.kind != "item":
        return None
    match = _last_event(story, ev.ItemGivenUp)
    if match is not None:
        return Verdict(match.line, f"the item was given up: {match.event.reason}", 90)
    reward = _last_event(story, ev.RewardCallEnded)
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
def _item_impossible(story: Timeline) -> Verdict | None:
    match = _last_event(story, ev.ItemRunEnded)
    if match is None:
        return None
    if story.subject.kind != "item" or match.event.outcome != "impossible":
        return None
    return Verdict(match.line, f"engine {match.event.target} says that it can never be done", 90)


@JUDGES.register("item run failed")
def _item_run_failed(story: Timeline) -> Verdict | None:
    """Report the run that took an item the most time without completing it."""
    if story.subject.kind != "item":
        return None
    failed_runs = [
        (line.event.run_seconds, line)
        for line in story.own_lines
        if isinstance(line.event, ev.ItemRunEnded) and line.event.outcome != "whole"
    ]
    if not failed_runs:
        return None
    seconds, line = max(failed_runs, key=lambda pair: pair[0])
    event = line.event
    assert isinstance(event, ev.ItemRunEnded)
    cause = (
        f"run {event.run} at {event.target} took {seconds:.3f} s and ended {event.outcome} "
        f"({event.detail}) with {event.pieces} pieces"
    )
    return Verdict(line, cause, 40)


@JUDGES.register("item run slow")
def _item_slow(story: Timeline) -> Verdict | None:
    match = _last_event(story, ev.ItemRunEnded)
    if match is None:
        return None
    event = match.event
    if story.subject.kind != "item" or event.run_seconds < SLOW_RUN_SECONDS:
        return None
    cause = f"its text of {event.pieces} pieces took {event.run_seconds:.1f} s at {event.target}"
    return Verdict(match.line, cause, 35)


@JUDGES.register("job without an owner")
def _job_without_owner(story: Timeline) -> Verdict | None:
    """Report the longest time in which no daemon owned a job."""
    dropped_line: TimelineLine | None = None
    longest: tuple[float, TimelineLine, TimelineLine] | None = None
    for line in story.own_lines:
        if isinstance(line.event, ev.JobDropped) and line.event.reason != "ended":
            dropped_line = line
        if isinstance(line.event, ev.JobOwned):
            last_owner_line = dropped_line or _last_line_of_former_owner(story, line)
            dropped_line = None
            if last_owner_line is None:
                continue
            ownerless_seconds = line.at_seconds - last_owner_line.at_seconds
            if longest is None or ownerless_seconds > longest[0]:
                longest = (ownerless_seconds, last_owner_line, line)
    if longest is None or longest[0] < MIN_OWNERLESS_SECONDS:
        return None
    ownerless_seconds, last_owner_line, owned_line = longest
    cause = (
        f"nobody worked on the job for {ownerless_seconds:.1f} s, from the end of its owner "
        f"{last_owner_line.daemon} until {owned_line.daemon} took it over"
    )
    return Verdict(owned_line, cause, 50)


def _last_line_of_former_owner(story: Timeline, owned_line: TimelineLine) -> TimelineLine | None:
    """Return the last line of a former owner; None if there is no former owner."""
    other_daemons_lines = [
        line
        for line in story.own_lines
        if line.at_seconds < owned_line.at_seconds and line.daemon != owned_line.daemon
    ]
    former_owners = {
        line.daemon for line in other_daemons_lines if isinstance(line.event, ev.JobOwned)
    }
    former_owner_lines = [line for line in other_daemons_lines if line.daemon in former_owners]
    return former_owner_lines[-1] if former_owner_lines else None


@JUDGES.register("call about a job refused")
def _job_call_refused(story: Timeline) -> Verdict | None:
    match = _last_event(story, ev.JobCallRefused)
    if match is None:
        return None
    cause = (
        f"{match.event.call} at {match.line.daemon}: {match.event.outcome} {match.event.detail}"
    ).strip()
    return Verdict(match.line, cause + _outage_clause(story, match.line), 20)


@JUDGES.register("usage not reported in time")
def _usage_late(story: Timeline) -> Verdict | None:
    sent = _last_event(story, ev.UsageSent)
    if sent is None:
        fixed = _last_event(story, ev.UsageFinalized)
        if fixed is None:
            return None
        cause = f"{fixed.line.daemon} gathered it and never sent it"
        return Verdict(fixed.line, cause + _outage_clause(story, fixed.line), 60)
    event = sent.event
    if event.in_time and event.outcome.startswith("taken"):
        return None
    cause = f"its last report, {event.after_end_seconds:.1f} s after its end, was {event.outcome}"
    return Verdict(sent.line, cause, 60)


@JUDGES.register("usage incomplete")
def _usage_incomplete(story: Timeline) -> Verdict | None:
    fixed = _last_event(story, ev.UsageFinalized)
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
