"""The calls that wait for one service, in the order in which they go."""

from dataclasses import dataclass, field

from rackswitch.admission.decisions import AdmissionRequest, Ticket
from rackswitch.admission.fair_queue import FairQueue

__all__ = ["MAX_PASSED", "WaitQueue"]

MAX_CALLS = 256
"""Calls that wait; behind more of them a call would be out of time before its turn."""

MAX_BYTES = 64 * 1024 * 1024
"""Bodies of all waiting calls together, which are kept in memory."""

MAX_PASSED = 16
"""Most calls of better ranks that go before one call of a rank that wants room: about one call in
seventeen keeps a last rank moving, and costs the first rank little."""


@dataclass(slots=True)
class _Rank:
    """One rank's calls.

    Attributes
    ----------
    queue : FairQueue
        Those that wait.
    passed : int
        Calls of better ranks that went while this rank wanted room.
    wants_room : bool
        Whether a call of this rank waits or was refused since its last one went.
    """

    queue: FairQueue = field(default_factory=FairQueue)
    passed: int = 0
    wants_room: bool = False


@dataclass(slots=True)
class WaitQueue:
    """Bounded in calls and bytes; ordered by rank, then in fair turns, then by time left.

    Of the calls of better ranks no more than `MAX_PASSED` go before a rank that wants room.

    Attributes
    ----------
    body_bytes : int
        Bodies of the calls that wait.
    """

    body_bytes: int = 0
    _ranks: dict[int, _Rank] = field(default_factory=dict)
    _tickets: dict[Ticket, AdmissionRequest] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._tickets)

    def has_room(self, want: AdmissionRequest) -> bool:
        """Return whether one more call may wait."""
        return len(self) < MAX_CALLS and self.body_bytes + want.body_bytes <= MAX_BYTES

    def add(self, want: AdmissionRequest) -> Ticket:
        """Let a call wait."""
        rank = self._rank(want.rank)
        rank.wants_room = True
        ticket = Ticket(want.rank, rank.queue.add(want))
        self._tickets[ticket] = want
        self.body_bytes += want.body_bytes
        return ticket

    def remove(self, ticket: Ticket) -> AdmissionRequest | None:
        """Take a call out that need not wait any more; None if it is not here."""
        want = self._tickets.pop(ticket, None)
        if want is not None:
            self._rank(ticket.rank).queue.remove(ticket.number)
            self.body_bytes -= want.body_bytes
        return want

    def ahead_of(self, want: AdmissionRequest) -> int:
        """Return how many waiting calls would go before a new one."""
        own = self._ranks.get(want.rank)
        in_rank = own.queue.ahead_of(want) if own is not None else 0
        if own is not None and own.passed >= MAX_PASSED:
            return in_rank
        better = sum(len(rank.queue) for number, rank in self._ranks.items() if number < want.rank)
        return in_rank + better + self._due_behind(want.rank)

    def next_rank(self) -> int | None:
        """Return the rank whose turn it is; None if nothing waits."""
        waiting = [number for number, rank in self._ranks.items() if len(rank.queue)]
        if not waiting:
            return None
        overdue = [number for number in waiting if self._ranks[number].passed >= MAX_PASSED]
        return min(overdue or waiting)

    def take(
        self, work_seconds_of: dict[str, float], usual_seconds: float
    ) -> tuple[Ticket, AdmissionRequest] | None:
        """Take the next call out; None if none waits.

        Parameters
        ----------
        work_seconds_of : dict of str to float
            Usual work by kind of call.
        usual_seconds : float
            That of kinds that are not known yet.
        """
        number = self.next_rank()
        if number is None:
            return None
        taken = self._ranks[number].queue.take(work_seconds_of, usual_seconds)
        if taken is None:
            return None
        ticket = Ticket(number, taken)
        want = self._tickets.pop(ticket)
        self.body_bytes -= want.body_bytes
        self.went(number)
        return ticket, want

    def went(self, number: int) -> None:
        """Note that a call of a rank went, after waiting or at once."""
        own = self._rank(number)
        own.passed = 0
        own.wants_room = len(own.queue) > 0
        for other, rank in self._ranks.items():
            if other > number and rank.wants_room:
                rank.passed += 1

    def refused(self, number: int) -> None:
        """Note that a call of a rank wanted room and got none."""
        self._rank(number).wants_room = True

    def is_overdue(self, number: int) -> bool:
        """Return whether it is a rank's turn, as so many better ones went before it."""
        rank = self._ranks.get(number)
        return rank is not None and rank.passed >= MAX_PASSED

    def waiting(self) -> dict[Ticket, AdmissionRequest]:
        """Return the calls that wait."""
        return dict(self._tickets)

    def _due_behind(self, number: int) -> int:
        """Return how many calls of worse ranks go before this rank's next."""
        return sum(
            1
            for other, rank in self._ranks.items()
            if other > number and rank.passed >= MAX_PASSED and len(rank.queue)
        )

    def _rank(self, number: int) -> _Rank:
        return self._ranks.setdefault(number, _Rank())
