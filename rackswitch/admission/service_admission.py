"""One daemon's decisions about one service: send now, wait, or refuse.

A target's word is its last statement about its own load (`rackswitch.routing.reported_load`).
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from rackswitch.admission.concurrency import ConcurrencyLimit
from rackswitch.admission.decisions import (
    AdmissionRequest,
    RefusalCause,
    RefuseCall,
    SendCall,
    Ticket,
    WaitInQueue,
)
from rackswitch.admission.shares import MEMORY_SECONDS, DecayingRate, TenantShares
from rackswitch.admission.wait_queue import MAX_PASSED, WaitQueue
from rackswitch.requests import RetryBudget
from rackswitch.routing import TargetEstimate

__all__ = ["AdmissionDecision", "ServiceAdmission"]

FIRST_WORK_SECONDS = 0.05
"""Usual time of a kind of call before one was answered; about that of a look-up."""

WORK_SMOOTHING = 0.1
"""Weight of one call's time in the usual time of its kind: some ten calls count."""

WAIT_SHARE = 0.5
"""Part of the time to spare that the expected wait may take: what is expected is often off by a
factor of two."""

OVERTAKEN_WAIT_SHARE = 0.33
"""The same for calls that better ranks may still overtake."""

FIRST_RANK_CALLS = 0.5
"""A rank counts as the first unless a better one asked for more than this many usual calls lately
(older ones counting less)."""

FRESH_WORD_SECONDS = 0.05
"""How old a word of free slots may be: after about a call's time others have taken them."""

FREE_SHARE = 0.5
"""Part of a target's slots that has to be free to send beyond the limit. Fewer free ones are gaps
between the calls of all daemons, and using them would take them from better ranks."""

CROWDED_QUEUE_SHARE = 1.5
"""Waiting calls a slot of a target beyond which a call that has waited here is not sent there."""

FIRST_RANK_AHEAD_CALLS = 3.0
"""Calls that the first rank may go beyond the limit while worse ranks want room: these make up for
it, as the limit falls by what it costs."""

MIN_CROWDING = 0.3
"""Share of answers of full targets (`ConcurrencyLimit.crowding`) from which calls are refused."""

REFUSAL_LIFE_SECONDS = 0.1
"""How long a target's refusal counts as word of a crowd."""

MAX_TRIAL_CALLS = 2
"""Calls that are sent at once beyond the limit to learn whether targets take calls again."""

AdmissionDecision = SendCall | WaitInQueue | RefuseCall


