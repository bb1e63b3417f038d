"""What to do after an attempt at a target: retry, or say the truth about it."""

from dataclasses import dataclass, field

from rackswitch.outcomes import (
    MayHaveRun,
    NotRun,
    NotRunReason,
    check_invariant,
)

__all__ = ["AttemptEnd", "AttemptLog", "RetryBudget", "attempt_deadline_seconds"]

RETRY_SHARE = 0.2
RETRY_RESERVE = 10.0
RETRIES_PER_SECOND = 1.0
"""Earned by time alone up to one, so that a single failure is repeated also where there are few
first attempts."""

MAX_ATTEMPTS = 4
RETRY_AFTER_SECONDS = 1.0
ATTEMPT_GOAL_FACTOR = 1.5
"""How many times a request's goal one attempt may take while another can follow: an answer
past the goal earns little, so a slow target is left soon after it."""


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended without an answer.

    Attributes
    ----------
    may_have_run : bool
        False only if no byte of the request can have reached the target, or the target
        itself said that it did not begin.
    """

    target: str
    may_have_run: bool
    detail: str


@dataclass(slots=True)
class RetryBudget:
    """Retries allowed as a share of first attempts, so that failures cause no storm.

    Attributes
    ----------
    balance : float
        Retries that may be made at once.
    earned_at_seconds : float or None
        Until when time has earned some (monotonic); None if it earns nothing.
    """

    balance: float = RETRY_RESERVE
    earned_at_seconds: float | None = None

    def note_request(self) -> None:
        """Earn a part of a retry for a first attempt."""
        self.balance = min(RETRY_RESERVE, self.balance + RETRY_SHARE)

    def pass_time(self, now_seconds: float) -> None:
        """Earn by time, up to one retry."""
        if self.earned_at_seconds is not None and self.balance < 1.0:
            passed_seconds = max(0.0, now_seconds - self.earned_at_seconds)
            self.balance = min(1.0, self.balance + RETRIES_PER_SECOND * passed_seconds)
        self.earned_at_seconds = now_seconds

    def try_spend(self) -> bool:
        """Spend one retry if the budget has it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


@dataclass(slots=True)
class AttemptLog:
    """All attempts of one request, and the truth that follows from them.

    Attributes
    ----------
    most_attempts : int
        Targets that may run the request.
    max_refusals : int
        Attempts, besides those, that a target may end by saying that it did not begin.
    began_at_unix_seconds : float or None
        When the request first began at a target, as far as this is known; None if it has not.
    """

    repeatable: bool
    ends: list[AttemptEnd] = field(default_factory=list)
    most_attempts: int = MAX_ATTEMPTS
    max_refusals: int = 0
    began_at_unix_seconds: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have begun at a target."""
        return any(end.may_have_run for end in self.ends)

    def may_begin(self) -> bool:
        """Return whether one more attempt is allowed by what came before."""
        if len(self.ends) >= self.most_attempts + self.max_refusals:
            return False
        runs = sum(end.may_have_run for end in self.ends)
        if runs >= self.most_attempts:
            return False
        return self.repeatable or not self.may_have_run

    def tried_targets(self) -> set[str]:
        """Return the targets to avoid."""
        return {end.target for end in self.ends}

    def begin(self) -> None:
        """Assert the rule at the moment an attempt starts."""
        check_invariant(self.may_begin(), "a request that may have run is not repeated")

    def note(self, end: AttemptEnd) -> None:
        """Record an attempt's end."""
        self.ends.append(end)

    def give_up(self, now_seconds: float) -> NotRun | MayHaveRun:
        """Return the final answer: "not run" only if no attempt may have begun."""
        detail = self.ends[-1].detail if self.ends else "no target could be tried"
        retry_at_seconds = now_seconds + RETRY_AFTER_SECONDS
        if self.may_have_run:
            return MayHaveRun(detail, retry_at_seconds)
        return NotRun(NotRunReason.NO_TARGET, detail, retry_at_seconds)


def attempt_deadline_seconds(
    log: AttemptLog, goal_seconds: float, deadline_seconds: float, now_seconds: float
) -> float:
    """Return until when an attempt may take that begins now.

    Parameters
    ----------
    log : AttemptLog
        The attempts before it.
    goal_seconds : float
        The time within which the answer is wanted.
    deadline_seconds, now_seconds : float
        When the request is given up, and the present (same clock).

    Returns
    -------
    float
        The request's own deadline for the last attempt, and for a request that may not be
        repeated, since leaving that one would only lose its answer.
    """
    runs = sum(end.may_have_run for end in log.ends)
    if not log.repeatable or runs + 1 >= log.most_attempts:
        return deadline_seconds
    return min(deadline_seconds, now_seconds + goal_seconds * ATTEMPT_GOAL_FACTOR)
