"""How many calls one daemon has at a service at once.

Many daemons stand before few targets and do not talk to each other: each one raises its limit
while targets take its calls without a queue, and lowers it when they tell of queues or refuse. A
limit below one spaces calls out in time, so that far more daemons than places can share them.

References
----------
Limits below one that become spacing are after "Swift: Delay is Simple and Effective for Congestion
Control in the Datacenter" (Kumar et al.; SIGCOMM 2020).
"""

import math
from dataclasses import dataclass

__all__ = ["ConcurrencyLimit"]

FIRST_LIMIT = 4.0
"""Calls at once before anything is known of a service."""

MIN_LIMIT = 0.1
"""Calls at once; above 0, so that a daemon never stops trying."""

MAX_LIMIT = 256.0
"""Calls at once."""

SPACED_BELOW = 1.0
"""Below it calls are spaced out; from it on they are counted."""

QUEUE_SHARE = 0.5
"""Waiting calls a slot of a target: more count as a queue, fewer only keep its slots busy."""

FREE_SHARE = 0.5
"""A target with at most this share of its slots taken, and no queue, counts as half free."""

RAISE_CALLS_PER_SECOND = 1.0
"""Added to the limit while answers come without a queue. By time and not for each answer, so that
daemons with low limits rise as fast as others and all come to the same limit."""

MAX_RAISE_SECONDS = 0.5
"""Most time between two answers that raises the limit; of a longer pause nothing is known."""

RAISE_FACTOR = 1.5
"""The limit is multiplied by it for an answer of a target that is half free."""

LOWER_FACTOR = 0.92
"""The limit is multiplied by it for an answer of a target that has a queue."""

REFUSED_FACTOR = 0.5
"""The limit is multiplied by it for a refusal: the queue behind the slots is full too."""

IN_USE_SHARE = 0.5
"""With less than this share of a limit of 1 or more in use, it is not the limit that holds calls
back, so answers say nothing of whether it may rise."""

CLOSED_SHARE = 0.5
"""After a refusal nothing is sent for this share of a usual call's time, so that some call may have
ended by then."""

MAX_CLOSED_SECONDS = 0.25
"""Most of that pause: where calls take long, one of another daemon may end sooner."""

FADE_SECONDS = 1.0
"""After so long without a queue or refusal a limit below one goes back to one."""

CREDIT_SECONDS = 0.1
"""Most work that may be saved up while calls are spaced out: about one or two usual calls."""

BORROWED_CALLS = 5.0
"""Calls of the first rank that may go ahead of their spacing; later calls wait longer for that."""

CROWDING_SMOOTHING = 0.3
"""Weight of one answer in the crowding: some three count."""

CROWDING_LIFE_SECONDS = 0.1
"""Least time over which the crowding fades: within a few calls' time others may have ended."""

CROWDING_LIFE_ANSWERS = 4.0
"""It fades over at least the time in which so many answers usually come, so that a daemon that
sends few calls does not forget a crowd between two of them."""

GAP_SMOOTHING = 0.1
"""Weight of one time between two answers in the usual one."""

FIRST_GAP_SECONDS = 0.05
"""Usual time between two answers before two were heard."""

MAX_GAP_SECONDS = 0.5
"""Longer times between two answers count as this much: there was nothing to ask for."""


