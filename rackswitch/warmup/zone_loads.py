"""How many engines of a zone may load weights while others of the zone are cold."""

from collections import Counter
from collections.abc import Iterable, Set

__all__ = ["allowed_loads"]

MAX_LOADING_SHARE = 0.5
"""Share of a zone's engines that may load at the same time while some of them are cold: a loading
engine refuses runs, and a cold one takes few."""


def allowed_loads(
    zone_of: dict[str, str], cold: Set[str], loading: Iterable[str]
) -> dict[str, int]:
    """Return how many further engines may begin to load, by zone; zones without a limit are absent.

    Parameters
    ----------
    zone_of : dict of str to str
        Zone of each engine.
    cold : set of str
        The engines that are cold.
    loading : iterable of str
        The engines that load now.
    """
    engine_counts = Counter(zone_of.values())
    loading_counts = Counter(zone_of[name] for name in loading if name in zone_of)
    limited_zones = {zone_of[name] for name in cold if name in zone_of}
    return {
        zone: max(0, max(1, int(engine_counts[zone] * MAX_LOADING_SHARE)) - loading_counts[zone])
        for zone in limited_zones
    }
