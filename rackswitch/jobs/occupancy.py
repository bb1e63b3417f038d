"""How full engines are that several daemons fill at the same time.

Each owner of a job counts its own runs, and hears from each answer and report how many an
engine has in all. What is left of that after its own is what the others have there.
"""

from dataclasses import dataclass, field

__all__ = ["EngineLoad", "EngineOccupancy"]

LOAD_LIFE_SECONDS = 1.0
"""How long an engine's word about its load counts: about a usual run's time, after which
others' runs have mostly ended."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine says of itself.

    Attributes
    ----------
    running, waiting : int
        Requests it works on, and requests in its queue.
    """

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class _Heard:
    others: int
    until_seconds: float


@dataclass(slots=True)
class EngineOccupancy:
    """Runs at each engine: this daemon's own, and what it hears of the others'."""

    own: dict[str, int] = field(default_factory=dict)
    _heard: dict[str, _Heard] = field(default_factory=dict)

    def began(self, instance: str) -> None:
        """Count a run of this daemon in."""
        self.own[instance] = self.own.get(instance, 0) + 1

    def ended(self, instance: str) -> None:
        """Count a run of this daemon out."""
        self.own[instance] -= 1

    def heard(self, instance: str, load: EngineLoad, now_seconds: float) -> None:
        """Take in an engine's word; what this daemon runs there is in it."""
        others = load.running + load.waiting - self.own.get(instance, 0)
        self._heard[instance] = _Heard(max(0, others), now_seconds + LOAD_LIFE_SECONDS)

    def others_last(self, instance: str) -> int | None:
        """Return how many runs other daemons had at an engine by its last word, however old.

        None if it never gave one.
        """
        heard = self._heard.get(instance)
        return heard.others if heard is not None else None

    def others(self, instance: str, now_seconds: float) -> int:
        """Return how many runs other daemons have at an engine, as far as is known."""
        heard = self._heard.get(instance)
        return heard.others if heard is not None and now_seconds < heard.until_seconds else 0
