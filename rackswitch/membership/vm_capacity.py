"""What a daemon's VM can carry, as its settings state it, compared within the fleet.

Memory and link count only where they differ among the members: a fleet of equal VMs, or one that
states neither, is ordered by processor share alone.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

__all__ = ["VmCapacity", "constrained_members", "counted_capacities"]


@dataclass(frozen=True, slots=True)
class VmCapacity:
    """Limits of a daemon's VM; 0 for one that is unknown.

    Attributes
    ----------
    processor_share : float
        Share of a processor that the VM has.
    memory_mb : float
        Memory of the daemon's process.
    link_mbps : float
        Bandwidth of the VM's network link, in Mbit/s.
    """

    processor_share: float = 0.0
    memory_mb: float = 0.0
    link_mbps: float = 0.0

    @property
    def has_memory_or_link(self) -> bool:
        """Whether its memory or its link is known."""
        return self.memory_mb > 0 or self.link_mbps > 0


def counted_capacities(capacities: Mapping[str, VmCapacity]) -> dict[str, VmCapacity]:
    """Return the members' capacities without the memory or link that is equal at all of them.

    Parameters
    ----------
    capacities : mapping of str to VmCapacity
        Capacities of the whole fleet, by member.
    """
    counts_memory = _differ(capacities, _memory_mb)
    counts_link = _differ(capacities, _link_mbps)
    return {
        name: replace(
            capacity,
            memory_mb=capacity.memory_mb if counts_memory else 0.0,
            link_mbps=capacity.link_mbps if counts_link else 0.0,
        )
        for name, capacity in capacities.items()
    }


def constrained_members(capacities: Mapping[str, VmCapacity]) -> frozenset[str]:
    """Return the members whose memory or link is in the smallest third of the fleet.

    Members with an unknown value are not compared. Among equal values all or none are included;
    the smallest value is always included if the values differ.
    """
    return _smallest_third(capacities, _memory_mb) | _smallest_third(capacities, _link_mbps)


def _memory_mb(capacity: VmCapacity) -> float:
    return capacity.memory_mb


def _link_mbps(capacity: VmCapacity) -> float:
    return capacity.link_mbps


def _known_values(
    capacities: Mapping[str, VmCapacity], value_of: Callable[[VmCapacity], float]
) -> list[float]:
    """Return the known values in ascending order."""
    return sorted(value_of(one) for one in capacities.values() if value_of(one) > 0)


def _differ(capacities: Mapping[str, VmCapacity], value_of: Callable[[VmCapacity], float]) -> bool:
    return len(set(_known_values(capacities, value_of))) > 1


def _smallest_third(
    capacities: Mapping[str, VmCapacity], value_of: Callable[[VmCapacity], float]
) -> frozenset[str]:
    if not _differ(capacities, value_of):
        return frozenset()
    known = _known_values(capacities, value_of)
    smallest = known[0]
    first_above_third = known[math.ceil(len(known) / 3)]
    return frozenset(
        name
        for name, capacity in capacities.items()
        if value_of(capacity) == smallest or 0 < value_of(capacity) < first_above_third
    )
