"""Selects the log lines that concern one request, item, job or usage window, in order."""

from dataclasses import dataclass, field

from rackswitch.explain.clocks import Clocks
from rackswitch.explain.lines import LoggedEvent, ReadLog
from rackswitch.telemetry import events as ev
from rackswitch.tenants import chosen_identity

__all__ = ["Timeline", "TimelineLine", "Subject", "build_timeline"]

CONTEXT_SECONDS = 5.0
"""Time before the subject's first line from which context is included; it is long enough for a
lease to expire and a job to be taken over."""

OWNERSHIP_EVENTS = (
    ev.JobSubmitted,
    ev.JobOwned,
    ev.JobHandedOver,
    ev.JobReceived,
    ev.JobResumed,
    ev.JobDropped,
    ev.JobNotOwned,
    ev.JobExcluded,
)
"""Events about the ownership of a job."""

DAEMON_EVENTS = (
    ev.Started,
    ev.Stopping,
    ev.Stopped,
    ev.HandOverTimedOut,
    ev.DependencyLost,
    ev.DependencyRegained,
    ev.SessionBegun,
    ev.SessionLost,
    ev.RoleAcquired,
    ev.RoleLost,
    ev.TableInForce,
    ev.Reloaded,
    ev.ZoneEvacuated,
    ev.EvacuationEnded,
)
"""Context events of daemons that handled the subject."""

TARGET_EVENTS = (ev.TargetListed, ev.TargetGone, ev.LoadOrdered)
"""Context events of targets that were called for the subject."""


@dataclass(frozen=True, slots=True)
class Subject:
    """The request, item, job or usage window that a story is about.

    Attributes
    ----------
    kind : str
        ``request``, ``item``, ``job`` or ``window`` (of usage).
    """

    kind: str
    identity: str


@dataclass(frozen=True, slots=True)
class TimelineLine:
    """A line with its time on the common clock; `is_own` if it is about the subject itself."""

    at_seconds: float
    daemon: str
    event: ev.Event
    is_own: bool


@dataclass(slots=True)
class Timeline:
    """The lines about a subject and their context, in order of time."""

    subject: Subject
    lines: list[TimelineLine] = field(default_factory=list)

    @property
    def own_lines(self) -> list[TimelineLine]:
        """The lines about the subject itself."""
        return [line for line in self.lines if line.is_own]


def build_timeline(log: ReadLog, identity: str) -> Timeline | None:
    """Return the lines about a request, item, job or usage window; None if no line names it.

    Parameters
    ----------
    log : ReadLog
        Lines of all daemons.
    identity : str
        Its identity, as chosen by the caller, or a window's number.
    """
    subject = _find_subject(log, identity)
    if subject is None:
        return None
    clocks = Clocks(log.events)
    own_lines = [line for line in log.events if _is_about(line.event, subject)]
    if subject.kind == "item":
        own_lines += _ownership_lines(log, clocks, own_lines)
    story_lines = [_to_story_line(line, clocks, True) for line in own_lines]
    story_lines += _context_lines(log, clocks, story_lines)
    story_lines.sort(key=lambda line: line.at_seconds)
    return Timeline(subject, story_lines)


def _find_subject(log: ReadLog, identity: str) -> Subject | None:
    """Return the subject with an identity; None if no line names it."""
    for line in log.events:
        event = line.event
        if isinstance(event, ev.RewardCallEnded) and event.request == identity:
            # A reward call belongs to the story of its item.
            return Subject("item", event.item)
        if isinstance(event, ev.UsageFinalized | ev.UsageSent) and str(event.window) == identity:
            return Subject("window", identity)
        for kind in ("job", "item", "request"):
            identity_in_event = getattr(event, kind, None)
            if identity_in_event == identity or (
                kind == "job"
                and identity_in_event
                and chosen_identity(identity_in_event) == identity
            ):
                return Subject(kind, identity_in_event)
        if isinstance(event, ev.ResultsAppended) and identity in event.items:
            return Subject("item", identity)
    return None


def _is_about(event: ev.Event, subject: Subject) -> bool:
    if subject.kind == "job":
        return _is_about_job(event, subject.identity)
    if subject.kind == "item" and isinstance(event, ev.ResultsAppended):
        return subject.identity in event.items
    identity_in_event = getattr(event, subject.kind, None)
    # Window numbers are integers in events.
    return identity_in_event is not None and str(identity_in_event) == subject.identity


def _is_about_job(event: ev.Event, job: str) -> bool:
    """Return whether an event belongs to a job's story: not the routine ones of its items."""
    if getattr(event, "job", None) != job:
        return False
    return not event.is_routine or isinstance(event, ev.ResultsAppended)


def _ownership_lines(
    log: ReadLog, clocks: Clocks, own_lines: list[LoggedEvent]
) -> list[LoggedEvent]:
    """Return the lines on the ownership of an item's job until the item's own last line."""
    jobs = {job for line in own_lines if (job := getattr(line.event, "job", ""))}
    last_seconds = max(clocks.at_seconds(line) for line in own_lines)
    return [
        line
        for line in log.events
        if isinstance(line.event, OWNERSHIP_EVENTS)
        and line.event.job in jobs
        and clocks.at_seconds(line) <= last_seconds
    ]


def _to_story_line(line: LoggedEvent, clocks: Clocks, is_own: bool) -> TimelineLine:
    return TimelineLine(clocks.at_seconds(line), line.daemon, line.event, is_own)


def _context_lines(
    log: ReadLog, clocks: Clocks, own_lines: list[TimelineLine]
) -> list[TimelineLine]:
    """Return events of the involved daemons and targets around the time of the own lines."""
    first_seconds = min(line.at_seconds for line in own_lines) - CONTEXT_SECONDS
    last_seconds = max(line.at_seconds for line in own_lines)
    daemons = {line.daemon for line in own_lines}
    targets = {target for line in own_lines if (target := getattr(line.event, "target", ""))}
    story_lines: list[TimelineLine] = []
    included_target_events: set[ev.Event] = set()
    for line in log.events:
        event = line.event
        about_daemon = isinstance(event, DAEMON_EVENTS) and line.daemon in daemons
        about_target = isinstance(event, TARGET_EVENTS) and event.target in targets
        if not about_daemon and not about_target:
            continue
        story_line = _to_story_line(line, clocks, False)
        if not first_seconds <= story_line.at_seconds <= last_seconds:
            continue
        if about_target and event in included_target_events:
            # Every daemon logs changes of the list of targets; include each only once.
            continue
        if about_target:
            included_target_events.add(event)
        story_lines.append(story_line)
    return story_lines
