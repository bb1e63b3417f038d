"""Whom a daemon follows at present, and when it watches the service by itself."""

from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["SourceSelector", "fresh_seconds"]

AVOID_SECONDS = 3.0
"""How long a daemon that could not be followed is left alone: a restart takes less, and the
question whether it is back costs a daemon without an answer 0.3 s."""

STALE_SECONDS = 1.0
"""How long a daemon is left alone that answers and has only old word. In a time in which the
service was 60 times slower, 50 of 64 daemons watched it by themselves until they asked again: for
3 s, most of which the watching daemon's word was fresh again. Asking costs one message."""

NOT_READY_SECONDS = 0.1
"""When a daemon that has no copies yet, or only old ones, is asked again: it starts, or is just
finding another one to follow itself."""

FRESH_SECONDS = 1.4
"""How old the service's word may be that the root passes on: a watch's time, its slack, and a
try through another daemon."""

REPAIR_SECONDS = 0.3
"""How much longer each step of the tree bears with what it gets. Trouble of the root is mended
by the daemons next to it, and one change of theirs serves all below."""

START_SECONDS = 1.0
"""How long a daemon waits for others that start at the same time before it watches the service
by itself: some 0.3 s pass between the first and the last of a fleet, and each step needs 0.1 s."""


def fresh_seconds(level: int) -> float:
    """Return how old the service's word may be that a daemon at a level takes over."""
    return FRESH_SECONDS + REPAIR_SECONDS * max(0, level - 1)


@dataclass(slots=True)
class SourceSelector:
    """One daemon's choice among its sources.

    Parameters
    ----------
    lost_since_seconds : float
        When the daemon began to have nobody to follow (monotonic): at first its start.

    Attributes
    ----------
    followed : str
        The daemon whose copies are taken over; empty if there is none.
    """

    lost_since_seconds: float
    followed: str = ""
    _avoided_until_seconds: dict[str, float] = field(default_factory=dict)
    _failed: set[str] = field(default_factory=set)

    @property
    def is_following(self) -> bool:
        """Whether another daemon's copies are good at present."""
        return bool(self.followed)

    def next_source(self, sources: Sequence[str], now_seconds: float) -> str | None:
        """Return whom to ask now: the first choice again once it was left alone long enough."""
        for name in sources:
            if now_seconds >= self._avoided_until_seconds.get(name, float("-inf")):
                return name
        return None

    def must_watch(self, sources: Sequence[str], level: int, now_seconds: float) -> bool:
        """Return whether the daemon watches the service by itself now.

        Parameters
        ----------
        sources : sequence of str
            Whom it may follow; nobody if it is the root.
        level : int
            Its steps from the root.
        now_seconds : float
            Monotonic clock.
        """
        if not sources:
            return True
        if self.is_following:
            return False
        patience_seconds = REPAIR_SECONDS * max(0, level - 1)
        if not self._failed.issuperset(sources):
            patience_seconds += START_SECONDS
        return now_seconds >= self.lost_since_seconds + patience_seconds

    def succeeded(self, name: str) -> bool:
        """Note that a daemon can be followed; return whether that is new."""
        is_new = self.followed != name
        self.followed = name
        self._avoided_until_seconds.pop(name, None)
        self._failed.clear()
        return is_new

    def failed(self, name: str, now_seconds: float) -> None:
        """Note that a daemon did not answer."""
        self._failed.add(name)
        self._leave(name, now_seconds, AVOID_SECONDS)

    def stale(self, name: str, now_seconds: float) -> None:
        """Note that a daemon answered, and has no fresh word of the service itself."""
        self._failed.add(name)
        self._leave(name, now_seconds, STALE_SECONDS)

    def not_ready(self, name: str, now_seconds: float) -> None:
        """Note that a daemon has nothing to pass on yet."""
        self._leave(name, now_seconds, NOT_READY_SECONDS)

    def ask_all_again(self) -> None:
        """Note that whoever was left alone may have fresh word of the service now."""
        self._avoided_until_seconds.clear()

    def stop_following(self, now_seconds: float) -> None:
        """Note that nobody is followed any more."""
        if self.followed:
            self.followed = ""
            self.lost_since_seconds = now_seconds

    def _leave(self, name: str, now_seconds: float, pause_seconds: float) -> None:
        self._avoided_until_seconds[name] = now_seconds + pause_seconds
        if self.followed == name:
            self.stop_following(now_seconds)
