"""Who goes on with the jobs of an owner that stops.

While daemons are stopped in turn a job may have to move several times. Engines are full then, so
that no move may lose text or much time.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.placement import OwnerCandidate
from rackswitch.leases import rank_candidates

__all__ = ["SuccessorCandidate", "is_renewed", "order_jobs", "order_successors"]

FLEET_START_SECONDS = 1.0
"""Most by which the processes of a fleet that is started at once begin apart. A process that is
younger knows no engines yet."""


@dataclass(frozen=True, slots=True)
class SuccessorCandidate:
    """A daemon that may take a job over.

    Attributes
    ----------
    owner : OwnerCandidate
        What it owns, and its room.
    in_zone : bool
        Whether it is in the stopping owner's availability zone.
    """

    owner: OwnerCandidate
    in_zone: bool


def is_renewed(
    started_unix_seconds: float | None, oldest_unix_seconds: float, now_unix_seconds: float
) -> bool:
    """Return whether a daemon has been restarted already, and so is not stopped next.

    One that has only just begun knows no engines yet, and does not count.

    Parameters
    ----------
    started_unix_seconds : float or None
        When its latest known process began.
    oldest_unix_seconds : float
        When the process began that is compared with: the oldest one, or the one that stops.
    now_unix_seconds : float
        The time of day.
    """
    if started_unix_seconds is None:
        return False
    since_seconds = started_unix_seconds - oldest_unix_seconds
    age_seconds = now_unix_seconds - started_unix_seconds
    return since_seconds > FLEET_START_SECONDS and age_seconds > FLEET_START_SECONDS


def order_successors(
    job_id: str, items: int, candidates: Iterable[SuccessorCandidate]
) -> list[str]:
    """Return the daemons to offer a job to, best first.

    Those restarted already come first, since the others may be stopped next; then those of the
    owner's zone, those with room, and those that have connections for a job's items.

    Parameters
    ----------
    job_id : str
        The job; those that are alike are ordered differently for each job.
    items : int
        How many items it has.
    candidates : iterable of SuccessorCandidate
        Daemons believed live that have not said that they are stopping.
    """
    by_name = {candidate.owner.daemon: candidate for candidate in candidates}
    ranked = rank_candidates(job_id, list(by_name))
    return sorted(ranked, key=lambda name: _misfit(by_name[name], items))


def _misfit(candidate: SuccessorCandidate, items: int) -> tuple[bool, ...]:
    return (
        not candidate.owner.is_renewed,
        not candidate.in_zone,
        not candidate.owner.has_room(items),
        not candidate.owner.is_warm,
    )


def order_jobs(ledgers: Iterable[JobLedger]) -> list[JobLedger]:
    """Return jobs in the order in which steps wait for them.

    First those with results that decide a step, then by how few items are missing.
    """
    return sorted(
        ledgers,
        key=lambda ledger: (not ledger.decides_step, ledger.total - len(ledger.listed)),
    )
