"""Which daemon should own a new job.

The owner of several jobs knows all of their runs, so that these do not meet at a full engine, and
goes on using the connections of one job's items for the next one's. So the jobs that come to one
availability zone gather at few daemons, as far as these have room.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["OwnerCandidate", "OwnerChoice"]

ITEMS_A_SHARE = 1200.0
"""Open items that a daemon takes for each whole processor it has. Two trainers' open steps, 528
items, lay with daemons of half a processor on a calm day of the larger fleet."""

LEAST_ITEMS = 600.0
"""What is taken by a daemon that does not tell its room: as one with half a processor."""

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
    """

    daemon: str
    room: float
    open_items: int

    def has_room(self, items: int) -> bool:
        """Return whether so many more items would not be too many."""
        most_items = self.room * ITEMS_A_SHARE if self.room else LEAST_ITEMS
        return self.open_items + items <= most_items


@dataclass(slots=True)
class OwnerChoice:
    """One daemon's choices, and what it has learnt by them.

    Parameters
    ----------
    daemon : str
        This daemon, which has accepted the job.
    """

    daemon: str
    _avoided_until_seconds: dict[str, float] = field(default_factory=dict)

    def owner(self, candidates: Iterable[OwnerCandidate], items: int, now_seconds: float) -> str:
        """Return who should own a job: the fullest owner that has room for it.

        Parameters
        ----------
        candidates : iterable of OwnerCandidate
            The daemons of this one's zone believed live, this one included.
        items : int
            How many items the job has.
        now_seconds : float
            Monotonic clock.
        """
        fit = [
            candidate
            for candidate in candidates
            if candidate.open_items
            and candidate.has_room(items)
            and now_seconds >= self._avoided_until_seconds.get(candidate.daemon, float("-inf"))
        ]
        if not fit:
            return self.daemon
        return max(fit, key=lambda candidate: (candidate.open_items, candidate.daemon)).daemon

    def failed(self, daemon: str, now_seconds: float) -> None:
        """Note that a daemon did not take a job."""
        self._avoided_until_seconds[daemon] = now_seconds + AVOID_SECONDS
