"""Simulated load: many daemons before four targets, with three ways to share them.

Calls arrive at random daemons; targets have slots and a short queue, and report their load with
each answer. The decisions are those of the product code, on a simulated clock.
"""

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from rackswitch.admission import (
    REWARD_RANK,
    AdmissionRequest,
    RefuseCall,
    SendCall,
    ServiceAdmission,
    Ticket,
    WaitInQueue,
)
from rackswitch.admission.patience import PatienceEstimate
from rackswitch.admission.service_admission import has_spare_capacity
from rackswitch.admission.shares import fair_rate
from rackswitch.requests import retry_delay_seconds
from rackswitch.routing import TargetEstimate

WORK_SECONDS = 0.033
REWARD_WORK_SECONDS = 0.107
WORK_SIGMA = 0.5
NETWORK_SECONDS = 0.001
LATENCY_TARGET_SECONDS = 0.179
DEADLINE_SECONDS = 0.804
REWARD_DEADLINE_SECONDS = 2.0
REWARD_BURST = 56
REWARD_BURST_PERIOD_SECONDS = 4.0
REWARD_RETRY_SECONDS = 0.1
RANKS = (0, 1, 2)
RANK_WEIGHTS = (0.3, 0.4, 0.3)
LARGE_TENANT_WEIGHTS = (10, 10, 20, 20, 30, 40, 40, 70)
"""How many times a small tenant's calls the first tenants send."""
LOAD_REPORT_DECAY_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.02
MAX_POLL_ATTEMPTS = 11
IMMEDIATE_SECONDS = 0.02
SHORTAGE_SHARE = 0.05


@dataclass(slots=True)
class Sizes:
    daemons: int = 77
    tenants: int = 88
    targets: int = 4
    slots: int = 6
    queue: int = 20

    @property
    def work_per_second(self) -> float:
        return float(self.targets * self.slots)


@dataclass(slots=True)
class SimulatedCall:
    """One caller's call with all of its attempts."""

    number: int
    kind: str
    tenant: str
    rank: int
    work_seconds: float
    first_arrival_seconds: float
    deadline_seconds: float
    attempts: int = 0
    arrived_seconds: float = 0.0
    run_count: int = 0


@dataclass(slots=True)
class Target:
    """A target; `pace` is how many times longer than typical its calls take."""

    sizes: Sizes
    pace: float = 1.0
    running: int = 0
    is_unavailable: bool = False
    queue: list[tuple[SimulatedCall, Callable[[], None]]] = field(default_factory=list)


@dataclass(slots=True)
class TargetReport:
    """A daemon's last load report of a target."""

    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    at_seconds: float = float("-inf")
    sent_since_report: int = 0


@dataclass(slots=True)
class Results:
    """Outcomes of the simulated calls."""

    served: list[tuple[SimulatedCall, float]] = field(default_factory=list)
    refused_after_seconds: list[float] = field(default_factory=list)
    refused_while_half_free: int = 0
    refused_while_shown_free: int = 0
    failed: list[SimulatedCall] = field(default_factory=list)
    run_twice: int = 0
    burst_seconds: list[float] = field(default_factory=list)


