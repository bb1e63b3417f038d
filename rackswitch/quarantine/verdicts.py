"""Decides whether a request may be sent to a target.

A request that ends its targets must be held back. One that was only present when targets ended for
other reasons must be served. Ends alone do not distinguish the two, so a request that was present
at several ends is sent on trial: one trial at a time in the whole fleet, each claimed in the
key-value service before it is sent, up to `MAX_TRIALS`. An answer clears the request.

Items of batch jobs and their reward calls do not end targets by themselves, and are owed. They are
delayed after ends, so that engines that end in series do not all take the same item at once, but
they need no trial.
"""

from dataclasses import dataclass

from rackswitch.quarantine.records import TrialRecord

__all__ = [
    "HeldBack",
    "NotSuspected",
    "AwaitingInvestigations",
    "Suspicion",
    "TrialDue",
    "Verdict",
    "judge",
    "judge_item",
    "next_trial",
]

ENDS_TO_HOLD = 3
"""Number of ends at which a request was present before it is held back. Fewer are more likely a
coincidence."""

MAX_TRIALS = 3
"""Maximum number of sends of a held request."""

SHARED_TRIAL_INTERVAL_SECONDS = 10.0
"""Interval between trials of a request that was never the only suspect of an end. The other
suspects have been answered by then (runs take up to 7 s), which leaves the request that ends
targets."""

SOLE_SUSPECT_TRIAL_INTERVAL_SECONDS = 300.0
"""Interval between trials of a request that was the only suspect of an end. It is very likely the
cause, and each trial costs a target for some 3 s. The first trial does not wait: of 968 texts on a
day with 8 ends of engines, one was at three ends by chance, and holding it back cost its trainer 5
s."""

ENDS_TO_WAIT = 2
"""Number of confirmed and possible ends at which the next send waits until the open investigations
are closed (some 0.4 s). Otherwise a request could end a target every 0.1 s meanwhile."""


ITEM_DELAY_SECONDS = 0.5
"""Delay of an item's next run after the third end; longer by as much after each further one."""

MAX_ITEM_DELAY_SECONDS = 2.0
"""Maximum delay of an item's next run after an end. Targets that ended took 1.4 s and more to
return."""


@dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known about a request.

    Attributes
    ----------
    ends : int
        Targets that ended while it ran there.
    unresolved : int
        Targets under investigation where it was interrupted.
    is_sole_suspect : bool
        Whether it is the only suspect of one of the ends.
    newest_end_unix_seconds : float
        When the last end was detected.
    trial : TrialRecord or None
        Its trials so far.
    """

    ends: int
    unresolved: int = 0
    is_sole_suspect: bool = False
    newest_end_unix_seconds: float = 0.0
    trial: TrialRecord | None = None


@dataclass(frozen=True, slots=True)
class NotSuspected:
    """The request may be sent."""


@dataclass(frozen=True, slots=True)
class AwaitingInvestigations:
    """The request has to wait until the open investigations are closed."""


@dataclass(frozen=True, slots=True)
class TrialDue:
    """The request may be sent if this trial can be claimed."""

    claim: TrialRecord


@dataclass(frozen=True, slots=True)
class HeldBack:
    """The request must not be sent before the given time."""

    until_unix_seconds: float


Verdict = NotSuspected | AwaitingInvestigations | TrialDue | HeldBack


def judge(suspicion: Suspicion, now_unix_seconds: float) -> Verdict:
    """Decide about one send of a request.

    Parameters
    ----------
    suspicion : Suspicion
        What is known about it.
    now_unix_seconds : float
        The current time.
    """
    if suspicion.ends < ENDS_TO_HOLD and suspicion.trial is None:
        must_wait = suspicion.unresolved and suspicion.ends + suspicion.unresolved >= ENDS_TO_WAIT
        return AwaitingInvestigations() if must_wait else NotSuspected()
    if suspicion.unresolved:
        return AwaitingInvestigations()
    due_seconds = _due_unix_seconds(suspicion, now_unix_seconds)
    if now_unix_seconds < due_seconds:
        return HeldBack(due_seconds)
    return TrialDue(next_trial(suspicion, now_unix_seconds))


def judge_item(
    suspicion: Suspicion, now_unix_seconds: float
) -> NotSuspected | AwaitingInvestigations | HeldBack:
    """Decide about one run of an item, or one send of its reward call.

    Parameters
    ----------
    suspicion : Suspicion
        What is known about the request.
    now_unix_seconds : float
        The current time.
    """
    if suspicion.unresolved and suspicion.ends + suspicion.unresolved >= ENDS_TO_WAIT:
        return AwaitingInvestigations()
    if suspicion.ends < ENDS_TO_HOLD:
        return NotSuspected()
    delay_seconds = ITEM_DELAY_SECONDS * (suspicion.ends - ENDS_TO_HOLD + 1)
    delay_seconds = min(delay_seconds, MAX_ITEM_DELAY_SECONDS)
    due_seconds = suspicion.newest_end_unix_seconds + delay_seconds
    return HeldBack(due_seconds) if now_unix_seconds < due_seconds else NotSuspected()


def _due_unix_seconds(suspicion: Suspicion, now_unix_seconds: float) -> float:
    sole_suspect_due_seconds = (
        suspicion.newest_end_unix_seconds + SOLE_SUSPECT_TRIAL_INTERVAL_SECONDS
    )
    if suspicion.trial is None:
        return now_unix_seconds
    if suspicion.trial.trials >= MAX_TRIALS:
        # The record of its trials is deleted with those of its ends.
        return now_unix_seconds + SOLE_SUSPECT_TRIAL_INTERVAL_SECONDS
    due_seconds = suspicion.trial.next_at_unix_seconds
    return max(due_seconds, sole_suspect_due_seconds) if suspicion.is_sole_suspect else due_seconds


def next_trial(suspicion: Suspicion, now_unix_seconds: float) -> TrialRecord:
    """Return the record that claims a request's next trial."""
    trials = suspicion.trial.trials if suspicion.trial is not None else 0
    interval_seconds = (
        SOLE_SUSPECT_TRIAL_INTERVAL_SECONDS
        if suspicion.is_sole_suspect
        else SHARED_TRIAL_INTERVAL_SECONDS
    )
    return TrialRecord(trials + 1, now_unix_seconds + interval_seconds)
