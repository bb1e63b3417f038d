"""The recent pace of each engine: the time between the pieces of its streams."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.peers import gateway_pb2 as pb

__all__ = ["INITIAL_PACE_SECONDS", "EnginePaces"]

PACE_SMOOTHING_FACTOR = 0.1
"""Weight of a new interval in the exponential moving average."""

PACE_LIFETIME_SECONDS = 5.0
"""An engine's pace is discarded after this time without new intervals, so that an engine that was
slow gets work again."""

INITIAL_PACE_SECONDS = 0.05
"""Assumed interval between an engine's events until one has been measured."""


@dataclass(frozen=True, slots=True)
class _Pace:
    seconds_per_piece: float
    measured_at_seconds: float


@dataclass(slots=True)
class EnginePaces:
    """Smoothed interval between the events of a stream, by engine."""

    _paces: dict[str, _Pace] = field(default_factory=dict)

    def record_interval(self, start: str, interval_seconds: float, now_seconds: float) -> None:
        """Record the interval between two events of a stream.

        Parameters
        ----------
        start : str
            The engine's start (`ListedTarget.start`): a restarted engine may run on another VM.
        interval_seconds : float
            The interval.
        now_seconds : float
            Arrival time of the second event (monotonic).
        """
        known_pace = self._paces.get(start)
        previous_seconds = (
            known_pace.seconds_per_piece if known_pace is not None else interval_seconds
        )
        smoothed_seconds = previous_seconds + PACE_SMOOTHING_FACTOR * (
            interval_seconds - previous_seconds
        )
        self._paces[start] = _Pace(smoothed_seconds, now_seconds)

    def get(self, start: str, now_seconds: float) -> float:
        """Return an engine's seconds per piece; `INITIAL_PACE_SECONDS` without a recent one.

        Parameters
        ----------
        start : str
            The engine's start (`ListedTarget.start`): a restarted engine may run on another VM.
        now_seconds : float
            Monotonic clock.
        """
        known_pace = self._paces.get(start)
        if (
            known_pace is None
            or now_seconds >= known_pace.measured_at_seconds + PACE_LIFETIME_SECONDS
        ):
            return INITIAL_PACE_SECONDS
        return known_pace.seconds_per_piece

    def has_interval_since(self, start: str, since_seconds: float) -> bool:
        """Return whether an interval was recorded for an engine after a given time (monotonic)."""
        known_pace = self._paces.get(start)
        return known_pace is not None and known_pace.measured_at_seconds > since_seconds

    def current_paces(self, now_seconds: float) -> list[pb.EnginePace]:
        """Return the paces that have not expired, as sent to other daemons."""
        return [
            pb.EnginePace(
                instance=start,
                us_per_piece=round(pace.seconds_per_piece * 1e6),
                age_ms=round((now_seconds - pace.measured_at_seconds) * 1e3),
            )
            for start, pace in self._paces.items()
            if now_seconds < pace.measured_at_seconds + PACE_LIFETIME_SECONDS
        ]

    def record_peer_paces(self, peer_paces: Iterable[pb.EnginePace], now_seconds: float) -> None:
        """Record paces from another daemon where they are newer than the local ones.

        The owner of a new job has often run nothing for some seconds. Without these paces it would
        consider all engines equally fast and start long texts at slow ones.
        """
        for peer_pace in peer_paces:
            measured_at_seconds = now_seconds - peer_pace.age_ms / 1e3
            known_pace = self._paces.get(peer_pace.instance)
            if known_pace is None or known_pace.measured_at_seconds < measured_at_seconds:
                self._paces[peer_pace.instance] = _Pace(
                    peer_pace.us_per_piece / 1e6, measured_at_seconds
                )
