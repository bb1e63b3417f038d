"""When a daemon may take over a job that has no owner."""

from dataclasses import dataclass, field

from rackswitch.leases import rank_candidates

__all__ = ["OrphanedJobs"]

RANK_PAUSE_SECONDS = 0.4
"""How much longer each further candidate waits, so that they seldom race; a claim takes a
few network round trips."""

CLAIM_RETRY_SECONDS = 0.6
"""Between two claims of the same job by one daemon."""

MAX_RANK = 4


@dataclass(slots=True)
class OrphanedJobs:
    """Jobs without an owner, as far as this daemon knows.

    Parameters
    ----------
    daemon : str
        This daemon.
    """

    daemon: str
    since_seconds: dict[str, float] = field(default_factory=dict)
    next_try_seconds: dict[str, float] = field(default_factory=dict)

    def orphaned(self, name: str, now_seconds: float) -> None:
        """Note that a job has no owner."""
        self.since_seconds.setdefault(name, now_seconds)

    def owned(self, name: str) -> None:
        """Note that a job has an owner."""
        self.since_seconds.pop(name, None)
        self.next_try_seconds.pop(name, None)

    def retry(self, name: str, at_seconds: float) -> None:
        """Have the next claim of a job made at a moment (monotonic), whenever the last one was."""
        self.next_try_seconds[name] = at_seconds

    def is_orphan(self, name: str) -> bool:
        """Return whether a job is known to have no owner."""
        return name in self.since_seconds

    def may_claim(
        self, name: str, live: list[str], held: bool, released: bool, now_seconds: float
    ) -> bool:
        """Return whether to claim a job now, and count that as a try.

        Parameters
        ----------
        name : str
            The job.
        live : list of str
            Daemons believed live; the best ranked claim first.
        held : bool
            Whether this daemon still has the job's state at hand, and so goes first.
        released : bool
            Whether the former owner gave the job away, so that nobody need wait for it.
        now_seconds : float
            Monotonic clock.
        """
        since_seconds = self.since_seconds.get(name)
        if since_seconds is None or now_seconds < self.next_try_seconds.get(name, 0.0):
            return False
        ranked = rank_candidates(name, live)
        rank = ranked.index(self.daemon) if self.daemon in ranked else MAX_RANK
        # One rank is left free for a former owner that lives and comes back for it.
        place = 0 if held else min(rank, MAX_RANK) + (not released)
        if now_seconds < since_seconds + place * RANK_PAUSE_SECONDS:
            return False
        self.next_try_seconds[name] = now_seconds + CLAIM_RETRY_SECONDS
        return True
