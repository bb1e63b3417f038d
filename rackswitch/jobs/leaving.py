"""Engines that are leaving: when they may end, and which runs continue elsewhere before.

A run that is interrupted by its engine's end loses the time until that is noticed and until another
engine has capacity. A run that moves before loses only the reading of its prompt and its text.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.jobs.schedule import EngineCapacity

__all__ = ["LeavingEngines", "LeavingRun", "runs_to_move"]

ENGINE_END_MARGIN_SECONDS = 0.2
"""A run stays only if it is expected to complete at least this long before its engine's end.
Covers errors of the forecast and of the engine's clock."""

MIN_REMAINING_SECONDS = 0.2
"""A run with less time left than this always stays: another engine would need as long to read
its prompt and text and to start it."""


@dataclass(slots=True)
class LeavingEngines:
    """Starts of engines that are leaving, and how long each is expected to serve (monotonic)."""

    until_seconds: dict[str, float] = field(default_factory=dict)

    def record_notice(
        self, start: str, now_seconds: float, left_seconds: float | None, min_seconds: float
    ) -> bool:
        """Record that an engine is leaving; return whether this is new.

        A repeated notice can only shorten the time: the engine states the time left when it writes
        the notice, and the notice is older by the time it is read again.

        Parameters
        ----------
        start : str
            Which start of the engine.
        now_seconds : float
            Monotonic clock.
        left_seconds : float or None
            Time left by the engine's notice; None if it does not say.
        min_seconds : float
            Minimum time that any engine serves after a notice; 0 if unknown, as its end may then
            come at any moment.
        """
        end_seconds = now_seconds + (min_seconds if left_seconds is None else left_seconds)
        known_end_seconds = self.until_seconds.get(start)
        if known_end_seconds is None:
            self.until_seconds[start] = end_seconds
            return True
        if left_seconds is not None:
            self.until_seconds[start] = min(known_end_seconds, end_seconds)
        return False

    def keep_only(self, starts: Iterable[str]) -> None:
        """Forget engines that are gone or have withdrawn their notice."""
        kept_starts = set(starts)
        self.until_seconds = {
            start: until for start, until in self.until_seconds.items() if start in kept_starts
        }


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A run at an engine that is leaving.

    Attributes
    ----------
    key : (str, str)
        Its job id and item id.
    start, service, model : str
        The engine's start, and the service and model that can continue the run.
    oldest_version : int
        Oldest version of the weights that may continue the run.
    remaining_pieces : float
        Number of pieces that its text probably still lacks.
    seconds_per_piece : float
        Its own pace.
    start_by_seconds : float
        Latest start at which it would be complete when due (monotonic).
    tokens : float
        Engine memory that it will use at its end, in tokens.
    is_surplus : bool
        Whether its trainer will not wait for it.
    allowed_regions : frozenset of str or None
        Regions in which it may continue; None for all.
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
    allowed_regions: frozenset[str] | None = None

    @property
    def remaining_seconds(self) -> float:
        """Expected time to complete the run at its present engine."""
        return self.remaining_pieces * self.seconds_per_piece


def runs_to_move(
    runs: Iterable[LeavingRun],
    until_seconds: dict[str, float],
    engines: list[EngineCapacity],
    now_seconds: float,
) -> list[tuple[LeavingRun, str]]:
    """Return the runs to continue elsewhere now, the most urgent first, each with its new engine.

    Runs move only to free slots: while it waits for one, a run still produces pieces where it is.

    Parameters
    ----------
    runs : iterable of LeavingRun
        Runs at engines that are leaving.
    until_seconds : dict of str to float
        By start, how long an engine is expected to serve (monotonic).
    engines : list of EngineCapacity
        Capacity of the engines that stay; reduced by the planned moves.
    now_seconds : float
        Monotonic clock.
    """
    endangered = [
        run for run in runs if not _completes_in_time(run, until_seconds[run.start], now_seconds)
    ]
    endangered.sort(key=lambda run: (run.is_surplus, run.start_by_seconds))
    moves: list[tuple[LeavingRun, str]] = []
    for run in endangered:
        engine = _fastest_engine(run, engines)
        if engine is None:
            continue
        engine.reserve(run.tokens)
        moves.append((run, engine.instance))
    return moves


def _completes_in_time(run: LeavingRun, until_seconds: float, now_seconds: float) -> bool:
    if run.remaining_seconds < MIN_REMAINING_SECONDS:
        return True
    return now_seconds + run.remaining_seconds <= until_seconds - ENGINE_END_MARGIN_SECONDS


def _fastest_engine(run: LeavingRun, engines: list[EngineCapacity]) -> EngineCapacity | None:
    candidates = [
        engine
        for engine in engines
        if engine.service == run.service
        and engine.is_allowed(run.allowed_regions)
        and engine.versions.get(run.model, 0) >= run.oldest_version
        and engine.has_capacity_for(run.tokens)
        and (engine.slots == 0 or engine.runs < engine.slots)
    ]
    return min(
        candidates, key=lambda engine: engine.expected_seconds(run.remaining_pieces), default=None
    )
