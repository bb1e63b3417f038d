"""Estimates the load and pace of each target, at one daemon.

A `ReportedLoad` is a target's statement about its own load. A pace is how many times longer than
typical work takes at a target: 1 is typical, 2 half as fast. A log residual is the logarithm of a
request's observed time divided by the time that reports alone predicted.

Inputs, each with its time, are load reports, sends and ends of this daemon's requests, their
durations, and refusals. Outputs are target estimates, among which `rackswitch.routing.placing`
chooses.
"""

import math
from collections.abc import Set
from dataclasses import dataclass, field
from enum import Enum

from rackswitch.routing.directory import ListedTarget
from rackswitch.routing.regions import PathClass
from rackswitch.routing.reported_load import ReportedLoad
from rackswitch.routing.target_estimates import TargetEstimate

__all__ = ["LoadEstimator", "SentRequest", "WorkKind"]

MIN_LOAD_DECAY_SECONDS = 1.0
"""Minimum time constant with which the reported requests of other daemons decay. It also applies
where requests are shorter: as requests end, other daemons send new ones."""

PACE_NOISE_DECAY_SECONDS = 0.3
"""Mean duration of a reported pace's deviation from the average. Such deviations come from other
load on the target's VM."""

PACE_AVERAGING_SECONDS = 2.0
"""Time constant of a target's average pace, several times `PACE_NOISE_DECAY_SECONDS` so that noise
averages out."""

AVERAGE_PACE_DECAY_SECONDS = 10.0
"""Time constant with which an average pace, without new reports, decays towards the best of the
service, so that a target that was slow is tried again."""

RESIDUAL_AVERAGING_SECONDS = 1.0
"""Time constant of the average of log residuals."""

RESIDUAL_DECAY_SECONDS = 3.0
"""Time constant with which a log residual decays, so that a target that was slower than it reported
is tried again."""

MAX_SAMPLE_WEIGHT = 0.3
"""Maximum weight of one observation, however long ago the previous one was."""

MAX_LOG_RESIDUAL = math.log(8.0)
"""Bound on how far observations may correct a report, in both directions."""

FAILURE_LOG_RESIDUAL = math.log(8.0)
"""Log residual of a failed request, which has to be repeated."""

RUN_TIME_SMOOTHING = 0.05
"""Weight of one request in a service's typical time."""

PIECE_TIME_SMOOTHING = 0.005
"""Weight of one piece in a service's typical time of a piece. A text has many pieces, and one text
must not dominate the average."""

DEFAULT_SLOTS = 4
"""Slots of a target that neither reports nor lists them."""


class WorkKind(Enum):
    """What a request's work is counted in."""

    CALL = "call"
    TEXT = "text"


INITIAL_UNIT_SECONDS = {WorkKind.CALL: 0.05, WorkKind.TEXT: 0.04}
"""Time of a call, or of a piece of a text, before the first observation."""

INITIAL_RUN_SECONDS = {WorkKind.CALL: 0.05, WorkKind.TEXT: 0.9}
"""Time of a complete request before the first observation."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request of this daemon that has been sent and has not ended.

    Attributes
    ----------
    start, service : str
        Where it was sent.
    kind : WorkKind
        What its work is counted in.
    estimate : TargetEstimate
        The target's estimate without this request.
    log_correction : float
        Logarithm of the part of the estimated pace that came from observations, not from reports.
    expected_seconds : float
        Estimated time of a typical request there.
    sent_at_seconds : float
        When it was sent (monotonic).
    """

    start: str
    service: str
    kind: WorkKind
    estimate: TargetEstimate
    log_correction: float
    expected_seconds: float
    sent_at_seconds: float

    def log_ratio_so_far(self, now_seconds: float) -> float:
        """Return the log residual of a typical request that ended now."""
        took_seconds = max(1e-4, now_seconds - self.sent_at_seconds)
        return math.log(took_seconds / self.expected_seconds) + self.log_correction


