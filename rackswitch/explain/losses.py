"""Where the time of each step went: a ledger over all jobs in the logs of a fleet.

A step is whole with its last item. The time from the job's submission until that item was
listed is taken apart into what the item waited for; the parts sum to the whole.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from statistics import median, quantiles

from rackswitch.explain.clocks import Clocks
from rackswitch.explain.lines import LoggedEvent, ReadLog
from rackswitch.telemetry import events as ev

__all__ = ["JobLoss", "Reason", "ledger_of"]

MIN_PACE_PIECES = 20
"""Runs that are shorter tell too little about an engine's pace."""

BEST_PACE_TENTH = 0
"""Of the deciles of paces: what an undisturbed fast engine does."""

PROMPT_BEGIN_SECONDS = 0.3
"""A job whose first item of all began later than this had no engine that could run it."""


class Reason(Enum):
    """What a part of a step's time went into."""

    DIED = "lost with an owner that died"
    OWNER = "no daemon worked on the job"
    VERSION = "no engine had its weights"
    ENGINE = "its last item waited for room"
    QUEUE = "in an engine's queue"
    REDONE = "text that was lost and made again"
    SLOW = "slower than the best pace"
    BETWEEN = "between two runs"
    TEXT = "the last text at the best pace"
    LISTING = "from the text's end to the list"


@dataclass(slots=True)
class JobLoss:
    """One step, and where its time went.

    Attributes
    ----------
    submitted_at_seconds : float
        On the common clock of the logs.
    behind_seconds : float
        How much later it was submitted than the usual interval after the step before.
    whole : bool
        Whether every item was listed.
    parts_seconds : dict of Reason to float
        From the submission to the listing of its last item.
    """

    job: str
    model: str
    step: int
    submitted_at_seconds: float
    whole: bool
    parts_seconds: dict[Reason, float] = field(default_factory=lambda: defaultdict(float))
    behind_seconds: float = 0.0

    @property
    def took_seconds(self) -> float:
        """From the submission to the listing of the last item."""
        return sum(self.parts_seconds.values())


@dataclass(frozen=True, slots=True)
class _Run:
    began_seconds: float
    ended_seconds: float
    event: ev.ItemRunEnded


@dataclass(slots=True)
class _JobLines:
    """The lines about one job, on the common clock."""

    submitted_at_seconds: float
    owned: ev.JobOwned
    owned_from_seconds: list[float] = field(default_factory=list)
    dropped_at_seconds: list[float] = field(default_factory=list)
    runs: dict[str, list[_Run]] = field(default_factory=lambda: defaultdict(list))
    listed_at_seconds: dict[str, float] = field(default_factory=dict)


def ledger_of(log: ReadLog) -> list[JobLoss]:
    """Return the ledger of all jobs that the logs tell of, in the order of submission.

    Parameters
    ----------
    log : ReadLog
        Lines of all daemons; jobs whose lines were folded or lost have no row.
    """
    clocks = Clocks(log.events)
    jobs: dict[str, _JobLines] = {}
    for line in sorted(log.events, key=clocks.at_seconds):
        _take(jobs, line, clocks.at_seconds(line))
    best_seconds = _best_pace_seconds(jobs)
    rows = [
        row for job, lines in jobs.items() if (row := _row(job, lines, best_seconds)) is not None
    ]
    rows.sort(key=lambda row: row.submitted_at_seconds)
    _note_slips(rows)
    return rows


def _take(jobs: dict[str, _JobLines], line: LoggedEvent, at_seconds: float) -> None:
    event = line.event
    if isinstance(event, ev.JobOwned):
        submitted_at_seconds = at_seconds - event.age_seconds
        lines = jobs.setdefault(event.job, _JobLines(submitted_at_seconds, event))
        lines.owned_from_seconds.append(at_seconds)
        return
    known = jobs.get(getattr(event, "job", ""))
    if known is None:
        return
    if isinstance(event, ev.JobDropped):
        known.dropped_at_seconds.append(at_seconds)
    elif isinstance(event, ev.ItemRunEnded):
        run = _Run(at_seconds - event.run_seconds, at_seconds, event)
        known.runs[event.item].append(run)
    elif isinstance(event, ev.ResultsAppended) and event.outcome == "Appended":
        for item in event.items:
            known.listed_at_seconds.setdefault(item, at_seconds)


def _best_pace_seconds(jobs: dict[str, _JobLines]) -> float:
    """Return the pace of an undisturbed fast engine, in seconds a piece."""
    paces = [
        (run.event.run_seconds - run.event.first_piece_seconds) / made
        for lines in jobs.values()
        for runs in lines.runs.values()
        for run in runs
        if (made := _made(run)) >= MIN_PACE_PIECES and run.event.first_piece_seconds >= 0
    ]
    if len(paces) < 2:
        return paces[0] if paces else 0.0
    return quantiles(paces, n=10)[BEST_PACE_TENTH]


