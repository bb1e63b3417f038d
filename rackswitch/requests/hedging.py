"""When a call without an answer is sent a second time, to another target.

A lost answer or a slow target makes a few calls take many times as long as typical. A second call
after a delay answers these in about twice the typical time. The number of second calls is bounded
by a budget, so that a slow service does not get more load for being slow.
"""

import math
from collections import deque
from dataclasses import dataclass, field
from statistics import median

from rackswitch.requests.attempts import AttemptEnd, AttemptLog

__all__ = ["CallTimes", "HedgeBudget", "hedge_attempt_log", "may_hedge"]

HEDGE_FACTOR = 2.0
"""A second call is sent after this many times the typical time of a call."""

MIN_HEDGE_DELAY_SECONDS = 0.15
"""Minimum delay of a second call: shorter delays would mostly catch calls that only waited for the
event loop of a busy VM."""

MIN_SAMPLE_COUNT = 8
"""Minimum number of calls from which a typical time is derived; before, no call is hedged."""

MAX_SAMPLE_COUNT = 128
"""Number of the latest calls from which the typical time is derived."""

HEDGE_SHARE = 0.1
"""Maximum share of the calls that are sent a second time."""

MAX_HEDGE_BALANCE = 4.0
"""Second calls that may be sent at once after many calls without any."""


@dataclass(slots=True)
class CallTimes:
    """Times of a service's latest calls.

    The time of a call that a second one overtook is a lower bound. The budget keeps these rare
    enough not to change the median.
    """

    _seconds: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLE_COUNT))
    _delay_seconds: float = math.inf

    def record(self, took_seconds: float) -> None:
        """Add the time of a call that was answered."""
        self._seconds.append(took_seconds)
        if len(self._seconds) >= MIN_SAMPLE_COUNT:
            typical_seconds = median(self._seconds)
            self._delay_seconds = max(MIN_HEDGE_DELAY_SECONDS, HEDGE_FACTOR * typical_seconds)

    @property
    def hedge_delay_seconds(self) -> float:
        """Time without an answer after which a second call is worthwhile; infinite if unknown."""
        return self._delay_seconds


@dataclass(slots=True)
class HedgeBudget:
    """Budget of second calls, as a share of the first ones.

    Attributes
    ----------
    balance : float
        Second calls that may be sent now. There is one from the start, so of N calls at most
        `HEDGE_SHARE` x N + 1 are sent a second time.
    """

    balance: float = 1.0

    def record_call(self) -> None:
        """Add a part of a second call for a first one."""
        self.balance = min(MAX_HEDGE_BALANCE, self.balance + HEDGE_SHARE)

    def try_spend(self) -> bool:
        """Spend one second call if the balance allows it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def may_hedge(log: AttemptLog) -> bool:
    """Return whether a request in progress may be sent a second time.

    The attempt in progress counts: together with the second one and those that may have run, there
    must be no more than the maximum.
    """
    run_count = sum(end.may_have_run for end in log.ends)
    return log.repeatable and bool(log.sent_to) and run_count + 2 <= log.max_attempts


def hedge_attempt_log(log: AttemptLog) -> AttemptLog:
    """Split one attempt off a request in progress and return the attempt log for it.

    The request in progress may still finish its attempt, and repeat it if the target did not begin,
    but has no further attempts that may run; the returned log has the remaining ones.
    """
    run_count = sum(end.may_have_run for end in log.ends)
    ends = [*log.ends, AttemptEnd(log.sent_to, True, "still without an answer")]
    hedge_log = AttemptLog(
        log.repeatable,
        ends,
        log.max_attempts,
        log.max_refusals,
        log.began_at_unix_seconds,
    )
    log.max_attempts = run_count + 1
    return hedge_log
