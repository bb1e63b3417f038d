"""Calls of one rank that wait, in fair turns between tenants.

References
----------
"Efficient Fair Queuing Using Deficit Round Robin" (Shreedhar, Varghese; SIGCOMM 1995).
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

from rackswitch.admission.decisions import AdmissionRequest

__all__ = ["FairQueue"]

TURN_SECONDS = 0.05
"""Work that each tenant may have done in its turn: about one call's."""


@dataclass(slots=True)
class _TenantQueue:
    """One tenant's calls, those with the least time left first.

    Attributes
    ----------
    calls : list of (bool, float, int, AdmissionRequest)
        A heap: whether it is new (not back), its deadline, its number, the call.
    deficit_seconds : float
        Work that its turns have earned and its calls not yet used.
    """

    calls: list[tuple[bool, float, int, AdmissionRequest]] = field(default_factory=list)
    deficit_seconds: float = 0.0


@dataclass(slots=True)
class FairQueue:
    """Calls of one rank.

    Tenants take turns; in each one a tenant may have as much work done as any other. A tenant
    without waiting calls loses what its turns had earned.
    """

    _tenants: dict[str, _TenantQueue] = field(default_factory=dict)
    _turns: deque[str] = field(default_factory=deque)
    _gone: set[int] = field(default_factory=set)
    _number: int = 0
    _count: int = 0

    def __len__(self) -> int:
        return self._count

    def add(self, want: AdmissionRequest) -> int:
        """Add a call; return the number by which it is taken out."""
        queue = self._tenants.get(want.tenant)
        if queue is None:
            queue = self._tenants[want.tenant] = _TenantQueue()
            self._turns.append(want.tenant)
        self._number += 1
        # Who was refused before has waited longer than it shows here.
        heapq.heappush(queue.calls, (not want.is_back, want.deadline_seconds, self._number, want))
        self._count += 1
        return self._number

    def remove(self, number: int) -> None:
        """Take a call out that was added and not taken yet."""
        self._gone.add(number)
        self._count -= 1

    def ahead_of(self, want: AdmissionRequest) -> int:
        """Return how many waiting calls would go before a new one.

        Of its own tenant, all that have less time left. Of each other tenant at most as many as
        that and one more, as tenants take turns. Calls that are back all go before a newcomer.
        """
        place = (not want.is_back, want.deadline_seconds)
        own = sum(entry[:2] <= place for entry in self._alive(want.tenant))
        others = 0
        for tenant in self._tenants:
            if tenant != want.tenant:
                others += self._ahead_in(tenant, want.is_back, own + 1)
        return own + others

    def _ahead_in(self, tenant: str, is_back: bool, turns: int) -> int:
        """Return how many of another tenant's calls go before one that goes after some turns."""
        alive = self._alive(tenant)
        back_count = sum(entry[3].is_back for entry in alive)
        if is_back:
            return min(back_count, turns)
        return back_count + min(len(alive) - back_count, turns)

    def take(self, work_seconds_of: dict[str, float], usual_seconds: float) -> int | None:
        """Take the next call out and return its number; None if none waits.

        Parameters
        ----------
        work_seconds_of : dict of str to float
            Usual work by kind of call.
        usual_seconds : float
            That of kinds that are not known yet.
        """
        self._drop_empty()
        # Nobody who was refused before is put behind newcomers, of whatever tenant.
        is_back = any(queue.calls[0][3].is_back for queue in self._tenants.values())
        while self._turns:
            tenant = self._turns[0]
            queue = self._tenants[tenant]
            number, want = queue.calls[0][2:]
            if want.is_back != is_back:
                self._turns.rotate(-1)
                continue
            cost_seconds = work_seconds_of.get(want.kind, usual_seconds)
            if queue.deficit_seconds < cost_seconds:
                queue.deficit_seconds += TURN_SECONDS
                self._turns.rotate(-1)
                continue
            heapq.heappop(queue.calls)
            queue.deficit_seconds -= cost_seconds
            self._count -= 1
            return number
        return None

    def _alive(self, tenant: str) -> list[tuple[bool, float, int, AdmissionRequest]]:
        queue = self._tenants.get(tenant)
        calls = queue.calls if queue is not None else []
        return [entry for entry in calls if entry[2] not in self._gone]

    def _drop_empty(self) -> None:
        """Forget tenants without waiting calls, and with them what their turns had earned."""
        for tenant in list(self._turns):
            queue = self._tenants[tenant]
            self._drop_gone(queue)
            if not queue.calls:
                self._turns.remove(tenant)
                del self._tenants[tenant]

    def _drop_gone(self, queue: _TenantQueue) -> None:
        while queue.calls and queue.calls[0][2] in self._gone:
            self._gone.discard(heapq.heappop(queue.calls)[2])
