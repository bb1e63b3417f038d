"""Possible outcomes of a request; errors are values, not exceptions."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "BrokenInvariant",
    "Completed",
    "MayHaveRun",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "RanAndFailed",
    "check_invariant",
]


class BrokenInvariant(Exception):
    """A violated invariant, which stops the process."""


def check_invariant(condition: bool, text: str) -> None:
    """Raise an error that stops the process if an invariant does not hold.

    Parameters
    ----------
    condition : bool
        Whether the invariant holds.
    text : str
        Description of the invariant, for the log.

    Raises
    ------
    BrokenInvariant
        If `condition` is false.
    """
    if not condition:
        raise BrokenInvariant(text)


class NotRunReason(Enum):
    """Why a request did not run; each value is the last part of a problem type URN."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown-model"
    NO_TARGET = "no-target"
    HELD_BACK = "held-back"
    OVER_LIMIT = "over-limit"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    CLAIMS_UNAVAILABLE = "claims-unavailable"
    STOPPING = "stopping"
    TABLE_UNCONFIRMED = "table-unconfirmed"


@dataclass(frozen=True, slots=True)
class Completed:
    """The request ran and its complete response was received."""

    status: int
    body: bytes
    media_type: str
    version: int | None = None


@dataclass(frozen=True, slots=True)
class NotRun:
    """No target started the request in any attempt."""

    reason: NotRunReason
    detail: str
    retry_at_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request may have reached a target, and its result is unknown."""

    detail: str
    retry_at_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class RanAndFailed:
    """A target ran the request and returned an error response."""

    status: int
    body: bytes
    media_type: str


Outcome = Completed | NotRun | MayHaveRun | RanAndFailed
