"""Telling other daemons what was counted here, and taking over what a stopping one counted."""

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.usage_gathering import counts_message
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.telemetry.events import UsageHandedOver
from rackswitch.usage import UsageCounts

__all__ = ["UsageService"]

HAND_OVER_SECONDS = 0.5
"""How long another daemon may take to take counts over: it answers from memory."""

MAX_TRIES = 3
"""Daemons that are tried: a roll stops several at once."""


class UsageService:
    """One daemon's counts, towards the others.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    counts : UsageCounts
        What it has counted.
    """

    __slots__ = ("_context", "_counts")

    def __init__(self, context: GatewayContext, counts: UsageCounts):
        self._context = context
        self._counts = counts

    def counted(self, request: pb.CountUsageRequest) -> pb.CountUsageReply:
        """Return what was counted in a window."""
        return pb.CountUsageReply(
            counts=counts_message(self._counts.of(request.window)),
            counted_from_ms=round(self._counts.counted_from_unix_seconds * 1000),
        )

    def add(self, request: pb.AddUsageRequest) -> pb.AddUsageReply:
        """Answer from now on for what a daemon counted that stops."""
        if self._context.daemon.stopping:
            return pb.AddUsageReply(added=False)
        for window in request.windows:
            counts = {count.tenant: count.requests for count in window.counts}
            self._counts.add(window.window, counts)
        return pb.AddUsageReply(added=True)

    async def hand_over(self, since_window: int) -> None:
        """Give the counts of a window and of later ones to a daemon that goes on.

        Without it a roll over 45 % of the daemons takes their counts of up to two windows away.
        One that does not answer may have them all the same, so no other is asked then.
        """
        windows = [
            pb.WindowUsage(window=window, counts=counts_message(counts))
            for window, counts in self._counts.take_since(since_window).items()
        ]
        if not windows:
            return
        request = pb.AddUsageRequest(daemon=self._context.daemon_name, windows=windows)
        outcome = "nobody took them"
        own = self._context.daemon_name
        others = [name for name in self._context.daemon.membership.live() if name != own]
        self._context.rng.shuffle(others)
        for name in others[:MAX_TRIES]:
            peer = self._context.daemon.membership.address(name)
            if peer is None:
                continue
            reply = await self._context.daemon.links.call(
                peer, lambda stub: stub.AddUsage, request, HAND_OVER_SECONDS, GatewayPeersStub
            )
            if isinstance(reply, PeerUnreachable):
                outcome = f"unsure: {name} did not answer"
                break
            if reply.added:
                outcome = f"taken by {name}"
                break
        requests = sum(count.requests for window in windows for count in window.counts)
        self._context.log.write(UsageHandedOver(requests=requests, outcome=outcome))
