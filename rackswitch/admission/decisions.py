"""A call's admission request, and the decision about it."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "LEAST_URGENT_RANK",
    "REWARD_RANK",
    "AdmissionRequest",
    "RefuseCall",
    "RefusalCause",
    "SendCall",
    "Ticket",
    "WaitInQueue",
]

LEAST_URGENT_RANK = 9
"""Lowest rank of callers; higher numbers count as this one."""

REWARD_RANK = LEAST_URGENT_RANK + 1
"""Rank of reward calls, behind all callers: their results are needed only as a complete step."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that asks to be admitted to a service.

    Attributes
    ----------
    request_id : str
        The caller's identity of the call.
    kind : str
        Calls of one kind (a route) take about the same time.
    tenant : str
        The tenant, for fair shares; empty if it is not known.
    rank : int
        Priority; 0 is the highest.
    body_bytes : int
        Memory that it takes while it waits.
    arrived_seconds : float
        When it arrived (monotonic).
    latency_target_at_seconds, deadline_seconds : float
        Latency target and deadline of the answer (monotonic).
    is_retry : bool
        Whether it is probably a retry of a refused call.
    allowed_regions : frozenset of str or None
        Regions in which it may run; None for all.
    """

    request_id: str
    kind: str
    tenant: str
    rank: int
    body_bytes: int
    arrived_seconds: float
    latency_target_at_seconds: float
    deadline_seconds: float
    is_retry: bool = False
    allowed_regions: frozenset[str] | None = None


class RefusalCause(Enum):
    """Why a call is refused."""

    QUEUE_FULL = "room full"
    WAIT_TOO_LONG = "wait too long"
    OVER_SHARE = "over its share"
    OUT_OF_TIME = "out of time"
    ALL_TARGETS_REFUSE = "all targets refuse"


@dataclass(frozen=True, slots=True)
class SendCall:
    """The call is sent to a target now."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """Identity of a waiting call.

    Attributes
    ----------
    rank : int
        Its rank; 0 is the highest.
    number : int
        Its number among the calls of that rank.
    """

    rank: int
    number: int


@dataclass(frozen=True, slots=True)
class WaitInQueue:
    """The call waits until it is sent or refused.

    Attributes
    ----------
    ticket : Ticket
        Its identity in the queue.
    wait_seconds : float
        Expected wait.
    """

    ticket: Ticket
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """The call was not sent and will not be.

    Attributes
    ----------
    cause : RefusalCause
        Why it was refused.
    wait_seconds : float
        Expected wait, had it been queued.
    """

    cause: RefusalCause
    wait_seconds: float
