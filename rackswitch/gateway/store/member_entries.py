"""Membership entries, which daemons store about themselves in the key-value service."""

import msgspec

from rackswitch.membership import MemberState, MemberUpdate, VmEntry

__all__ = ["MEMBERS_PREFIX", "MemberEntry", "decode_member", "member_address", "vm_entry"]

MEMBERS_PREFIX = "control/members/"


class MemberEntry(msgspec.Struct, frozen=True):
    """A daemon's membership entry.

    Attributes
    ----------
    lease_id : int
        The lease of the entry, which the daemon's next process reuses.
    leaving : bool
        Whether the daemon is stopping as planned: it takes no jobs or roles and hands over its
        own.
    processor_share : float
        Share of a processor that its VM has; 0 if unknown.
    memory_mb, link_mbps : float
        Memory of its process and bandwidth of its VM's network link; 0 if unknown.
    """

    host: str
    peer_port: int
    zone: str
    lease_id: int
    started_at_unix_seconds: float
    leaving: bool = False
    processor_share: float = 0.0
    memory_mb: float = 0.0
    link_mbps: float = 0.0


def decode_member(value: bytes) -> MemberEntry:
    """Return the membership entry stored as `value`."""
    return msgspec.json.decode(value, type=MemberEntry)


def member_address(name: str, entry: MemberEntry) -> MemberUpdate:
    """Return a member's address as a membership update."""
    return MemberUpdate(name, entry.host, entry.peer_port, entry.zone, 0, MemberState.ALIVE)


def vm_entry(name: str, entry: MemberEntry) -> VmEntry:
    """Return a member's entry in the form that the membership expects."""
    return VmEntry(name, entry.host, entry.peer_port, entry.zone, entry.leaving)
