"""When a slow run should continue at another engine.

A step waits for its longest texts, and one at an engine that has become slow may take several times
as long as elsewhere. A move costs little: the new engine reads the prompt and the text so far and
continues after the last piece.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

__all__ = ["PieceIntervals", "SpareCapacity", "should_move"]

INTERVAL_WINDOW = 9
"""Number of latest intervals whose median gives a run's pace; a single delay, such as a weight
load, does not change it."""

MIN_INTERVALS = 5
"""Minimum number of intervals from which a run's pace is estimated."""

MIN_MOVE_SLOWDOWN = 1.15
"""Minimum slowdown, relative to the other engine, at which a run moves. Engines of one service
differ by up to 1.3 without a fault; less than half of that may be chance."""

MOVE_COST_SECONDS = 0.2
"""Cost of a move: a new connection, reading the prompt and the text, and a place in a batch. A
run moves only if it gains more than this."""

MAX_MOVES = 3
"""Maximum number of moves of one item, so that wrong pace estimates do not move it back and
forth."""


@dataclass(slots=True)
class PieceIntervals:
    """Arrival times of one run's pieces, and the latest intervals between them."""

    intervals_seconds: deque[float] = field(default_factory=lambda: deque(maxlen=INTERVAL_WINDOW))
    first_at_seconds: float | None = None
    last_at_seconds: float | None = None

    def record_piece(self, now_seconds: float) -> float | None:
        """Record a piece; return the interval before it, None for the first."""
        previous_at_seconds = self.last_at_seconds
        self.last_at_seconds = now_seconds
        if previous_at_seconds is None:
            self.first_at_seconds = now_seconds
            return None
        interval_seconds = now_seconds - previous_at_seconds
        self.intervals_seconds.append(interval_seconds)
        return interval_seconds

    def streaming_seconds(self) -> float:
        """Return the time between the run's first and latest piece."""
        if self.first_at_seconds is None or self.last_at_seconds is None:
            return 0.0
        return self.last_at_seconds - self.first_at_seconds

    def seconds_per_piece(self) -> float | None:
        """Return the median interval; None if there are too few."""
        if len(self.intervals_seconds) < MIN_INTERVALS:
            return None
        return median(self.intervals_seconds)


@dataclass(slots=True)
class SpareCapacity:
    """Spare capacity at the fastest engine of a service, for which no item waits.

    Attributes
    ----------
    free_slots : int
        Moves that it still accepts; decremented with each move.
    versions : dict of str to int
        Versions of its weights, by model.
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
    """Return whether a run should continue at the spare engine.

    Parameters
    ----------
    run_seconds_per_piece : float or None
        The run's own pace.
    spare : SpareCapacity or None
        The engine to move to.
    instance : str
        The run's present engine.
    remaining_pieces : float
        Number of pieces that its text probably still lacks.
    moves : int
        How often the item has moved.
    """
    if run_seconds_per_piece is None or spare is None or spare.free_slots <= 0:
        return False
    if spare.instance == instance or moves >= MAX_MOVES:
        return False
    if run_seconds_per_piece <= MIN_MOVE_SLOWDOWN * spare.seconds_per_piece:
        return False
    gain_seconds = remaining_pieces * (run_seconds_per_piece - spare.seconds_per_piece)
    return gain_seconds > MOVE_COST_SECONDS
