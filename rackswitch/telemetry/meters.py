"""Metrics derived from logged events, so that metrics and log agree."""

from collections.abc import Callable
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from rackswitch.registry import Registry
from rackswitch.telemetry.events import (
    AdmissionState,
    AttemptFailed,
    CallDecided,
    DependencyLost,
    DependencyRegained,
    EstimateLogged,
    Event,
    ItemGivenUp,
    ItemRunEnded,
    JobCallRefused,
    JobDropped,
    JobOwned,
    JobSubmitted,
    LoadOrdered,
    RequestEnded,
    RequestHeldBack,
    RequestRefused,
    ResultsAppended,
    RewardCallEnded,
    SessionBegun,
    SessionLost,
    TableInForce,
    TargetEnded,
    VersionNamed,
)

__all__ = ["EventMeters", "short_outcome"]

MAX_LABEL_VALUES = 200
"""Limits the cardinality of a label; further values are recorded as `other`."""

OTHER_LABEL_VALUE = "other"

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
    registry : CollectorRegistry
        Holds the metrics.
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
        "named_version",
        "oldest_wait",
        "positions",
        "refusals",
        "record_request",
        "requests_held_back",
        "reward_calls",
        "table_revision",
        "targets_ended",
        "tenant_share",
        "report_age",
    )

    def __init__(
        self,
        registry: CollectorRegistry,
        daemon: str,
        record_request: Callable[[str, int, str, float], None],
    ):
        self._daemon = daemon
        self._known_values: dict[str, set[str]] = {}
        self.record_request = record_request
        self.events = Counter(
            "rackswitch_events", "Events by name.", ("daemon", "event"), registry=registry
        )
        self.attempts_failed = Counter(
            "rackswitch_attempts_failed",
            "Calls that a target did not serve.",
            ("daemon", "reason", "service"),
            registry=registry,
        )
        self.refusals = Counter(
            "rackswitch_refusals",
            "Requests refused before a target was chosen.",
            ("daemon", "status"),
            registry=registry,
        )
        self.estimated_wait = Gauge(
            "rackswitch_believed_wait_seconds",
            "Wait for a slot at a target, as believed at its last choice.",
            ("daemon", "target"),
            registry=registry,
        )
        self.report_age = Gauge(
            "rackswitch_word_age_seconds",
            "Age of a target's word at its last choice; -1 if there was none.",
            ("daemon", "target"),
            registry=registry,
        )
        self.targets_ended = Counter(
            "rackswitch_targets_ended",
            "Targets that ended under runs of this daemon.",
            ("daemon", "reason"),
            registry=registry,
        )
        self.requests_held_back = Counter(
            "rackswitch_requests_held_back",
            "Sends that did not take place, as targets had ended under the request.",
            registry=registry,
        )
        self.dependency_up = Gauge(
            "rackswitch_dependency_up",
            "1 while the dependency answers, else 0.",
            ("daemon", "dependency"),
            registry=registry,
        )
        self.table_revision = Gauge(
            "rackswitch_table_revision",
            "Revision of the table in force.",
            ("daemon",),
            registry=registry,
        )
        self.named_version = Gauge(
            "rackswitch_named_version",
            "Newest version named, by model.",
            ("daemon", "model"),
            registry=registry,
        )
        self.load_orders = Counter(
            "rackswitch_load_orders",
            "Orders to engines by answer.",
            ("daemon", "model", "outcome"),
            registry=registry,
        )
        self.jobs_submitted = Counter(
            "rackswitch_jobs_submitted",
            "Submissions of jobs by status.",
            ("daemon", "route", "status"),
            registry=registry,
        )
        self.jobs_owned = Gauge(
            "rackswitch_jobs_owned",
            "Jobs that this daemon works on.",
            ("daemon",),
            registry=registry,
        )
        self.job_calls_refused = Counter(
            "rackswitch_job_calls_refused",
            "Calls about jobs not served.",
            ("call", "daemon", "outcome"),
            registry=registry,
        )
        self.positions = Counter(
            "rackswitch_positions",
            "Results kept, each at its position.",
            ("daemon",),
            registry=registry,
        )
        self.item_runs = Counter(
            "rackswitch_item_runs",
            "Runs of items by how they ended.",
            ("daemon", "outcome"),
            registry=registry,
        )
        self.item_run_seconds = Histogram(
            "rackswitch_item_run_seconds",
            "Time of one run of an item.",
            ("daemon", "outcome"),
            registry=registry,
            buckets=RUN_BUCKET_BOUNDS_SECONDS,
        )
        self.items_given_up = Counter(
            "rackswitch_items_given_up",
            "Items listed without a text.",
            ("daemon", "reason"),
            registry=registry,
        )
        self.reward_calls = Counter(
            "rackswitch_reward_calls",
            "Reward calls by outcome.",
            ("daemon", "outcome"),
            registry=registry,
        )

        self.calls_refused = Counter(
            "rackswitch_calls_refused",
            "Calls refused for want of room, by reason.",
            ("daemon", "reason", "service"),
            registry=registry,
        )
        self.calls_waiting = Gauge(
            "rackswitch_calls_waiting",
            "Calls that wait for room, by service.",
            ("daemon", "service"),
            registry=registry,
        )
        self.oldest_wait = Gauge(
            "rackswitch_oldest_wait_seconds",
            "How long the longest waiting call has waited.",
            ("daemon", "service"),
            registry=registry,
        )
        self.concurrency_limit = Gauge(
            "rackswitch_concurrency_limit",
            "Calls that may be at a service at once.",
            ("daemon", "service"),
            registry=registry,
        )
        self.tenant_share = Gauge(
            "rackswitch_tenant_share",
            "Part of a service's work done lately.",
            ("daemon", "service", "tenant"),
            registry=registry,
        )

    def count(self, event: Event) -> None:
        """Count an event and record the metrics of its class."""
        name = str(event.__struct_config__.tag)
        self.events.labels(**self.labels(event=name)).inc(1)
        if name in RECORDERS:
            RECORDERS.get(name)(self, event)

    def labels(self, **values: object) -> dict[str, str]:
        """Return labels including the daemon's; values beyond the limit become `other`."""
        bounded = {name: self._bounded_value(name, str(value)) for name, value in values.items()}
        return {"daemon": self._daemon, **bounded}

    def record_estimate(self, target: str, estimate: EstimateLogged | None) -> None:
        """Record the estimate of a target's load at the time when it was chosen."""
        if estimate is None:
            return
        labels = self.labels(target=target)
        self.estimated_wait.labels(**labels).set(estimate.wait_seconds)
        self.report_age.labels(**labels).set(estimate.word_age_seconds)

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
    meters.record_estimate(event.target, event.place)


