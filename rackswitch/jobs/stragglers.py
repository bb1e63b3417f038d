"""When a run is better gone on with at another engine.

A step waits for its longest texts. One of them at an engine that has turned slow takes
several times as long as it would elsewhere, and moving it costs little: the new engine
reads the prompt and goes on behind the last piece.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

__all__ = ["PieceIntervals", "SpareCapacity", "should_move"]

GAPS_SEEN = 9
"""Gaps between pieces that are looked at; their median forgives the pause of a load."""

MIN_GAPS = 5
"""Before so many gaps nothing is said of a run's pace: a fifth of a second at a usual one."""

MOVE_RATIO = 1.15
"""How many times slower than elsewhere a run must be at least. Engines of one service differ by
up to 1.3 on a calm day; less than half of that may be chance."""

MOVE_COST_SECONDS = 0.2
"""What a move takes: a new connection, the prompt and the text so far read once more, and a
place in a batch. A run stays unless it gains more than that."""

MAX_MOVES = 3
"""Moves of one item, so that a wrong belief about paces does not send it round."""


@dataclass(slots=True)
class PieceIntervals:
    """When the pieces of one run came, and the last gaps between them."""

    gaps_seconds: deque[float] = field(default_factory=lambda: deque(maxlen=GAPS_SEEN))
    first_at_seconds: float | None = None
    last_at_seconds: float | None = None

    def piece_came(self, now_seconds: float) -> float | None:
        """Take in a piece; return the gap before it, None for the first."""
        before_seconds = self.last_at_seconds
        self.last_at_seconds = now_seconds
        if before_seconds is None:
            self.first_at_seconds = now_seconds
            return None
        gap_seconds = now_seconds - before_seconds
        self.gaps_seconds.append(gap_seconds)
        return gap_seconds

    def brought_seconds(self) -> float:
        """Return for how long the run has brought pieces."""
        if self.first_at_seconds is None or self.last_at_seconds is None:
            return 0.0
        return self.last_at_seconds - self.first_at_seconds

    def seconds_per_piece(self) -> float | None:
        """Return the run's usual gap; None if too few were seen."""
        if len(self.gaps_seconds) < MIN_GAPS:
            return None
        return median(self.gaps_seconds)


@dataclass(slots=True)
class SpareCapacity:
    """Room at the fastest engine of a service that nothing waits for.

    Attributes
    ----------
    free_slots : int
        Moves that it still takes; counted down with each.
    versions : dict of str to int
        The weights it has, by model.
    """

    instance: str
    seconds_per_piece: float
    free_slots: int
    versions: dict[str, int] = field(default_factory=dict)


def should_move(
    run_seconds_per_piece: float | None,
    spare: SpareCapacity | None,
    instance: str,
    remaining_pieces: float,
    moves: int,
) -> bool:
    """Return whether a run should be gone on with at the spare engine.

    Parameters
    ----------
    run_seconds_per_piece : float or None
        The run's own pace.
    spare : SpareCapacity or None
        Where it could go.
    instance : str
        Where it is.
    remaining_pieces : float
        What its text probably still lacks.
    moves : int
        How often the item has been moved.
    """
    if run_seconds_per_piece is None or spare is None or spare.free_slots <= 0:
        return False
    if spare.instance == instance or moves >= MAX_MOVES:
        return False
    if run_seconds_per_piece <= MOVE_RATIO * spare.seconds_per_piece:
        return False
    gain_seconds = remaining_pieces * (run_seconds_per_piece - spare.seconds_per_piece)
    return gain_seconds > MOVE_COST_SECONDS
