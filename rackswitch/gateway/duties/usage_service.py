"""Exchanges usage counts with other daemons."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.usage_gathering import counts_to_messages
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.telemetry.events import UsageHandedOver
from rackswitch.usage import UsageCounts

__all__ = ["UsageService"]

HAND_OVER_TIMEOUT_SECONDS = 0.5
"""Timeout of a call that hands counts over; the peer answers from memory."""

MAX_HAND_OVER_ATTEMPTS = 3
"""Maximum number of peers tried: several may be stopping at once."""


class UsageService:
    """Serves this daemon's usage counts to other daemons and accepts theirs.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    counts : UsageCounts
        The counts of this daemon.
    """

    __slots__ = ("_context", "_counts")

    def __init__(self, context: GatewayContext, counts: UsageCounts):
        self._context = context
        self._counts = counts

    def window_counts(self, request: pb.CountUsageRequest) -> pb.CountUsageReply:
        """Return the counts of a window."""
        return pb.CountUsageReply(
            counts=counts_to_messages(self._counts.counts_in(request.window)),
            counted_from_ms=round(self._counts.counted_from_unix_seconds * 1000),
        )

    def add(self, request: pb.AddUsageRequest) -> pb.AddUsageReply:
        """Add the counts of a stopping daemon to the own counts."""
        if self._context.daemon.stopping:
            return pb.AddUsageReply(added=False)
        for window in request.windows:
            counts = {count.tenant: count.requests for count in window.counts}
            self._counts.add(window.window, counts)
        return pb.AddUsageReply(added=True)

    async def hand_over(self, first_window: int) -> None:
        """Hand over the counts since a window to a daemon that keeps running.

        A peer that does not answer may have added them, so no other is asked then: counts must not
        be added twice.
        """
        windows = [
            pb.WindowUsage(window=window, counts=counts_to_messages(counts))
            for window, counts in self._counts.pop_since(first_window).items()
        ]
        if not windows:
            return
        request = pb.AddUsageRequest(daemon=self._context.daemon_name, windows=windows)
        outcome = "no daemon accepted them"
        own_name = self._context.daemon_name
        peer_names = [name for name in self._context.daemon.membership.live() if name != own_name]
        self._context.rng.shuffle(peer_names)
        for name in peer_names[:MAX_HAND_OVER_ATTEMPTS]:
            peer = self._context.daemon.membership.address(name)
            if peer is None:
                continue
            reply = await self._context.daemon.links.call(
                peer,
                lambda stub: stub.AddUsage,
                request,
                HAND_OVER_TIMEOUT_SECONDS,
                GatewayPeersStub,
            )
            if isinstance(reply, PeerUnreachable):
                outcome = f"unsure: {name} did not answer"
                break
            if reply.added:
                outcome = f"accepted by {name}"
                break
        requests = sum(count.requests for window in windows for count in window.counts)
        self._context.log.write(UsageHandedOver(requests=requests, outcome=outcome))
