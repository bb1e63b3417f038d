"""Limit on the number of calls that one daemon has in flight at a service.

Many daemons share a few targets without talking to each other. Each daemon raises its limit while
targets answer without a queue, and lowers it when they report queues or refuse calls. A limit
below one spaces calls out in time, so that more daemons than slots can share the targets.

References
----------
Limits below one that become spacing are after "Swift: Delay is Simple and Effective for Congestion
Control in the Datacenter" (Kumar et al.; SIGCOMM 2020).
"""

import math
from dataclasses import dataclass

__all__ = ["ConcurrencyLimit"]

INITIAL_LIMIT = 4.0
"""Concurrent calls at a service before its first answer."""

MIN_LIMIT = 0.1
"""Lower bound of the limit; above 0, so that a daemon still sends some calls."""

MAX_LIMIT = 256.0
"""Upper bound of the limit."""

SPACING_THRESHOLD = 1.0
"""Below this limit calls are spaced out in time; from it on they are counted."""

QUEUE_CALLS_PER_SLOT = 0.5
"""Waiting calls per slot above which a target counts as having a queue; fewer only keep its slots
busy."""

HALF_FREE_BUSY_SHARE = 0.5
"""A target without a queue and with at most this share of its slots busy counts as half free."""

INCREASE_CALLS_PER_SECOND = 1.0
"""Increase of the limit while answers arrive without a queue. It depends on time and not on the
number of answers, so that all daemons converge to the same limit."""

MAX_INCREASE_INTERVAL_SECONDS = 0.5
"""Longest time between two answers that counts for the increase."""

INCREASE_FACTOR = 1.5
"""Factor on the limit for an answer of a target that is half free."""

QUEUE_DECREASE_FACTOR = 0.92
"""Factor on the limit for an answer of a target that has a queue."""

REFUSAL_DECREASE_FACTOR = 0.5
"""Factor on the limit for a refusal: the target's queue is full too."""

MIN_UTILIZATION = 0.5
"""While less than this share of a limit of 1 or more is in use, the limit does not rise."""

REFUSAL_DELAY_SHARE = 0.5
"""Delay after a refusal during which nothing is sent, as a share of a typical call's duration."""

MAX_REFUSAL_DELAY_SECONDS = 0.25
"""Upper bound of the delay after a refusal; with long calls, one of another daemon may end
sooner."""

SATURATION_EXPIRY_SECONDS = 1.0
"""After this time without a queue or refusal a limit below one is reset to one."""

MAX_CREDIT_SECONDS = 0.1
"""Most work that can be saved up while calls are spaced out."""

MAX_BORROWED_CALLS = 5.0
"""Calls of the top rank that may be sent ahead of the spacing; later calls wait longer for it."""

SATURATION_SMOOTHING = 0.3
"""Weight of one answer in the saturation."""

MIN_SATURATION_DECAY_SECONDS = 0.1
"""Lower bound of the saturation's decay time."""

SATURATION_DECAY_ANSWERS = 4.0
"""The saturation's decay time is at least this many typical intervals between answers, so that a
daemon with few calls remembers it from one answer to the next."""

ANSWER_INTERVAL_SMOOTHING = 0.1
"""Weight of one interval between two answers in the typical interval."""

INITIAL_ANSWER_INTERVAL_SECONDS = 0.05
"""Typical interval between answers before two were received."""

MAX_ANSWER_INTERVAL_SECONDS = 0.5
"""Longer intervals between answers count as this much: the daemon had no calls to send."""


