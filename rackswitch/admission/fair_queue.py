"""Wait queue of one rank, fair between tenants.

References
----------
"Efficient Fair Queuing Using Deficit Round Robin" (Shreedhar, Varghese; SIGCOMM 1995).
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

from rackswitch.admission.decisions import AdmissionRequest

__all__ = ["FairQueue"]

QUANTUM_SECONDS = 0.05
"""Work that each tenant earns per turn: about one call's."""


@dataclass(slots=True)
class _TenantQueue:
    """One tenant's requests, earliest deadline first.

    Attributes
    ----------
    requests : list of (bool, float, int, AdmissionRequest)
        A heap: whether it is a first try (not a retry), its deadline, its number, the request.
    deficit_seconds : float
        Work that the tenant has earned and not yet used.
    """

    requests: list[tuple[bool, float, int, AdmissionRequest]] = field(default_factory=list)
    deficit_seconds: float = 0.0


@dataclass(slots=True)
class FairQueue:
    """Admission requests of one rank, in deficit round robin between tenants by work.

    A tenant without waiting requests loses its deficit.
    """

    _tenants: dict[str, _TenantQueue] = field(default_factory=dict)
    _active_tenants: deque[str] = field(default_factory=deque)
    _removed_numbers: set[int] = field(default_factory=set)
    _last_number: int = 0
    _request_count: int = 0

    def __len__(self) -> int:
        return self._request_count

    def add(self, request: AdmissionRequest) -> int:
        """Add a request; return the number by which it can be removed."""
        queue = self._tenants.get(request.tenant)
        if queue is None:
            queue = self._tenants[request.tenant] = _TenantQueue()
            self._active_tenants.append(request.tenant)
        self._last_number += 1
        # Retries go first: their callers have waited before.
        heapq.heappush(
            queue.requests,
            (not request.is_retry, request.deadline_seconds, self._last_number, request),
        )
        self._request_count += 1
        return self._last_number

    def remove(self, number: int) -> None:
        """Remove a request that was added and not popped yet."""
        self._removed_numbers.add(number)
        self._request_count -= 1

    def count_ahead_of(self, request: AdmissionRequest) -> int:
        """Return how many waiting requests would be sent before a new one.

        These are the tenant's own requests with an earlier deadline and, as tenants take turns, at
        most one more than that of each other tenant. Retries all go before first tries.
        """
        sort_key = (not request.is_retry, request.deadline_seconds)
        own_count = sum(entry[:2] <= sort_key for entry in self._pending_entries(request.tenant))
        other_count = 0
        for tenant in self._tenants:
            if tenant != request.tenant:
                other_count += self._count_ahead_in(tenant, request.is_retry, own_count + 1)
        return own_count + other_count

    def _count_ahead_in(self, tenant: str, is_retry: bool, max_turns: int) -> int:
        """Return how many of another tenant's requests go before a tenant's own."""
        pending = self._pending_entries(tenant)
        retry_count = sum(entry[3].is_retry for entry in pending)
        if is_retry:
            return min(retry_count, max_turns)
        return retry_count + min(len(pending) - retry_count, max_turns)

    def pop(
        self, work_seconds_by_kind: dict[str, float], default_work_seconds: float
    ) -> int | None:
        """Pop the next request and return its number; None if none waits.

        Parameters
        ----------
        work_seconds_by_kind : dict of str to float
            Typical duration by kind of call.
        default_work_seconds : float
            Typical duration of kinds that are not in it.
        """
        self._drop_idle_tenants()
        # Retries of any tenant go before first tries.
        is_retry = any(queue.requests[0][3].is_retry for queue in self._tenants.values())
        while self._active_tenants:
            tenant = self._active_tenants[0]
            queue = self._tenants[tenant]
            number, request = queue.requests[0][2:]
            if request.is_retry != is_retry:
                self._active_tenants.rotate(-1)
                continue
            cost_seconds = work_seconds_by_kind.get(request.kind, default_work_seconds)
            if queue.deficit_seconds < cost_seconds:
                queue.deficit_seconds += QUANTUM_SECONDS
                self._active_tenants.rotate(-1)
                continue
            heapq.heappop(queue.requests)
            queue.deficit_seconds -= cost_seconds
            self._request_count -= 1
            return number
        return None

    def _pending_entries(self, tenant: str) -> list[tuple[bool, float, int, AdmissionRequest]]:
        queue = self._tenants.get(tenant)
        requests = queue.requests if queue is not None else []
        return [entry for entry in requests if entry[2] not in self._removed_numbers]

    def _drop_idle_tenants(self) -> None:
        """Remove tenants without waiting requests, and their deficits."""
        for tenant in list(self._active_tenants):
            queue = self._tenants[tenant]
            self._drop_removed(queue)
            if not queue.requests:
                self._active_tenants.remove(tenant)
                del self._tenants[tenant]

    def _drop_removed(self, queue: _TenantQueue) -> None:
        while queue.requests and queue.requests[0][2] in self._removed_numbers:
            self._removed_numbers.discard(heapq.heappop(queue.requests)[2])