@_recorder_of(RequestRefused)
def _request_refused(meters: EventMeters, event: RequestRefused) -> None:
    meters.refusals.labels(**meters.labels(status=event.status)).inc(1)


@_recorder_of(AttemptFailed)
def _attempt_failed(meters: EventMeters, event: AttemptFailed) -> None:
    labels = meters.labels(service=event.service, reason=short_outcome(event.detail))
    meters.attempts_failed.labels(**labels).inc(1)


@_recorder_of(TargetEnded)
def _target_ended(meters: EventMeters, event: TargetEnded) -> None:
    meters.targets_ended.labels(**meters.labels(reason=event.evidence)).inc(1)


@_recorder_of(RequestHeldBack)
def _request_held_back(meters: EventMeters, event: RequestHeldBack) -> None:
    meters.requests_held_back.inc(1)


@_recorder_of(DependencyLost)
def _dependency_lost(meters: EventMeters, event: DependencyLost) -> None:
    meters.dependency_up.labels(**meters.labels(dependency=event.dependency)).set(0)


@_recorder_of(DependencyRegained)
def _dependency_regained(meters: EventMeters, event: DependencyRegained) -> None:
    meters.dependency_up.labels(**meters.labels(dependency=event.dependency)).set(1)


@_recorder_of(SessionBegun)
def _session_begun(meters: EventMeters, event: SessionBegun) -> None:
    meters.dependency_up.labels(**meters.labels(dependency="session")).set(1)