@dataclass(slots=True)
class ConcurrencyLimit:
    """One daemon's concurrency limit for one service.

    Attributes
    ----------
    limit : float
        Maximum number of concurrent calls; below one, the share of the time in which one call may
        be in flight.
    in_flight : int
        Calls that were sent and have not ended.
    is_last_target_half_free : bool
        Whether the last target that answered reported that it was half free.
    refusals_since_answer : int
        Calls that targets refused since the last answer of any of them.
    """

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    is_last_target_half_free: bool = False
    refusals_since_answer: int = 0
    _credit_seconds: float = 0.0
    _credited_at_seconds: float = 0.0
    _saturated_at_seconds: float = float("-inf")
    _refused_at_seconds: float = float("-inf")
    _blocked_until_seconds: float = float("-inf")
    _increased_at_seconds: float = float("-inf")
    _is_decreased_since_answer: bool = False
    _saturation: float = 0.0
    _reported_at_seconds: float = 0.0
    _answer_interval_seconds: float = INITIAL_ANSWER_INTERVAL_SECONDS

    def may_send(
        self,
        work_seconds: float,
        is_top_rank: bool,
        now_seconds: float,
        extra_calls: float = 0.0,
    ) -> bool:
        """Return whether a call may be sent now.

        Parameters
        ----------
        work_seconds : float
            Its typical duration at a target.
        is_top_rank : bool
            Whether no rank with a higher priority is active.
        now_seconds : float
            Monotonic clock.
        extra_calls : float
            Calls allowed beyond a limit of one or more.
        """
        self._advance_clock(now_seconds)
        if now_seconds < self._blocked_until_seconds:
            return False
        if self.limit >= SPACING_THRESHOLD:
            return self.in_flight + 1 <= self.max_calls(is_top_rank) + extra_calls
        borrowed_seconds = MAX_BORROWED_CALLS * work_seconds if is_top_rank else 0.0
        return self._credit_seconds + borrowed_seconds >= min(work_seconds, MAX_CREDIT_SECONDS)

    def max_calls(self, is_top_rank: bool) -> float:
        """Return the maximum number of concurrent calls; one more for the top rank."""
        is_spaced = self.limit < SPACING_THRESHOLD
        return self.limit if is_spaced or not is_top_rank else self.limit + 1

    @property
    def is_underused(self) -> bool:
        """Whether less than half of a limit of one or more is in use."""
        return self.limit >= SPACING_THRESHOLD and self.in_flight < MIN_UTILIZATION * self.limit

    def _was_in_use(self) -> bool:
        """Return whether half of the limit was in use before the last call ended."""
        return self.limit < SPACING_THRESHOLD or self.in_flight + 1 >= MIN_UTILIZATION * self.limit

    def next_send_at_seconds(self, work_seconds: float, now_seconds: float) -> float:
        """Return when the next call may be sent; infinite if an answer has to come first."""
        self._advance_clock(now_seconds)
        if now_seconds < self._blocked_until_seconds:
            return self._blocked_until_seconds
        if self.limit >= SPACING_THRESHOLD:
            return now_seconds if self.in_flight + 1 <= self.limit else float("inf")
        missing_seconds = min(work_seconds, MAX_CREDIT_SECONDS) - self._credit_seconds
        return now_seconds + max(0.0, missing_seconds) / self.limit

    def record_send(self, work_seconds: float, now_seconds: float) -> None:
        """Count a call that was sent."""
        self._advance_clock(now_seconds)
        self.in_flight += 1
        if self.limit < SPACING_THRESHOLD:
            self._credit_seconds -= work_seconds

    def record_end(self) -> None:
        """Count a call that has ended, with or without an answer."""
        self.in_flight = max(0, self.in_flight - 1)

    def record_answer(self, running: float, waiting: float, slots: int, now_seconds: float) -> None:
        """Adjust the limit to the load that a target reported with its answer."""
        self._advance_clock(now_seconds)
        self._clear_refusals()
        if slots <= 0:
            return
        self._record_load_report(waiting > 0 or running >= slots, now_seconds)
        self.is_last_target_half_free = waiting == 0 and running <= HALF_FREE_BUSY_SHARE * slots
        if waiting > QUEUE_CALLS_PER_SLOT * slots:
            self._saturated_at_seconds = now_seconds
            self.limit = max(MIN_LIMIT, self.limit * QUEUE_DECREASE_FACTOR)
        elif self.limit > SPACING_THRESHOLD and not self._was_in_use():
            # An unused limit says nothing of capacity; raising it would admit a sudden burst.
            return
        elif self.is_last_target_half_free:
            self.limit = min(MAX_LIMIT, self.limit * INCREASE_FACTOR)
        else:
            self._increase_limit(now_seconds)

    def record_answer_without_report(self, now_seconds: float) -> None:
        """Adjust the limit to an answer without a load report."""
        self._clear_refusals()
        if not self._was_in_use():
            return
        if now_seconds >= self._saturated_at_seconds + SATURATION_EXPIRY_SECONDS:
            self.limit = min(MAX_LIMIT, self.limit * INCREASE_FACTOR)
        else:
            self._increase_limit(now_seconds)

    def record_refusal(self, typical_seconds: float, now_seconds: float) -> None:
        """Lower the limit after a target refused a call.

        Refusals within a typical call's duration count once. The limit is lowered only once until a
        target answers, since targets that refuse everything do not show their capacity.
        """
        self._advance_clock(now_seconds)
        self._saturated_at_seconds = now_seconds
        self.is_last_target_half_free = False
        self.refusals_since_answer += 1
        if now_seconds < self._refused_at_seconds + typical_seconds:
            return
        self._refused_at_seconds = now_seconds
        self._blocked_until_seconds = now_seconds + REFUSAL_DELAY_SHARE * typical_seconds
        if not self._is_decreased_since_answer:
            self._is_decreased_since_answer = True
            self.limit = max(MIN_LIMIT, self.limit * REFUSAL_DECREASE_FACTOR)

    def saturation(self, now_seconds: float) -> float:
        """Return the share of recent answers that reported a full target, in [0, 1].

        It decays with the age of the answers.
        """
        age_seconds = max(0.0, now_seconds - self._reported_at_seconds)
        decay_seconds = max(
            MIN_SATURATION_DECAY_SECONDS, SATURATION_DECAY_ANSWERS * self._answer_interval_seconds
        )
        return self._saturation * math.exp(-age_seconds / decay_seconds)

    def was_refused_since(self, since_seconds: float) -> bool:
        """Return whether a target has refused a call since this time."""
        return self._refused_at_seconds >= since_seconds

    def restart(self) -> None:
        """Lower the limit to one call at most, after no target was available."""
        self.limit = min(self.limit, SPACING_THRESHOLD)

    def _clear_refusals(self) -> None:
        self.refusals_since_answer = 0
        self._is_decreased_since_answer = False

    def _record_load_report(self, is_full: bool, now_seconds: float) -> None:
        """Update the saturation with one answer's load report."""
        saturation = self.saturation(now_seconds)
        interval_seconds = max(
            0.0, min(MAX_ANSWER_INTERVAL_SECONDS, now_seconds - self._reported_at_seconds)
        )
        self._answer_interval_seconds += ANSWER_INTERVAL_SMOOTHING * (
            interval_seconds - self._answer_interval_seconds
        )
        self._reported_at_seconds = now_seconds
        self._saturation = saturation + SATURATION_SMOOTHING * (is_full - saturation)

    def _increase_limit(self, now_seconds: float) -> None:
        """Increase the limit by the time since the last increase."""
        elapsed_seconds = max(0.0, now_seconds - self._increased_at_seconds)
        self._increased_at_seconds = now_seconds
        increase_calls = INCREASE_CALLS_PER_SECOND * min(
            MAX_INCREASE_INTERVAL_SECONDS, elapsed_seconds
        )
        self.limit = min(MAX_LIMIT, self.limit + increase_calls)

    def _advance_clock(self, now_seconds: float) -> None:
        """Add credit for the time passed, and let saturation expire.

        A clock that jumps removes no credit and adds no more than `MAX_CREDIT_SECONDS`.
        """
        elapsed_seconds = max(0.0, now_seconds - self._credited_at_seconds)
        self._credited_at_seconds = now_seconds
        earned_seconds = self.limit * elapsed_seconds
        self._credit_seconds = min(MAX_CREDIT_SECONDS, self._credit_seconds + earned_seconds)
        self._saturated_at_seconds = min(self._saturated_at_seconds, now_seconds)
        self._refused_at_seconds = min(self._refused_at_seconds, now_seconds)
        self._reported_at_seconds = min(self._reported_at_seconds, now_seconds)
        max_blocked_until_seconds = now_seconds + MAX_REFUSAL_DELAY_SECONDS
        self._blocked_until_seconds = min(self._blocked_until_seconds, max_blocked_until_seconds)
        if (
            self.limit < SPACING_THRESHOLD
            and now_seconds >= self._saturated_at_seconds + SATURATION_EXPIRY_SECONDS
        ):
            self.limit = SPACING_THRESHOLD
