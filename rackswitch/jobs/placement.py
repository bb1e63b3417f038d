"""Which daemon should own a new job.

The owner of several jobs knows all of their runs, so that these do not meet at a full engine, and
goes on using the connections of one job's items for the next one's. So the jobs that come to one
availability zone gather at few daemons, as far as these have room; and one that comes when no other
is open goes to the daemon that owned the last.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["OwnerCandidate", "OwnerSelector"]

ITEMS_A_SHARE = 1200.0
"""Open items that a daemon takes for each whole processor it has, so that one with half a
processor still holds the open steps of two trainers."""

MIN_ITEMS = 600.0
"""What is taken by a daemon that does not tell its room: as one with half a processor."""

WARM_SECONDS = 9.0
"""How long after a job came its owner still has the connections of its items: as long as the users'
engines let them rest. Else a trainer whose short steps end before it asks for the next would have a
new owner for most steps, each with connections of its own."""

AVOID_SECONDS = 3.0
"""How long no jobs are sent to a daemon that did not take one."""


@dataclass(frozen=True, slots=True)
class OwnerCandidate:
    """A daemon of the accepting one's zone.

    Attributes
    ----------
    room : float
        Share of a processor that its VM has; 0 if it is not known.
    open_items : int
        Items of the jobs that it owns and that have not ended.
    idle_seconds : float
        How long ago the last of its jobs was submitted, open or not.
    is_renewed : bool
        Whether daemons are being stopped in turn, and this one has been restarted already.
    """

    daemon: str
    room: float
    open_items: int
    idle_seconds: float = float("inf")
    is_renewed: bool = False

    @property
    def is_warm(self) -> bool:
        """Whether it has connections for a job's items."""
        return self.open_items > 0 or self.idle_seconds < WARM_SECONDS

    def has_room(self, items: int) -> bool:
        """Return whether so many more items would not be too many."""
        max_items = self.room * ITEMS_A_SHARE if self.room else MIN_ITEMS
        return self.open_items + items <= max_items


@dataclass(slots=True)
class OwnerSelector:
    """One daemon's choices, and what it has learnt by them.

    Parameters
    ----------
    daemon : str
        This daemon, which has accepted the job.
    """

    daemon: str
    _avoided_until_seconds: dict[str, float] = field(default_factory=dict)

    def owner(self, candidates: Iterable[OwnerCandidate], items: int, now_seconds: float) -> str:
        """Return who should own a job: the fullest owner that has room for it, else the last one.

        While daemons are stopped in turn it is one that has been restarted already, if there is
        one with room: any other may have to hand the job over next.

        Parameters
        ----------
        candidates : iterable of OwnerCandidate
            The daemons of this one's zone believed live, this one included.
        items : int
            How many items the job has.
        now_seconds : float
            Monotonic clock.
        """
        usable = [
            candidate
            for candidate in candidates
            if candidate.has_room(items)
            and now_seconds >= self._avoided_until_seconds.get(candidate.daemon, float("-inf"))
        ]
        renewed = [candidate for candidate in usable if candidate.is_renewed]
        if renewed:
            return max(renewed, key=_place).daemon
        fit = [candidate for candidate in usable if candidate.is_warm]
        if not fit:
            return self.daemon
        return max(fit, key=_place).daemon

    def failed(self, daemon: str, now_seconds: float) -> None:
        """Note that a daemon did not take a job."""
        self._avoided_until_seconds[daemon] = now_seconds + AVOID_SECONDS


def _place(candidate: OwnerCandidate) -> tuple[int, float, str]:
    """Return the order of candidates, the same at every daemon."""
    return candidate.open_items, -candidate.idle_seconds, candidate.daemon
