"""A call that asks for room at a service, and what is decided about it."""

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
"""Ranks of callers beyond this one count as this one."""

REWARD_RANK = LEAST_URGENT_RANK + 1
"""Reward calls go behind all callers: nobody waits for a single one, but for a whole step."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that asks for room.

    Attributes
    ----------
    request_id : str
        The caller's own identity of it.
    kind : str
        Calls of one kind (a route) take about the same work.
    tenant : str
        Whose call it is, for fair shares; empty where that is not known.
    rank : int
        0 goes first.
    body_bytes : int
        What it holds in memory while it waits.
    arrived_seconds : float
        When it came (monotonic).
    aim_seconds, deadline_seconds : float
        Until when the answer is wanted, and until when it is of any use (monotonic).
    is_back : bool
        Whether it probably was refused before and has come back.
    """

    request_id: str
    kind: str
    tenant: str
    rank: int
    body_bytes: int
    arrived_seconds: float
    aim_seconds: float
    deadline_seconds: float
    is_back: bool = False


class RefusalCause(Enum):
    """Why a call is refused."""

    ROOM_FULL = "room full"
    WAIT_TOO_LONG = "wait too long"
    OVER_SHARE = "over its share"
    OUT_OF_TIME = "out of time"
    ALL_REFUSE = "all targets refuse"


@dataclass(frozen=True, slots=True)
class SendCall:
    """The call goes to a target now."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a waiting call is known by.

    Attributes
    ----------
    rank : int
        Its rank, 0 first.
    number : int
        Its number among the calls of that rank.
    """

    rank: int
    number: int


@dataclass(frozen=True, slots=True)
class WaitInQueue:
    """The call waits; it is told when it may go or is refused.

    Attributes
    ----------
    ticket : Ticket
        What it is known by until then.
    wait_seconds : float
        How long that probably takes.
    """

    ticket: Ticket
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """The call has not run and will not.

    Attributes
    ----------
    cause : RefusalCause
        Why.
    wait_seconds : float
        How long it would probably have waited.
    """

    cause: RefusalCause
    wait_seconds: float
