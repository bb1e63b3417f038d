"""What daemons tell each other of themselves in the key-value service."""

import msgspec

from rackswitch.membership import MemberState, MemberUpdate, VmEntry

__all__ = ["MEMBERS_PREFIX", "MemberEntry", "decode_member", "member_address", "vm_entry"]

MEMBERS_PREFIX = "control/members/"


class MemberEntry(msgspec.Struct, frozen=True):
    """What a daemon tells the others about itself.

    Attributes
    ----------
    lease_id : int
        The lease that the entry is on; the daemon's next process goes on with it.
    leaving : bool
        Whether it is stopping as planned: it takes no jobs and no roles, and gives its own away.
    processor_share : float
        Part of a processor that its VM has; 0 if that is not known.
    """

    host: str
    peer_port: int
    zone: str
    lease_id: int
    started_at_unix_seconds: float
    leaving: bool = False
    processor_share: float = 0.0


def decode_member(value: bytes) -> MemberEntry:
    """Return what a member tells about itself."""
    return msgspec.json.decode(value, type=MemberEntry)


def member_address(name: str, entry: MemberEntry) -> MemberUpdate:
    """Return where a member is reached."""
    return MemberUpdate(name, entry.host, entry.peer_port, entry.zone, 0, MemberState.ALIVE)


def vm_entry(name: str, entry: MemberEntry) -> VmEntry:
    """Return a member's entry as the membership takes it."""
    return VmEntry(name, entry.host, entry.peer_port, entry.zone, entry.leaving)
