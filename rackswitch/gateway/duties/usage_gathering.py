"""Gathers the usage counts of a window from all daemons."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from rackswitch.gateway.context import GatewayContext
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.usage import UsageCounts

__all__ = ["GatheredUsage", "UsageGatherer", "counts_to_messages"]

MAX_PARALLEL_REQUESTS = 16
"""Maximum number of daemons asked concurrently. Each answer takes some 1 ms of processor time."""

ANSWER_TIMEOUT_SECONDS = 0.5
"""Timeout of a request; daemons answer from memory."""

RETRY_DELAY_SECONDS = 0.4
"""Delay before the daemons that did not answer are asked once more; a lost packet has been sent
again by then."""


@dataclass(slots=True)
class GatheredUsage:
    """The gathered counts of a window.

    Attributes
    ----------
    answered, unanswered : int
        Number of daemons that reported their counts, and of those that did not answer.
    partial : int
        Number of daemons that began to count after the window's start.
    """

    counts: Counter[str] = field(default_factory=Counter)
    answered: int = 0
    unanswered: int = 0
    partial: int = 0


class UsageGatherer:
    """Gathers counts by asking every daemon directly.

    This needs no calls to the key-value service, whose rate is limited.

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

    async def gather(self, window: int) -> GatheredUsage:
        """Return the counts of a window from all reachable daemons."""
        gathered = GatheredUsage(Counter(self._counts.counts_in(window)), answered=1)
        # Stopping daemons are asked too: they hand over their counts only at their end.
        peers = self._context.daemon.membership.reachable_peers()
        unanswered = await self._ask_all(peers, window, gathered)
        if unanswered:
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            unanswered = await self._ask_all(unanswered, window, gathered)
        gathered.unanswered = len(unanswered)
        return gathered

    async def _ask_all(self, names: list[str], window: int, gathered: GatheredUsage) -> list[str]:
        """Ask daemons concurrently; return those that did not answer."""
        semaphore = asyncio.Semaphore(MAX_PARALLEL_REQUESTS)

        async def ask(name: str) -> str | None:
            async with semaphore:
                return name if not await self._ask_one(name, window, gathered) else None

        unanswered = await asyncio.gather(*(ask(name) for name in names))
        return [name for name in unanswered if name is not None]

    async def _ask_one(self, name: str, window: int, gathered: GatheredUsage) -> bool:
        peer = self._context.daemon.membership.address(name)
        if peer is None:
            return False
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.CountUsage,
            pb.CountUsageRequest(window=window),
            ANSWER_TIMEOUT_SECONDS,
            GatewayPeersStub,
        )
        if isinstance(reply, PeerUnreachable):
            return False
        window_start_unix_seconds = self._counts.windows.begins_at_unix_seconds(window)
        gathered.answered += 1
        gathered.partial += reply.counted_from_ms / 1000 > window_start_unix_seconds
        for count in reply.counts:
            gathered.counts[count.tenant] += count.requests
        return True


def counts_to_messages(counts: dict[str, int]) -> list[pb.TenantCount]:
    """Return counts as messages of the peer protocol."""
    return [pb.TenantCount(tenant=name, requests=requests) for name, requests in counts.items()]