@dataclass(slots=True)
class _LoadEstimate:
    """State of one start of a target.

    Attributes
    ----------
    reported : ReportedLoad or None
        The last load report.
    own_requests : int
        Requests of this daemon that are there.
    pending : list of SentRequest
        The calls among them, oldest first.
    own_at_report : int
        This daemon's requests that were there when the last report came, which counts them too.
    average_pace : float or None
        Moving average of the reported paces; None before the first report with a pace.
    log_residual : float
        Moving average of the log residuals, at `residual_updated_at_seconds`.
    """

    reported: ReportedLoad | None = None
    own_requests: int = 0
    pending: list[SentRequest] = field(default_factory=list)
    own_at_report: int = 0
    average_pace: float | None = None
    pace_reported_at_seconds: float = float("-inf")
    refused_at_seconds: float = float("-inf")
    log_residual: float = 0.0
    residual_updated_at_seconds: float = float("-inf")

    def report_age_seconds(self, now_seconds: float) -> float:
        """Return the age of the last report; infinite if there is none."""
        if self.reported is None:
            return math.inf
        return max(0.0, now_seconds - self.reported.received_at_seconds)

    def log_residual_at(self, now_seconds: float) -> float:
        """Return the average log residual, decayed to the given time."""
        age_seconds = now_seconds - self.residual_updated_at_seconds
        return self.log_residual * math.exp(-max(0.0, age_seconds) / RESIDUAL_DECAY_SECONDS)

    def overdue_log_ratio(self, now_seconds: float) -> float:
        """Return the log residual of the oldest pending call if it ended now.

        It detects a stalled target, which sends no reports and whose calls do not end.
        """
        if not self.pending:
            return -math.inf
        return min(MAX_LOG_RESIDUAL, self.pending[0].log_ratio_so_far(now_seconds))

    def log_correction_at(self, now_seconds: float) -> float:
        """Return the logarithm of the factor by which observations correct the reported pace."""
        return max(self.log_residual_at(now_seconds), self.overdue_log_ratio(now_seconds))

    def record_residual(self, log_ratio: float, now_seconds: float) -> None:
        """Update the average log residual with one observation."""
        before = self.log_residual_at(now_seconds)
        elapsed_seconds = max(0.0, now_seconds - self.residual_updated_at_seconds)
        weight = min(MAX_SAMPLE_WEIGHT, 1 - math.exp(-elapsed_seconds / RESIDUAL_AVERAGING_SECONDS))
        bounded = max(-MAX_LOG_RESIDUAL, min(MAX_LOG_RESIDUAL, log_ratio))
        self.log_residual = before + weight * (bounded - before)
        self.residual_updated_at_seconds = now_seconds


@dataclass(slots=True)
class _ServiceEstimate:
    """State that all targets of a service share.

    Attributes
    ----------
    reports_pace : bool
        Whether one of them has reported its pace.
    unit_seconds : dict of WorkKind to float
        Typical time of a call, or of a piece of a text, at pace 1.
    run_seconds : dict of WorkKind to float
        Typical time of a complete request at pace 1.
    average_paces : dict of str to float
        Average pace, by start.
    best_pace : float
        Minimum of the average paces; 1 if there is none.
    """

    reports_pace: bool = False
    unit_seconds: dict[WorkKind, float] = field(default_factory=INITIAL_UNIT_SECONDS.copy)
    run_seconds: dict[WorkKind, float] = field(default_factory=INITIAL_RUN_SECONDS.copy)
    average_paces: dict[str, float] = field(default_factory=dict)
    best_pace: float = 1.0

    def record_average_pace(self, start: str, pace: float) -> None:
        """Store the average pace of a start and update the best one."""
        before = self.average_paces.get(start)
        self.average_paces[start] = pace
        if len(self.average_paces) == 1 or pace <= self.best_pace:
            self.best_pace = pace
        elif before == self.best_pace:
            self.best_pace = min(self.average_paces.values())

    def forget(self, start: str) -> None:
        """Remove the pace of a start that has left."""
        if self.average_paces.pop(start, None) is not None:
            self.best_pace = min(self.average_paces.values(), default=1.0)


