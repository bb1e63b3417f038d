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
MAX_SILENT_PEERS = 1024
"""Bounds the memory of silent peers, as those that are gone for good never reply."""

SECRET_METADATA = "rackswitch-fleet-secret"
PEER_ERRORS = (GRPCError, StreamTerminatedError, OSError, TimeoutError, asyncio.IncompleteReadError)

GRPC_PACKAGES = ("grpclib", "h2")

T = TypeVar("T")


class PeerUnreachable:
    """The peer did not respond in time, or the call failed."""

    __slots__ = ("detail",)

    def __init__(self, detail: str):
        self.detail = detail


class _PeerConnection:
    """A channel to a peer, and what shows whether it still works.

    Attributes
    ----------
    calls_in_flight : int
        Calls that wait for a reply on this channel.
    replied_at_seconds : float
        When the last reply came (event loop time); minus infinity if none has.
    is_replaced : bool
        Whether new calls use another channel; this one is closed after its last call.
    """

    __slots__ = ("calls_in_flight", "channel", "is_replaced", "replied_at_seconds")

    def __init__(self, channel: Channel):
        self.channel = channel
        self.calls_in_flight = 0
        self.replied_at_seconds = float("-inf")
        self.is_replaced = False

    def replace(self) -> None:
        """Take no further calls, and close the channel once it has none in flight."""
        self.is_replaced = True
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close a replaced channel without calls in flight."""
        if self.is_replaced and not self.calls_in_flight:
            self.channel.close()


class PeerLinks:
    """A least-recently-used cache of channels to peers.

    A channel that has brought no reply during a call that timed out is replaced: it may have gone
    silent without a reset, which would otherwise hide a live peer until the system gives it up. The
    channels that were idle meanwhile are replaced as well, since often all go silent at once.

    Parameters
    ----------
    secret : str
        Shared secret that authenticates daemons of the fleet; empty if there is none.

    Attributes
    ----------
    extra_timeout_seconds : callable
        Returns what is added to the timeout of calls to a zone, for the delay of the path.
    silent_at_seconds : dict of str to float
        Peers that have not replied since they were last found silent, and when that was (event
        loop time).
    """

    __slots__ = (
        "_connections",
        "_secret",
        "blocked",
        "calls",
        "extra_timeout_seconds",
        "max_channels",
        "silent_at_seconds",
    )

    def __init__(self, secret: str):
        self._secret = secret
        self._connections: OrderedDict[tuple[str, int], _PeerConnection] = OrderedDict()
        self.calls = 0
        self.extra_timeout_seconds: Callable[[str], float] = lambda zone: 0.0
        self.max_channels = MAX_CHANNELS
        self.silent_at_seconds: dict[str, float] = {}
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
        address = (peer.host, peer.peer_port)
        connection = self._connection(address)
        stub = stub_kind(connection.channel)
        # Metadata values must not be empty.
        metadata = {SECRET_METADATA: self._secret} if self._secret else {}
        loop = asyncio.get_running_loop()
        started_at_seconds = loop.time()
        connection.calls_in_flight += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                reply = await method(stub)(message, timeout=timeout_seconds, metadata=metadata)
            connection.replied_at_seconds = loop.time()
            self.silent_at_seconds.pop(peer.daemon, None)
            return reply
        except TimeoutError as error:
            if connection.replied_at_seconds < started_at_seconds:
                self.record_silence(peer.daemon)
                self._replace(address, connection)
                self.replace_idle(started_at_seconds)
            return PeerUnreachable(f"{type(error).__name__}: {error}")
        except PEER_ERRORS as error:
            return PeerUnreachable(f"{type(error).__name__}: {error}")
        except AttributeError as error:
            if not _belongs_to_grpc_library(error.obj):
                raise
            return PeerUnreachable(f"connection closed at the start of the call: {error}")
        finally:
            connection.calls_in_flight -= 1
            connection.close_if_unused()

    def record_silence(self, daemon: str) -> None:
        """Record that a peer owes a reply, whose call may still be in flight."""
        self.silent_at_seconds.pop(daemon, None)
        self.silent_at_seconds[daemon] = asyncio.get_running_loop().time()
        if len(self.silent_at_seconds) > MAX_SILENT_PEERS:
            del self.silent_at_seconds[next(iter(self.silent_at_seconds))]

    def _connection(self, address: tuple[str, int]) -> _PeerConnection:
        connection = self._connections.get(address)
        if connection is None:
            connection = _PeerConnection(Channel(*address))
            self._connections[address] = connection
        self._connections.move_to_end(address)
        if len(self._connections) > self.max_channels:
            _, oldest = self._connections.popitem(last=False)
            oldest.channel.close()
        return connection

    def _replace(self, address: tuple[str, int], connection: _PeerConnection) -> None:
        """Use a new channel for further calls to an address."""
        if self._connections.get(address) is connection:
            del self._connections[address]
        connection.replace()

    def replace_idle(self, since_seconds: float) -> None:
        """Use new channels instead of those that were not used since a time (event loop time)."""
        for address, connection in list(self._connections.items()):
            if not connection.calls_in_flight and connection.replied_at_seconds < since_seconds:
                self._replace(address, connection)

    def close(self) -> None:
        """Close all channels."""
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()


def _belongs_to_grpc_library(obj: object) -> bool:
    """Return whether an object belongs to the gRPC library.

    A call that starts while the library closes its connection raises AttributeError on the
    library's objects.
    """
    return type(obj).__module__.partition(".")[0] in GRPC_PACKAGES
