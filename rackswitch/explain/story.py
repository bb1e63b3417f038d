"""The lines that concern one request, item or job, in order over all daemons."""

from dataclasses import dataclass, field

from rackswitch.explain.clocks import Clocks
from rackswitch.explain.lines import LoggedEvent, ReadLog
from rackswitch.telemetry import events as ev
from rackswitch.tenants import chosen_identity

__all__ = ["Story", "StoryLine", "Subject", "tell_story"]

CONTEXT_SECONDS = 5.0
"""How long before the first line about the subject its surroundings are looked at: a lease's
life, a take-over and the wait for a turn of orders fit in."""

OWNERSHIP_EVENTS = (
    ev.JobSubmitted,
    ev.JobOwned,
    ev.JobHandedOver,
    ev.JobReceived,
    ev.JobResumed,
    ev.JobDropped,
    ev.JobNotOwned,
)
"""Lines about who works on a job."""

DAEMON_EVENTS = (
    ev.Started,
    ev.Stopping,
    ev.Stopped,
    ev.HandOverGivenUp,
    ev.DependencyLost,
    ev.DependencyRegained,
    ev.SessionBegun,
    ev.SessionLost,
    ev.RoleAcquired,
    ev.RoleLost,
    ev.TableInForce,
    ev.Reloaded,
)
"""What happened to a daemon that a request or job was on."""

TARGET_EVENTS = (ev.TargetListed, ev.TargetGone, ev.LoadOrdered)
"""What happened to a target that was asked."""


@dataclass(frozen=True, slots=True)
class Subject:
    """What a story is about.

    Attributes
    ----------
    kind : str
        ``request``, ``item``, ``job`` or ``window`` (of usage).
    """

    kind: str
    identity: str


@dataclass(frozen=True, slots=True)
class StoryLine:
    """A line at its place in the story; `own` if it is about the subject itself."""

    at_seconds: float
    daemon: str
    event: ev.Event
    own: bool


@dataclass(slots=True)
class Story:
    """The lines about a subject and its surroundings, in order."""

    subject: Subject
    lines: list[StoryLine] = field(default_factory=list)

    @property
    def own(self) -> list[StoryLine]:
        """The lines about the subject itself."""
        return [line for line in self.lines if line.own]


def tell_story(log: ReadLog, identity: str) -> Story | None:
    """Return the story of a request, item or job; None if no line names it.

    Parameters
    ----------
    log : ReadLog
        Lines of all daemons.
    identity : str
        The caller's identity of it.
    """
    subject = _subject(log, identity)
    if subject is None:
        return None
    clocks = Clocks(log.events)
    own = [line for line in log.events if _is_about(line.event, subject)]
    if subject.kind == "item":
        own += _ownership(log, clocks, own)
    chosen = [_placed(line, clocks, True) for line in own]
    chosen += _surroundings(log, clocks, chosen)
    chosen.sort(key=lambda line: line.at_seconds)
    return Story(subject, chosen)


def _subject(log: ReadLog, identity: str) -> Subject | None:
    """Find out what an identity names."""
    for line in log.events:
        event = line.event
        if isinstance(event, ev.RewardCallEnded) and event.request == identity:
            # A reward call is part of its item's story.
            return Subject("item", event.item)
        if isinstance(event, ev.UsageFixed | ev.UsageSent) and str(event.window) == identity:
            return Subject("window", identity)
        for kind in ("job", "item", "request"):
            named = getattr(event, kind, None)
            if named == identity or (
                kind == "job" and named and chosen_identity(named) == identity
            ):
                return Subject(kind, named)
        if isinstance(event, ev.ResultsAppended) and identity in event.items:
            return Subject("item", identity)
    return None


def _is_about(event: ev.Event, subject: Subject) -> bool:
    if subject.kind == "job":
        return _is_about_job(event, subject.identity)
    if subject.kind == "item" and isinstance(event, ev.ResultsAppended):
        return subject.identity in event.items
    named = getattr(event, subject.kind, None)
    # A window's number is looked for as text.
    return named is not None and str(named) == subject.identity


def _is_about_job(event: ev.Event, job: str) -> bool:
    """Return whether a line belongs into a job's story: not each of its items' good runs."""
    if getattr(event, "job", None) != job:
        return False
    return not event.is_routine or isinstance(event, ev.ResultsAppended)


def _ownership(log: ReadLog, clocks: Clocks, own: list[LoggedEvent]) -> list[LoggedEvent]:
    """Return who worked on an item's job until the item's own last line."""
    jobs = {job for line in own if (job := getattr(line.event, "job", ""))}
    last_seconds = max(clocks.at_seconds(line) for line in own)
    return [
        line
        for line in log.events
        if isinstance(line.event, OWNERSHIP_EVENTS)
        and line.event.job in jobs
        and clocks.at_seconds(line) <= last_seconds
    ]


def _placed(line: LoggedEvent, clocks: Clocks, own: bool) -> StoryLine:
    return StoryLine(clocks.at_seconds(line), line.daemon, line.event, own)


def _surroundings(log: ReadLog, clocks: Clocks, own: list[StoryLine]) -> list[StoryLine]:
    """Return what happened meanwhile to the daemons and targets that the subject was on."""
    first_seconds = min(line.at_seconds for line in own) - CONTEXT_SECONDS
    last_seconds = max(line.at_seconds for line in own)
    daemons = {line.daemon for line in own}
    targets = {target for line in own if (target := getattr(line.event, "target", ""))}
    chosen: list[StoryLine] = []
    told_targets: set[ev.Event] = set()
    for line in log.events:
        event = line.event
        about_daemon = isinstance(event, DAEMON_EVENTS) and line.daemon in daemons
        about_target = isinstance(event, TARGET_EVENTS) and event.target in targets
        if not about_daemon and not about_target:
            continue
        placed = _placed(line, clocks, False)
        if not first_seconds <= placed.at_seconds <= last_seconds:
            continue
        if about_target and event in told_targets:
            # Every daemon logs the list's changes; one line says enough.
            continue
        if about_target:
            told_targets.add(event)
        chosen.append(placed)
    return chosen