@dataclass(slots=True)
class LoadEstimator:
    """Estimates of the targets' load, by start of a target.

    Another start under the same identity is another target and inherits nothing.

    Attributes
    ----------
    excludes_paths : bool
        Whether typical times are recorded without the network round trip, which differs between
        the targets of several regions.
    """

    excludes_paths: bool = False
    _loads: dict[str, _LoadEstimate] = field(default_factory=dict)
    _services: dict[str, _ServiceEstimate] = field(default_factory=dict)

    def reports_pace(self, service: str) -> bool:
        """Return whether a target of a service has reported its pace."""
        shared = self._services.get(service)
        return shared is not None and shared.reports_pace

    def typical_run_seconds(self, service: str, kind: WorkKind) -> float:
        """Return the typical time of a complete request of a service at pace 1."""
        shared = self._services.get(service)
        return shared.run_seconds[kind] if shared is not None else INITIAL_RUN_SECONDS[kind]

    def record_report(self, start: str, service: str, reported: ReportedLoad) -> None:
        """Record a target's load report, which includes this daemon's requests there."""
        load = self._load(start)
        if (
            load.reported is not None
            and reported.received_at_seconds < load.reported.received_at_seconds
        ):
            return
        if reported.pace is not None:
            self._update_average_pace(load, reported, reported.pace)
            shared = self._service(service)
            shared.reports_pace = True
            shared.record_average_pace(start, load.average_pace or reported.pace)
        load.reported = reported
        load.own_at_report = load.own_requests

    def record_refusal(self, start: str, now_seconds: float) -> None:
        """Record that a target refused a request, which overrides its last report."""
        self._load(start).refused_at_seconds = now_seconds

    def record_send(
        self, target: ListedTarget, kind: WorkKind, estimate: TargetEstimate, now_seconds: float
    ) -> SentRequest:
        """Record the send of a request of this daemon."""
        load = self._load(target.start)
        load.own_requests += 1
        run_seconds = self.typical_run_seconds(target.service, kind)
        sent = SentRequest(
            start=target.start,
            service=target.service,
            kind=kind,
            estimate=estimate,
            log_correction=load.log_correction_at(now_seconds),
            expected_seconds=estimate.finish_seconds(1.0, run_seconds),
            sent_at_seconds=now_seconds,
        )
        if kind is WorkKind.CALL:
            load.pending.append(sent)
        return sent

    def record_end(self, sent: SentRequest, continues_unobserved: bool = False) -> None:
        """Record the end of a request of this daemon, whatever its result.

        Parameters
        ----------
        sent : SentRequest
            The request.
        continues_unobserved : bool, optional
            Whether the target still works on it, unobserved by this daemon. It then counts as a
            request of another daemon until the report that includes it has decayed.
        """
        load = self._loads.get(sent.start)
        if load is None:
            return
        load.own_requests = max(0, load.own_requests - 1)
        load.pending = [other for other in load.pending if other is not sent]
        if continues_unobserved:
            load.own_at_report = max(0, load.own_at_report - 1)

    def record_completion(self, sent: SentRequest, units: float, now_seconds: float) -> None:
        """Update the estimates with the duration of a served request.

        Parameters
        ----------
        sent : SentRequest
            The request.
        units : float
            Its work: 1 for a call, or the number of pieces of a text.
        now_seconds : float
            When it finished (monotonic).
        """
        took_seconds = max(1e-4, now_seconds - sent.sent_at_seconds)
        load = self._load(sent.start)
        shared = self._service(sent.service)
        run_seconds = shared.run_seconds[sent.kind]
        if sent.estimate.wait_seconds(run_seconds) == 0.0:
            path_seconds = sent.estimate.round_trip_seconds if self.excludes_paths else 0.0
            self._update_typical_times(sent, max(1e-4, took_seconds - path_seconds))
        if sent.kind is WorkKind.CALL:
            expected_seconds = sent.estimate.finish_seconds(units, run_seconds)
            log_ratio = math.log(took_seconds / expected_seconds)
            load.record_residual(log_ratio + sent.log_correction, now_seconds)

    def record_abandoned(self, sent: SentRequest, now_seconds: float) -> None:
        """Record an abandoned call; its elapsed time is a lower bound of its duration."""
        load = self._load(sent.start)
        log_ratio = sent.log_ratio_so_far(now_seconds)
        if log_ratio > max(0.0, load.log_residual_at(now_seconds)):
            load.record_residual(log_ratio, now_seconds)

    def record_piece_interval(
        self, start: str, service: str, interval_seconds: float, now_seconds: float
    ) -> None:
        """Update the estimates with the interval between two pieces of a text."""
        load = self._load(start)
        unit_seconds = self._service(service).unit_seconds
        pace = self._reported_pace(load, service, 0.0, now_seconds)
        observed_seconds = max(1e-4, interval_seconds) / pace
        typical_seconds = unit_seconds[WorkKind.TEXT]
        log_ratio = math.log(observed_seconds / typical_seconds)
        load.record_residual(log_ratio, now_seconds)
        bounded = max(-1.0, min(1.0, log_ratio))
        unit_seconds[WorkKind.TEXT] = typical_seconds * math.exp(PIECE_TIME_SMOOTHING * bounded)

    def record_failure(self, start: str, now_seconds: float) -> None:
        """Record a failed request as a slow one: a target that fails fast must not look fast."""
        self._load(start).record_residual(FAILURE_LOG_RESIDUAL, now_seconds)

    def forget(self, start: str) -> None:
        """Remove the state of a start that has left."""
        self._loads.pop(start, None)
        for shared in self._services.values():
            shared.forget(start)

    def starts(self) -> set[str]:
        """Return the starts that have any state."""
        known = set(self._loads)
        return known.union(*(shared.average_paces for shared in self._services.values()))

    def keep_only(self, starts: Set[str]) -> None:
        """Remove the state of all other starts, including what was recorded after they left."""
        for start in self.starts() - starts:
            self.forget(start)

    def estimate(
        self,
        target: ListedTarget,
        kind: WorkKind,
        units: float,
        now_seconds: float,
        arrival_seconds: float = 0.0,
        is_at_hand: bool = False,
        path_class: PathClass = PathClass.SAME_REGION,
    ) -> TargetEstimate:
        """Return the current estimate of a target.

        Parameters
        ----------
        target : ListedTarget
            The target.
        kind, units : WorkKind, float
            The work to be placed.
        now_seconds : float
            Monotonic clock.
        arrival_seconds : float, optional
            Network round trip.
        is_at_hand : bool, optional
            Whether an idle open connection to it exists.
        path_class : PathClass, optional
            How far it is.
        """
        load = self._loads.get(target.start) or _LoadEstimate()
        shared = self._services.get(target.service) or _ServiceEstimate()
        unit_seconds = shared.unit_seconds[kind]
        run_seconds = shared.run_seconds[kind]
        pace = self._reported_pace(load, target.service, units * unit_seconds, now_seconds)
        pace *= math.exp(load.log_correction_at(now_seconds))
        slots = _slot_count(load, target)
        requests = _request_count(
            load, slots, max(MIN_LOAD_DECAY_SECONDS, run_seconds), now_seconds
        )
        return TargetEstimate(
            instance=target.instance,
            slots=slots,
            running=min(requests, slots),
            waiting=max(0.0, requests - slots),
            pace=pace,
            unit_seconds=unit_seconds,
            report_age_seconds=load.report_age_seconds(now_seconds),
            round_trip_seconds=arrival_seconds,
            has_idle_connection=is_at_hand,
            path_class=path_class,
        )

    def typical_units(self, service: str, kind: WorkKind) -> float:
        """Return the work of a typical request of a service."""
        shared = self._services.get(service) or _ServiceEstimate()
        return shared.run_seconds[kind] / shared.unit_seconds[kind]

    def _load(self, start: str) -> _LoadEstimate:
        return self._loads.setdefault(start, _LoadEstimate())

    def _service(self, service: str) -> _ServiceEstimate:
        return self._services.setdefault(service, _ServiceEstimate())

    def _update_average_pace(
        self, load: _LoadEstimate, reported: ReportedLoad, pace: float
    ) -> None:
        """Move the average pace towards a reported one, weighted by the time since the last."""
        before = load.average_pace
        elapsed_seconds = reported.received_at_seconds - load.pace_reported_at_seconds
        load.pace_reported_at_seconds = reported.received_at_seconds
        if before is None:
            load.average_pace = pace
            return
        weight = 1 - math.exp(-elapsed_seconds / PACE_AVERAGING_SECONDS)
        load.average_pace = before + weight * (pace - before)
        self._reduce_residual(load, pace)

    def _reduce_residual(self, load: _LoadEstimate, pace: float) -> None:
        """Subtract from the residual what a newly reported pace explains, to count it once.

        Requests that took twice as long as predicted give a residual of log 2. If the next report
        doubles the pace, it explains the residual completely.
        """
        previous_pace = load.reported.pace if load.reported is not None else None
        if previous_pace is None:
            return
        explained = math.log(pace / previous_pace)
        if explained * load.log_residual > 0:
            remaining = max(0.0, abs(load.log_residual) - abs(explained))
            load.log_residual = math.copysign(remaining, load.log_residual)

    def _reported_pace(
        self, load: _LoadEstimate, service: str, work_seconds: float, now_seconds: float
    ) -> float:
        """Return the mean pace over upcoming work, from reports alone.

        A report's deviation from the average decays from the moment it was received, and counts by
        its mean over the work: noise ends before a long text does.
        """
        # A target without a report is assumed to be the best; otherwise it would never be tried.
        best = self._services[service].best_pace if service in self._services else 1.0
        reported = load.reported
        if reported is None or load.average_pace is None:
            return best
        age_seconds = max(0.0, now_seconds - load.pace_reported_at_seconds)
        average_share = math.exp(-age_seconds / AVERAGE_PACE_DECAY_SECONDS)
        average = best + (load.average_pace - best) * average_share
        if reported.pace is None:
            return average
        share = math.exp(-age_seconds / PACE_NOISE_DECAY_SECONDS) * _mean_decay(work_seconds)
        return average + (reported.pace - load.average_pace) * share * average_share

    def _update_typical_times(self, sent: SentRequest, took_seconds: float) -> None:
        """Move a service's typical times towards those of a request that did not wait."""
        shared = self._service(sent.service)
        typical_seconds = shared.run_seconds[sent.kind]
        log_ratio = math.log(took_seconds / sent.estimate.pace / typical_seconds)
        bounded = max(-1.0, min(1.0, log_ratio))
        shared.run_seconds[sent.kind] = typical_seconds * math.exp(RUN_TIME_SMOOTHING * bounded)
        if sent.kind is WorkKind.CALL:
            shared.unit_seconds[sent.kind] = shared.run_seconds[sent.kind]


