"""Attributes the time of each training step to reasons, for all jobs in a fleet's logs.

A step is complete once its last item is listed. The time from the job's submission to that
listing is split into parts by what the item waited for; the parts sum to the total.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from statistics import median, quantiles

from rackswitch.explain.clocks import Clocks
from rackswitch.explain.lines import LoggedEvent, ReadLog
from rackswitch.telemetry import events as ev

__all__ = ["JobLoss", "Reason", "split_step_times"]

MIN_PACE_PIECES = 20
"""Shorter runs are left out of the estimate of the best pace."""

BEST_PACE_DECILE = 0
"""Index of the decile of paces that is taken as the pace of a fast engine at low load."""

PROMPT_START_SECONDS = 0.3
"""A job whose first run started later than this had no engine that could run it."""


class Reason(Enum):
    """What a part of a step's time was spent on."""

    OWNER_DIED = "lost with an owner that died"
    NO_OWNER = "no daemon worked on the job"
    NO_WEIGHTS = "no engine had its weights"
    NO_CAPACITY = "its last item waited for room"
    QUEUE = "in an engine's queue"
    REGENERATED = "text that was lost and made again"
    SLOW = "slower than the best pace"
    BETWEEN_RUNS = "between two runs"
    BEST_PACE = "the last text at the best pace"
    LISTING = "from the text's end to the list"


@dataclass(slots=True)
class JobLoss:
    """The time that one step took, split by reason.

    Attributes
    ----------
    submitted_at_seconds : float
        On the common clock of the logs.
    behind_seconds : float
        Delay of its submission beyond the typical interval after the previous step.
    is_complete : bool
        Whether every item was listed.
    parts_seconds : dict of Reason to float
        From the submission to the listing of its last item.
    """

    job: str
    model: str
    step: int
    submitted_at_seconds: float
    is_complete: bool
    parts_seconds: dict[Reason, float] = field(default_factory=lambda: defaultdict(float))
    behind_seconds: float = 0.0

    @property
    def took_seconds(self) -> float:
        """From the submission to the listing of the last item."""
        return sum(self.parts_seconds.values())


@dataclass(frozen=True, slots=True)
class _Run:
    started_seconds: float
    ended_seconds: float
    event: ev.ItemRunEnded


@dataclass(slots=True)
class _JobHistory:
    """The logged history of one job, on the common clock."""

    submitted_at_seconds: float
    owned: ev.JobOwned
    owned_at_seconds: list[float] = field(default_factory=list)
    dropped_at_seconds: list[float] = field(default_factory=list)
    runs: dict[str, list[_Run]] = field(default_factory=lambda: defaultdict(list))
    listed_at_seconds: dict[str, float] = field(default_factory=dict)


def split_step_times(log: ReadLog) -> list[JobLoss]:
    """Return the time losses of all jobs in the logs, in the order of submission.

    Parameters
    ----------
    log : ReadLog
        Lines of all daemons; jobs whose lines were folded or dropped are left out.
    """
    clocks = Clocks(log.events)
    jobs: dict[str, _JobHistory] = {}
    for line in sorted(log.events, key=clocks.at_seconds):
        _record_line(jobs, line, clocks.at_seconds(line))
    best_pace_seconds = _best_pace_seconds(jobs)
    rows = [
        row
        for job, history in jobs.items()
        if (row := _job_row(job, history, best_pace_seconds)) is not None
    ]
    rows.sort(key=lambda row: row.submitted_at_seconds)
    _record_submission_delays(rows)
    return rows


def _record_line(jobs: dict[str, _JobHistory], line: LoggedEvent, at_seconds: float) -> None:
    event = line.event
    if isinstance(event, ev.JobOwned):
        submitted_at_seconds = at_seconds - event.age_seconds
        history = jobs.setdefault(event.job, _JobHistory(submitted_at_seconds, event))
        history.owned_at_seconds.append(at_seconds)
        return
    known_history = jobs.get(getattr(event, "job", ""))
    if known_history is None:
        return
    if isinstance(event, ev.JobDropped):
        known_history.dropped_at_seconds.append(at_seconds)
    elif isinstance(event, ev.ItemRunEnded):
        run = _Run(at_seconds - event.run_seconds, at_seconds, event)
        known_history.runs[event.item].append(run)
    elif isinstance(event, ev.ResultsAppended) and event.outcome == "Appended":
        for item in event.items:
            known_history.listed_at_seconds.setdefault(item, at_seconds)


def _best_pace_seconds(jobs: dict[str, _JobHistory]) -> float:
    """Return the pace of a fast engine at low load, in seconds per piece."""
    paces = [
        (run.event.run_seconds - run.event.first_piece_seconds) / piece_count
        for history in jobs.values()
        for runs in history.runs.values()
        for run in runs
        if (piece_count := _pieces_made(run)) >= MIN_PACE_PIECES
        and run.event.first_piece_seconds >= 0
    ]
    if len(paces) < 2:
        return paces[0] if paces else 0.0
    return quantiles(paces, n=10)[BEST_PACE_DECILE]


