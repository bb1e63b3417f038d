"""One daemon's admission decisions for one service: send now, wait, or refuse.

Estimates of the targets come from their load reports (`rackswitch.routing.reported_load`).
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
from rackswitch.admission.shares import RATE_DECAY_SECONDS, DecayingRate, TenantShares
from rackswitch.admission.wait_queue import MAX_OVERTAKES, WaitQueue
from rackswitch.requests import RetryBudget
from rackswitch.routing import TargetEstimate

__all__ = ["AdmissionDecision", "ServiceAdmission"]

INITIAL_WORK_SECONDS = 0.05
"""Typical duration of a kind of call before its first answer."""

WORK_SMOOTHING = 0.1
"""Weight of one call's duration in the typical duration of its kind."""

MAX_WAIT_SHARE = 0.5
"""Part of the spare time that the expected wait may take; expected waits are often off by a factor
of two."""

MAX_OVERTAKEN_WAIT_SHARE = 0.33
"""The same for calls that higher ranks may still overtake."""

MIN_ACTIVE_RANK_CALLS = 0.5
"""A rank is active while its recent demand, which decays with time, is above this many typical
calls."""

MAX_LOAD_REPORT_AGE_SECONDS = 0.05
"""Maximum age of a load report of free slots: after about a call's duration others have taken
them."""

MIN_FREE_SLOT_SHARE = 0.5
"""Part of a target's slots that has to be free to send beyond the limit. Fewer free slots are only
intervals between the calls of all daemons, and using them would delay higher ranks."""

SATURATED_QUEUE_CALLS_PER_SLOT = 1.5
"""Waiting calls per slot of a target above which a call that has waited here is not sent there."""

TOP_RANK_EXTRA_CALLS = 3.0
"""Calls that the top rank may send beyond the limit while lower ranks have demand; these wait
longer in turn, as the limit falls."""

SATURATION_THRESHOLD = 0.3
"""Share of answers of full targets (`ConcurrencyLimit.saturation`) above which calls are
refused."""

REFUSAL_EXPIRY_SECONDS = 0.1
"""How long a target's refusal counts as a sign of saturation."""

MAX_PROBE_CALLS = 2
"""Concurrent calls that probe whether targets that refused accept calls again."""

AdmissionDecision = SendCall | WaitInQueue | RefuseCall


