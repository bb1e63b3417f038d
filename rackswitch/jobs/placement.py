"""Which daemon should own a new job.

An owner of several jobs knows all of their runs, so that these do not meet at a full engine, and it
reuses connections across jobs. Jobs accepted in one availability zone therefore gather at few
daemons, as far as these have capacity. A job that arrives while no other is open goes to the last
owner.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["OwnerCandidate", "OwnerSelector"]

ITEMS_PER_PROCESSOR = 1200.0
"""Maximum number of open items per processor of a daemon's VM."""

DEFAULT_MAX_ITEMS = 600.0
"""Maximum number of open items of a daemon that reports no processor share: that of half a
processor."""

CONNECTION_KEEP_ALIVE_SECONDS = 9.0
"""Keep-alive time of connections to engines, counted from a job's submission. Within it the last
owner is reused, as a new one would need new connections."""

REFUSAL_COOLDOWN_SECONDS = 3.0
"""How long no jobs are sent to a daemon that did not accept one."""


@dataclass(frozen=True, slots=True)
class OwnerCandidate:
    """A daemon of the accepting daemon's zone.

    Attributes
    ----------
    processor_share : float
        Share of a processor that its VM has; 0 if unknown.
    open_items : int
        Items of the jobs that it owns and that have not ended.
    idle_seconds : float
        Time since the submission of its latest job, open or not.
    is_restarted : bool
        Whether daemons are being stopped in turn and this one was already restarted.
    """

    daemon: str
    processor_share: float
    open_items: int
    idle_seconds: float = float("inf")
    is_restarted: bool = False

    @property
    def has_connections(self) -> bool:
        """Whether it has open connections for a job's items."""
        return self.open_items > 0 or self.idle_seconds < CONNECTION_KEEP_ALIVE_SECONDS

    def has_capacity(self, items: int) -> bool:
        """Return whether it has capacity for this many more items."""
        max_items = (
            self.processor_share * ITEMS_PER_PROCESSOR
            if self.processor_share
            else DEFAULT_MAX_ITEMS
        )
        return self.open_items + items <= max_items


@dataclass(slots=True)
class OwnerSelector:
    """Selects owners of new jobs, and skips daemons that recently did not accept one.

    Parameters
    ----------
    daemon : str
        This daemon, which accepted the job.
    """

    daemon: str
    _cooldown_until_seconds: dict[str, float] = field(default_factory=dict)

    def select_owner(
        self, candidates: Iterable[OwnerCandidate], items: int, now_seconds: float
    ) -> str:
        """Return the owner of a new job: the fullest owner with capacity for it, else the last one.

        While daemons are stopped in turn, restarted daemons with capacity come first: any other may
        have to hand the job over next.

        Parameters
        ----------
        candidates : iterable of OwnerCandidate
            Daemons of this zone that are considered live, including this one.
        items : int
            Number of the job's items.
        now_seconds : float
            Monotonic clock.
        """
        usable = [
            candidate
            for candidate in candidates
            if candidate.has_capacity(items)
            and now_seconds >= self._cooldown_until_seconds.get(candidate.daemon, float("-inf"))
        ]
        renewed = [candidate for candidate in usable if candidate.is_restarted]
        if renewed:
            return max(renewed, key=_owner_key).daemon
        connected = [candidate for candidate in usable if candidate.has_connections]
        if not connected:
            return self.daemon
        return max(connected, key=_owner_key).daemon

    def record_refusal(self, daemon: str, now_seconds: float) -> None:
        """Record that a daemon did not accept a job."""
        self._cooldown_until_seconds[daemon] = now_seconds + REFUSAL_COOLDOWN_SECONDS


def _owner_key(candidate: OwnerCandidate) -> tuple[int, float, str]:
    """Return a candidate's sort key, the same at every daemon."""
    return candidate.open_items, -candidate.idle_seconds, candidate.daemon
