"""Keeping copies of the key-value service's prefixes current.

One daemon of the fleet watches the service, and the others follow it along a tree. A daemon
that cannot follow anybody watches the service itself.
"""

import asyncio

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.store.copies import PrefixCopy
from rackswitch.gateway.store.copy_server import CopyServer
from rackswitch.gateway.store.copy_set import CopyHandlers, CopySet
from rackswitch.gateway.store.peer_copies import PeerFollower
from rackswitch.gateway.store.service_watch import ServiceWatch

__all__ = ["CopyKeeper"]


class CopyKeeper:
    """The copies of one daemon.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    handlers : dict of str to CopyHandlers
        Who is told, by prefix.
    paces : EnginePaces
        Told along with the copies, both ways.
    members_prefix : str
        The prefix that tells of the other daemons.

    Attributes
    ----------
    server : CopyServer
        Answers daemons that follow this one.
    """

    __slots__ = ("_copies", "_follower", "_watch", "server")

    def __init__(
        self,
        context: GatewayContext,
        handlers: dict[str, CopyHandlers],
        paces: EnginePaces,
        members_prefix: str,
    ):
        self._copies = CopySet(handlers)
        self._watch = ServiceWatch(context, self._copies, members_prefix)
        self._follower = PeerFollower(context, self._copies, self._watch, paces, members_prefix)
        self.server = CopyServer(context, self._copies, paces, self._watch)

    @property
    def copies(self) -> dict[str, PrefixCopy]:
        """The copies, by prefix."""
        return self._copies.by_prefix

    @property
    def is_complete(self) -> bool:
        """Whether the service has vouched for every copy."""
        return self._copies.is_complete

    @property
    def followed(self) -> str:
        """The daemon whose copies are taken over; empty if the service is watched itself."""
        return self._follower.choice.followed

    @property
    def looked(self) -> asyncio.Event:
        """Set once this daemon has looked who else is there, and for a predecessor's entry."""
        return self._follower.looked

    async def run(self) -> None:
        """Keep the copies current until cancelled."""
        await asyncio.gather(self._watch.run(), self._follower.run())
