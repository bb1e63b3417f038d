"""Snapshot of a daemon's state, served at `/status`."""

import msgspec

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.store.presence import Presence
from rackswitch.gateway.store.replica_manager import ReplicaManager
from rackswitch.jobs import ItemPhase
from rackswitch.membership import VmCapacity
from rackswitch.routing import ListedTarget
from rackswitch.table import RouteRow, ServiceRow

__all__ = ["DaemonSnapshot", "EvacuationSnapshot", "JobSnapshot", "take_snapshot"]


class JobSnapshot(msgspec.Struct, frozen=True):
    """Progress of a job owned by this daemon."""

    listed: int
    total: int
    waiting: int
    running: int
    scoring: int
    oldest_version: int
    seconds_left: float


class EvacuationSnapshot(msgspec.Struct, frozen=True):
    """An evacuation in force: the revision of its entry, and how long it has been known here."""

    revision: int
    for_seconds: float


class DaemonSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one daemon, for operators.

    Attributes
    ----------
    copy_ages_seconds : dict of str to float
        By prefix, time since the key-value service last confirmed this daemon's replica; -1 if it
        never did.
    away_seconds : float or None
        How long the service has been unreachable; None while it answers.
    follows : str
        The daemon whose replicas are followed; empty if the service is watched directly.
    targets : dict of str to int
        Number of usable targets by service.
    evacuations : dict of str to EvacuationSnapshot
        Evacuations in force, by zone.
    targets_excluded : dict of str to str
        By target that gets no work, or none of some routes, the reason.
    cold_targets : dict of str to float
        How much longer each cold target is cold, in seconds, by instance.
    roles : dict of str to int
        Fencing numbers of the roles held by this daemon.
    capacity : VmCapacity
        What this daemon's VM can carry, as its settings state it; 0 for what they do not state.
    loop_delay_seconds : float
        Median delay of the event loop's timers in the last seconds.
    """

    daemon: str
    table_revision: int
    copy_ages_seconds: dict[str, float]
    away_seconds: float | None
    session_sure: bool
    follows: str
    members: list[str]
    targets: dict[str, int]
    evacuations: dict[str, EvacuationSnapshot]
    targets_excluded: dict[str, str]
    cold_targets: dict[str, float]
    named_versions: dict[str, int]
    roles: dict[str, int]
    jobs_known: int
    jobs_owned: dict[str, JobSnapshot]
    requests_in_flight: int
    stopping: bool
    log_lines_dropped: int
    log_lines_folded: int
    capacity: VmCapacity
    loop_delay_seconds: float


def take_snapshot(
    context: GatewayContext,
    replicas: ReplicaManager,
    presence: Presence,
    roles: RoleManager,
    jobs: JobManager,
) -> DaemonSnapshot:
    """Return a snapshot of a daemon's state."""
    now_seconds = context.now_seconds()
    unreachable_since_seconds = context.store_reachability.unreachable_since_seconds
    services = context.daemon.view.rows(ServiceRow)
    return DaemonSnapshot(
        daemon=context.daemon_name,
        table_revision=context.table_revision,
        copy_ages_seconds={
            prefix: _rounded_age_seconds(now_seconds - replica.confirmed_at_seconds)
            for prefix, replica in replicas.replicas.items()
        },
        away_seconds=_rounded_age_seconds(now_seconds - unreachable_since_seconds)
        if unreachable_since_seconds
        else None,
        session_sure=presence.is_valid(),
        follows=replicas.followed,
        members=context.daemon.membership.live(),
        targets={
            row.name: len(context.directory.usable(row.name, now_seconds)) for row in services
        },
        evacuations={
            zone: EvacuationSnapshot(
                evacuation.revision, round(now_seconds - evacuation.since_seconds, 3)
            )
            for zone, evacuation in context.directory.eligibility.evacuations.items()
        },
        targets_excluded=_exclusion_reasons(context, now_seconds),
        cold_targets=context.cold_sends.cold_left_seconds(),
        named_versions=dict(context.named_versions),
        roles={role: roles.fencing(role) for role in roles.roles if roles.may_act(role)},
        jobs_known=len(jobs.known.jobs),
        jobs_owned=_job_snapshots(jobs, now_seconds),
        requests_in_flight=context.daemon.in_flight.count,
        stopping=context.daemon.stopping,
        log_lines_dropped=context.log.dropped_total,
        log_lines_folded=context.log.folded_total,
        capacity=context.capacity_of(context.daemon_name),
        loop_delay_seconds=round(context.loop_delays.median_seconds, 4),
    )


def _rounded_age_seconds(seconds: float) -> float:
    return round(seconds, 3) if seconds < float("inf") else -1.0


def _exclusion_reasons(context: GatewayContext, now_seconds: float) -> dict[str, str]:
    """Return why targets get no work, by target; those that get all work are left out."""
    routes = [row for row in context.daemon.view.rows(RouteRow) if row.allowed_regions]
    reasons = {
        instance: _exclusion_reason(context, target, routes, now_seconds)
        for instance, target in context.directory.entries.items()
    }
    return {instance: reason for instance, reason in reasons.items() if reason}


def _exclusion_reason(
    context: GatewayContext,
    target: ListedTarget,
    restricted_routes: list[RouteRow],
    now_seconds: float,
) -> str:
    """Return why a target gets no work, or no work of some routes; empty if it gets all."""
    if target.draining:
        return "draining"
    exclusion = context.directory.eligibility.exclusion(target.zone, None)
    if exclusion is not None:
        return exclusion.value
    target_state = context.targets.get(target.instance)
    if target_state is not None and now_seconds < target_state.open_until_seconds:
        return "does not respond"
    region = context.regions.region(target.zone)
    excluded_routes = [
        route.name
        for route in restricted_routes
        if region not in route.allowed_regions
        and any(choice.serves == target.service for choice in route.choices)
    ]
    return f"region not allowed by {', '.join(excluded_routes)}" if excluded_routes else ""


def _job_snapshots(jobs: JobManager, now_seconds: float) -> dict[str, JobSnapshot]:
    snapshots: dict[str, JobSnapshot] = {}
    for job_id, owned in jobs.owned.items():
        phases = [progress.phase for progress in owned.ledger.items.values()]
        snapshots[job_id] = JobSnapshot(
            listed=len(owned.ledger.listed),
            total=owned.ledger.total,
            waiting=phases.count(ItemPhase.WAITING),
            running=phases.count(ItemPhase.RUNNING),
            scoring=phases.count(ItemPhase.SCORING),
            oldest_version=owned.ledger.job.oldest_version,
            seconds_left=round(owned.due_seconds - now_seconds, 3),
        )
    return snapshots