class Simulation:
    """One run of the load; subclasses define how a daemon handles a call."""

    def __init__(self, load: float, seed: int, seconds: float, sizes: Sizes | None = None):
        self.sizes = sizes or Sizes()
        self.rng = random.Random(seed)
        self.now_seconds = 0.0
        self.end_seconds = seconds
        self.load = load
        self.targets = [Target(self.sizes) for _ in range(self.sizes.targets)]
        self.results = Results()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0
        self.tenants = [f"t{n}" for n in range(self.sizes.tenants)]
        self.tenant_weights = [1] * self.sizes.tenants
        self.tenant_weights[: len(LARGE_TENANT_WEIGHTS)] = LARGE_TENANT_WEIGHTS
        self.has_reward_bursts = True
        self.rank_weights = RANK_WEIGHTS

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self._last_number += 1
        heapq.heappush(self._events, (seconds, self._last_number, action))

    def run(self) -> Results:
        self._schedule_next_call()
        if self.has_reward_bursts:
            self.schedule(REWARD_BURST_PERIOD_SECONDS / 2, self._start_reward_burst)
        while self._events:
            self.now_seconds, _, action = heapq.heappop(self._events)
            if self.now_seconds > self.end_seconds + REWARD_DEADLINE_SECONDS:
                break
            action()
        return self.results

    def draw_work_seconds(self, mean_seconds: float) -> float:
        return mean_seconds * math.exp(self.rng.gauss(-(WORK_SIGMA**2) / 2, WORK_SIGMA))

    def _schedule_next_call(self) -> None:
        reward_work_per_second = REWARD_BURST * REWARD_WORK_SECONDS / REWARD_BURST_PERIOD_SECONDS
        work_per_second = (
            self.load * self.sizes.work_per_second - reward_work_per_second * self.has_reward_bursts
        )
        self.schedule(
            self.now_seconds + self.rng.expovariate(work_per_second / WORK_SECONDS),
            self._start_call,
        )

    def _start_call(self) -> None:
        if self.now_seconds > self.end_seconds:
            return
        self._schedule_next_call()
        tenant = self.rng.choices(self.tenants, self.tenant_weights)[0]
        rank = self.rng.choices(RANKS, self.rank_weights)[0]
        call = SimulatedCall(
            self._last_number,
            f"check-{rank}",
            tenant,
            rank,
            self.draw_work_seconds(WORK_SECONDS),
            self.now_seconds,
            self.now_seconds + DEADLINE_SECONDS,
        )
        self._attempt(call, self.rng.randrange(self.sizes.daemons))

    def _start_reward_burst(self) -> None:
        if self.now_seconds > self.end_seconds:
            return
        self.schedule(self.now_seconds + REWARD_BURST_PERIOD_SECONDS, self._start_reward_burst)
        daemon = self.rng.randrange(self.sizes.daemons)
        remaining_calls = [REWARD_BURST]
        began_at_seconds = self.now_seconds
        for _ in range(REWARD_BURST):
            self._last_number += 1
            call = SimulatedCall(
                self._last_number,
                "reward",
                "",
                REWARD_RANK,
                self.draw_work_seconds(REWARD_WORK_SECONDS),
                self.now_seconds,
                float("inf"),
            )
            self._try_reward_call(call, daemon, remaining_calls, began_at_seconds)

    def _try_reward_call(
        self, call: SimulatedCall, daemon: int, remaining_calls: list[int], began_at_seconds: float
    ) -> None:
        call.deadline_seconds = self.now_seconds + REWARD_DEADLINE_SECONDS
        call.arrived_seconds = self.now_seconds

        def on_served() -> None:
            remaining_calls[0] -= 1
            if remaining_calls[0] == 0:
                self.results.burst_seconds.append(self.now_seconds - began_at_seconds)

        def on_refused(_: float) -> None:
            self.schedule(
                self.now_seconds + REWARD_RETRY_SECONDS,
                lambda: self._try_reward_call(call, daemon, remaining_calls, began_at_seconds),
            )

        self.serve(call, daemon, on_served, on_refused)

    def _attempt(self, call: SimulatedCall, daemon: int) -> None:
        call.attempts += 1
        call.arrived_seconds = self.now_seconds

        def on_served() -> None:
            self.results.served.append((call, self.now_seconds))

        def on_refused(retry_after_seconds: float) -> None:
            self.results.refused_after_seconds.append(self.now_seconds - call.arrived_seconds)
            busy_slots = sum(target.running for target in self.targets)
            has_queue = any(target.queue for target in self.targets)
            available_slots = (
                sum(not target.is_unavailable for target in self.targets) * self.sizes.slots
            )
            self.results.refused_while_half_free += (
                available_slots > 0
                and not has_queue
                and busy_slots < available_slots / 2
                and self.now_seconds < self.end_seconds
            )
            remaining_seconds = call.deadline_seconds - self.now_seconds
            if call.attempts >= 2:
                self.results.failed.append(call)
                return
            retry_at_seconds = (
                self.now_seconds
                + min(retry_after_seconds, remaining_seconds / 3)
                + 2 * NETWORK_SECONDS
            )
            other_daemon = self.rng.randrange(self.sizes.daemons)
            self.schedule(retry_at_seconds, lambda: self._attempt(call, other_daemon))

        self.serve(call, daemon, on_served, on_refused)

    def serve(self, call, daemon, on_served, on_refused) -> None:
        raise NotImplementedError

    def send_to_target(
        self, target_index: int, call: SimulatedCall, on_answer, on_not_begun
    ) -> None:
        """Let a call arrive at a target."""
        target = self.targets[target_index]

        def arrive() -> None:
            if target.is_unavailable or (
                target.running >= self.sizes.slots and len(target.queue) >= self.sizes.queue
            ):
                self.schedule(self.now_seconds + NETWORK_SECONDS, on_not_begun)
                return
            call.run_count += 1
            self.results.run_twice += call.run_count > 1
            if target.running < self.sizes.slots:
                self._run_on_target(target, call, on_answer)
            else:
                target.queue.append((call, on_answer))

        self.schedule(self.now_seconds + NETWORK_SECONDS, arrive)

    def _run_on_target(self, target: Target, call: SimulatedCall, on_answer) -> None:
        target.running += 1

        def on_done() -> None:
            target.running -= 1
            if target.queue:
                self._run_on_target(target, *target.queue.pop(0))
            load_report = (target.running, len(target.queue), target.pace)
            self.schedule(self.now_seconds + NETWORK_SECONDS, lambda: on_answer(*load_report))

        self.schedule(self.now_seconds + call.work_seconds * target.pace, on_done)


