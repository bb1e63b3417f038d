"""Metrics that follow from logged events, so that both tell the same."""

from collections.abc import Callable
from typing import Any

from opentelemetry.metrics import Meter

from rackswitch.registry import Registry
from rackswitch.telemetry.events import (
    AttemptFailed,
    CallDecided,
    DependencyLost,
    DependencyRegained,
    Event,
    ItemGivenUp,
    ItemRunEnded,
    JobCallRefused,
    JobDropped,
    JobOwned,
    JobSubmitted,
    LoadOrdered,
    PlaceSeen,
    RequestEnded,
    RequestHeldBack,
    RequestRefused,
    ResultsAppended,
    RewardCallEnded,
    RoomSeen,
    SessionBegun,
    SessionLost,
    TableInForce,
    TargetEnded,
    VersionNamed,
)

__all__ = ["EventMeters", "short_outcome"]

MAX_LABEL_VALUES = 200
"""Values of one label that are told apart; later ones count as `other`. More than the routes,
services and models of the largest expected table on one daemon."""

OTHER = "other"

RUN_BOUNDS_SECONDS = (0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 20.0, 40.0, 60.0)
"""From a short text to one that takes several targets."""

Count = Callable[["EventMeters", Any], None]
COUNTS: Registry[Count] = Registry("count of an event")


def _counts(kind: type[Event]) -> Callable[[Count], Count]:
    """Return a decorator that files what an event of a class counts."""
    return COUNTS.register(str(kind.__struct_config__.tag))


def short_outcome(outcome: str) -> str:
    """Return an outcome without its detail, so that metrics have few labels."""
    return outcome.partition(":")[0].partition(",")[0]


