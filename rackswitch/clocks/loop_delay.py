"""Whether the event loop keeps up, judged by how late timers are."""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

__all__ = ["LoopDelays"]

WINDOW_SAMPLES = 10
"""Number of samples that are judged; with the probe's interval of 0.2 s these are 2 s or more."""

OVERLOAD_DELAY_SECONDS = 0.04
"""Median delay of an overloaded event loop: the time between two pieces of a text, at 25 pieces a
second. A loop that is later does not keep up with the streams that it reads."""


@dataclass(slots=True)
class LoopDelays:
    """The latest delays of an event loop's timers.

    The median is judged, so that a single pause of the process or a suspended VM is not taken for
    overload.
    """

    _delays_seconds: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW_SAMPLES))

    def record(self, due_seconds: float, now_seconds: float) -> None:
        """Record that a timer that was due at a time ran now (monotonic)."""
        self._delays_seconds.append(max(0.0, now_seconds - due_seconds))

    @property
    def median_seconds(self) -> float:
        """Median of the latest delays; 0 before the first sample."""
        return median(self._delays_seconds) if self._delays_seconds else 0.0

    @property
    def max_seconds(self) -> float:
        """Largest of the latest delays; 0 before the first sample."""
        return max(self._delays_seconds, default=0.0)

    @property
    def is_overloaded(self) -> bool:
        """Whether the event loop does not keep up; false until the window is full."""
        is_full = len(self._delays_seconds) == WINDOW_SAMPLES
        return is_full and self.median_seconds >= OVERLOAD_DELAY_SECONDS
