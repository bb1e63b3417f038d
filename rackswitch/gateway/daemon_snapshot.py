"""What a daemon believes at this moment, and how old that is."""

import msgspec

from rackswitch.daemon.roles import RoleManager
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.job_manager import JobManager
from rackswitch.gateway.store.presence import Presence
from rackswitch.gateway.store.watching import ReplicaManager
from rackswitch.jobs import ItemPhase
from rackswitch.table import ServiceRow

__all__ = ["DaemonSnapshot", "JobSnapshot", "beliefs_of"]


class JobSnapshot(msgspec.Struct, frozen=True):
    """A job that is worked on here."""

    listed: int
    total: int
    waiting: int
    running: int
    scoring: int
    oldest_version: int
    seconds_left: float


class DaemonSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one daemon, for a person.

    Attributes
    ----------
    copy_ages_seconds : dict of str to float
        By prefix, how long ago the key-value service vouched for the copy kept here; -1 if
        it never did.
    away_seconds : float or None
        How long the service has not answered this daemon; None while it does.
    follows : str
        The daemon whose copies are taken over; empty if the service is watched itself.
    targets : dict of str to int
        Usable targets by service.
    roles : dict of str to int
        Roles held here, with their fencing numbers.
    """

    daemon: str
    table_revision: int
    copy_ages_seconds: dict[str, float]
    away_seconds: float | None
    session_sure: bool
    follows: str
    members: list[str]
    targets: dict[str, int]
    named_versions: dict[str, int]
    roles: dict[str, int]
    jobs_known: int
    jobs_owned: dict[str, JobSnapshot]
    requests_in_flight: int
    stopping: bool
    log_lines_dropped: int
    log_lines_folded: int


def beliefs_of(
    context: GatewayContext,
    copies: ReplicaManager,
    presence: Presence,
    roles: RoleManager,
    jobs: JobManager,
) -> DaemonSnapshot:
    """Return what a daemon believes now."""
    now_seconds = context.now_seconds()
    away_since_seconds = context.contact.away_since_seconds
    services = context.daemon.view.rows(ServiceRow)
    return DaemonSnapshot(
        daemon=context.daemon_name,
        table_revision=context.table_revision,
        copy_ages_seconds={
            prefix: _age(now_seconds - copy.confirmed_at_seconds)
            for prefix, copy in copies.copies.items()
        },
        away_seconds=_age(now_seconds - away_since_seconds) if away_since_seconds else None,
        session_sure=presence.is_sure(),
        follows=copies.followed,
        members=context.daemon.membership.live(),
        targets={
            row.name: len(context.directory.usable(row.name, now_seconds)) for row in services
        },
        named_versions=dict(context.named_versions),
        roles={role: roles.fencing(role) for role in roles.roles if roles.may_act(role)},
        jobs_known=len(jobs.known.jobs),
        jobs_owned=_jobs(jobs, now_seconds),
        requests_in_flight=context.daemon.in_flight.count,
        stopping=context.daemon.stopping,
        log_lines_dropped=context.log.dropped_total,
        log_lines_folded=context.log.folded_total,
    )


def _age(seconds: float) -> float:
    return round(seconds, 3) if seconds < float("inf") else -1.0


def _jobs(jobs: JobManager, now_seconds: float) -> dict[str, JobSnapshot]:
    beliefs: dict[str, JobSnapshot] = {}
    for job_id, owned in jobs.owned.items():
        phases = [progress.phase for progress in owned.ledger.items.values()]
        beliefs[job_id] = JobSnapshot(
            listed=len(owned.ledger.listed),
            total=owned.ledger.total,
            waiting=phases.count(ItemPhase.WAITING),
            running=phases.count(ItemPhase.RUNNING),
            scoring=phases.count(ItemPhase.SCORING),
            oldest_version=owned.ledger.job.oldest_version,
            seconds_left=round(owned.due_seconds - now_seconds, 3),
        )
    return beliefs
