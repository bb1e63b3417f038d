"""Engines that leave: until when each can be counted on, and which runs go on elsewhere before.

A run that its engine's end breaks loses the time until that is noticed and until another engine
has room. One that leaves before loses only the reading of its prompt and of its text so far.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.jobs.schedule import EngineCapacity

__all__ = ["LeavingEngines", "LeavingRun", "runs_to_move"]

LAST_PIECE_MARGIN_SECONDS = 0.2
"""A run stays only if it is whole at least this long before its engine's end: the forecast of its
end may be off by some pieces, and the engine's clock by as much."""

MIN_REMAINING_SECONDS = 0.2
"""A run that lacks less than this stays whenever its engine ends: elsewhere, to read its prompt and
text anew and get a place in a batch would take as long."""


@dataclass(slots=True)
class LeavingEngines:
    """Starts of engines that leave, and until when each can be counted on (monotonic)."""

    until_seconds: dict[str, float] = field(default_factory=dict)

    def noticed(
        self, start: str, now_seconds: float, left_seconds: float | None, min_seconds: float
    ) -> bool:
        """Take in that an engine leaves; return whether that is news.

        A later word counts only if it tells of an earlier end: the time that a word names was
        left when it was written, and it is older by the time that it is read again.

        Parameters
        ----------
        start : str
            Which start of the engine.
        now_seconds : float
            Monotonic clock.
        left_seconds : float or None
            What it says that is left; None if it does not say.
        min_seconds : float
            For how long any engine serves after such a notice, at least; 0 if that is not known,
            and its end may then come at any moment.
        """
        bound_seconds = now_seconds + (min_seconds if left_seconds is None else left_seconds)
        known_seconds = self.until_seconds.get(start)
        if known_seconds is None:
            self.until_seconds[start] = bound_seconds
            return True
        if left_seconds is not None:
            self.until_seconds[start] = min(known_seconds, bound_seconds)
        return False

    def keep_only(self, starts: Iterable[str]) -> None:
        """Forget engines that are gone, or have taken their notice back."""
        kept = set(starts)
        self.until_seconds = {
            start: until for start, until in self.until_seconds.items() if start in kept
        }


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A run at an engine that leaves.

    Attributes
    ----------
    key : (str, str)
        Its job and its item.
    start, service, model : str
        Where it is, and what can go on with it.
    oldest_version : int
        Of the weights that may go on with it.
    remaining_pieces : float
        What its text probably still lacks.
    seconds_per_piece : float
        Its own pace.
    start_by_seconds : float
        When it would have had to start at the latest to be whole in time (monotonic).
    tokens : float
        What it will hold of an engine's memory.
    is_surplus : bool
        Whether its trainer will not wait for it.
    """

    key: tuple[str, str]
    start: str
    service: str
    model: str
    oldest_version: int
    remaining_pieces: float
    seconds_per_piece: float
    start_by_seconds: float
    tokens: float = 0.0
    is_surplus: bool = False

    @property
    def remaining_seconds(self) -> float:
        """How long it still takes where it is."""
        return self.remaining_pieces * self.seconds_per_piece


def runs_to_move(
    runs: Iterable[LeavingRun],
    until_seconds: dict[str, float],
    rooms: list[EngineCapacity],
    now_seconds: float,
) -> list[tuple[LeavingRun, str]]:
    """Return the runs that go on elsewhere now, the most urgent first, and where there is room.

    They leave only as fast as other engines have free slots: one that would wait there is better
    off where it is, which still brings pieces.

    Parameters
    ----------
    runs : iterable of LeavingRun
        Runs at engines that leave.
    until_seconds : dict of str to float
        By start, until when an engine can be counted on (monotonic).
    rooms : list of EngineCapacity
        Room at the engines that stay; what is planned is taken off.
    now_seconds : float
        Monotonic clock.
    """
    lost = [run for run in runs if not _ends_in_time(run, until_seconds[run.start], now_seconds)]
    lost.sort(key=lambda run: (run.is_surplus, run.start_by_seconds))
    moves: list[tuple[LeavingRun, str]] = []
    for run in lost:
        room = _room_for(run, rooms)
        if room is None:
            continue
        room.begin(run.tokens)
        moves.append((run, room.instance))
    return moves


def _ends_in_time(run: LeavingRun, until_seconds: float, now_seconds: float) -> bool:
    if run.remaining_seconds < MIN_REMAINING_SECONDS:
        return True
    return now_seconds + run.remaining_seconds <= until_seconds - LAST_PIECE_MARGIN_SECONDS


def _room_for(run: LeavingRun, rooms: list[EngineCapacity]) -> EngineCapacity | None:
    fit = [
        room
        for room in rooms
        if room.service == run.service
        and room.versions.get(run.model, 0) >= run.oldest_version
        and room.takes(run.tokens)
        and (room.slots == 0 or room.runs < room.slots)
    ]
    return min(fit, key=lambda room: room.expected_seconds(run.remaining_pieces), default=None)
