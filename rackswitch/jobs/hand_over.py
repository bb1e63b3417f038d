"""Which daemon takes over the jobs of an owner that stops.

While daemons are stopped in turn a job may move several times. Engines are full then, so a move
must lose neither text nor much time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.placement import OwnerCandidate
from rackswitch.leases import rank_candidates

__all__ = ["SuccessorCandidate", "is_restarted", "order_jobs", "order_successors"]

FLEET_START_SPREAD_SECONDS = 1.0
"""Maximum interval between process starts in a fleet that is started at once. A process that is
younger than this knows no engines yet."""


@dataclass(frozen=True, slots=True)
class SuccessorCandidate:
    """A daemon that may take a job over.

    Attributes
    ----------
    owner : OwnerCandidate
        Its open items and its capacity.
    in_zone : bool
        Whether it is in the stopping owner's availability zone.
    in_region : bool
        Whether it is in that zone's region; true in deployments without regions.
    """

    owner: OwnerCandidate
    in_zone: bool
    in_region: bool = True


def is_restarted(
    started_unix_seconds: float | None, oldest_unix_seconds: float, now_unix_seconds: float
) -> bool:
    """Return whether a daemon was already restarted, and so is not the next to be stopped.

    A process that started a moment ago knows no engines yet and does not count.

    Parameters
    ----------
    started_unix_seconds : float or None
        Start of its latest known process.
    oldest_unix_seconds : float
        Start of the process to compare with: the oldest one, or the one that stops.
    now_unix_seconds : float
        Unix time.
    """
    if started_unix_seconds is None:
        return False
    newer_by_seconds = started_unix_seconds - oldest_unix_seconds
    age_seconds = now_unix_seconds - started_unix_seconds
    return (
        newer_by_seconds > FLEET_START_SPREAD_SECONDS and age_seconds > FLEET_START_SPREAD_SECONDS
    )


def order_successors(
    job_id: str, items: int, candidates: Iterable[SuccessorCandidate]
) -> list[str]:
    """Return the daemons to offer a job to, best first.

    Daemons of the owner's region come first, since the job's trainer is most likely there. Among
    them restarted daemons come first, since the others may be stopped next; then daemons of the
    owner's zone, those with capacity, those for which the job is not large, and those with open
    connections for a job's items.

    Parameters
    ----------
    job_id : str
        The job; it determines the order of candidates that are otherwise equal.
    items : int
        Number of the job's items.
    candidates : iterable of SuccessorCandidate
        Daemons considered live that have not announced that they are stopping.
    """
    by_name = {candidate.owner.daemon: candidate for candidate in candidates}
    ranked = rank_candidates(job_id, list(by_name))
    return sorted(ranked, key=lambda name: _successor_key(by_name[name], items))


def _successor_key(candidate: SuccessorCandidate, items: int) -> tuple[bool, ...]:
    return (
        not candidate.in_region,
        not candidate.owner.is_restarted,
        not candidate.in_zone,
        not candidate.owner.has_capacity(items),
        candidate.owner.is_large(items),
        not candidate.owner.has_connections,
    )


def order_jobs(ledgers: Iterable[JobLedger]) -> list[JobLedger]:
    """Return jobs in the order in which trainers wait for them.

    Jobs whose pending results complete a step come first, then those with the fewest missing items.
    """
    return sorted(
        ledgers,
        key=lambda ledger: (not ledger.completes_step, ledger.total - len(ledger.listed)),
    )
