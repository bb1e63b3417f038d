"""Which availability zones and regions a request may be sent to.

A zone is excluded while operators have it evacuated. A region is excluded for requests whose route
or tenant names the regions that may serve them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from rackswitch.routing.regions import RegionMap

__all__ = ["Eligibility", "Evacuation", "Exclusion", "intersect_regions"]


class Exclusion(Enum):
    """Why a zone's targets may not serve a request."""

    EVACUATED = "zone evacuated"
    REGION = "region not allowed"


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's order to send nothing more to a zone's targets.

    Attributes
    ----------
    revision : int
        Revision of its entry in the key-value service.
    since_seconds : float
        When this daemon learnt of it (monotonic).
    """

    zone: str
    revision: int
    since_seconds: float


@dataclass(slots=True)
class Eligibility:
    """The zones that are evacuated now, and the regions of all zones.

    Attributes
    ----------
    regions : RegionMap
        Region of each zone.
    evacuations : dict of str to Evacuation
        Evacuations in force, by zone.
    """

    regions: RegionMap = field(default_factory=RegionMap)
    evacuations: dict[str, Evacuation] = field(default_factory=dict)

    def exclusion(self, zone: str, allowed_regions: frozenset[str] | None) -> Exclusion | None:
        """Return why a zone's targets may not serve a request; None if they may.

        Parameters
        ----------
        zone : str
            The zone.
        allowed_regions : frozenset of str or None
            Regions in which the request may run; None for all.
        """
        if zone in self.evacuations:
            return Exclusion.EVACUATED
        if allowed_regions is not None and self.regions.region(zone) not in allowed_regions:
            return Exclusion.REGION
        return None

    def may_hold(self, zone: str, allowed_regions: frozenset[str] | None, home_region: str) -> bool:
        """Return whether a daemon in a zone may hold the body of a request, such as a job's.

        Parameters
        ----------
        zone : str
            Zone of the daemon.
        allowed_regions : frozenset of str or None
            Regions in which the request may run; None for all.
        home_region : str
            Region of the daemon that accepted the request from its caller.
        """
        region = self.regions.region(zone)
        return allowed_regions is None or region in allowed_regions or region == home_region

    def evacuate(self, zone: str, revision: int, now_seconds: float) -> bool:
        """Record an evacuation; return whether the zone was not evacuated before."""
        known = self.evacuations.get(zone)
        since_seconds = known.since_seconds if known is not None else now_seconds
        self.evacuations[zone] = Evacuation(zone, revision, since_seconds)
        return known is None

    def end_evacuation(self, zone: str) -> Evacuation | None:
        """Record that an evacuation was taken back; return it, or None if there was none."""
        return self.evacuations.pop(zone, None)


def intersect_regions(*allowed: Iterable[str]) -> frozenset[str] | None:
    """Return the regions that all given lists allow; an empty list allows every region.

    Returns
    -------
    frozenset of str or None
        None if every region is allowed. An empty set if the lists have no region in common.
    """
    region_sets = [frozenset(regions) for regions in allowed if regions]
    return frozenset.intersection(*region_sets) if region_sets else None
