"""Metrics derived from logged events, so that metrics and log agree."""

from collections.abc import Callable
from typing import Any

from opentelemetry.metrics import Meter

from rackswitch.registry import Registry
from rackswitch.telemetry.events import (
    AdmissionState,
    AttemptFailed,
    CallDecided,
    ColdTargetHeld,
    ColdTargetSent,
    DependencyLost,
    DependencyRegained,
    EstimateLogged,
    EvacuationEnded,
    Event,
    ItemGivenUp,
    ItemRunEnded,
    JobCallRefused,
    JobDropped,
    JobOwned,
    JobSubmitted,
    LoadOrdered,
    LoopDelayMeasured,
    RequestEnded,
    RequestHeldBack,
    RequestRefused,
    ResultsAppended,
    RewardCallEnded,
    SessionBegun,
    SessionLost,
    TableInForce,
    TargetCold,
    TargetEnded,
    TargetsExcluded,
    TargetWarm,
    VersionNamed,
    ZoneEvacuated,
)

__all__ = ["EventMeters", "short_outcome"]

MAX_LABEL_VALUES = 200
"""Limits the cardinality of a label; further values are recorded as `other`."""

OTHER_LABEL_VALUE = "other"

EVACUATED_REASON = "zone evacuated"
"""Reason of targets that are excluded because their zone is evacuated."""

RUN_BUCKET_BOUNDS_SECONDS = (0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 20.0, 40.0, 60.0)
Recorder = Callable[["EventMeters", Any], None]
RECORDERS: Registry[Recorder] = Registry("recorder of an event")


def _recorder_of(event_class: type[Event]) -> Callable[[Recorder], Recorder]:
    """Return a decorator that registers the recorder of an event class."""
    return RECORDERS.register(str(event_class.__struct_config__.tag))


def short_outcome(outcome: str) -> str:
    """Return an outcome without its detail, for use as a label value."""
    return outcome.partition(":")[0].partition(",")[0]


