"""Availability zones, their regions, and how far apart two zones are."""

from dataclasses import dataclass, field
from enum import IntEnum

__all__ = ["PathClass", "RegionMap"]


class PathClass(IntEnum):
    """How far apart two zones are; the lower value is nearer and costs less to cross."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True, slots=True)
class RegionMap:
    """The region of each zone, as the settings state it.

    Attributes
    ----------
    own_zone : str
        Zone of this daemon's VM.
    region_of_zone : dict of str to str
        Regions by zone. Zones that are not listed count as one further region, so that a
        deployment without regions is a single region.
    """

    own_zone: str = ""
    region_of_zone: dict[str, str] = field(default_factory=dict)

    def region(self, zone: str) -> str:
        """Return the region of a zone; empty if it is not listed."""
        return self.region_of_zone.get(zone, "")

    @property
    def own_region(self) -> str:
        """The region of this daemon's VM; empty if it is not listed."""
        return self.region(self.own_zone)

    @property
    def has_regions(self) -> bool:
        """Whether the deployment spans several regions."""
        return len(set(self.region_of_zone.values())) > 1

    def path_class(self, zone: str) -> PathClass:
        """Return how far a zone is from this daemon's."""
        if zone == self.own_zone:
            return PathClass.SAME_ZONE
        if self.region(zone) == self.own_region:
            return PathClass.SAME_REGION
        return PathClass.OTHER_REGION
