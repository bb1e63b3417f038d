"""The progress of one item: the pieces of its text over one or more runs."""

import math
from dataclasses import dataclass, field
from enum import Enum

from rackswitch.jobs.messages import JobItem, JobResult

__all__ = ["ItemPhase", "ItemProgress", "PieceFault", "TextPiece"]

MAX_IDLE_SECONDS = 2.0
"""Time at no engine after which an item is overdue. While engines have room, an owed item may be at
none for 5 s; the rest is for a change of its job's owner and for a start that fails."""

OVERDUE_RETRY_SECONDS = 1.0
"""Time after which an item whose overdue start reached no engine is overdue again."""


class ItemPhase(Enum):
    """Phase of an item's processing."""

    WAITING = "waiting"
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    """The text is complete, but it is not known whether several versions may have generated it."""

    SCORING = "scoring"
    FINISHED = "finished"
    LISTED = "listed"


@dataclass(frozen=True, slots=True)
class TextPiece:
    """One complete event of an engine's stream.

    Attributes
    ----------
    number : int
        Number of the event in the item's text, counted from 1 over all runs.
    version : int
        Version of the weights that generated it.
    """

    number: int
    text: str
    version: int


@dataclass(frozen=True, slots=True)
class PieceFault:
    """Why a piece does not continue a text."""

    detail: str


@dataclass(slots=True)
class ItemProgress:
    """The state of one item on the daemon that owns its job.

    Attributes
    ----------
    pieces : list of str
        The text so far, in complete events.
    failures : int
        Runs that the engine ended with a failure.
    reward_failures : int
        Reward calls that the reward service ended with a failure.
    errors : int
        Unexpected errors that ended the work on it.
    run_number : int
        Number of runs started. It distinguishes the current run's output from that of a cancelled
        one.
    moves : int
        Runs that were ended to continue at a faster engine.
    late_moves : int
        Moves of runs that had waited long for their first piece.
    avoided_instance : str
        Target of the last interrupted run; the next run prefers another one.
    not_before_seconds : float
        Earliest start of the next run (monotonic).
    idle_since_seconds : float or None
        Since when the item has been at no engine (monotonic), or was before its present run; None
        until it is first considered.
    overdue_at_seconds : float
        From when the item may start at any engine with its weights and a free slot (monotonic).
        What the owner only believes of an engine does not delay it any longer.
    """

    item: JobItem
    phase: ItemPhase = ItemPhase.WAITING
    pieces: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    failures: int = 0
    reward_failures: int = 0
    errors: int = 0
    run_number: int = 0
    moves: int = 0
    late_moves: int = 0
    avoided_instance: str = ""
    not_before_seconds: float = 0.0
    idle_since_seconds: float | None = None
    overdue_at_seconds: float = math.inf
    result: JobResult | None = None

    @property
    def last_number(self) -> int:
        """Number of the last piece; 0 if there is none."""
        return len(self.pieces)

    def is_overdue(self, now_seconds: float) -> bool:
        """Return whether the item has been at no engine for too long (monotonic clock)."""
        return now_seconds >= self.overdue_at_seconds

    def record_idle(self, now_seconds: float, was_at_engine: bool = True) -> None:
        """Record that the item is at no engine.

        Parameters
        ----------
        now_seconds : float
            The current time (monotonic).
        was_at_engine : bool, optional
            Whether an engine has worked on it until now. Otherwise the item has been at no engine
            for longer.
        """
        if was_at_engine or self.idle_since_seconds is None:
            self.idle_since_seconds = now_seconds
            self.overdue_at_seconds = now_seconds + MAX_IDLE_SECONDS
        elif self.is_overdue(now_seconds):
            self.overdue_at_seconds = now_seconds + OVERDUE_RETRY_SECONDS

    def accept(self, piece: TextPiece, oldest_version: int) -> PieceFault | None:
        """Append a piece, or return why it does not continue this text."""
        expected_number = self.last_number + 1
        if piece.number != expected_number:
            return PieceFault(f"piece {piece.number} received; expected {expected_number}")
        if piece.version < oldest_version:
            return PieceFault(f"version {piece.version} is older than {oldest_version}")
        self.pieces.append(piece.text)
        if piece.version not in self.versions:
            self.versions.append(piece.version)
        return None

    def discard_text(self) -> None:
        """Discard the text generated so far."""
        self.pieces.clear()
        self.versions.clear()

    def text(self) -> str:
        """Return the text so far: the data of all events, one per line."""
        return "\n".join(self.pieces)