class EventMeters:
    """Counters, gauges and histograms of one daemon.

    Parameters
    ----------
    meter : Meter
        Creates the instruments.
    daemon : str
        The daemon's name, a label on all metrics.
    record_request : callable
        Records a caller's request: route, class, outcome, elapsed seconds.
    """

    __slots__ = (
        "_daemon",
        "_known_values",
        "attempts_failed",
        "calls_refused",
        "calls_waiting",
        "cold_sends",
        "cold_sends_held",
        "cold_targets",
        "concurrency_limit",
        "estimated_wait",
        "dependency_up",
        "events",
        "item_run_seconds",
        "item_runs",
        "items_given_up",
        "job_calls_refused",
        "jobs_owned",
        "jobs_submitted",
        "load_orders",
        "loop_delay",
        "named_version",
        "oldest_wait",
        "path_requests",
        "positions",
        "refusals",
        "record_request",
        "requests_held_back",
        "reward_calls",
        "table_age",
        "table_revision",
        "targets_ended",
        "targets_excluded",
        "tenant_share",
        "report_age",
        "zones_evacuated",
    )

    def __init__(
        self, meter: Meter, daemon: str, record_request: Callable[[str, int, str, float], None]
    ):
        self._daemon = daemon
        self._known_values: dict[str, set[str]] = {}
        self.record_request = record_request
        self.events = meter.create_counter("rackswitch_events", description="Events by name.")
        self.attempts_failed = meter.create_counter(
            "rackswitch_attempts_failed", description="Calls that a target did not serve."
        )
        self.refusals = meter.create_counter(
            "rackswitch_refusals", description="Requests refused before a target was chosen."
        )
        self.estimated_wait = meter.create_gauge(
            "rackswitch_believed_wait_seconds",
            unit="s",
            description="Wait for a slot at a target, as believed at its last choice.",
        )
        self.report_age = meter.create_gauge(
            "rackswitch_word_age_seconds",
            unit="s",
            description="Age of a target's word at its last choice; -1 if there was none.",
        )
        self.targets_ended = meter.create_counter(
            "rackswitch_targets_ended", description="Targets that ended under runs of this daemon."
        )
        self.requests_held_back = meter.create_counter(
            "rackswitch_requests_held_back",
            description="Sends that did not take place, as targets had ended under the request.",
        )
        self.dependency_up = meter.create_gauge(
            "rackswitch_dependency_up", description="1 while the dependency answers, else 0."
        )
        self.table_revision = meter.create_gauge(
            "rackswitch_table_revision", description="Revision of the table in force."
        )
        self.table_age = meter.create_gauge(
            "rackswitch_table_age_seconds",
            unit="s",
            description="Age of the table's last confirmation as the last request was routed.",
        )
        self.zones_evacuated = meter.create_gauge(
            "rackswitch_zones_evacuated", description="Zones that operators have evacuated."
        )
        self.targets_excluded = meter.create_gauge(
            "rackswitch_targets_excluded",
            description="Targets that may not get requests, by service and reason, when last seen.",
        )
        self.named_version = meter.create_gauge(
            "rackswitch_named_version", description="Newest version named, by model."
        )
        self.load_orders = meter.create_counter(
            "rackswitch_load_orders", description="Orders to engines by answer."
        )
        self.loop_delay = meter.create_gauge(
            "rackswitch_loop_delay_seconds",
            unit="s",
            description="Median delay of the event loop's timers in the last seconds.",
        )
        self.jobs_submitted = meter.create_counter(
            "rackswitch_jobs_submitted", description="Submissions of jobs by status."
        )
        self.jobs_owned = meter.create_up_down_counter(
            "rackswitch_jobs_owned", description="Jobs that this daemon works on."
        )
        self.job_calls_refused = meter.create_counter(
            "rackswitch_job_calls_refused", description="Calls about jobs not served."
        )
        self.positions = meter.create_counter(
            "rackswitch_positions", description="Results kept, each at its position."
        )
        self.item_runs = meter.create_counter(
            "rackswitch_item_runs", description="Runs of items by how they ended."
        )
        self.item_run_seconds = meter.create_histogram(
            "rackswitch_item_run_seconds",
            unit="s",
            description="Time of one run of an item.",
            explicit_bucket_boundaries_advisory=RUN_BUCKET_BOUNDS_SECONDS,
        )
        self.items_given_up = meter.create_counter(
            "rackswitch_items_given_up", description="Items listed without a text."
        )
        self.path_requests = meter.create_counter(
            "rackswitch_path_requests",
            description="Requests to targets by path class and reason, with several regions.",
        )
        self.reward_calls = meter.create_counter(
            "rackswitch_reward_calls", description="Reward calls by outcome."
        )

        self.calls_refused = meter.create_counter(
            "rackswitch_calls_refused", description="Calls refused for want of room, by reason."
        )
        self.calls_waiting = meter.create_gauge(
            "rackswitch_calls_waiting", description="Calls that wait for room, by service."
        )
        self.oldest_wait = meter.create_gauge(
            "rackswitch_oldest_wait_seconds",
            unit="s",
            description="How long the longest waiting call has waited.",
        )
        self.concurrency_limit = meter.create_gauge(
            "rackswitch_concurrency_limit", description="Calls that may be at a service at once."
        )
        self.tenant_share = meter.create_gauge(
            "rackswitch_tenant_share", description="Part of a service's work done lately."
        )

        self.cold_targets = meter.create_up_down_counter(
            "rackswitch_cold_targets", description="Cold targets, by service and zone."
        )
        self.cold_sends = meter.create_counter(
            "rackswitch_cold_sends", description="Requests sent within the budget of cold targets."
        )
        self.cold_sends_held = meter.create_counter(
            "rackswitch_cold_sends_held",
            description="Requests not sent, as the budget of a cold target was used up.",
        )

    def count(self, event: Event) -> None:
        """Count an event and record the metrics of its class."""
        name = str(event.__struct_config__.tag)
        self.events.add(1, self.labels(event=name))
        if name in RECORDERS:
            RECORDERS.get(name)(self, event)

    def labels(self, **values: object) -> dict[str, str]:
        """Return labels including the daemon's; values beyond the limit become `other`."""
        bounded = {name: self._bounded_value(name, str(value)) for name, value in values.items()}
        return {"daemon": self._daemon, **bounded}

    def record_estimate(self, target: str, estimate: EstimateLogged | None, reason: str) -> None:
        """Record the estimate of a target's load at the time when it was chosen."""
        if estimate is None:
            return
        labels = self.labels(target=target)
        self.estimated_wait.set(estimate.wait_seconds, labels)
        self.report_age.set(estimate.word_age_seconds, labels)
        if estimate.path:
            self.path_requests.add(1, self.labels(path=estimate.path, reason=reason))

    def _bounded_value(self, name: str, value: str) -> str:
        known = self._known_values.setdefault(name, set())
        if value not in known:
            if len(known) >= MAX_LABEL_VALUES:
                return OTHER_LABEL_VALUE
            known.add(value)
        return value