@dataclass(slots=True)
class ServiceAdmission:
    """What one daemon knows of one service's room, and the calls that wait for it.

    Every call is asked for once and then is sent, leaves, or is refused; one that was sent has
    ended once.

    Attributes
    ----------
    limit : ConcurrencyLimit
        Calls at once.
    room : WaitQueue
        The calls that wait.
    retries : RetryBudget
        Repeats of failed calls, callers' and reward calls alike.
    work_seconds : dict of str to float
        Usual time at a target by kind of call.
    """

    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    room: WaitQueue = field(default_factory=WaitQueue)
    retries: RetryBudget = field(default_factory=RetryBudget)
    work_seconds: dict[str, float] = field(default_factory=dict)
    _shares: dict[int, TenantShares] = field(default_factory=dict)
    _wanted: dict[int, DecayingRate] = field(default_factory=dict)
    _target_count: int = 0

    def ask(
        self,
        want: AdmissionRequest,
        places: Sequence[TargetEstimate],
        draw: float,
        now_seconds: float,
    ) -> AdmissionDecision:
        """Decide about a call that has just come.

        Parameters
        ----------
        want : AdmissionRequest
            The call.
        places : sequence of TargetEstimate
            What is believed of the service's targets; none if nothing is known.
        draw : float
            Random, in [0, 1).
        now_seconds : float
            Monotonic clock.
        """
        self._target_count = len(places)
        work_seconds = self._work_seconds(want.kind)
        shares = self._shares.setdefault(want.rank, TenantShares())
        cause = self._cause(want, shares, draw, now_seconds)
        shares.asked(want.tenant, work_seconds, now_seconds)
        self._wanted_of(want.rank, now_seconds).add(work_seconds, now_seconds)
        if cause is None and self._goes_now(want, now_seconds):
            return self._send(want, now_seconds)
        if self._is_trial():
            return self._send(want, now_seconds)
        if self._is_uncrowded(now_seconds) and self.room.ahead_of(want) == 0:
            return self._send(want, now_seconds)
        wait_seconds = self._wait_seconds(want, now_seconds)
        if self._all_refused():
            # What becomes of the calls on trial decides about this one.
            cause = None if self.room.has_room(want) else RefusalCause.ROOM_FULL
        elif cause is None:
            cause = self._cause_not_to_wait(want, wait_seconds, now_seconds)
        if cause is None:
            return WaitInQueue(self.room.add(want), wait_seconds)
        if has_room_to_spare(places):
            # With half a target free, this takes room from nobody.
            return self._send(want, now_seconds)
        self._refused(want, cause, now_seconds)
        return RefuseCall(cause, wait_seconds)

    def ask_again(self, want: AdmissionRequest, now_seconds: float) -> AdmissionDecision:
        """Decide about a call that was sent and that a target did not begin.

        It waits as one that is back, until it cannot be answered within its aim. Where no target
        takes calls it is refused at once.
        """
        wait_seconds = self._wait_seconds(want, now_seconds)
        if now_seconds + self._work_seconds(want.kind) > want.deadline_seconds:
            return RefuseCall(RefusalCause.OUT_OF_TIME, wait_seconds)
        if self._takes_none():
            return RefuseCall(RefusalCause.ALL_REFUSE, wait_seconds)
        if not self.room.has_room(want):
            return RefuseCall(RefusalCause.ROOM_FULL, wait_seconds)
        return WaitInQueue(self.room.add(replace(want, is_back=True)), wait_seconds)

    def due(
        self, places: Sequence[TargetEstimate], now_seconds: float
    ) -> list[tuple[Ticket, SendCall | RefuseCall]]:
        """Take out the waiting calls that go now, in their order, and those that go no more.

        Those that go count as sent.
        """
        decided = self._out_of_time(places, now_seconds)
        if self._takes_none():
            return decided + self._refuse_waiting(now_seconds)
        while (rank := self.room.next_rank()) is not None:
            is_first = self._is_first(rank, now_seconds)
            ahead_calls = self._ahead_calls(rank, now_seconds)
            usual_seconds = self._usual_seconds()
            may_send = self.limit.may_send(usual_seconds, is_first, now_seconds, ahead_calls)
            if not may_send and not self._is_uncrowded(now_seconds):
                break
            taken = self.room.take(self.work_seconds, FIRST_WORK_SECONDS)
            if taken is None:
                break
            ticket, want = taken
            self._count_in(want, now_seconds)
            decided.append((ticket, SendCall()))
        return decided

    def _out_of_time(
        self, places: Sequence[TargetEstimate], now_seconds: float
    ) -> list[tuple[Ticket, SendCall | RefuseCall]]:
        """Take out the waiting calls that can wait no longer; they go where any target has room."""
        over = [
            (ticket, want)
            for ticket, want in self.room.waiting().items()
            if now_seconds >= self._latest_seconds(want)
        ]
        decided: list[tuple[Ticket, SendCall | RefuseCall]] = []
        for ticket, want in over:
            self.room.remove(ticket)
            is_of_use = now_seconds < want.deadline_seconds
            if is_of_use and (has_room_to_spare(places) or not are_crowded(places)):
                # It waited in place of being refused at once, when it could have gone elsewhere.
                decided.append((ticket, self._send(want, now_seconds)))
                continue
            self._refused(want, RefusalCause.OUT_OF_TIME, now_seconds)
            wait_seconds = self._wait_seconds(want, now_seconds)
            decided.append((ticket, RefuseCall(RefusalCause.OUT_OF_TIME, wait_seconds)))
        return decided

    def _refuse_waiting(self, now_seconds: float) -> list[tuple[Ticket, SendCall | RefuseCall]]:
        """Take all waiting calls out, as no target takes calls."""
        decided: list[tuple[Ticket, SendCall | RefuseCall]] = []
        for ticket, want in self.room.waiting().items():
            wait_seconds = self._wait_seconds(want, now_seconds)
            self.room.remove(ticket)
            decided.append((ticket, RefuseCall(RefusalCause.ALL_REFUSE, wait_seconds)))
        return decided

    def next_look_seconds(self, now_seconds: float) -> float:
        """Return when waiting calls go or expire without anything else happening."""
        waiting = self.room.waiting().values()
        if not waiting:
            return float("inf")
        expire_seconds = min(self._latest_seconds(want) for want in waiting)
        free_seconds = self.limit.free_at_seconds(self._usual_seconds(), now_seconds)
        return max(now_seconds, min(expire_seconds, free_seconds))

    def may_repeat(self, now_seconds: float) -> bool:
        """Return whether a call that failed may be sent again, and spend that retry."""
        self.retries.pass_time(now_seconds)
        return self.retries.try_spend()

    def repeat(self, want: AdmissionRequest, now_seconds: float) -> None:
        """Count a call in that is sent again at once after it failed."""
        self._count_in(want, now_seconds)

    def no_target(self) -> list[Ticket]:
        """Take all waiting calls out, as there is nobody to send them to; begin anew after that."""
        self.limit.restart()
        waiting = list(self.room.waiting())
        for ticket in waiting:
            self.room.remove(ticket)
        return waiting

    def left(self, ticket: Ticket) -> None:
        """Note that a waiting call's caller has gone."""
        self.room.remove(ticket)

    def ended(self, want: AdmissionRequest, took_seconds: float | None) -> None:
        """Note that a call that was sent has ended.

        Parameters
        ----------
        want : AdmissionRequest
            The call.
        took_seconds : float or None
            How long its target took; None if it gave no answer.
        """
        self.limit.ended()
        if took_seconds is None:
            return
        self.retries.note_request()
        usual_seconds = self._work_seconds(want.kind)
        usual_seconds += WORK_SMOOTHING * (took_seconds - usual_seconds)
        self.work_seconds[want.kind] = usual_seconds

    def target_refused(self, now_seconds: float) -> None:
        """Take in that a target had no room."""
        self.limit.refused(self._usual_seconds(), now_seconds)
        if self._all_refused():
            self.limit.restart()

    def oldest_wait_seconds(self, now_seconds: float) -> float:
        """Return how long the longest waiting call has waited; 0 if none waits."""
        arrived = [want.arrived_seconds for want in self.room.waiting().values()]
        return max(0.0, now_seconds - min(arrived)) if arrived else 0.0

    def served_shares(self, now_seconds: float) -> dict[str, float]:
        """Return each tenant's part of the work that was done lately, of all ranks."""
        totals: dict[str, float] = {}
        for shares in self._shares.values():
            for tenant, rate in shares.served.items():
                totals[tenant] = totals.get(tenant, 0.0) + rate.per_second(now_seconds)
        whole = sum(totals.values())
        return {tenant: rate / whole for tenant, rate in totals.items()} if whole > 0 else {}

    def _cause(
        self, want: AdmissionRequest, shares: TenantShares, draw: float, now_seconds: float
    ) -> RefusalCause | None:
        """Return whether a call is beyond its tenant's share while room is short."""
        if draw < shares.pass_share(want.tenant, now_seconds):
            return None
        if self.limit.is_idle:
            shares.left_room()
            if self.limit.is_told_free:
                # It takes nothing from anybody, however old that word is.
                return None
        return RefusalCause.OVER_SHARE

    def _all_refused(self) -> bool:
        """Return whether targets have refused as many calls as there are, and answered none."""
        return self.limit.refusals_since_answer >= max(1, self._target_count)

    def _takes_none(self) -> bool:
        """Return whether all targets refuse and none of them works on a call of this daemon."""
        return self._all_refused() and self.limit.in_flight == 0

    def _is_trial(self) -> bool:
        """Return whether a call is sent to learn whether targets that refused take calls again.

        They refuse at once, and may take the next call: no call is refused for what became of
        another one.
        """
        return self._all_refused() and self.limit.in_flight < MAX_TRIAL_CALLS

    def _is_uncrowded(self, now_seconds: float) -> bool:
        """Return whether no crowd is known and the limit has room, but for its spacing."""
        if self._all_refused() or self._is_crowd_known(now_seconds):
            return False
        return self.limit.in_flight < max(1.0, self.limit.limit)

    def _is_crowd_known(self, now_seconds: float) -> bool:
        """Return whether targets told lately that they are full, or one refused a call."""
        if self.limit.was_refused_since(now_seconds - REFUSAL_LIFE_SECONDS):
            return True
        return self.limit.crowding(now_seconds) > MIN_CROWDING

    def _goes_now(self, want: AdmissionRequest, now_seconds: float) -> bool:
        if self.room.ahead_of(want) > 0:
            return False
        is_first = self._is_first(want.rank, now_seconds)
        work_seconds = self._work_seconds(want.kind)
        ahead_calls = self._ahead_calls(want.rank, now_seconds)
        return self.limit.may_send(work_seconds, is_first, now_seconds, ahead_calls)

    def _cause_not_to_wait(
        self, want: AdmissionRequest, wait_seconds: float, now_seconds: float
    ) -> RefusalCause | None:
        if not self.room.has_room(want):
            return RefusalCause.ROOM_FULL
        spare_seconds = self._latest_seconds(want) - now_seconds
        is_first = self._is_first(want.rank, now_seconds)
        share = WAIT_SHARE if is_first else OVERTAKEN_WAIT_SHARE
        if wait_seconds > share * spare_seconds:
            return RefusalCause.WAIT_TOO_LONG
        return None

    def _send(self, want: AdmissionRequest, now_seconds: float) -> SendCall:
        self.room.went(want.rank)
        self._count_in(want, now_seconds)
        return SendCall()

    def _count_in(self, want: AdmissionRequest, now_seconds: float) -> None:
        work_seconds = self._work_seconds(want.kind)
        self.limit.sent(work_seconds, now_seconds)
        shares = self._shares.setdefault(want.rank, TenantShares())
        shares.sent(want.tenant, work_seconds, now_seconds)

    def _refused(self, want: AdmissionRequest, cause: RefusalCause, now_seconds: float) -> None:
        self.room.refused(want.rank)
        if cause is not RefusalCause.OVER_SHARE:
            self._shares.setdefault(want.rank, TenantShares()).found_no_room(now_seconds)

    def _wait_seconds(self, want: AdmissionRequest, now_seconds: float) -> float:
        """Return how long a call would probably wait, better ranks going before it."""
        work_seconds = self._work_seconds(want.kind)
        usual_seconds = self._usual_seconds()
        free_share = self._share_left(want.rank, now_seconds)
        is_first = self._is_first(want.rank, now_seconds)
        calls_at_once = self.limit.calls_at_once(is_first)
        first_seconds = min(
            self.limit.free_at_seconds(work_seconds, now_seconds) - now_seconds,
            work_seconds / calls_at_once,
        )
        ahead_seconds = self.room.ahead_of(want) * usual_seconds / calls_at_once
        return (first_seconds + ahead_seconds) / free_share

    def _share_left(self, rank: int, now_seconds: float) -> float:
        """Return the part of the limit that better ranks leave to a rank."""
        least = 1 / (MAX_PASSED + 1)
        if self.room.is_overdue(rank):
            return 1.0
        better = sum(
            rate.per_second(now_seconds) for other, rate in self._wanted.items() if other < rank
        )
        return max(least, 1.0 - better / self.limit.limit)

    def _is_first(self, rank: int, now_seconds: float) -> bool:
        """Return whether no better rank has wanted room lately, or it is this rank's turn."""
        if self.room.is_overdue(rank):
            return True
        return not any(other < rank for other in self._wanting_ranks(now_seconds))

    def _ahead_calls(self, rank: int, now_seconds: float) -> float:
        """Return how many calls a rank may go beyond the limit, as worse ones make room for it."""
        ranks = self._wanting_ranks(now_seconds)
        if any(other < rank for other in ranks) or not any(other > rank for other in ranks):
            return 0.0
        return FIRST_RANK_AHEAD_CALLS

    def _wanting_ranks(self, now_seconds: float) -> list[int]:
        """Return the ranks that wanted more than a call or so lately."""
        min_rate = FIRST_RANK_CALLS * self._usual_seconds() / MEMORY_SECONDS
        return [
            rank for rank, rate in self._wanted.items() if rate.per_second(now_seconds) > min_rate
        ]

    def _latest_seconds(self, want: AdmissionRequest) -> float:
        """Return when a call has to go to be answered in time."""
        work_seconds = self._work_seconds(want.kind)
        return min(want.aim_seconds, want.deadline_seconds) - work_seconds

    def _wanted_of(self, rank: int, now_seconds: float) -> DecayingRate:
        return self._wanted.setdefault(rank, DecayingRate(at_seconds=now_seconds))

    def _work_seconds(self, kind: str) -> float:
        return self.work_seconds.get(kind, FIRST_WORK_SECONDS)

    def _usual_seconds(self) -> float:
        """Return the usual time of any call."""
        if not self.work_seconds:
            return FIRST_WORK_SECONDS
        return sum(self.work_seconds.values()) / len(self.work_seconds)


def are_crowded(places: Sequence[TargetEstimate]) -> bool:
    """Return whether all targets have long queues, by words that still hold."""
    return bool(places) and all(
        place.waiting > CROWDED_QUEUE_SHARE * max(1, place.slots)
        and place.word_age_seconds <= FRESH_WORD_SECONDS
        for place in places
    )


def has_room_to_spare(places: Sequence[TargetEstimate]) -> bool:
    """Return whether a target is half free, by a word that still holds."""
    return any(
        place.free_slots >= FREE_SHARE * max(1, place.slots)
        and place.word_age_seconds <= FRESH_WORD_SECONDS
        for place in places
    )
