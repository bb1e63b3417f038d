"""Which engines load weights at present, as whoever orders them tells all daemons.

An engine refuses new runs of a model while it loads a version of it. Owners of jobs that do not
know send their items there all the same: of 155 refused runs on a calm day of 16 daemons 138
were refused by an engine that loaded weights of their model.
"""

from dataclasses import dataclass, field

__all__ = ["EngineLoads"]

FIRST_LOAD_SECONDS = 1.0
"""What a load is taken to last before one was seen to end; the platform's sheets tell 0.9 s."""

MAX_LOAD_SECONDS = 4.0
"""A load that was told so long ago has failed, or its end was not listed."""

LONGER_SHARE = 0.2
"""Weight of a load that lasted longer than usual. The end of a load shows with a lag of up to a
heartbeat, so the shortest are nearest to the truth and count whole."""


@dataclass(frozen=True, slots=True)
class _Load:
    version: int
    began_seconds: float


@dataclass(slots=True)
class EngineLoads:
    """One daemon's knowledge of the loads under way.

    Attributes
    ----------
    usual_seconds : float
        How long a load takes until an engine runs the model's items again, learnt from the
        loads that were told and then listed as done.
    """

    usual_seconds: float = FIRST_LOAD_SECONDS
    _loads: dict[tuple[str, str], _Load] = field(default_factory=dict)

    def told(self, engine: str, model: str, version: int, now_seconds: float) -> None:
        """Note that an engine is being ordered to load a version; a repeated word says nothing."""
        known = self._loads.get((engine, model))
        if known is None or known.version != version:
            self._loads[engine, model] = _Load(version, now_seconds)

    def listed(self, engine: str, versions: dict[str, int], now_seconds: float) -> None:
        """Note the versions that an engine says it has."""
        for model, version in versions.items():
            load = self._loads.get((engine, model))
            if load is not None and version >= load.version:
                del self._loads[engine, model]
                self._learn(now_seconds - load.began_seconds)

    def gone(self, engine: str) -> None:
        """Forget an engine."""
        for key in [key for key in self._loads if key[0] == engine]:
            del self._loads[key]

    def is_loading(self, engine: str, model: str, now_seconds: float) -> bool:
        """Return whether an engine probably refuses items of a model now."""
        load = self._loads.get((engine, model))
        if load is None:
            return False
        return now_seconds < load.began_seconds + self.usual_seconds

    def _learn(self, lasted_seconds: float) -> None:
        if lasted_seconds > MAX_LOAD_SECONDS:
            return
        difference_seconds = lasted_seconds - self.usual_seconds
        self.usual_seconds += difference_seconds * (LONGER_SHARE if difference_seconds > 0 else 1.0)
