"""What can become of a request; errors are values, not exceptions."""

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
    """A state that the program's design rules out; it stops the process."""


def check_invariant(condition: bool, text: str) -> None:
    """Stop the process when a designed-in property does not hold.

    Parameters
    ----------
    condition : bool
        The property.
    text : str
        What was expected, for the log.

    Raises
    ------
    BrokenInvariant
        If `condition` is false.
    """
    if not condition:
        raise BrokenInvariant(text)


class NotRunReason(Enum):
    """Why a request did not run; each value is the tail of a problem type."""

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
    """The request ran and its whole answer is here."""

    status: int
    body: bytes
    media_type: str
    version: int | None = None


@dataclass(frozen=True, slots=True)
class NotRun:
    """No target has begun the request, over all attempts."""

    reason: NotRunReason
    detail: str
    retry_at_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request reached a target, or may have, and its end is not known."""

    detail: str
    retry_at_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class RanAndFailed:
    """A target ran the request and answered with a failure of its own."""

    status: int
    body: bytes
    media_type: str


Outcome = Completed | NotRun | MayHaveRun | RanAndFailed
