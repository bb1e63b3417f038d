"""An item in the making: the pieces of its text over one or more runs."""

from dataclasses import dataclass, field
from enum import Enum

from rackswitch.jobs.messages import JobItem, JobResult

__all__ = ["ItemPhase", "ItemProgress", "PieceFault", "TextPiece"]


class ItemPhase(Enum):
    """Where an item stands."""

    WAITING = "waiting"
    RUNNING = "running"
    SCORING = "scoring"
    FINISHED = "finished"
    LISTED = "listed"


@dataclass(frozen=True, slots=True)
class TextPiece:
    """One whole event of an engine's stream.

    Attributes
    ----------
    number : int
        The event's number in the item's text, counting from 1 over all runs.
    version : int
        The weights that made it.
    """

    number: int
    text: str
    version: int


@dataclass(frozen=True, slots=True)
class PieceFault:
    """Why a piece cannot belong to this text."""

    detail: str


@dataclass(slots=True)
class ItemProgress:
    """What is known of one item on the daemon that owns its job.

    Attributes
    ----------
    pieces : list of str
        The text so far, whole events only.
    failures : int
        Runs that the engine itself ended with a failure.
    reward_failures : int
        Reward calls that the service itself ended with a failure.
    run_number : int
        Counts runs, so that what a cancelled run still brings is told apart.
    moves : int
        Runs that were ended to go on at a faster engine.
    avoid : str
        Target of the last run that broke, if another one is to be tried.
    """

    item: JobItem
    phase: ItemPhase = ItemPhase.WAITING
    pieces: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    failures: int = 0
    reward_failures: int = 0
    run_number: int = 0
    moves: int = 0
    avoid: str = ""
    not_before_seconds: float = 0.0
    result: JobResult | None = None

    @property
    def last_number(self) -> int:
        """Number of the last piece; 0 if there is none."""
        return len(self.pieces)

    def accept(self, piece: TextPiece, oldest_version: int) -> PieceFault | None:
        """Append a piece, or say why it does not continue this text."""
        expected = self.last_number + 1
        if piece.number != expected:
            return PieceFault(f"piece {piece.number} in place of {expected}")
        if piece.version < oldest_version:
            return PieceFault(f"version {piece.version} is older than {oldest_version}")
        self.pieces.append(piece.text)
        if piece.version not in self.versions:
            self.versions.append(piece.version)
        return None

    def begin_anew(self) -> None:
        """Drop the text made so far."""
        self.pieces.clear()
        self.versions.clear()

    def text(self) -> str:
        """Return the text so far: the data of all events, one a line."""
        return "\n".join(self.pieces)
