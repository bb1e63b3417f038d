"""Which way a daemon's calls to the key-value service go: its own, or through a peer.

A cut between one daemon and the service leaves that daemon in touch with its peers, most of
which still reach the service. A call that a peer passes on is the same call: the service
judges its conditions, so nothing new has to be agreed between daemons. A daemon that is cut
off for some seconds thus keeps its session, its roles and its jobs.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["OWN_PATH", "PathSelector"]

OWN_PATH = ""
"""Stands for the daemon's own way among the names of peers."""

PROBE_SECONDS = 0.5
"""Between tries of the own path while it is broken. Each costs one call's patience, and a cut
lasts some seconds."""

AVOID_SECONDS = 1.0
"""How long a peer that could not pass a call on is left alone: twice the time after which it
tries its own path again."""

MAX_PEERS = 2
"""Peers that one call is given to. If neither reaches the service, it is probably away."""

MIN_TIMEOUT_SECONDS = 0.3
"""How long a repeatable call is given on the own path at least, while peers are there. An
answer takes 4 ms on a calm day; a silent cut shows only by waiting."""

PATIENCE_FACTOR = 4.0
"""How many times longer than the slowest recent answer a call may take, so that a service
that is slow for everybody is not taken for a broken path."""

SLOWEST_DECAY = 0.9
"""By which the slowest answer is forgotten with each faster one: some twenty answers."""


@dataclass(slots=True)
class PathSelector:
    """One daemon's knowledge of its ways to the service.

    Parameters
    ----------
    zone : str
        The daemon's availability zone; peers in it go first, as bytes between zones are dear.

    Attributes
    ----------
    broken_since_seconds : float or None
        When the own path first failed after its last answer; None while it is good.
    slowest_seconds : float
        How long the slowest recent answer on the own path took, forgotten gradually.
    """

    zone: str
    broken_since_seconds: float | None = None
    slowest_seconds: float = 0.0
    _next_probe_seconds: float = float("-inf")
    _avoided_until_seconds: dict[str, float] = field(default_factory=dict)

    @property
    def own_is_good(self) -> bool:
        """Whether the own path answered last; only then calls of peers are passed on."""
        return self.broken_since_seconds is None

    def paths(
        self, live_zones: Iterable[tuple[str, str]], repeatable: bool, now_seconds: float
    ) -> list[str]:
        """Return the ways to try for one call, in order.

        Parameters
        ----------
        live_zones : iterable of (daemon, zone)
            The other daemons believed live.
        repeatable : bool
            Whether the call may be made twice; only such a call tries a broken own path.
        now_seconds : float
            Monotonic clock.
        """
        peers = self._peers(live_zones, now_seconds)
        if self.own_is_good:
            return [OWN_PATH, *peers]
        if not peers:
            return [OWN_PATH]
        if repeatable and now_seconds >= self._next_probe_seconds:
            self._next_probe_seconds = now_seconds + PROBE_SECONDS
            return [OWN_PATH, *peers]
        return peers

    def patience_seconds(self, limit_seconds: float) -> float:
        """Return how long a repeatable call may take on the own path before a peer is asked."""
        return min(limit_seconds, max(MIN_TIMEOUT_SECONDS, self.slowest_seconds * PATIENCE_FACTOR))

    def answered(self, path: str, took_seconds: float) -> bool:
        """Note an answer; return whether the own path is good again by it."""
        if path != OWN_PATH:
            self._avoided_until_seconds.pop(path, None)
            return False
        self.slowest_seconds = max(took_seconds, self.slowest_seconds * SLOWEST_DECAY)
        regained = not self.own_is_good
        self.broken_since_seconds = None
        return regained

    def failed(self, path: str, now_seconds: float) -> bool:
        """Note a call without an answer; return whether the own path is broken since now."""
        if path != OWN_PATH:
            self._avoided_until_seconds[path] = now_seconds + AVOID_SECONDS
            return False
        self._next_probe_seconds = now_seconds + PROBE_SECONDS
        if not self.own_is_good:
            return False
        self.broken_since_seconds = now_seconds
        return True

    def _peers(self, live_zones: Iterable[tuple[str, str]], now_seconds: float) -> list[str]:
        fit = [
            (zone != self.zone, name)
            for name, zone in live_zones
            if now_seconds >= self._avoided_until_seconds.get(name, float("-inf"))
        ]
        return [name for _, name in sorted(fit)[:MAX_PEERS]]
