"""Room at engines that several daemons fill at the same time.

Each owner of a job counts its own runs and hears from each answer how many an engine
has in all. What is left of that after its own is what the others have there.
"""

from dataclasses import dataclass, field

__all__ = ["EngineLoad", "EngineOccupancy"]

LOAD_LIFE_SECONDS = 1.0
"""How long an engine's word about its load counts: about a usual run's time, after which
others' runs have mostly ended."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an engine says of itself with an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests it works on, requests in its queue, and how many it works on at once.
    """

    running: int
    waiting: int
    slots: int


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
        """Take in an engine's word; the answered run is among this daemon's own."""
        others = load.running + load.waiting - self.own.get(instance, 0)
        self._heard[instance] = _Heard(max(0, others), now_seconds + LOAD_LIFE_SECONDS)

    def free_slots(self, instance: str, slots: int, now_seconds: float) -> int:
        """Return how many more runs fit at an engine; below zero if it is overfull."""
        heard = self._heard.get(instance)
        others = heard.others if heard is not None and now_seconds < heard.until_seconds else 0
        return slots - self.own.get(instance, 0) - others