class PollingSimulation(Simulation):
    """Without a queue: a refused call is sent again after an interval, in no order."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.in_flight = [[0] * self.sizes.targets for _ in range(self.sizes.daemons)]

    def serve(self, call, daemon, on_served, on_refused) -> None:
        in_flight = self.in_flight[daemon]
        attempt_count = [0]

        def send() -> None:
            candidates = self.rng.sample(range(self.sizes.targets), 2)
            target_index = min(candidates, key=in_flight.__getitem__)
            in_flight[target_index] += 1
            attempt_count[0] += 1

            def on_answer(running, waiting, pace) -> None:
                in_flight[target_index] -= 1
                on_served()

            def on_not_begun() -> None:
                in_flight[target_index] -= 1
                if (
                    attempt_count[0] >= MAX_POLL_ATTEMPTS
                    or self.now_seconds >= call.deadline_seconds
                ):
                    on_refused(retry_delay_seconds(WORK_SECONDS, call.rank, self.rng.random()))
                else:
                    self.schedule(self.now_seconds + POLL_INTERVAL_SECONDS, send)

            self.send_to_target(target_index, call, on_answer, on_not_begun)

        send()


class IdealSimulation(Simulation):
    """One queue for all daemons with complete knowledge: by rank, then by deadline."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.waiting: list = []

    def serve(self, call, daemon, on_served, on_refused) -> None:
        heapq.heappush(
            self.waiting,
            (call.rank, call.deadline_seconds, self._last_number, call, on_served, on_refused),
        )
        self._last_number += 1
        self._fill()
        entry = next((other for other in self.waiting if other[3] is call), None)
        if entry is None:
            return
        ahead_count = sum(other < entry for other in self.waiting) + 1
        wait_seconds = ahead_count * WORK_SECONDS / self.sizes.work_per_second
        latency_target_seconds = (
            LATENCY_TARGET_SECONDS if call.rank != REWARD_RANK else REWARD_DEADLINE_SECONDS
        )
        if wait_seconds > latency_target_seconds - WORK_SECONDS:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
            on_refused(retry_delay_seconds(0.1, call.rank, self.rng.random()))

    def _fill(self) -> None:
        while self.waiting:
            free_indices = [n for n, t in enumerate(self.targets) if t.running < self.sizes.slots]
            if not free_indices:
                return
            _, _, _, call, on_served, on_refused = heapq.heappop(self.waiting)
            latency_target_seconds = (
                LATENCY_TARGET_SECONDS if call.rank != REWARD_RANK else REWARD_DEADLINE_SECONDS
            )
            if self.now_seconds + WORK_SECONDS > call.arrived_seconds + latency_target_seconds:
                on_refused(retry_delay_seconds(0.1, call.rank, self.rng.random()))
                continue

            def on_answer(running, waiting, pace, on_served=on_served) -> None:
                on_served()
                self._fill()

            target = self.targets[min(free_indices, key=lambda n: self.targets[n].running)]
            self._run_on_target(target, call, on_answer)


