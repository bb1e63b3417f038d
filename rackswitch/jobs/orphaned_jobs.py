"""When a daemon may claim a job that has no owner."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from rackswitch.leases import rank_candidates

__all__ = ["OrphanedJobs"]

RANK_DELAY_SECONDS = 0.4
"""Additional delay of each further candidate, so that claims seldom race; a claim takes a few
network round trips."""

CLAIM_RETRY_DELAY_SECONDS = 0.6
"""Minimum delay between two claims of the same job by one daemon."""

MAX_RANK = 4

MAX_DISTANCE = 2
"""Distance of a daemon whose zone is not known: that of another region."""


@dataclass(slots=True)
class OrphanedJobs:
    """Jobs that have no owner, as far as this daemon knows.

    Parameters
    ----------
    daemon : str
        This daemon.
    """

    daemon: str
    orphaned_at_seconds: dict[str, float] = field(default_factory=dict)
    next_claim_seconds: dict[str, float] = field(default_factory=dict)

    def record_orphaned(self, name: str, now_seconds: float) -> None:
        """Record that a job has no owner."""
        self.orphaned_at_seconds.setdefault(name, now_seconds)

    def record_owned(self, name: str) -> None:
        """Record that a job has an owner."""
        self.orphaned_at_seconds.pop(name, None)
        self.next_claim_seconds.pop(name, None)

    def schedule_claim(self, name: str, at_seconds: float) -> None:
        """Schedule the next claim of a job for a given time (monotonic)."""
        self.next_claim_seconds[name] = at_seconds

    def is_orphan(self, name: str) -> bool:
        """Return whether a job is known to have no owner."""
        return name in self.orphaned_at_seconds

    def try_claim(
        self,
        name: str,
        live_daemons: list[str],
        has_state: bool,
        released: bool,
        now_seconds: float,
        distances: Mapping[str, int] | None = None,
    ) -> bool:
        """Return whether to claim a job now; if so, delay the next claim.

        Parameters
        ----------
        name : str
            The job's key.
        live_daemons : list of str
            Daemons considered live; they claim in the order of their rank.
        has_state : bool
            Whether this daemon still holds the job's state, and so may claim without delay.
        released : bool
            Whether the former owner released the job, so that no delay is needed for it.
        now_seconds : float
            Monotonic clock.
        distances : mapping of str to int, optional
            How far each daemon is from the former owner; nearer ones rank first.
        """
        orphaned_at_seconds = self.orphaned_at_seconds.get(name)
        if orphaned_at_seconds is None or now_seconds < self.next_claim_seconds.get(name, 0.0):
            return False
        ranked_daemons = rank_candidates(name, live_daemons)
        if distances is not None:
            ranked_daemons.sort(key=lambda daemon: distances.get(daemon, MAX_DISTANCE))
        rank = ranked_daemons.index(self.daemon) if self.daemon in ranked_daemons else MAX_RANK
        # The first delay is reserved for a former owner that reclaims the job.
        delay_rank = 0 if has_state else min(rank, MAX_RANK) + (not released)
        if now_seconds < orphaned_at_seconds + delay_rank * RANK_DELAY_SECONDS:
            return False
        self.next_claim_seconds[name] = now_seconds + CLAIM_RETRY_DELAY_SECONDS
        return True