def _mean_decay(work_seconds: float) -> float:
    """Return the mean of the pace noise's decay over work that begins now."""
    spans = work_seconds / PACE_NOISE_DECAY_SECONDS
    return (1 - math.exp(-spans)) / spans if spans > 1e-6 else 1.0


def _slot_count(load: _LoadEstimate, target: ListedTarget) -> int:
    if load.reported is not None:
        return load.reported.slots
    return target.slots or DEFAULT_SLOTS


def _request_count(
    load: _LoadEstimate, slots: int, decay_seconds: float, now_seconds: float
) -> float:
    """Return the estimated number of requests of all daemons at a target."""
    others = 0.0
    if load.reported is not None:
        total = load.reported.running + load.reported.waiting
        if load.reported.waiting and load.reported.running < slots:
            # A target that queues with free slots lacks another resource and counts as full.
            total = slots + load.reported.waiting
        age_seconds = load.report_age_seconds(now_seconds)
        others = max(0, total - load.own_at_report) * math.exp(-age_seconds / decay_seconds)
    reported_at_seconds = load.reported.received_at_seconds if load.reported else float("-inf")
    if load.refused_at_seconds >= reported_at_seconds:
        age_seconds = max(0.0, now_seconds - load.refused_at_seconds)
        others = max(others, 2 * slots * math.exp(-age_seconds / decay_seconds))
    return load.own_requests + others