@dataclass(slots=True)
class ServiceAdmission:
    """One daemon's admission control for one service, with the calls that wait for it.

    Each call is asked for once and is then sent, abandoned by its caller, or refused. Each call
    that was sent ends once.

    Attributes
    ----------
    limit : ConcurrencyLimit
        Limit on concurrent calls.
    queue : WaitQueue
        The waiting calls.
    retries : RetryBudget
        Retries of failed calls, of callers and reward calls together.
    work_seconds : dict of str to float
        Typical duration at a target by kind of call.
    """

    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    queue: WaitQueue = field(default_factory=WaitQueue)
    retries: RetryBudget = field(default_factory=RetryBudget)
    work_seconds: dict[str, float] = field(default_factory=dict)
    _shares: dict[int, TenantShares] = field(default_factory=dict)
    _demand: dict[int, DecayingRate] = field(default_factory=dict)
    _target_count: int = 0

    def decide(
        self,
        request: AdmissionRequest,
        estimates: Sequence[TargetEstimate],
        draw: float,
        now_seconds: float,
    ) -> AdmissionDecision:
        """Decide about a call that has just arrived.

        Parameters
        ----------
        request : AdmissionRequest
            The call.
        estimates : sequence of TargetEstimate
            Load estimates of the service's targets; empty if nothing is known.
        draw : float
            Random number in [0, 1).
        now_seconds : float
            Monotonic clock.
        """
        self._target_count = len(estimates)
        work_seconds = self._work_seconds(request.kind)
        shares = self._shares.setdefault(request.rank, TenantShares())
        cause = self._over_share_cause(request, shares, draw, now_seconds)
        shares.record_demand(request.tenant, work_seconds, now_seconds)
        self._demand_of(request.rank, now_seconds).add(work_seconds, now_seconds)
        if cause is None and self._may_send_now(request, now_seconds):
            return self._send(request, now_seconds)
        if self._is_probe():
            return self._send(request, now_seconds)
        if self._may_skip_spacing(now_seconds) and self.queue.count_ahead_of(request) == 0:
            return self._send(request, now_seconds)
        wait_seconds = self._expected_wait_seconds(request, now_seconds)
        if self._all_targets_refused():
            # It waits for the result of the probe calls.
            cause = None if self.queue.has_capacity_for(request) else RefusalCause.QUEUE_FULL
        elif cause is None:
            cause = self._queue_refusal_cause(request, wait_seconds, now_seconds)
        if cause is None:
            return WaitInQueue(self.queue.add(request), wait_seconds)
        if has_spare_capacity(estimates):
            # With half a target free, no other call is delayed.
            return self._send(request, now_seconds)
        self._record_refusal(request, cause, now_seconds)
        return RefuseCall(cause, wait_seconds)

    def decide_again(self, request: AdmissionRequest, now_seconds: float) -> AdmissionDecision:
        """Decide about a call that was sent and that a target did not begin.

        It waits as a retry, until it cannot meet its latency target. It is refused at once if no
        target accepts calls.
        """
        wait_seconds = self._expected_wait_seconds(request, now_seconds)
        if now_seconds + self._work_seconds(request.kind) > request.deadline_seconds:
            return RefuseCall(RefusalCause.OUT_OF_TIME, wait_seconds)
        if self._no_target_accepts():
            return RefuseCall(RefusalCause.ALL_TARGETS_REFUSE, wait_seconds)
        if not self.queue.has_capacity_for(request):
            return RefuseCall(RefusalCause.QUEUE_FULL, wait_seconds)
        return WaitInQueue(self.queue.add(replace(request, is_retry=True)), wait_seconds)

    def pop_due(
        self, estimates: Sequence[TargetEstimate], now_seconds: float
    ) -> list[tuple[Ticket, SendCall | RefuseCall]]:
        """Remove the waiting calls that are sent now, in their order, and those that are refused.

        Calls to be sent are recorded as sent.
        """
        decisions = self._pop_expired(estimates, now_seconds)
        if self._no_target_accepts():
            return decisions + self._refuse_all_waiting(now_seconds)
        while (rank := self.queue.next_rank()) is not None:
            is_top_rank = self._is_top_rank(rank, now_seconds)
            extra_calls = self._extra_calls(rank, now_seconds)
            typical_seconds = self._typical_work_seconds()
            may_send = self.limit.may_send(typical_seconds, is_top_rank, now_seconds, extra_calls)
            if not may_send and not self._may_skip_spacing(now_seconds):
                break
            popped = self.queue.pop(self.work_seconds, INITIAL_WORK_SECONDS)
            if popped is None:
                break
            ticket, request = popped
            self._record_send(request, now_seconds)
            decisions.append((ticket, SendCall()))
        return decisions

    def _pop_expired(
        self, estimates: Sequence[TargetEstimate], now_seconds: float
    ) -> list[tuple[Ticket, SendCall | RefuseCall]]:
        """Remove the calls that cannot wait longer; send them unless targets are saturated."""
        expired = [
            (ticket, request)
            for ticket, request in self.queue.waiting_requests().items()
            if now_seconds >= self._latest_send_seconds(request)
        ]
        decisions: list[tuple[Ticket, SendCall | RefuseCall]] = []
        for ticket, request in expired:
            self.queue.remove(ticket)
            is_before_deadline = now_seconds < request.deadline_seconds
            if is_before_deadline and (
                has_spare_capacity(estimates) or not are_saturated(estimates)
            ):
                # Its caller has waited and has no time left to go elsewhere.
                decisions.append((ticket, self._send(request, now_seconds)))
                continue
            self._record_refusal(request, RefusalCause.OUT_OF_TIME, now_seconds)
            wait_seconds = self._expected_wait_seconds(request, now_seconds)
            decisions.append((ticket, RefuseCall(RefusalCause.OUT_OF_TIME, wait_seconds)))
        return decisions

    def _refuse_all_waiting(self, now_seconds: float) -> list[tuple[Ticket, SendCall | RefuseCall]]:
        """Remove all waiting calls, as no target accepts calls."""
        decisions: list[tuple[Ticket, SendCall | RefuseCall]] = []
        for ticket, request in self.queue.waiting_requests().items():
            wait_seconds = self._expected_wait_seconds(request, now_seconds)
            self.queue.remove(ticket)
            decisions.append((ticket, RefuseCall(RefusalCause.ALL_TARGETS_REFUSE, wait_seconds)))
        return decisions

    def next_check_at_seconds(self, now_seconds: float) -> float:
        """Return when the next waiting call can be sent or expires."""
        waiting = self.queue.waiting_requests().values()
        if not waiting:
            return float("inf")
        expiry_seconds = min(self._latest_send_seconds(request) for request in waiting)
        next_send_seconds = self.limit.next_send_at_seconds(
            self._typical_work_seconds(), now_seconds
        )
        return max(now_seconds, min(expiry_seconds, next_send_seconds))

    def try_spend_retry(self, now_seconds: float) -> bool:
        """Return whether a failed call may be retried, and spend that retry."""
        self.retries.refill(now_seconds)
        return self.retries.try_spend()

    def record_retry(self, request: AdmissionRequest, now_seconds: float) -> None:
        """Record that a failed call is sent again at once."""
        self._record_send(request, now_seconds)

    def remove_all_waiting(self) -> list[Ticket]:
        """Remove and return all waiting calls, as the service has no target."""
        self.limit.restart()
        waiting = list(self.queue.waiting_requests())
        for ticket in waiting:
            self.queue.remove(ticket)
        return waiting

    def remove_waiting(self, ticket: Ticket) -> None:
        """Remove a waiting call whose caller has disconnected."""
        self.queue.remove(ticket)

    def record_end(self, request: AdmissionRequest, took_seconds: float | None) -> None:
        """Record the end of a call that was sent.

        Parameters
        ----------
        request : AdmissionRequest
            The call.
        took_seconds : float or None
            How long its target took; None if it gave no answer.
        """
        self.limit.record_end()
        if took_seconds is None:
            return
        self.retries.record_request()
        typical_seconds = self._work_seconds(request.kind)
        typical_seconds += WORK_SMOOTHING * (took_seconds - typical_seconds)
        self.work_seconds[request.kind] = typical_seconds

    def record_refusal(self, now_seconds: float) -> None:
        """Record that a target refused a call for lack of capacity."""
        self.limit.record_refusal(self._typical_work_seconds(), now_seconds)
        if self._all_targets_refused():
            self.limit.restart()

    def oldest_wait_seconds(self, now_seconds: float) -> float:
        """Return how long the oldest waiting call has waited; 0 if none waits."""
        arrival_times = [
            request.arrived_seconds for request in self.queue.waiting_requests().values()
        ]
        return max(0.0, now_seconds - min(arrival_times)) if arrival_times else 0.0

    def served_shares(self, now_seconds: float) -> dict[str, float]:
        """Return each tenant's part of the recently served work, over all ranks."""
        totals: dict[str, float] = {}
        for shares in self._shares.values():
            for tenant, rate in shares.served.items():
                totals[tenant] = totals.get(tenant, 0.0) + rate.per_second(now_seconds)
        total = sum(totals.values())
        return {tenant: rate / total for tenant, rate in totals.items()} if total > 0 else {}

    def _over_share_cause(
        self, request: AdmissionRequest, shares: TenantShares, draw: float, now_seconds: float
    ) -> RefusalCause | None:
        """Return OVER_SHARE if a call exceeds its tenant's share while capacity is short."""
        if draw < shares.admitted_share(request.tenant, now_seconds):
            return None
        if self.limit.is_underused:
            shares.record_unused_capacity()
            if self.limit.is_last_target_half_free:
                # It delays no other call, however old that load report is.
                return None
        return RefusalCause.OVER_SHARE

    def _all_targets_refused(self) -> bool:
        """Return whether there were at least as many refusals as targets since an answer."""
        return self.limit.refusals_since_answer >= max(1, self._target_count)

    def _no_target_accepts(self) -> bool:
        """Return whether all targets refused and no call is in flight."""
        return self._all_targets_refused() and self.limit.in_flight == 0

    def _is_probe(self) -> bool:
        """Return whether to send a call as a probe of targets that refused calls.

        They refuse without delay and may accept the next call, so no call is refused because of
        another one's refusal.
        """
        return self._all_targets_refused() and self.limit.in_flight < MAX_PROBE_CALLS

    def _may_skip_spacing(self, now_seconds: float) -> bool:
        """Return whether the service is unsaturated and the limit not reached."""
        if self._all_targets_refused() or self._is_saturated(now_seconds):
            return False
        return self.limit.in_flight < max(1.0, self.limit.limit)

    def _is_saturated(self, now_seconds: float) -> bool:
        """Return whether targets recently reported to be full, or one refused."""
        if self.limit.was_refused_since(now_seconds - REFUSAL_EXPIRY_SECONDS):
            return True
        return self.limit.saturation(now_seconds) > SATURATION_THRESHOLD

    def _may_send_now(self, request: AdmissionRequest, now_seconds: float) -> bool:
        if self.queue.count_ahead_of(request) > 0:
            return False
        is_top_rank = self._is_top_rank(request.rank, now_seconds)
        work_seconds = self._work_seconds(request.kind)
        extra_calls = self._extra_calls(request.rank, now_seconds)
        return self.limit.may_send(work_seconds, is_top_rank, now_seconds, extra_calls)

    def _queue_refusal_cause(
        self, request: AdmissionRequest, wait_seconds: float, now_seconds: float
    ) -> RefusalCause | None:
        if not self.queue.has_capacity_for(request):
            return RefusalCause.QUEUE_FULL
        spare_seconds = self._latest_send_seconds(request) - now_seconds
        is_top_rank = self._is_top_rank(request.rank, now_seconds)
        share = MAX_WAIT_SHARE if is_top_rank else MAX_OVERTAKEN_WAIT_SHARE
        if wait_seconds > share * spare_seconds:
            return RefusalCause.WAIT_TOO_LONG
        return None

    def _send(self, request: AdmissionRequest, now_seconds: float) -> SendCall:
        self.queue.record_send(request.rank)
        self._record_send(request, now_seconds)
        return SendCall()

    def _record_send(self, request: AdmissionRequest, now_seconds: float) -> None:
        work_seconds = self._work_seconds(request.kind)
        self.limit.record_send(work_seconds, now_seconds)
        shares = self._shares.setdefault(request.rank, TenantShares())
        shares.record_send(request.tenant, work_seconds, now_seconds)

    def _record_refusal(
        self, request: AdmissionRequest, cause: RefusalCause, now_seconds: float
    ) -> None:
        self.queue.record_refusal(request.rank)
        if cause is not RefusalCause.OVER_SHARE:
            self._shares.setdefault(request.rank, TenantShares()).record_shortage(now_seconds)

    def _expected_wait_seconds(self, request: AdmissionRequest, now_seconds: float) -> float:
        """Return a call's expected wait, with higher ranks going before it."""
        work_seconds = self._work_seconds(request.kind)
        typical_seconds = self._typical_work_seconds()
        limit_share = self._remaining_limit_share(request.rank, now_seconds)
        is_top_rank = self._is_top_rank(request.rank, now_seconds)
        max_calls = self.limit.max_calls(is_top_rank)
        slot_wait_seconds = min(
            self.limit.next_send_at_seconds(work_seconds, now_seconds) - now_seconds,
            work_seconds / max_calls,
        )
        queue_wait_seconds = self.queue.count_ahead_of(request) * typical_seconds / max_calls
        return (slot_wait_seconds + queue_wait_seconds) / limit_share

    def _remaining_limit_share(self, rank: int, now_seconds: float) -> float:
        """Return the part of the limit that higher ranks leave to a rank."""
        min_share = 1 / (MAX_OVERTAKES + 1)
        if self.queue.is_overdue(rank):
            return 1.0
        higher_rate = sum(
            rate.per_second(now_seconds)
            for other_rank, rate in self._demand.items()
            if other_rank < rank
        )
        return max(min_share, 1.0 - higher_rate / self.limit.limit)

    def _is_top_rank(self, rank: int, now_seconds: float) -> bool:
        """Return whether no higher rank is active, or the rank is overdue."""
        if self.queue.is_overdue(rank):
            return True
        return not any(other_rank < rank for other_rank in self._active_ranks(now_seconds))

    def _extra_calls(self, rank: int, now_seconds: float) -> float:
        """Return how many calls a rank may send beyond the limit."""
        ranks = self._active_ranks(now_seconds)
        if any(other_rank < rank for other_rank in ranks) or not any(
            other_rank > rank for other_rank in ranks
        ):
            return 0.0
        return TOP_RANK_EXTRA_CALLS

    def _active_ranks(self, now_seconds: float) -> list[int]:
        """Return the ranks with recent demand."""
        min_rate = MIN_ACTIVE_RANK_CALLS * self._typical_work_seconds() / RATE_DECAY_SECONDS
        return [
            rank for rank, rate in self._demand.items() if rate.per_second(now_seconds) > min_rate
        ]

    def _latest_send_seconds(self, request: AdmissionRequest) -> float:
        """Return the latest time to send a call within its latency target."""
        work_seconds = self._work_seconds(request.kind)
        return min(request.latency_target_at_seconds, request.deadline_seconds) - work_seconds

    def _demand_of(self, rank: int, now_seconds: float) -> DecayingRate:
        return self._demand.setdefault(rank, DecayingRate(at_seconds=now_seconds))

    def _work_seconds(self, kind: str) -> float:
        return self.work_seconds.get(kind, INITIAL_WORK_SECONDS)

    def _typical_work_seconds(self) -> float:
        """Return the typical duration over all kinds of call."""
        if not self.work_seconds:
            return INITIAL_WORK_SECONDS
        return sum(self.work_seconds.values()) / len(self.work_seconds)


def are_saturated(estimates: Sequence[TargetEstimate]) -> bool:
    """Return whether all targets report long queues, by recent load reports."""
    return bool(estimates) and all(
        estimate.waiting > SATURATED_QUEUE_CALLS_PER_SLOT * max(1, estimate.slots)
        and estimate.report_age_seconds <= MAX_LOAD_REPORT_AGE_SECONDS
        for estimate in estimates
    )


def has_spare_capacity(estimates: Sequence[TargetEstimate]) -> bool:
    """Return whether a target is half free, by a recent load report."""
    return any(
        estimate.free_slots >= MIN_FREE_SLOT_SHARE * max(1, estimate.slots)
        and estimate.report_age_seconds <= MAX_LOAD_REPORT_AGE_SECONDS
        for estimate in estimates
    )
