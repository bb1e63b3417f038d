"""The tree along which daemons distribute the entries of the key-value service.

One daemon, the root, watches the service. In each availability zone one daemon follows the
root, and the others of the zone follow that one or each other, so an entry is sent to each
zone once. In each region other than the root's, one daemon follows the root and the other zones
of the region follow that one, so an entry crosses the link between two regions once. Every daemon
computes the tree from the members that it knows. If their estimates differ for a moment, a daemon
may follow one that is not above it; this is harmless, because each step reports the correct age of
its data.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b

from rackswitch.membership import VmCapacity, constrained_members

__all__ = ["FAN_OUT", "DistributionTree", "TreeMember"]

FAN_OUT = 12
"""Maximum number of daemons of its own zone that follow one daemon. A request and its reply cost
some 1.5 ms of processor time and come 1.5 times a second, so 12 followers take 0.03 of a core; a
zone of 157 daemons then needs two levels below its first one."""


@dataclass(frozen=True, slots=True)
class TreeMember:
    """A daemon that may be part of the tree.

    Attributes
    ----------
    capacity : VmCapacity
        What its VM can carry.
    region : str
        Region of its zone; empty in deployments without regions and for unlisted zones.
    """

    daemon: str
    zone: str
    capacity: VmCapacity = VmCapacity()
    region: str = ""


class DistributionTree:
    """Determines the sources of each daemon.

    Parameters
    ----------
    members : iterable of TreeMember
        The daemons estimated to be live.

    Attributes
    ----------
    root : str
        The daemon that watches the service; empty if there are no members.
    standby : str
        The daemon that watches it when the root cannot be followed; in another zone than the
        root if there is one. Empty if there is only the root.
    """

    __slots__ = ("_region_heads", "_zone_members", "_zones", "root", "standby")

    def __init__(self, members: Iterable[TreeMember]):
        ordered = _ordered(members)
        self._zone_members: dict[str, list[str]] = {}
        self._zones = {member.daemon: member.zone for member in ordered}
        region_heads: dict[str, str] = {}
        for member in ordered:
            self._zone_members.setdefault(member.zone, []).append(member.daemon)
            region_heads.setdefault(member.region, member.daemon)
        self._region_heads = {
            member.daemon: region_heads[member.region]
            for member in ordered
            if member.region != ordered[0].region
        }
        self.root = ordered[0].daemon if ordered else ""
        others = [member for member in ordered[1:] if member.zone != ordered[0].zone]
        self.standby = (others or ordered[1:2] or [TreeMember("", "")])[0].daemon

    def sources(self, daemon: str) -> tuple[str, ...]:
        """Return the daemons that a daemon may follow, preferred ones first; none for the root.

        A daemon that is leaving is not part of the tree and follows the root or the standby.
        """
        if daemon == self.root:
            return ()
        if daemon not in self._zones:
            return tuple(name for name in (self.root, self.standby) if name)
        if daemon == self.standby:
            return (self.root,)
        zone_members = self._zone_members[self._zones[daemon]]
        position = zone_members.index(daemon)
        chosen = (
            [zone_members[(position - 1) // FAN_OUT], *zone_members[: min(2, position)]]
            if position
            else []
        )
        region_head = self._region_heads.get(daemon, daemon)
        if region_head != daemon:
            chosen.append(region_head)
        return tuple(dict.fromkeys([*chosen, self.root, self.standby]))

    def level(self, daemon: str) -> int:
        """Return how many steps of the tree lie between a daemon and the root."""
        steps = 0
        while sources := self.sources(daemon):
            daemon = sources[0]
            steps += 1
        return steps


def _ordered(members: Iterable[TreeMember]) -> list[TreeMember]:
    """Return members in the order in which they take places, from the root downwards.

    Those whose memory or link is in the smallest third of the fleet come last, as a source sends
    each change up to `FAN_OUT` times and more. Among the rest a larger share of a processor comes
    first.
    """
    by_name = {member.daemon: member for member in members}
    constrained = constrained_members({name: one.capacity for name, one in by_name.items()})
    return sorted(by_name.values(), key=lambda one: _rank_key(one, one.daemon in constrained))


def _rank_key(member: TreeMember, is_constrained: bool) -> tuple[bool, float, bytes]:
    """Return a member's sort key.

    A hash breaks ties, so that the order does not depend on how daemons are named.
    """
    tie_breaker = blake2b(member.daemon.encode(), digest_size=8).digest()
    return is_constrained, -member.capacity.processor_share, tie_breaker