class AdmissionSimulation(Simulation):
    """The product code's decisions, one `ServiceAdmission` per daemon."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.admissions = [ServiceAdmission() for _ in range(self.sizes.daemons)]
        self.patience_estimates = [PatienceEstimate() for _ in range(self.sizes.daemons)]
        self.waiting_calls: list[dict[Ticket, tuple]] = [{} for _ in range(self.sizes.daemons)]
        self.next_check_seconds = [float("inf")] * self.sizes.daemons
        self.reports = [
            [TargetReport() for _ in range(self.sizes.targets)] for _ in range(self.sizes.daemons)
        ]

    def estimates(self, daemon: int) -> list[TargetEstimate]:
        return [
            self._estimate(target_index, report)
            for target_index, report in enumerate(self.reports[daemon])
        ]

    def _estimate(self, target_index: int, report: TargetReport) -> TargetEstimate:
        age_seconds = self.now_seconds - report.at_seconds
        decay = math.exp(-age_seconds / LOAD_REPORT_DECAY_SECONDS)
        running = min(float(self.sizes.slots), report.running * decay + report.sent_since_report)
        return TargetEstimate(
            str(target_index),
            self.sizes.slots,
            running,
            report.waiting * decay,
            report.pace,
            WORK_SECONDS,
            age_seconds,
            2 * NETWORK_SECONDS,
        )

    def serve(self, call, daemon, on_served, on_refused) -> None:
        admission = self.admissions[daemon]
        remaining_seconds = call.deadline_seconds - self.now_seconds
        latency_target_seconds = (
            LATENCY_TARGET_SECONDS if call.rank != REWARD_RANK else REWARD_DEADLINE_SECONDS
        )
        request = AdmissionRequest(
            str(call.number),
            call.kind,
            call.tenant,
            call.rank,
            1000,
            self.now_seconds,
            min(self.now_seconds + latency_target_seconds, call.deadline_seconds),
            call.deadline_seconds,
            self.patience_estimates[daemon].record_and_check_retry(call.kind, remaining_seconds),
        )
        estimates = self.estimates(daemon)
        decision = admission.decide(request, estimates, self.rng.random(), self.now_seconds)
        self._apply_decision(daemon, call, request, decision, on_served, on_refused)

    def _apply_decision(self, daemon, call, request, decision, on_served, on_refused) -> None:
        if isinstance(decision, SendCall):
            self._send(daemon, call, request, on_served, on_refused)
        elif isinstance(decision, WaitInQueue):
            self.waiting_calls[daemon][decision.ticket] = (call, request, on_served, on_refused)
            self._schedule_check(daemon)
        else:
            self._refuse(daemon, call, decision, on_refused)

    def _refuse(self, daemon, call, decision: RefuseCall, on_refused) -> None:
        self.results.refused_while_shown_free += has_spare_capacity(self.estimates(daemon))
        base_seconds = max(0.1, decision.wait_seconds)
        on_refused(retry_delay_seconds(base_seconds, min(call.rank, 9), self.rng.random()))

    def _send(self, daemon, call, request, on_served, on_refused) -> None:
        admission = self.admissions[daemon]
        candidates = self.rng.sample(self.estimates(daemon), 2)
        estimate = min(candidates, key=lambda estimate: estimate.finish_seconds(1.0, WORK_SECONDS))
        target_index = int(estimate.instance)
        report = self.reports[daemon][target_index]
        report.sent_since_report += 1
        began_at_seconds = self.now_seconds

        def on_answer(running, waiting, pace) -> None:
            self.reports[daemon][target_index] = TargetReport(
                running, waiting, pace, self.now_seconds
            )
            admission.record_end(request, self.now_seconds - began_at_seconds)
            admission.limit.record_answer(running, waiting, self.sizes.slots, self.now_seconds)
            on_served()
            self._apply_due_decisions(daemon)

        def on_not_begun() -> None:
            self.reports[daemon][target_index] = TargetReport(
                6, self.sizes.queue, report.pace, self.now_seconds
            )
            admission.record_end(request, None)
            admission.record_refusal(self.now_seconds)
            self._apply_decision(
                daemon,
                call,
                request,
                admission.decide_again(request, self.now_seconds),
                on_served,
                on_refused,
            )
            self._apply_due_decisions(daemon)

        self.send_to_target(target_index, call, on_answer, on_not_begun)

    def _apply_due_decisions(self, daemon: int) -> None:
        admission = self.admissions[daemon]
        for ticket, decision in admission.pop_due(self.estimates(daemon), self.now_seconds):
            call, request, on_served, on_refused = self.waiting_calls[daemon].pop(ticket)
            self._apply_decision(daemon, call, request, decision, on_served, on_refused)
        self._schedule_check(daemon)

    def _schedule_check(self, daemon: int) -> None:
        check_at_seconds = self.admissions[daemon].next_check_at_seconds(self.now_seconds)
        if (
            check_at_seconds == float("inf")
            or self.now_seconds < self.next_check_seconds[daemon] <= check_at_seconds
        ):
            return
        check_at_seconds = max(check_at_seconds, self.now_seconds + 1e-4)
        self.next_check_seconds[daemon] = check_at_seconds

        def check() -> None:
            if self.next_check_seconds[daemon] == check_at_seconds:
                self.next_check_seconds[daemon] = float("inf")
                self._apply_due_decisions(daemon)

        self.schedule(check_at_seconds, check)


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of a run without its warm-up.

    Attributes
    ----------
    goodput : float
        Work answered within its latency target, counted from the served attempt, over capacity.
    served : dict of int to float
        Share of each rank's calls that were answered.
    in_time : dict of int to float
        Share of each rank's calls answered within the latency target from the first attempt.
    jain : float
        Fairness of the work done for the tenants that asked for more than their share.
    """

    goodput: float
    served: dict[int, float]
    in_time: dict[int, float]
    first_rank_p99_seconds: float
    jain: float
    refused_at_once_share: float
    refused_while_half_free: int
    refused_while_shown_free: int
    run_twice: int
    longest_burst_seconds: float


