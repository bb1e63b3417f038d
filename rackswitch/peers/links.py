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

GRPC_PACKAGES = ("grpclib", "h2")

T = TypeVar("T")


class PeerUnreachable:
    """The peer did not respond in time, or the call failed."""

    __slots__ = ("detail",)

    def __init__(self, detail: str):
        self.detail = detail


class PeerLinks:
    """A least-recently-used cache of channels to peers.

    Parameters
    ----------
    secret : str
        Shared secret that authenticates daemons of the fleet; empty if there is none.

    Attributes
    ----------
    extra_timeout_seconds : callable
        Returns what is added to the timeout of calls to a zone, for the delay of the path.
    """

    __slots__ = (
        "_channels",
        "_secret",
        "blocked",
        "calls",
        "extra_timeout_seconds",
        "max_channels",
    )

    def __init__(self, secret: str):
        self._secret = secret
        self._channels: OrderedDict[tuple[str, int], Channel] = OrderedDict()
        self.calls = 0
        self.extra_timeout_seconds: Callable[[str], float] = lambda zone: 0.0
        self.max_channels = MAX_CHANNELS
        self.blocked: set[str] = set()
        """Peers that tests make unreachable."""

    async def call(
        self,
        peer: MemberUpdate,
        method: Callable[[Any], Callable[..., Awaitable[T]]],
        message: object,
        timeout_seconds: float,
        stub_kind: Callable[[Channel], Any] = PeersStub,
    ) -> T | PeerUnreachable:
        """Call a method of a peer without retries; `stub_kind` is the stub of its service."""
        if peer.daemon in self.blocked:
            return PeerUnreachable("cut off")
        self.calls += 1
        timeout_seconds += self.extra_timeout_seconds(peer.zone)
        stub = stub_kind(self._channel(peer.host, peer.peer_port))
        # Metadata values must not be empty.
        metadata = {SECRET_METADATA: self._secret} if self._secret else {}
        try:
            async with asyncio.timeout(timeout_seconds):
                return await method(stub)(message, timeout=timeout_seconds, metadata=metadata)
        except PEER_ERRORS as error:
            return PeerUnreachable(f"{type(error).__name__}: {error}")
        except AttributeError as error:
            if not _belongs_to_grpc_library(error.obj):
                raise
            return PeerUnreachable(f"connection closed at the start of the call: {error}")

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


def _belongs_to_grpc_library(obj: object) -> bool:
    """Return whether an object belongs to the gRPC library.

    A call that starts while the library closes its connection raises AttributeError on the
    library's objects.
    """
    return type(obj).__module__.partition(".")[0] in GRPC_PACKAGES
