"""How fast each engine has brought the pieces of its streams of late."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.peers import gateway_pb2 as pb

__all__ = ["FIRST_PACE_SECONDS", "EnginePaces"]

PACE_SMOOTHING = 0.1
"""So that some ten events weigh in; a dozen streams bring them within a tenth of a second."""

PACE_LIFE_SECONDS = 5.0
"""An engine that was slow is given work again after so long without any: its trouble may be
over, and only work shows that."""

FIRST_PACE_SECONDS = 0.05
"""What an engine's time between events is taken for before one has been seen."""


@dataclass(frozen=True, slots=True)
class _Pace:
    seconds_per_piece: float
    seen_seconds: float


@dataclass(slots=True)
class EnginePaces:
    """Smoothed time between the events of a stream, by engine."""

    _paces: dict[str, _Pace] = field(default_factory=dict)

    def note(self, start: str, gap_seconds: float, now_seconds: float) -> None:
        """Take in one gap.

        Parameters
        ----------
        start : str
            The start of the engine: another one under its identity may be on another machine.
        gap_seconds : float
            Between two events of one stream.
        now_seconds : float
            When the second of them came (monotonic).
        """
        known = self._paces.get(start)
        before = known.seconds_per_piece if known is not None else gap_seconds
        smoothed = before + PACE_SMOOTHING * (gap_seconds - before)
        self._paces[start] = _Pace(smoothed, now_seconds)

    def get(self, start: str, now_seconds: float) -> float:
        """Return an engine's seconds per piece; what was seen too long ago says nothing any more.

        Parameters
        ----------
        start : str
            The start of the engine: another one under its identity may be on another machine.
        now_seconds : float
            The present (monotonic).
        """
        known = self._paces.get(start)
        if known is None or now_seconds >= known.seen_seconds + PACE_LIFE_SECONDS:
            return FIRST_PACE_SECONDS
        return known.seconds_per_piece

    def seen_since(self, start: str, at_seconds: float) -> bool:
        """Return whether an engine has brought pieces of any run after a moment (monotonic)."""
        known = self._paces.get(start)
        return known is not None and known.seen_seconds > at_seconds

    def to_tell(self, now_seconds: float) -> list[pb.EnginePace]:
        """Return the paces that still count, to be told to another daemon."""
        return [
            pb.EnginePace(
                instance=start,
                us_per_piece=round(pace.seconds_per_piece * 1e6),
                age_ms=round((now_seconds - pace.seen_seconds) * 1e3),
            )
            for start, pace in self._paces.items()
            if now_seconds < pace.seen_seconds + PACE_LIFE_SECONDS
        ]

    def hear(self, told: Iterable[pb.EnginePace], now_seconds: float) -> None:
        """Take in what another daemon tells, where that is newer than what is known here.

        The owner of a new job has often run nothing for some seconds. Without others' word it
        takes all engines for equally fast and puts long texts on slow ones.
        """
        for pace in told:
            seen_seconds = now_seconds - pace.age_ms / 1e3
            known = self._paces.get(pace.instance)
            if known is None or known.seen_seconds < seen_seconds:
                self._paces[pace.instance] = _Pace(pace.us_per_piece / 1e6, seen_seconds)
