"""Selects the path of a daemon's calls to the key-value service: its own, or through a peer.

A daemon that cannot reach the service often still reaches peers that can. A peer forwards a
call unchanged and the service checks its conditions, so forwarded calls need no agreement
between daemons. A daemon thus keeps its session, roles and jobs during a short network failure.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from rackswitch.relay.recent import SlowestRecent
from rackswitch.routing import PathClass, RegionMap

__all__ = ["MAX_PEERS", "OWN_PATH", "PathSelector"]

OWN_PATH = ""
"""Stands for the daemon's own path among the names of peers."""

PROBE_INTERVAL_SECONDS = 0.5
"""Interval between probes of a failed own path; each delays one call until its timeout."""

PEER_COOLDOWN_SECONDS = 1.0
"""Cooldown of a peer that could not forward a call; longer than its own probe interval."""

HELPFUL_PEER_SECONDS = 3.0
"""How long a peer that forwarded a call is asked before the others."""

MAX_PEERS = 2
"""Peers that may refuse one call. If none reaches the service, it is probably unreachable for
all."""

NO_SILENCES: Mapping[str, float] = MappingProxyType({})

MIN_TIMEOUT_SECONDS = 0.3
"""Minimum timeout of a repeatable call on the own path before a peer is tried. An answer usually
takes 4 ms, and a silent cut shows only by waiting."""

TIMEOUT_FACTOR = 4.0
"""Timeout of a call as a multiple of the slowest recent answer, so that a slow service is not
treated as a failed path."""

SLOWEST_ANSWER_DECAY = 0.9
"""Factor by which each answer reduces the remembered time of the slowest one."""


@dataclass(slots=True)
class PathSelector:
    """Tracks the state of one daemon's paths to the service.

    Parameters
    ----------
    zone : str
        The daemon's availability zone; peers in it are preferred, as traffic between zones is
        expensive.
    region_of_zone : dict of str to str, optional
        Regions by zone; peers of the own region come next, as traffic between regions costs more.

    Attributes
    ----------
    failed_since_seconds : float or None
        When the own path first failed after its last answer; None while it works.
    slowest_answer : SlowestRecent
        Time of the slowest recent answer on the own path.
    """

    zone: str
    failed_since_seconds: float | None = None
    slowest_answer: SlowestRecent = field(
        default_factory=lambda: SlowestRecent(SLOWEST_ANSWER_DECAY)
    )
    _next_probe_seconds: float = float("-inf")
    _cooldown_until_seconds: dict[str, float] = field(default_factory=dict)
    _helpful_until_seconds: dict[str, float] = field(default_factory=dict)
    region_of_zone: dict[str, str] = field(default_factory=dict)

    @property
    def is_own_path_up(self) -> bool:
        """Whether the own path works; only then are calls of peers forwarded."""
        return self.failed_since_seconds is None

    def paths(
        self,
        live_zones: Iterable[tuple[str, str]],
        repeatable: bool,
        now_seconds: float,
        own_region_only: bool = False,
        silent_at_seconds: Mapping[str, float] = NO_SILENCES,
    ) -> list[str]:
        """Return the paths to try for one call, in order.

        Parameters
        ----------
        live_zones : iterable of (daemon, zone)
            The other daemons estimated to be live.
        repeatable : bool
            Whether the call may be made twice; only such a call probes a failed own path.
        now_seconds : float
            Monotonic clock.
        own_region_only : bool, optional
            Whether no peer of another region may forward the call.
        silent_at_seconds : mapping of str to float, optional
            When peers were last found silent; they come last, the one asked least recently first.
        """
        peers = self.peers(live_zones, now_seconds, own_region_only, silent_at_seconds)
        return self.paths_through(peers, repeatable, now_seconds)

    def paths_through(self, peers: list[str], repeatable: bool, now_seconds: float) -> list[str]:
        """Return the paths of `paths` by the result of `peers`, of which the first are used."""
        first_peers = peers[:MAX_PEERS]
        if self.is_own_path_up:
            return [OWN_PATH, *first_peers]
        if not first_peers:
            return [OWN_PATH]
        if repeatable and self.take_probe(now_seconds):
            return [OWN_PATH, *first_peers]
        return first_peers

    def call_timeout_seconds(self, limit_seconds: float, now_seconds: float) -> float:
        """Return the timeout of a repeatable call on the own path, after which a peer is tried."""
        slowest_seconds = self.slowest_answer.value_seconds(now_seconds)
        return min(limit_seconds, max(MIN_TIMEOUT_SECONDS, slowest_seconds * TIMEOUT_FACTOR))

    def take_probe(self, now_seconds: float) -> bool:
        """Return whether the failed own path is to be probed now; the next probe is later."""
        if self.is_own_path_up or now_seconds < self._next_probe_seconds:
            return False
        self._next_probe_seconds = now_seconds + PROBE_INTERVAL_SECONDS
        return True

    def record_answer(self, path: str, duration_seconds: float, now_seconds: float) -> bool:
        """Record an answer; return whether the own path works again since this answer."""
        if path != OWN_PATH:
            self._cooldown_until_seconds.pop(path, None)
            self._helpful_until_seconds[path] = now_seconds + HELPFUL_PEER_SECONDS
            return False
        self.slowest_answer.record(duration_seconds, now_seconds)
        recovered = not self.is_own_path_up
        self.failed_since_seconds = None
        return recovered

    def record_failure(self, path: str, now_seconds: float) -> bool:
        """Record an unanswered call; return whether the own path has failed since this call."""
        if path != OWN_PATH:
            self._cooldown_until_seconds[path] = now_seconds + PEER_COOLDOWN_SECONDS
            self._helpful_until_seconds.pop(path, None)
            return False
        self._next_probe_seconds = now_seconds + PROBE_INTERVAL_SECONDS
        if not self.is_own_path_up:
            return False
        self.failed_since_seconds = now_seconds
        return True

    def peers(
        self,
        live_zones: Iterable[tuple[str, str]],
        now_seconds: float,
        own_region_only: bool = False,
        silent_at_seconds: Mapping[str, float] = NO_SILENCES,
    ) -> list[str]:
        """Return all peers that may forward a call, in order; the parameters are those of `paths`.

        A peer that stays silent says nothing of the service, so that the ones behind it are of use.
        """
        regions = RegionMap(self.zone, self.region_of_zone)
        farthest = PathClass.SAME_REGION if own_region_only else PathClass.OTHER_REGION
        usable = [
            (
                silent_at_seconds.get(name, float("-inf")),
                now_seconds >= self._helpful_until_seconds.get(name, float("-inf")),
                path_class,
                name,
            )
            for name, zone in live_zones
            if (path_class := regions.path_class(zone)) <= farthest
            and now_seconds >= self._cooldown_until_seconds.get(name, float("-inf"))
        ]
        return [name for *_, name in sorted(usable)]
