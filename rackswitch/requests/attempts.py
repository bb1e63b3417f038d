"""Attempts of a request at targets: whether to retry, and what to answer after the last one."""

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
"""Refill rate by time, up to one retry, so that a single failure is retried also where there are
few first attempts."""

MAX_ATTEMPTS = 4
RETRY_AFTER_SECONDS = 1.0
LATENCY_TARGET_FACTOR = 1.5
"""How many times a request's latency target one attempt may take while another attempt can
follow."""


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended without an answer.

    Attributes
    ----------
    may_have_run : bool
        False only if no byte of the request can have reached the target, or the target itself
        reported that it did not begin.
    """

    target: str
    may_have_run: bool
    detail: str


@dataclass(slots=True)
class RetryBudget:
    """Budget of retries as a share of first attempts, to prevent retry storms.

    Attributes
    ----------
    balance : float
        Retries that may be made at once.
    refilled_at_seconds : float or None
        Time of the last refill (monotonic); None before the first.
    """

    balance: float = RETRY_RESERVE
    refilled_at_seconds: float | None = None

    def record_request(self) -> None:
        """Add a part of a retry for a first attempt."""
        self.balance = min(RETRY_RESERVE, self.balance + RETRY_SHARE)

    def refill(self, now_seconds: float) -> None:
        """Add to the balance by the time passed, up to one retry."""
        if self.refilled_at_seconds is not None and self.balance < 1.0:
            elapsed_seconds = max(0.0, now_seconds - self.refilled_at_seconds)
            self.balance = min(1.0, self.balance + RETRIES_PER_SECOND * elapsed_seconds)
        self.refilled_at_seconds = now_seconds

    def try_spend(self) -> bool:
        """Spend one retry if the balance allows it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


@dataclass(slots=True)
class AttemptLog:
    """All attempts of one request, and the outcome that follows from them.

    Attributes
    ----------
    max_attempts : int
        Maximum number of targets that may run the request.
    max_refusals : int
        Maximum number of further attempts that targets report as not begun.
    began_at_unix_seconds : float or None
        When the request first began at a target, as far as this is known; None if it has not.
    sent_to, sent_at_seconds : str, float
        Target of the attempt in progress, empty if there is none, and when it was sent (event loop
        time).
    """

    repeatable: bool
    ends: list[AttemptEnd] = field(default_factory=list)
    max_attempts: int = MAX_ATTEMPTS
    max_refusals: int = 0
    began_at_unix_seconds: float | None = None
    sent_to: str = ""
    sent_at_seconds: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have begun at a target."""
        return any(end.may_have_run for end in self.ends)

    def may_begin(self) -> bool:
        """Return whether one more attempt is allowed."""
        if len(self.ends) >= self.max_attempts + self.max_refusals:
            return False
        run_count = sum(end.may_have_run for end in self.ends)
        if run_count >= self.max_attempts:
            return False
        return self.repeatable or not self.may_have_run

    def tried_targets(self) -> set[str]:
        """Return the targets of the attempts so far."""
        return {end.target for end in self.ends}

    def check_may_begin(self) -> None:
        """Check, as an attempt starts, that it is allowed."""
        check_invariant(self.may_begin(), "a request that may have run must not be repeated")

    def record_send(self, target: str, now_seconds: float) -> None:
        """Record the start of an attempt."""
        self.sent_to = target
        self.sent_at_seconds = now_seconds

    def record_end(self, end: AttemptEnd) -> None:
        """Record an attempt's end."""
        self.ends.append(end)
        self.sent_to = ""

    def give_up(self, now_seconds: float) -> NotRun | MayHaveRun:
        """Return the final answer: `NotRun` only if no attempt may have begun."""
        detail = self.ends[-1].detail if self.ends else "no target was available"
        retry_at_seconds = now_seconds + RETRY_AFTER_SECONDS
        if self.may_have_run:
            return MayHaveRun(detail, retry_at_seconds)
        return NotRun(NotRunReason.NO_TARGET, detail, retry_at_seconds)


def attempt_deadline_seconds(
    log: AttemptLog, latency_target_seconds: float, deadline_seconds: float, now_seconds: float
) -> float:
    """Return the deadline of an attempt that begins now.

    Parameters
    ----------
    log : AttemptLog
        The attempts before it.
    latency_target_seconds : float
        The time within which the answer is wanted.
    deadline_seconds, now_seconds : float
        The request's deadline and the current time (same clock).

    Returns
    -------
    float
        The request's own deadline for the last attempt, and for a request that may not be
        repeated, since ending that attempt early would only lose its answer.
    """
    run_count = sum(end.may_have_run for end in log.ends)
    if not log.repeatable or run_count + 1 >= log.max_attempts:
        return deadline_seconds
    return min(deadline_seconds, now_seconds + latency_target_seconds * LATENCY_TARGET_FACTOR)
