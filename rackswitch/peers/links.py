"""Connections to other daemons."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from rackswitch.membership import MemberUpdate
from rackswitch.peers.peers_grpc import PeersStub

__all__ = ["SECRET_METADATA", "PeerLinks", "PeerUnreachable"]

MAX_CHANNELS = 64
SECRET_METADATA = "rackswitch-fleet-secret"
PEER_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError, asyncio.IncompleteReadError)

LIBRARY_PACKAGES = ("grpclib", "h2")

T = TypeVar("T")


class PeerUnreachable:
    """No answer from the peer in time."""

    __slots__ = ("detail",)

    def __init__(self, detail: str):
        self.detail = detail


class PeerLinks:
    """Channels to peers, the least recently used of which are closed.

    Parameters
    ----------
    secret : str
        The fleet's secret, by which daemons know each other; empty if there is none.
    """

    __slots__ = ("_channels", "_secret", "blocked", "calls", "max_channels")

    def __init__(self, secret: str):
        self._secret = secret
        self._channels: OrderedDict[tuple[str, int], Channel] = OrderedDict()
        self.calls = 0
        self.max_channels = MAX_CHANNELS
        self.blocked: set[str] = set()
        """Peers that tests have cut off."""

    async def call(
        self,
        peer: MemberUpdate,
        method: Callable[[Any], Callable[..., Awaitable[T]]],
        message: object,
        timeout_seconds: float,
        stub_kind: Callable[[Channel], Any] = PeersStub,
    ) -> T | PeerUnreachable:
        """Call a method of a peer once; `stub_kind` is the service it belongs to."""
        if peer.daemon in self.blocked:
            return PeerUnreachable("cut off")
        self.calls += 1
        stub = stub_kind(self._channel(peer.host, peer.peer_port))
        # An empty value is no valid metadata.
        metadata = {SECRET_METADATA: self._secret} if self._secret else {}
        try:
            async with asyncio.timeout(timeout_seconds):
                return await method(stub)(message, timeout=timeout_seconds, metadata=metadata)
        except PEER_ERRORS as error:
            return PeerUnreachable(f"{type(error).__name__}: {error}")
        except AttributeError as error:
            if not _is_of_the_library(error.obj):
                raise
            return PeerUnreachable(f"the connection ended as the call began: {error}")

    def _channel(self, host: str, port: int) -> Channel:
        key = (host, port)
        channel = self._channels.get(key)
        if channel is None:
            channel = Channel(host, port)
            self._channels[key] = channel
        self._channels.move_to_end(key)
        if len(self._channels) > self.max_channels:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


def _is_of_the_library(subject: object) -> bool:
    """Return whether an object is one of the library's.

    The library takes a connection apart when it ends, and a call that begins at that moment misses
    the parts.
    """
    return type(subject).__module__.partition(".")[0] in LIBRARY_PACKAGES
