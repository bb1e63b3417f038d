"""Wait queue of one service, ordered by rank and fair between tenants."""

from dataclasses import dataclass, field

from rackswitch.admission.decisions import AdmissionRequest, Ticket
from rackswitch.admission.fair_queue import FairQueue

__all__ = ["MAX_OVERTAKES", "WaitQueue"]

MAX_CALLS = 256
"""Maximum number of waiting calls; behind more of them a call would miss its deadline."""

MAX_BYTES = 64 * 1024 * 1024
"""Maximum size of the bodies of all waiting calls, which are kept in memory."""

MAX_OVERTAKES = 16
"""Maximum number of calls of higher ranks that are sent before one call of a rank with demand."""


@dataclass(slots=True)
class _RankQueue:
    """Waiting calls of one rank.

    Attributes
    ----------
    queue : FairQueue
        The waiting calls.
    overtaken_count : int
        Calls of higher ranks that were sent while this rank had demand.
    has_demand : bool
        Whether a call of this rank waits or was refused since its last one was sent.
    """

    queue: FairQueue = field(default_factory=FairQueue)
    overtaken_count: int = 0
    has_demand: bool = False


@dataclass(slots=True)
class WaitQueue:
    """Queue bounded in calls and bytes, ordered by rank, then fairly by tenant, then by deadline.

    At most `MAX_OVERTAKES` calls of higher ranks are sent before one call of a rank with demand.

    Attributes
    ----------
    body_bytes : int
        Size of the bodies of the waiting calls.
    """

    body_bytes: int = 0
    _rank_queues: dict[int, _RankQueue] = field(default_factory=dict)
    _requests: dict[Ticket, AdmissionRequest] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._requests)

    def has_capacity_for(self, request: AdmissionRequest) -> bool:
        """Return whether one more call may wait."""
        return len(self) < MAX_CALLS and self.body_bytes + request.body_bytes <= MAX_BYTES

    def add(self, request: AdmissionRequest) -> Ticket:
        """Add a call; return the ticket by which it can be removed."""
        rank_queue = self._rank_queue(request.rank)
        rank_queue.has_demand = True
        ticket = Ticket(request.rank, rank_queue.queue.add(request))
        self._requests[ticket] = request
        self.body_bytes += request.body_bytes
        return ticket

    def remove(self, ticket: Ticket) -> AdmissionRequest | None:
        """Remove a waiting call; return None if it is not in the queue."""
        request = self._requests.pop(ticket, None)
        if request is not None:
            self._rank_queue(ticket.rank).queue.remove(ticket.number)
            self.body_bytes -= request.body_bytes
        return request

    def count_ahead_of(self, request: AdmissionRequest) -> int:
        """Return how many waiting calls would be sent before a new one."""
        own_queue = self._rank_queues.get(request.rank)
        ahead_in_rank = own_queue.queue.count_ahead_of(request) if own_queue is not None else 0
        if own_queue is not None and own_queue.overtaken_count >= MAX_OVERTAKES:
            return ahead_in_rank
        higher_count = sum(
            len(rank_queue.queue)
            for rank, rank_queue in self._rank_queues.items()
            if rank < request.rank
        )
        return ahead_in_rank + higher_count + self._count_overdue_below(request.rank)

    def next_rank(self) -> int | None:
        """Return the rank whose turn it is; None if nothing waits."""
        waiting_ranks = [
            rank for rank, rank_queue in self._rank_queues.items() if len(rank_queue.queue)
        ]
        if not waiting_ranks:
            return None
        overdue_ranks = [
            rank
            for rank in waiting_ranks
            if self._rank_queues[rank].overtaken_count >= MAX_OVERTAKES
        ]
        return min(overdue_ranks or waiting_ranks)

    def pop(
        self, work_seconds_by_kind: dict[str, float], default_work_seconds: float
    ) -> tuple[Ticket, AdmissionRequest] | None:
        """Pop the next call; None if none waits.

        Parameters
        ----------
        work_seconds_by_kind : dict of str to float
            Typical duration by kind of call.
        default_work_seconds : float
            Typical duration of kinds that are not in it.
        """
        rank = self.next_rank()
        if rank is None:
            return None
        number = self._rank_queues[rank].queue.pop(work_seconds_by_kind, default_work_seconds)
        if number is None:
            return None
        ticket = Ticket(rank, number)
        request = self._requests.pop(ticket)
        self.body_bytes -= request.body_bytes
        self.record_send(rank)
        return ticket, request

    def record_send(self, rank: int) -> None:
        """Record that a call of a rank was sent, after waiting or at once."""
        own_queue = self._rank_queue(rank)
        own_queue.overtaken_count = 0
        own_queue.has_demand = len(own_queue.queue) > 0
        for other_rank, rank_queue in self._rank_queues.items():
            if other_rank > rank and rank_queue.has_demand:
                rank_queue.overtaken_count += 1

    def record_refusal(self, rank: int) -> None:
        """Record that a call of a rank was refused."""
        self._rank_queue(rank).has_demand = True

    def is_overdue(self, rank: int) -> bool:
        """Return whether a rank is due, as higher ranks overtook it too often."""
        rank_queue = self._rank_queues.get(rank)
        return rank_queue is not None and rank_queue.overtaken_count >= MAX_OVERTAKES

    def waiting_requests(self) -> dict[Ticket, AdmissionRequest]:
        """Return the waiting calls."""
        return dict(self._requests)

    def _count_overdue_below(self, rank: int) -> int:
        """Return how many lower ranks are overdue and have waiting calls."""
        return sum(
            1
            for other_rank, rank_queue in self._rank_queues.items()
            if other_rank > rank
            and rank_queue.overtaken_count >= MAX_OVERTAKES
            and len(rank_queue.queue)
        )

    def _rank_queue(self, rank: int) -> _RankQueue:
        return self._rank_queues.setdefault(rank, _RankQueue())
