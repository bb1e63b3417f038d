"""Which daemon should own a new job.

An owner of several jobs knows all of their runs, so that these do not meet at a full engine, and it
reuses connections across jobs. Jobs accepted in one availability zone therefore gather at few
daemons, as far as these have capacity. A job that arrives while no other is open goes to the last
owner.

In a fleet whose VMs differ in memory or link, a daemon that cannot carry a job well does not keep
it because it accepted it, as long as another one can.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.jobs.item_limits import ItemLimit, item_limit
from rackswitch.membership import VmCapacity

__all__ = ["OwnerCandidate", "OwnerSelector"]

CONNECTION_KEEP_ALIVE_SECONDS = 9.0
"""Keep-alive time of connections to engines, counted from a job's submission. Within it the last
owner is reused, as a new one would need new connections."""

REFUSAL_COOLDOWN_SECONDS = 3.0
"""How long no jobs are sent to a daemon that did not accept one."""

LARGE_JOB_FRACTION = 0.25
"""A job is large for a daemon if it takes more than this part of the daemon's maximum number of
open items. On a link of 30 Mbit/s (125 items) that is a job of 32 items."""


@dataclass(frozen=True, slots=True)
class OwnerCandidate:
    """A daemon of the accepting daemon's zone.

    Attributes
    ----------
    capacity : VmCapacity
        What its VM can carry, with memory and link only where they differ in the fleet.
    open_items : int
        Items of the jobs that it owns and that have not ended.
    idle_seconds : float
        Time since the submission of its latest job, open or not.
    is_restarted : bool
        Whether daemons are being stopped in turn and this one was already restarted.
    is_overloaded : bool
        Whether its event loop is late; known only of the daemon that chooses.
    """

    daemon: str
    capacity: VmCapacity
    open_items: int
    idle_seconds: float = float("inf")
    is_restarted: bool = False
    is_overloaded: bool = False

    @property
    def has_connections(self) -> bool:
        """Whether it has open connections for a job's items."""
        return self.open_items > 0 or self.idle_seconds < CONNECTION_KEEP_ALIVE_SECONDS

    def has_capacity(self, items: int) -> bool:
        """Return whether it has capacity for this many more items."""
        return self.open_items + items <= self.limit.max_items

    def is_large(self, items: int) -> bool:
        """Return whether a job of this many items is large for its memory or link."""
        if not self.capacity.has_memory_or_link:
            return False
        return items > self.limit.max_items * LARGE_JOB_FRACTION

    @property
    def limit(self) -> ItemLimit:
        """Its maximum number of open items."""
        return item_limit(self.capacity)

    @property
    def free_items(self) -> float:
        """How many more items it can carry; negative if it has too many."""
        return self.limit.max_items - self.open_items

    @property
    def may_get_jobs(self) -> bool:
        """Whether it may be chosen: not if it is overloaded in a fleet of uneven VMs."""
        return not (self.is_overloaded and self.capacity.has_memory_or_link)


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

        Daemons for which the job is large come after all others. If no owner is suitable, this
        daemon owns the job, or in an uneven fleet the largest daemon if this one is unsuitable.

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
        candidates = list(candidates)
        own = next((one for one in candidates if one.daemon == self.daemon), None)
        available = [one for one in candidates if self._is_available(one, now_seconds)]
        with_capacity = [one for one in available if one.has_capacity(items)]
        suitable = [one for one in with_capacity if not one.is_large(items)]
        usable = suitable or with_capacity
        renewed = [candidate for candidate in usable if candidate.is_restarted]
        if renewed:
            return max(renewed, key=_owner_key).daemon
        connected = [candidate for candidate in usable if candidate.has_connections]
        if connected:
            return max(connected, key=_owner_key).daemon
        return self._select_without_connections(available, usable, own)

    def _is_available(self, candidate: OwnerCandidate, now_seconds: float) -> bool:
        cooldown_until_seconds = self._cooldown_until_seconds.get(candidate.daemon, float("-inf"))
        return candidate.may_get_jobs and now_seconds >= cooldown_until_seconds

    def _select_without_connections(
        self,
        available: list[OwnerCandidate],
        usable: list[OwnerCandidate],
        own: OwnerCandidate | None,
    ) -> str:
        """Return the owner of a job when no usable daemon has connections for it."""
        if own is None or own in usable or not own.capacity.has_memory_or_link:
            return self.daemon
        if usable:
            return max(usable, key=lambda one: (one.limit.max_items, one.daemon)).daemon
        if not available:
            return self.daemon
        # None has capacity, so the job goes where the most is left.
        return max(available, key=lambda one: (one.free_items, one.daemon)).daemon

    def record_refusal(self, daemon: str, now_seconds: float) -> None:
        """Record that a daemon did not accept a job."""
        self._cooldown_until_seconds[daemon] = now_seconds + REFUSAL_COOLDOWN_SECONDS


def _owner_key(candidate: OwnerCandidate) -> tuple[int, float, str]:
    """Return a candidate's sort key, the same at every daemon."""
    return candidate.open_items, -candidate.idle_seconds, candidate.daemon