class EventMeters:
    """Counters, gauges and histograms of one daemon.

    Parameters
    ----------
    meter : Meter
        Makes the instruments.
    daemon : str
        A label on all of them.
    request_ended : callable
        Records a caller's request: route, class, outcome, seconds.
    """

    __slots__ = (
        "_daemon",
        "_known_values",
        "attempts_failed",
        "calls_refused",
        "calls_waiting",
        "concurrency_limit",
        "believed_wait",
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
        "request_ended",
        "requests_held_back",
        "reward_calls",
        "table_revision",
        "targets_ended",
        "tenant_share",
        "word_age",
    )

    def __init__(
        self, meter: Meter, daemon: str, request_ended: Callable[[str, int, str, float], None]
    ):
        self._daemon = daemon
        self._known_values: dict[str, set[str]] = {}
        self.request_ended = request_ended
        self.events = meter.create_counter("rackswitch_events", description="Events by name.")
        self.attempts_failed = meter.create_counter(
            "rackswitch_attempts_failed", description="Calls that a target did not serve."
        )
        self.refusals = meter.create_counter(
            "rackswitch_refusals", description="Requests refused before a target was chosen."
        )
        self.believed_wait = meter.create_gauge(
            "rackswitch_believed_wait_seconds",
            unit="s",
            description="Wait for a slot at a target, as believed at its last choice.",
        )
        self.word_age = meter.create_gauge(
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
        self.named_version = meter.create_gauge(
            "rackswitch_named_version", description="Newest version named, by model."
        )
        self.load_orders = meter.create_counter(
            "rackswitch_load_orders", description="Orders to engines by answer."
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
            explicit_bucket_boundaries_advisory=RUN_BOUNDS_SECONDS,
        )
        self.items_given_up = meter.create_counter(
            "rackswitch_items_given_up", description="Items listed without a text."
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

    def count(self, event: Event) -> None:
        """Count one event."""
        name = str(event.__struct_config__.tag)
        self.events.add(1, self.labels(event=name))
        if name in COUNTS:
            COUNTS.get(name)(self, event)

    def labels(self, **values: object) -> dict[str, str]:
        """Return labels with the daemon's own; values beyond the bound become `other`."""
        bounded = {name: self._bounded(name, str(value)) for name, value in values.items()}
        return {"daemon": self._daemon, **bounded}

    def placed(self, target: str, place: PlaceSeen | None) -> None:
        """Show what was believed of a target as it was chosen."""
        if place is None:
            return
        labels = self.labels(target=target)
        self.believed_wait.set(place.wait_seconds, labels)
        self.word_age.set(place.word_age_seconds, labels)

    def _bounded(self, name: str, value: str) -> str:
        known = self._known_values.setdefault(name, set())
        if value not in known:
            if len(known) >= MAX_LABEL_VALUES:
                return OTHER
            known.add(value)
        return value


@_counts(RequestEnded)
def _request_ended(meters: EventMeters, event: RequestEnded) -> None:
    route = meters.labels(route=event.route)["route"]
    meters.request_ended(
        route, event.caller_class, short_outcome(event.outcome), event.elapsed_seconds
    )
    meters.placed(event.target, event.place)


@_counts(RequestRefused)
def _request_refused(meters: EventMeters, event: RequestRefused) -> None:
    meters.refusals.add(1, meters.labels(status=event.status))


@_counts(AttemptFailed)
def _attempt_failed(meters: EventMeters, event: AttemptFailed) -> None:
    labels = meters.labels(service=event.service, reason=short_outcome(event.detail))
    meters.attempts_failed.add(1, labels)


@_counts(TargetEnded)
def _target_ended(meters: EventMeters, event: TargetEnded) -> None:
    meters.targets_ended.add(1, meters.labels(reason=event.evidence))


@_counts(RequestHeldBack)
def _request_held_back(meters: EventMeters, event: RequestHeldBack) -> None:
    meters.requests_held_back.add(1)


@_counts(DependencyLost)
def _dependency_lost(meters: EventMeters, event: DependencyLost) -> None:
    meters.dependency_up.set(0, meters.labels(dependency=event.dependency))


@_counts(DependencyRegained)
def _dependency_regained(meters: EventMeters, event: DependencyRegained) -> None:
    meters.dependency_up.set(1, meters.labels(dependency=event.dependency))


@_counts(SessionBegun)
def _session_begun(meters: EventMeters, event: SessionBegun) -> None:
    meters.dependency_up.set(1, meters.labels(dependency="session"))


@_counts(SessionLost)
def _session_lost(meters: EventMeters, event: SessionLost) -> None:
    meters.dependency_up.set(0, meters.labels(dependency="session"))


@_counts(TableInForce)
def _table_in_force(meters: EventMeters, event: TableInForce) -> None:
    meters.table_revision.set(event.revision, meters.labels())


@_counts(VersionNamed)
def _version_named(meters: EventMeters, event: VersionNamed) -> None:
    meters.named_version.set(event.version, meters.labels(model=event.model))


@_counts(LoadOrdered)
def _load_ordered(meters: EventMeters, event: LoadOrdered) -> None:
    labels = meters.labels(model=event.model, outcome=short_outcome(event.outcome))
    meters.load_orders.add(1, labels)


@_counts(JobSubmitted)
def _job_submitted(meters: EventMeters, event: JobSubmitted) -> None:
    meters.jobs_submitted.add(1, meters.labels(route=event.route, status=event.outcome))


@_counts(JobOwned)
def _job_owned(meters: EventMeters, event: JobOwned) -> None:
    meters.jobs_owned.add(1, meters.labels())


@_counts(JobDropped)
def _job_dropped(meters: EventMeters, event: JobDropped) -> None:
    meters.jobs_owned.add(-1, meters.labels())


@_counts(JobCallRefused)
def _job_call_refused(meters: EventMeters, event: JobCallRefused) -> None:
    meters.job_calls_refused.add(1, meters.labels(call=event.call, outcome=event.outcome))


@_counts(ResultsAppended)
def _results_appended(meters: EventMeters, event: ResultsAppended) -> None:
    if event.outcome == "Appended":
        meters.positions.add(len(event.items), meters.labels())


@_counts(ItemRunEnded)
def _item_run_ended(meters: EventMeters, event: ItemRunEnded) -> None:
    labels = meters.labels(outcome=event.outcome)
    meters.item_runs.add(1, labels)
    meters.item_run_seconds.record(event.run_seconds, labels)
    meters.placed(event.target, event.place)


@_counts(ItemGivenUp)
def _item_given_up(meters: EventMeters, event: ItemGivenUp) -> None:
    meters.items_given_up.add(1, meters.labels(reason=event.reason))


@_counts(RewardCallEnded)
def _reward_call_ended(meters: EventMeters, event: RewardCallEnded) -> None:
    meters.reward_calls.add(1, meters.labels(outcome=short_outcome(event.outcome)))
    meters.placed(event.target, event.place)


@_counts(CallDecided)
def _call_decided(meters: EventMeters, event: CallDecided) -> None:
    decision, _, reason = event.outcome.partition(": ")
    if decision == "refused":
        meters.calls_refused.add(1, meters.labels(service=event.service, reason=reason))


@_counts(RoomSeen)
def _room_seen(meters: EventMeters, event: RoomSeen) -> None:
    labels = meters.labels(service=event.service)
    meters.calls_waiting.set(event.waiting, labels)
    meters.oldest_wait.set(event.oldest_wait_seconds, labels)
    meters.concurrency_limit.set(event.limit, labels)
    for tenant, share in event.tenant_shares.items():
        meters.tenant_share.set(share, meters.labels(service=event.service, tenant=tenant))
