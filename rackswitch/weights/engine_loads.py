"""Tracks which engines are loading weights, from the orders that are reported to all daemons.

An engine refuses new runs of a model while it loads a version of it, so job owners avoid sending
items of this model to it.
"""

from dataclasses import dataclass, field

__all__ = ["EngineLoads"]

INITIAL_LOAD_SECONDS = 1.0
"""Initial estimate of a load's duration, until the end of a load was seen."""

MAX_LOAD_SECONDS = 4.0
"""Longer durations are ignored: the load failed, or its end was not listed."""

LONGER_LOAD_WEIGHT = 0.2
"""Weight of a load that took longer than estimated. The end of a load is seen with a delay of up
to a heartbeat, so shorter durations are more accurate and replace the estimate."""


@dataclass(frozen=True, slots=True)
class _Load:
    version: int
    started_at_seconds: float


@dataclass(slots=True)
class EngineLoads:
    """One daemon's estimate of the loads in progress.

    Attributes
    ----------
    typical_load_seconds : float
        Estimated time from the order of a load until the engine runs the model's items again.
    """

    typical_load_seconds: float = INITIAL_LOAD_SECONDS
    _loads: dict[tuple[str, str], _Load] = field(default_factory=dict)

    def record_order(self, engine: str, model: str, version: int, now_seconds: float) -> None:
        """Record an order to load a version; a repeated report is ignored."""
        known = self._loads.get((engine, model))
        if known is None or known.version != version:
            self._loads[engine, model] = _Load(version, now_seconds)

    def record_versions(self, engine: str, versions: dict[str, int], now_seconds: float) -> None:
        """Record the versions that an engine reports."""
        for model, version in versions.items():
            load = self._loads.get((engine, model))
            if load is not None and version >= load.version:
                del self._loads[engine, model]
                self._record_duration(now_seconds - load.started_at_seconds)

    def remove_engine(self, engine: str) -> None:
        """Remove an engine."""
        for key in [key for key in self._loads if key[0] == engine]:
            del self._loads[key]

    def is_loading(self, engine: str, model: str, now_seconds: float) -> bool:
        """Return whether an engine is estimated to refuse items of a model now."""
        load = self._loads.get((engine, model))
        if load is None:
            return False
        return now_seconds < load.started_at_seconds + self.typical_load_seconds

    def _record_duration(self, duration_seconds: float) -> None:
        if duration_seconds > MAX_LOAD_SECONDS:
            return
        difference_seconds = duration_seconds - self.typical_load_seconds
        self.typical_load_seconds += difference_seconds * (
            LONGER_LOAD_WEIGHT if difference_seconds > 0 else 1.0
        )