def _pieces_made(run: _Run) -> int:
    return max(0, run.event.pieces - run.event.first_piece + 1)


def _job_row(job: str, history: _JobHistory, best_pace_seconds: float) -> JobLoss | None:
    """Return a job's time losses; None if none of its items was both run and listed."""
    listed = [item for item in history.listed_at_seconds if item in history.runs]
    if not listed:
        return None
    last = max(listed, key=lambda item: history.listed_at_seconds[item])
    is_complete = len(history.listed_at_seconds) >= history.owned.items
    row = JobLoss(
        job, history.owned.model, history.owned.step, history.submitted_at_seconds, is_complete
    )
    _split_time(row, history, last, best_pace_seconds)
    return row


def _split_time(row: JobLoss, history: _JobHistory, item: str, best_pace_seconds: float) -> None:
    parts = row.parts_seconds
    listed_at_seconds = history.listed_at_seconds[item]
    runs = [run for run in history.runs[item] if run.ended_seconds <= listed_at_seconds + 1e-9]
    first_start_seconds = min(
        run.started_seconds for item_runs in history.runs.values() for run in item_runs
    )
    is_late = first_start_seconds > history.submitted_at_seconds + PROMPT_START_SECONDS
    cursor_seconds = history.submitted_at_seconds
    reason = Reason.NO_WEIGHTS if is_late else Reason.NO_CAPACITY
    for index, run in enumerate(runs):
        started_seconds = max(cursor_seconds, run.started_seconds)
        _add_wait(parts, history, cursor_seconds, started_seconds, reason)
        next_first_piece = runs[index + 1].event.first_piece if index + 1 < len(runs) else None
        is_kept = next_first_piece is None or next_first_piece > run.event.first_piece
        _add_run(
            parts, run, max(0.0, run.ended_seconds - started_seconds), is_kept, best_pace_seconds
        )
        cursor_seconds = max(cursor_seconds, run.ended_seconds)
        reason = Reason.BETWEEN_RUNS
    parts[Reason.LISTING] += listed_at_seconds - cursor_seconds


def _add_wait(
    parts: dict[Reason, float],
    history: _JobHistory,
    from_seconds: float,
    until_seconds: float,
    reason: Reason,
) -> None:
    """Split a wait into time without a working owner and the rest, which counts as `reason`."""
    owner_dead_until_seconds = min(
        until_seconds, max(from_seconds, _last_takeover_from_dead_seconds(history))
    )
    parts[Reason.OWNER_DIED] += owner_dead_until_seconds - from_seconds
    from_seconds = owner_dead_until_seconds
    ownerless_seconds = 0.0
    for dropped_seconds in history.dropped_at_seconds:
        later_owned_seconds = [at for at in history.owned_at_seconds if at >= dropped_seconds]
        owned_seconds = min(later_owned_seconds, default=until_seconds)
        overlap_seconds = min(until_seconds, owned_seconds) - max(from_seconds, dropped_seconds)
        ownerless_seconds += max(0.0, overlap_seconds)
    ownerless_seconds = min(ownerless_seconds, until_seconds - from_seconds)
    parts[Reason.NO_OWNER] += ownerless_seconds
    parts[reason] += until_seconds - from_seconds - ownerless_seconds


def _last_takeover_from_dead_seconds(history: _JobHistory) -> float:
    """Return when a daemon last took the job over from one that did not log its release."""
    owned_seconds = history.owned_at_seconds
    takeover_times_seconds = [
        takeover_seconds
        for former_seconds, takeover_seconds in zip(owned_seconds, owned_seconds[1:], strict=False)
        if not any(former_seconds <= at <= takeover_seconds for at in history.dropped_at_seconds)
    ]
    return max(takeover_times_seconds, default=float("-inf"))


def _add_run(
    parts: dict[Reason, float],
    run: _Run,
    took_seconds: float,
    is_kept: bool,
    best_pace_seconds: float,
) -> None:
    queued_seconds = run.event.first_piece_seconds
    if queued_seconds < 0:
        parts[Reason.QUEUE] += took_seconds
        return
    queued_seconds = min(queued_seconds, took_seconds)
    parts[Reason.QUEUE] += queued_seconds
    generating_seconds = took_seconds - queued_seconds
    if not is_kept:
        parts[Reason.REGENERATED] += generating_seconds
        return
    best_pace_part_seconds = min(generating_seconds, _pieces_made(run) * best_pace_seconds)
    parts[Reason.BEST_PACE] += best_pace_part_seconds
    parts[Reason.SLOW] += generating_seconds - best_pace_part_seconds


def _record_submission_delays(rows: list[JobLoss]) -> None:
    """Set each step's submission delay beyond the typical interval of its model."""
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
        typical_interval_seconds = median(intervals)
        for row, interval_seconds in zip(steps[1:], intervals, strict=True):
            row.behind_seconds = max(0.0, interval_seconds - typical_interval_seconds)