@dataclass(slots=True)
class ConcurrencyLimit:
    """One daemon's limit for one service.

    Attributes
    ----------
    limit : float
        Calls at once; below one, the share of the time in which one may be there.
    in_flight : int
        Calls that are there.
    is_told_free : bool
        Whether the last target that answered told that it was half free.
    refusals_since_answer : int
        Calls that targets refused since the last answer of one of them.
    """

    limit: float = FIRST_LIMIT
    in_flight: int = 0
    is_told_free: bool = False
    refusals_since_answer: int = 0
    _credit_seconds: float = 0.0
    _credited_at_seconds: float = 0.0
    _crowded_at_seconds: float = float("-inf")
    _refused_at_seconds: float = float("-inf")
    _closed_until_seconds: float = float("-inf")
    _raised_at_seconds: float = float("-inf")
    _is_lowered_since_answer: bool = False
    _crowding: float = 0.0
    _told_at_seconds: float = 0.0
    _gap_seconds: float = FIRST_GAP_SECONDS

    def may_send(
        self,
        work_seconds: float,
        is_first_rank: bool,
        now_seconds: float,
        ahead_calls: float = 0.0,
    ) -> bool:
        """Return whether a call may go now.

        Parameters
        ----------
        work_seconds : float
            Its usual time at a target.
        is_first_rank : bool
            Whether no other rank goes before its own.
        now_seconds : float
            Monotonic clock.
        ahead_calls : float
            Calls that it may go beyond a limit of one or more.
        """
        self._pass_time(now_seconds)
        if now_seconds < self._closed_until_seconds:
            return False
        if self.limit >= SPACED_BELOW:
            return self.in_flight + 1 <= self.calls_at_once(is_first_rank) + ahead_calls
        borrowed_seconds = BORROWED_CALLS * work_seconds if is_first_rank else 0.0
        return self._credit_seconds + borrowed_seconds >= min(work_seconds, CREDIT_SECONDS)

    def calls_at_once(self, is_first_rank: bool) -> float:
        """Return how many calls may be there at once; one more where no rank goes before them."""
        is_spaced = self.limit < SPACED_BELOW
        return self.limit if is_spaced or not is_first_rank else self.limit + 1

    @property
    def is_idle(self) -> bool:
        """Whether less than half of a limit of one or more is in use."""
        return self.limit >= SPACED_BELOW and self.in_flight < IN_USE_SHARE * self.limit

    def _was_in_use(self) -> bool:
        """Return whether half of the limit was in use, with the call that has just ended."""
        return self.limit < SPACED_BELOW or self.in_flight + 1 >= IN_USE_SHARE * self.limit

    def free_at_seconds(self, work_seconds: float, now_seconds: float) -> float:
        """Return when spacing lets a call go; infinite if an answer has to come first."""
        self._pass_time(now_seconds)
        if now_seconds < self._closed_until_seconds:
            return self._closed_until_seconds
        if self.limit >= SPACED_BELOW:
            return now_seconds if self.in_flight + 1 <= self.limit else float("inf")
        missing_seconds = min(work_seconds, CREDIT_SECONDS) - self._credit_seconds
        return now_seconds + max(0.0, missing_seconds) / self.limit

    def sent(self, work_seconds: float, now_seconds: float) -> None:
        """Count a call in."""
        self._pass_time(now_seconds)
        self.in_flight += 1
        if self.limit < SPACED_BELOW:
            self._credit_seconds -= work_seconds

    def ended(self) -> None:
        """Count a call out, however it ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def answered(self, running: float, waiting: float, slots: int, now_seconds: float) -> None:
        """Take in how full a target was that answered."""
        self._pass_time(now_seconds)
        self._note_answer()
        if slots <= 0:
            return
        self._note_word(waiting > 0 or running >= slots, now_seconds)
        self.is_told_free = waiting == 0 and running <= FREE_SHARE * slots
        if waiting > QUEUE_SHARE * slots:
            self._crowded_at_seconds = now_seconds
            self.limit = max(MIN_LIMIT, self.limit * LOWER_FACTOR)
        elif self.limit > SPACED_BELOW and not self._was_in_use():
            # What is not used shows nothing, and would let a sudden crowd of calls go at once.
            return
        elif self.is_told_free:
            self.limit = min(MAX_LIMIT, self.limit * RAISE_FACTOR)
        else:
            self._raise(now_seconds)

    def answered_untold(self, now_seconds: float) -> None:
        """Take in that a target answered that does not tell how full it is."""
        self._note_answer()
        if not self._was_in_use():
            return
        if now_seconds >= self._crowded_at_seconds + FADE_SECONDS:
            self.limit = min(MAX_LIMIT, self.limit * RAISE_FACTOR)
        else:
            self._raise(now_seconds)

    def refused(self, usual_seconds: float, now_seconds: float) -> None:
        """Take in that a target refused; several refusals of one moment count once.

        Without an answer between them all count once: targets that take nothing tell nothing of
        how many calls they have room for once they do.
        """
        self._pass_time(now_seconds)
        self._crowded_at_seconds = now_seconds
        self.is_told_free = False
        self.refusals_since_answer += 1
        if now_seconds < self._refused_at_seconds + usual_seconds:
            return
        self._refused_at_seconds = now_seconds
        self._closed_until_seconds = now_seconds + CLOSED_SHARE * usual_seconds
        if not self._is_lowered_since_answer:
            self._is_lowered_since_answer = True
            self.limit = max(MIN_LIMIT, self.limit * REFUSED_FACTOR)

    def crowding(self, now_seconds: float) -> float:
        """Return the share of answers that told lately of a full target, fading with their age.

        Between 0, nobody is known to be full, and 1.
        """
        age_seconds = max(0.0, now_seconds - self._told_at_seconds)
        life_seconds = max(CROWDING_LIFE_SECONDS, CROWDING_LIFE_ANSWERS * self._gap_seconds)
        return self._crowding * math.exp(-age_seconds / life_seconds)

    def was_refused_since(self, since_seconds: float) -> bool:
        """Return whether a target has refused a call since then."""
        return self._refused_at_seconds >= since_seconds

    def restart(self) -> None:
        """Begin anew after targets were gone: one call tries what there is."""
        self.limit = min(self.limit, SPACED_BELOW)

    def _note_answer(self) -> None:
        self.refusals_since_answer = 0
        self._is_lowered_since_answer = False

    def _note_word(self, is_full: bool, now_seconds: float) -> None:
        """Take in whether a target that answered had no free slot."""
        crowding = self.crowding(now_seconds)
        gap_seconds = max(0.0, min(MAX_GAP_SECONDS, now_seconds - self._told_at_seconds))
        self._gap_seconds += GAP_SMOOTHING * (gap_seconds - self._gap_seconds)
        self._told_at_seconds = now_seconds
        self._crowding = crowding + CROWDING_SMOOTHING * (is_full - crowding)

    def _raise(self, now_seconds: float) -> None:
        """Add what the time since the last answer without a queue allows."""
        since_seconds = max(0.0, now_seconds - self._raised_at_seconds)
        self._raised_at_seconds = now_seconds
        raise_calls = RAISE_CALLS_PER_SECOND * min(MAX_RAISE_SECONDS, since_seconds)
        self.limit = min(MAX_LIMIT, self.limit + raise_calls)

    def _pass_time(self, now_seconds: float) -> None:
        """Let time pass; a clock that steps back or far ahead neither takes nor gives credit."""
        passed_seconds = max(0.0, now_seconds - self._credited_at_seconds)
        self._credited_at_seconds = now_seconds
        gained_seconds = self.limit * passed_seconds
        self._credit_seconds = min(CREDIT_SECONDS, self._credit_seconds + gained_seconds)
        self._crowded_at_seconds = min(self._crowded_at_seconds, now_seconds)
        self._refused_at_seconds = min(self._refused_at_seconds, now_seconds)
        self._told_at_seconds = min(self._told_at_seconds, now_seconds)
        max_closed_seconds = now_seconds + MAX_CLOSED_SECONDS
        self._closed_until_seconds = min(self._closed_until_seconds, max_closed_seconds)
        if self.limit < SPACED_BELOW and now_seconds >= self._crowded_at_seconds + FADE_SECONDS:
            self.limit = SPACED_BELOW
