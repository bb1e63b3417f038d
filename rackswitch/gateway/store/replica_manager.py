"""Replication of the key-value service's prefixes.

One daemon of the fleet watches the service, and the others follow it along a tree. A daemon
that has no source to follow watches the service itself.
"""

import asyncio
import contextlib

from loguru import logger

from rackswitch.decoding import error_detail
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.items.engine_paces import EnginePaces
from rackswitch.gateway.store.peer_replicas import PeerFollower
from rackswitch.gateway.store.replica_server import ReplicaServer
from rackswitch.gateway.store.replica_set import ReplicaHandlers, ReplicaSet
from rackswitch.gateway.store.replicas import PrefixReplica
from rackswitch.gateway.store.service_watch import ServiceWatch
from rackswitch.telemetry.events import EntryFailed

__all__ = ["ReplicaManager"]


class ReplicaManager:
    """Keeps the replicas of one daemon current.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    handlers : dict of str to ReplicaHandlers
        Handlers of changes, by prefix.
    paces : EnginePaces
        Engines' paces, exchanged with other daemons in both directions.
    members_prefix : str
        The prefix that contains the membership entries.

    Attributes
    ----------
    server : ReplicaServer
        Answers daemons that follow this one.
    """

    __slots__ = ("_context", "_replicas", "_follower", "_watch", "server")

    def __init__(
        self,
        context: GatewayContext,
        handlers: dict[str, ReplicaHandlers],
        paces: EnginePaces,
        members_prefix: str,
    ):
        self._context = context
        self._replicas = ReplicaSet(handlers, self._record_failed)
        self._watch = ServiceWatch(context, self._replicas, members_prefix)
        self._follower = PeerFollower(context, self._replicas, self._watch, paces, members_prefix)
        self.server = ReplicaServer(context, self._replicas, paces, self._watch)

    def _record_failed(self, key: str, revision: int, error: Exception) -> None:
        logger.opt(exception=error).error("handler of entry {!r} failed", key)
        detail = f"{type(error).__name__}: {error_detail(error)}"
        self._context.log.write(EntryFailed(key=key, revision=revision, detail=detail))

    @property
    def replicas(self) -> dict[str, PrefixReplica]:
        """The replicas, by prefix."""
        return self._replicas.by_prefix

    @property
    def is_complete(self) -> bool:
        """Whether every replica has been confirmed by the service."""
        return self._replicas.is_complete

    @property
    def followed(self) -> str:
        """The daemon that is followed; empty if this daemon follows none."""
        return self._follower.selector.source

    @property
    def members_read(self) -> asyncio.Event:
        """Set once the members have been read, including an entry of an earlier process."""
        return self._follower.members_read

    @property
    def state_read(self) -> asyncio.Event:
        """Set once the first read of the table and the targets has ended, also without success."""
        return self._follower.state_read

    async def wait_for_first_read(self, timeout_seconds: float) -> bool:
        """Wait for the end of the first read of the table and the targets, at most for a timeout.

        Returns
        -------
        bool
            Whether it has ended.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self.state_read.wait()
        return self.state_read.is_set()

    async def run(self) -> None:
        """Keep the replicas current until cancelled."""
        await asyncio.gather(self._watch.run(), self._follower.run())