def _made(run: _Run) -> int:
    return max(0, run.event.pieces - run.event.first_piece + 1)


def _row(job: str, lines: _JobLines, best_seconds: float) -> JobLoss | None:
    """Return a job's row; None if no item of it was both run and listed."""
    listed = [item for item in lines.listed_at_seconds if item in lines.runs]
    if not listed:
        return None
    last = max(listed, key=lambda item: lines.listed_at_seconds[item])
    whole = len(lines.listed_at_seconds) >= lines.owned.items
    row = JobLoss(job, lines.owned.model, lines.owned.step, lines.submitted_at_seconds, whole)
    _take_apart(row, lines, last, best_seconds)
    return row


def _take_apart(row: JobLoss, lines: _JobLines, item: str, best_seconds: float) -> None:
    parts = row.parts_seconds
    listed_at_seconds = lines.listed_at_seconds[item]
    runs = [run for run in lines.runs[item] if run.ended_seconds <= listed_at_seconds + 1e-9]
    first_begin_seconds = min(run.began_seconds for all_ in lines.runs.values() for run in all_)
    is_late = first_begin_seconds > lines.submitted_at_seconds + PROMPT_BEGIN_SECONDS
    cursor_seconds = lines.submitted_at_seconds
    reason = Reason.VERSION if is_late else Reason.ENGINE
    for number, run in enumerate(runs):
        began_seconds = max(cursor_seconds, run.began_seconds)
        _take_gap(parts, lines, cursor_seconds, began_seconds, reason)
        following = runs[number + 1].event.first_piece if number + 1 < len(runs) else None
        kept = following is None or following > run.event.first_piece
        _take_run(parts, run, max(0.0, run.ended_seconds - began_seconds), kept, best_seconds)
        cursor_seconds = max(cursor_seconds, run.ended_seconds)
        reason = Reason.BETWEEN
    parts[Reason.LISTING] += listed_at_seconds - cursor_seconds


def _take_gap(
    parts: dict[Reason, float],
    lines: _JobLines,
    from_seconds: float,
    until_seconds: float,
    reason: Reason,
) -> None:
    """Split a pause into the time that ownership cost and the rest."""
    died_until_seconds = min(until_seconds, max(from_seconds, _last_death_seconds(lines)))
    parts[Reason.DIED] += died_until_seconds - from_seconds
    from_seconds = died_until_seconds
    ownerless_seconds = 0.0
    for dropped_seconds in lines.dropped_at_seconds:
        later = [at for at in lines.owned_from_seconds if at >= dropped_seconds]
        owned_seconds = min(later, default=until_seconds)
        overlap_seconds = min(until_seconds, owned_seconds) - max(from_seconds, dropped_seconds)
        ownerless_seconds += max(0.0, overlap_seconds)
    ownerless_seconds = min(ownerless_seconds, until_seconds - from_seconds)
    parts[Reason.OWNER] += ownerless_seconds
    parts[reason] += until_seconds - from_seconds - ownerless_seconds


def _last_death_seconds(lines: _JobLines) -> float:
    """Return when a daemon last took the job over from one that never said that it let go."""
    owned_seconds = lines.owned_from_seconds
    deaths = [
        taken_seconds
        for former_seconds, taken_seconds in zip(owned_seconds, owned_seconds[1:], strict=False)
        if not any(former_seconds <= at <= taken_seconds for at in lines.dropped_at_seconds)
    ]
    return max(deaths, default=float("-inf"))


def _take_run(
    parts: dict[Reason, float], run: _Run, took_seconds: float, kept: bool, best_seconds: float
) -> None:
    queued_seconds = run.event.first_piece_seconds
    if queued_seconds < 0:
        parts[Reason.QUEUE] += took_seconds
        return
    queued_seconds = min(queued_seconds, took_seconds)
    parts[Reason.QUEUE] += queued_seconds
    making_seconds = took_seconds - queued_seconds
    if not kept:
        parts[Reason.REDONE] += making_seconds
        return
    text_seconds = min(making_seconds, _made(run) * best_seconds)
    parts[Reason.TEXT] += text_seconds
    parts[Reason.SLOW] += making_seconds - text_seconds


def _note_slips(rows: list[JobLoss]) -> None:
    """Note how late each step was submitted, against the usual interval of its model."""
    by_model: dict[str, list[JobLoss]] = defaultdict(list)
    for row in rows:
        by_model[row.model].append(row)
    for steps in by_model.values():
        if len(steps) < 2:
            continue
        intervals = [
            later.submitted_at_seconds - earlier.submitted_at_seconds
            for earlier, later in zip(steps, steps[1:], strict=False)
        ]
        usual_seconds = median(intervals)
        for row, interval_seconds in zip(steps[1:], intervals, strict=True):
            row.behind_seconds = max(0.0, interval_seconds - usual_seconds)