@_recorder_of(SessionLost)
def _session_lost(meters: EventMeters, event: SessionLost) -> None:
    meters.dependency_up.labels(**meters.labels(dependency="session")).set(0)


@_recorder_of(TableInForce)
def _table_in_force(meters: EventMeters, event: TableInForce) -> None:
    meters.table_revision.labels(**meters.labels()).set(event.revision)


@_recorder_of(VersionNamed)
def _version_named(meters: EventMeters, event: VersionNamed) -> None:
    meters.named_version.labels(**meters.labels(model=event.model)).set(event.version)


@_recorder_of(LoadOrdered)
def _load_ordered(meters: EventMeters, event: LoadOrdered) -> None:
    labels = meters.labels(model=event.model, outcome=short_outcome(event.outcome))
    meters.load_orders.labels(**labels).inc(1)


@_recorder_of(JobSubmitted)
def _job_submitted(meters: EventMeters, event: JobSubmitted) -> None:
    meters.jobs_submitted.labels(**meters.labels(route=event.route, status=event.outcome)).inc(1)


@_recorder_of(JobOwned)
def _job_owned(meters: EventMeters, event: JobOwned) -> None:
    meters.jobs_owned.labels(**meters.labels()).inc(1)


@_recorder_of(JobDropped)
def _job_dropped(meters: EventMeters, event: JobDropped) -> None:
    meters.jobs_owned.labels(**meters.labels()).inc(-1)


@_recorder_of(JobCallRefused)
def _job_call_refused(meters: EventMeters, event: JobCallRefused) -> None:
    meters.job_calls_refused.labels(**meters.labels(call=event.call, outcome=event.outcome)).inc(1)


@_recorder_of(ResultsAppended)
def _results_appended(meters: EventMeters, event: ResultsAppended) -> None:
    if event.outcome == "Appended":
        meters.positions.labels(**meters.labels()).inc(len(event.items))


@_recorder_of(ItemRunEnded)
def _item_run_ended(meters: EventMeters, event: ItemRunEnded) -> None:
    labels = meters.labels(outcome=event.outcome)
    meters.item_runs.labels(**labels).inc(1)
    meters.item_run_seconds.labels(**labels).observe(event.run_seconds)
    meters.record_estimate(event.target, event.place)


@_recorder_of(ItemGivenUp)
def _item_given_up(meters: EventMeters, event: ItemGivenUp) -> None:
    meters.items_given_up.labels(**meters.labels(reason=event.reason)).inc(1)


@_recorder_of(RewardCallEnded)
def _reward_call_ended(meters: EventMeters, event: RewardCallEnded) -> None:
    meters.reward_calls.labels(**meters.labels(outcome=short_outcome(event.outcome))).inc(1)
    meters.record_estimate(event.target, event.place)


@_recorder_of(CallDecided)
def _call_decided(meters: EventMeters, event: CallDecided) -> None:
    decision, _, reason = event.outcome.partition(": ")
    if decision == "refused":
        meters.calls_refused.labels(**meters.labels(service=event.service, reason=reason)).inc(1)


@_recorder_of(AdmissionState)
def _room_seen(meters: EventMeters, event: AdmissionState) -> None:
    labels = meters.labels(service=event.service)
    meters.calls_waiting.labels(**labels).set(event.waiting)
    meters.oldest_wait.labels(**labels).set(event.oldest_wait_seconds)
    meters.concurrency_limit.labels(**labels).set(event.limit)
    for tenant, share in event.tenant_shares.items():
        meters.tenant_share.labels(**meters.labels(service=event.service, tenant=tenant)).set(share)
