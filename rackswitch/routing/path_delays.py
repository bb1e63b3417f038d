"""Measured network delays between this daemon's zone and other zones.

A measurement is a time that contains one round trip: the opening of a connection, or a call to
another daemon less the time for which that daemon held it. Work at either end makes it too long but
never too short, so the least of the latest ones is the best estimate.
"""

from collections import deque
from dataclasses import dataclass, field

from rackswitch.routing.regions import PathClass, RegionMap

__all__ = ["PathDelays"]

INITIAL_ONE_WAY_SECONDS = {
    PathClass.SAME_ZONE: 0.0002,
    PathClass.SAME_REGION: 0.001,
    PathClass.OTHER_REGION: 0.02,
}
"""Delays before the first measurement, by the usual distances within and between data centres."""

WINDOW_SECONDS = 2.0
"""A measurement counts for this long. A longer window would follow a path that became slower only
later; within a shorter one there may be only measurements that were delayed by other work."""

RISE_WEIGHT = 0.5
"""Share of the way by which an estimate rises to a larger minimum with each measurement, so that
one slow measurement after a pause does not count fully. A smaller minimum counts at once."""

DECAY_AFTER_SECONDS = 10.0
"""An estimate without a measurement for this long approaches the initial value, by half in each
further such time: a path that is avoided because it was slow is tried again."""


@dataclass(slots=True)
class _ZoneDelay:
    """Latest measurements of one path.

    Attributes
    ----------
    samples : deque of (float, float)
        Times and one-way delays, in increasing order of both: an older, larger delay never is the
        minimum again.
    estimate_seconds : float
        The estimate, as of the last measurement.
    """

    samples: deque[tuple[float, float]]
    estimate_seconds: float


@dataclass(slots=True)
class PathDelays:
    """One-way delays by zone.

    Parameters
    ----------
    regions : RegionMap
        The zones and their regions.
    """

    regions: RegionMap
    _by_zone: dict[str, _ZoneDelay] = field(default_factory=dict)

    def record_round_trip(self, zone: str, round_trip_seconds: float, now_seconds: float) -> None:
        """Record a measured round trip to a zone."""
        one_way_seconds = max(0.0, round_trip_seconds) / 2
        path = self._by_zone.get(zone)
        if path is None:
            path = self._by_zone[zone] = _ZoneDelay(deque(), one_way_seconds)
        while path.samples and path.samples[-1][1] >= one_way_seconds:
            path.samples.pop()
        path.samples.append((now_seconds, one_way_seconds))
        while path.samples[0][0] < now_seconds - WINDOW_SECONDS:
            path.samples.popleft()
        least_seconds = path.samples[0][1]
        if least_seconds <= path.estimate_seconds:
            path.estimate_seconds = least_seconds
        else:
            path.estimate_seconds += RISE_WEIGHT * (least_seconds - path.estimate_seconds)

    def one_way_seconds(self, zone: str, now_seconds: float) -> float:
        """Return the estimated delay to a zone; an initial value if it was not measured."""
        initial_seconds = INITIAL_ONE_WAY_SECONDS[self.regions.path_class(zone)]
        path = self._by_zone.get(zone)
        if path is None:
            return initial_seconds
        age_seconds = now_seconds - path.samples[-1][0]
        share = 0.5 ** max(0.0, age_seconds / DECAY_AFTER_SECONDS - 1)
        return initial_seconds + (path.estimate_seconds - initial_seconds) * share
