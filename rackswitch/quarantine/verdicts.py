"""Whether a request may be sent to a target.

A request under which targets end again and again ends the next one too. One that was only present
when targets ended for other reasons must be served. Ends alone cannot tell the two apart, so a
request that was present at three is sent on trials: one at a time in the whole fleet, each claimed
in the key-value service before it leaves, and no more than three. An answer ends all suspicion.
"""

from dataclasses import dataclass

from rackswitch.quarantine.records import TrialRecord

__all__ = [
    "HeldBack",
    "NotSuspected",
    "Paced",
    "Suspicion",
    "TrialDue",
    "Verdict",
    "judge",
    "next_trial",
]

ENDS_TO_HOLD = 3
"""Ends at which a request was present before it is held back: at fewer, bad luck is likelier."""

MAX_TRIALS = 3
"""Sends of a request after that, ever: users bear no more of one that ends each of its targets."""

CROWD_PAUSE_SECONDS = 10.0
"""Between trials of a request that was never alone with an end. Others that were present have
been answered by then (runs take up to 7 s), which leaves alone whoever ends targets."""

ALONE_PAUSE_SECONDS = 300.0
"""After a trial of a request that was alone with an end: it is to blame but for an unlikely
chance, and a trial costs a target for some 3 s. The first trial does not wait even so: on a day
of 8 ends of engines one text in 968 was at three of them, alone with the last as the others were
answered soon; held back, it cost its trainer 5 s and the day 0.3 of its worth."""

RUNS_AT_ONCE = 2
"""Runs that broke, or targets that ended, before the next send waits until it is known whether
the others ended too: otherwise a request ends a target every 0.1 s while the first of them is
still being asked after, 0.4 s."""


@dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known of a request.

    Attributes
    ----------
    ends : int
        Targets that ended while it ran there.
    unknown : int
        Targets where it broke and that may have ended.
    is_alone : bool
        Whether nobody else is left to blame for one of the ends.
    newest_end_unix_seconds : float
        When the last end was known.
    trial : TrialRecord or None
        Its trials so far.
    """

    ends: int
    unknown: int = 0
    is_alone: bool = False
    newest_end_unix_seconds: float = 0.0
    trial: TrialRecord | None = None


@dataclass(frozen=True, slots=True)
class NotSuspected:
    """It may be sent."""


@dataclass(frozen=True, slots=True)
class Paced:
    """It may be sent, or not, once it is known what became of other targets."""


@dataclass(frozen=True, slots=True)
class TrialDue:
    """It may be sent if this trial can be claimed."""

    claim: TrialRecord


@dataclass(frozen=True, slots=True)
class HeldBack:
    """It may not be sent before a moment."""

    until_unix_seconds: float


Verdict = NotSuspected | Paced | TrialDue | HeldBack


def judge(suspicion: Suspicion, now_unix_seconds: float) -> Verdict:
    """Decide about one send of a request.

    Parameters
    ----------
    suspicion : Suspicion
        What is known of it.
    now_unix_seconds : float
        The present.
    """
    if suspicion.ends < ENDS_TO_HOLD and suspicion.trial is None:
        is_paced = suspicion.unknown and suspicion.ends + suspicion.unknown >= RUNS_AT_ONCE
        return Paced() if is_paced else NotSuspected()
    if suspicion.unknown:
        return Paced()
    due_seconds = _due_unix_seconds(suspicion, now_unix_seconds)
    if now_unix_seconds < due_seconds:
        return HeldBack(due_seconds)
    return TrialDue(next_trial(suspicion, now_unix_seconds))


def _due_unix_seconds(suspicion: Suspicion, now_unix_seconds: float) -> float:
    alone_seconds = suspicion.newest_end_unix_seconds + ALONE_PAUSE_SECONDS
    if suspicion.trial is None:
        return now_unix_seconds
    if suspicion.trial.trials >= MAX_TRIALS:
        # The record of its trials goes with those of its ends.
        return now_unix_seconds + ALONE_PAUSE_SECONDS
    due_seconds = suspicion.trial.next_at_unix_seconds
    return max(due_seconds, alone_seconds) if suspicion.is_alone else due_seconds


def next_trial(suspicion: Suspicion, now_unix_seconds: float) -> TrialRecord:
    """Return the record by which a request's next trial is claimed."""
    trials = suspicion.trial.trials if suspicion.trial is not None else 0
    pause_seconds = ALONE_PAUSE_SECONDS if suspicion.is_alone else CROWD_PAUSE_SECONDS
    return TrialRecord(trials + 1, now_unix_seconds + pause_seconds)