@_recorder_of(RequestEnded)
def _request_ended(meters: EventMeters, event: RequestEnded) -> None:
    route = meters.labels(route=event.route)["route"]
    meters.record_request(
        route, event.caller_class, short_outcome(event.outcome), event.elapsed_seconds
    )
    meters.record_estimate(event.target, event.place, "call")
    meters.table_age.set(event.routed_by_age_seconds, meters.labels())


@_recorder_of(RequestRefused)
def _request_refused(meters: EventMeters, event: RequestRefused) -> None:
    meters.refusals.add(1, meters.labels(status=event.status))


@_recorder_of(AttemptFailed)
def _attempt_failed(meters: EventMeters, event: AttemptFailed) -> None:
    labels = meters.labels(service=event.service, reason=short_outcome(event.detail))
    meters.attempts_failed.add(1, labels)


@_recorder_of(TargetEnded)
def _target_ended(meters: EventMeters, event: TargetEnded) -> None:
    meters.targets_ended.add(1, meters.labels(reason=event.evidence))


@_recorder_of(RequestHeldBack)
def _request_held_back(meters: EventMeters, event: RequestHeldBack) -> None:
    meters.requests_held_back.add(1)


@_recorder_of(DependencyLost)
def _dependency_lost(meters: EventMeters, event: DependencyLost) -> None:
    meters.dependency_up.set(0, meters.labels(dependency=event.dependency))


@_recorder_of(DependencyRegained)
def _dependency_regained(meters: EventMeters, event: DependencyRegained) -> None:
    meters.dependency_up.set(1, meters.labels(dependency=event.dependency))


@_recorder_of(SessionBegun)
def _session_begun(meters: EventMeters, event: SessionBegun) -> None:
    meters.dependency_up.set(1, meters.labels(dependency="session"))


@_recorder_of(SessionLost)
def _session_lost(meters: EventMeters, event: SessionLost) -> None:
    meters.dependency_up.set(0, meters.labels(dependency="session"))


@_recorder_of(TableInForce)
def _table_in_force(meters: EventMeters, event: TableInForce) -> None:
    meters.table_revision.set(event.revision, meters.labels())


@_recorder_of(ZoneEvacuated)
def _zone_evacuated(meters: EventMeters, event: ZoneEvacuated) -> None:
    _record_evacuated(meters, event.zones_evacuated, event.targets_excluded)


@_recorder_of(EvacuationEnded)
def _evacuation_ended(meters: EventMeters, event: EvacuationEnded) -> None:
    _record_evacuated(meters, event.zones_evacuated, event.targets_excluded)


def _record_evacuated(meters: EventMeters, zones: int, targets: dict[str, int]) -> None:
    meters.zones_evacuated.set(zones, meters.labels())
    for service, count in targets.items():
        labels = meters.labels(service=service, reason=EVACUATED_REASON)
        meters.targets_excluded.set(count, labels)


@_recorder_of(TargetsExcluded)
def _targets_excluded(meters: EventMeters, event: TargetsExcluded) -> None:
    for reason, count in event.reasons.items():
        meters.targets_excluded.set(count, meters.labels(service=event.service, reason=reason))