def summarize(simulation: Simulation, warm_seconds: float = 3.0) -> Figures:
    results = simulation.results
    served_calls = [
        (call, served_at_seconds)
        for call, served_at_seconds in results.served
        if warm_seconds <= call.first_arrival_seconds
    ]
    failed_calls = [call for call in results.failed if warm_seconds <= call.first_arrival_seconds]
    duration_seconds = simulation.end_seconds - warm_seconds
    capacity_work = simulation.sizes.work_per_second * duration_seconds
    good_work = sum(
        call.work_seconds
        for call, served_at_seconds in served_calls
        if served_at_seconds - call.arrived_seconds <= LATENCY_TARGET_SECONDS
    )
    reward_work = (
        REWARD_WORK_SECONDS
        * REWARD_BURST
        * len(results.burst_seconds)
        * (duration_seconds / simulation.end_seconds)
    )
    ranks = sorted({call.rank for call, _ in served_calls} | {call.rank for call in failed_calls})
    in_time_shares, served_shares = {}, {}
    for rank in ranks:
        rank_calls = [
            (call, served_at_seconds)
            for call, served_at_seconds in served_calls
            if call.rank == rank
        ]
        rank_count = len(rank_calls) + sum(call.rank == rank for call in failed_calls)
        served_shares[rank] = len(rank_calls) / rank_count
        in_time_shares[rank] = (
            sum(
                served_at_seconds - call.first_arrival_seconds <= LATENCY_TARGET_SECONDS
                for call, served_at_seconds in rank_calls
            )
            / rank_count
        )
    first_rank_seconds = [
        served_at_seconds - call.arrived_seconds
        for call, served_at_seconds in served_calls
        if call.rank == 0
    ]
    return Figures(
        (good_work + reward_work) / capacity_work,
        served_shares,
        in_time_shares,
        percentile(first_rank_seconds, 0.99),
        _jain(served_calls, failed_calls),
        _share(results.refused_after_seconds, IMMEDIATE_SECONDS),
        results.refused_while_half_free,
        results.refused_while_shown_free,
        results.run_twice,
        max(results.burst_seconds, default=0.0),
    )


def _share(values: list[float], max_value: float) -> float:
    return sum(value <= max_value for value in values) / len(values) if values else 1.0


def percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _jain(
    served_calls: list[tuple[SimulatedCall, float]], failed_calls: list[SimulatedCall]
) -> float:
    """Return Jain's index of the work done for tenants that asked for more than their share.

    Ranks have priority over shares, so this is the lowest index of the ranks with a shortage.
    """
    ranks = {call.rank for call in failed_calls}
    indices = [1.0]
    for rank in ranks:
        rank_served = [call for call, _ in served_calls if call.rank == rank]
        rank_failed = [call for call in failed_calls if call.rank == rank]
        if len(rank_failed) > SHORTAGE_SHARE * (len(rank_served) + len(rank_failed)):
            indices.append(_jain_of(rank_served, rank_failed))
    return min(indices)


def _jain_of(served_calls: list[SimulatedCall], failed_calls: list[SimulatedCall]) -> float:
    served_work: dict[str, float] = {call.tenant: 0.0 for call in (*served_calls, *failed_calls)}
    demand = dict(served_work)
    for call in served_calls:
        served_work[call.tenant] += call.work_seconds
    for call in (*served_calls, *failed_calls):
        demand[call.tenant] += call.work_seconds
    fair_share = fair_rate(list(demand.values()), sum(served_work.values()))
    limited_work = [served_work[tenant] for tenant, work in demand.items() if work > fair_share]
    squares = sum(value**2 for value in limited_work)
    return sum(limited_work) ** 2 / (len(limited_work) * squares) if squares > 0 else 1.0