@_recorder_of(VersionNamed)
def _version_named(meters: EventMeters, event: VersionNamed) -> None:
    meters.named_version.set(event.version, meters.labels(model=event.model))


@_recorder_of(LoadOrdered)
def _load_ordered(meters: EventMeters, event: LoadOrdered) -> None:
    labels = meters.labels(model=event.model, outcome=short_outcome(event.outcome))
    meters.load_orders.add(1, labels)


@_recorder_of(LoopDelayMeasured)
def _loop_delay_measured(meters: EventMeters, event: LoopDelayMeasured) -> None:
    meters.loop_delay.set(event.median_seconds, meters.labels())


@_recorder_of(JobSubmitted)
def _job_submitted(meters: EventMeters, event: JobSubmitted) -> None:
    meters.jobs_submitted.add(1, meters.labels(route=event.route, status=event.outcome))


@_recorder_of(JobOwned)
def _job_owned(meters: EventMeters, event: JobOwned) -> None:
    meters.jobs_owned.add(1, meters.labels())


@_recorder_of(JobDropped)
def _job_dropped(meters: EventMeters, event: JobDropped) -> None:
    meters.jobs_owned.add(-1, meters.labels())


@_recorder_of(JobCallRefused)
def _job_call_refused(meters: EventMeters, event: JobCallRefused) -> None:
    meters.job_calls_refused.add(1, meters.labels(call=event.call, outcome=event.outcome))


@_recorder_of(ResultsAppended)
def _results_appended(meters: EventMeters, event: ResultsAppended) -> None:
    if event.outcome == "Appended":
        meters.positions.add(len(event.items), meters.labels())


@_recorder_of(ItemRunEnded)
def _item_run_ended(meters: EventMeters, event: ItemRunEnded) -> None:
    labels = meters.labels(outcome=event.outcome)
    meters.item_runs.add(1, labels)
    meters.item_run_seconds.record(event.run_seconds, labels)
    meters.record_estimate(event.target, event.place, "item")


@_recorder_of(ItemGivenUp)
def _item_given_up(meters: EventMeters, event: ItemGivenUp) -> None:
    meters.items_given_up.add(1, meters.labels(reason=event.reason))


@_recorder_of(RewardCallEnded)
def _reward_call_ended(meters: EventMeters, event: RewardCallEnded) -> None:
    meters.reward_calls.add(1, meters.labels(outcome=short_outcome(event.outcome)))
    meters.record_estimate(event.target, event.place, "reward")


@_recorder_of(CallDecided)
def _call_decided(meters: EventMeters, event: CallDecided) -> None:
    decision, _, reason = event.outcome.partition(": ")
    if decision == "refused":
        meters.calls_refused.add(1, meters.labels(service=event.service, reason=reason))


@_recorder_of(AdmissionState)
def _room_seen(meters: EventMeters, event: AdmissionState) -> None:
    labels = meters.labels(service=event.service)
    meters.calls_waiting.set(event.waiting, labels)
    meters.oldest_wait.set(event.oldest_wait_seconds, labels)
    meters.concurrency_limit.set(event.limit, labels)
    for tenant, share in event.tenant_shares.items():
        meters.tenant_share.set(share, meters.labels(service=event.service, tenant=tenant))


@_recorder_of(TargetCold)
def _target_cold(meters: EventMeters, event: TargetCold) -> None:
    meters.cold_targets.add(1, meters.labels(service=event.service, zone=event.zone))


@_recorder_of(TargetWarm)
def _target_warm(meters: EventMeters, event: TargetWarm) -> None:
    meters.cold_targets.add(-1, meters.labels(service=event.service, zone=event.zone))


@_recorder_of(ColdTargetSent)
def _cold_target_sent(meters: EventMeters, event: ColdTargetSent) -> None:
    meters.cold_sends.add(1, meters.labels(service=event.service, kind=event.kind))


@_recorder_of(ColdTargetHeld)
def _cold_target_held(meters: EventMeters, event: ColdTargetHeld) -> None:
    meters.cold_sends_held.add(1, meters.labels(service=event.service, kind=event.kind))
