"""Asking all daemons what they have counted in a window."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from rackswitch.gateway.context import GatewayContext
from rackswitch.peers import gateway_pb2 as pb
from rackswitch.peers.gateway_grpc import GatewayPeersStub
from rackswitch.peers.links import PeerUnreachable
from rackswitch.usage import UsageCounts

__all__ = ["GatheredUsage", "UsageGathering", "counts_message"]

ASKED_AT_ONCE = 16
"""Daemons asked side by side. Each answer takes the asker some 1 ms of a processor."""

ANSWER_SECONDS = 0.5
"""How long a daemon may take; it answers from memory."""

SECOND_ROUND_SECONDS = 0.4
"""When those that did not answer are asked once more: a lost packet is sent again by then."""


@dataclass(slots=True)
class GatheredUsage:
    """What a window's gathering brought.

    Attributes
    ----------
    answered, silent : int
        How many daemons told their counts, and how many did not.
    partial : int
        How many of them began to count after the window's start.
    """

    counts: Counter[str] = field(default_factory=Counter)
    answered: int = 0
    silent: int = 0
    partial: int = 0


class UsageGathering:
    """Gathers counts by asking every daemon.

    Asked once a window, 64 daemons cost no call to the key-value service, where each daemon's
    own writing would cost up to 64 calls in each window of 5 s.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    counts : UsageCounts
        Its own counts.
    """

    __slots__ = ("_context", "_counts")

    def __init__(self, context: GatewayContext, counts: UsageCounts):
        self._context = context
        self._counts = counts

    async def gather(self, window: int) -> GatheredUsage:
        """Return what all daemons that can be reached have counted in a window."""
        gathered = GatheredUsage(Counter(self._counts.of(window)), answered=1)
        # A daemon that stops hands its counts over at its end only, which may be after this.
        asked = self._context.daemon.membership.others_reachable()
        silent = await self._ask(asked, window, gathered)
        if silent:
            await asyncio.sleep(SECOND_ROUND_SECONDS)
            silent = await self._ask(silent, window, gathered)
        gathered.silent = len(silent)
        return gathered

    async def _ask(self, names: list[str], window: int, gathered: GatheredUsage) -> list[str]:
        """Ask daemons side by side; return those that did not answer."""
        places = asyncio.Semaphore(ASKED_AT_ONCE)

        async def ask(name: str) -> str | None:
            async with places:
                return name if not await self._ask_one(name, window, gathered) else None

        silent = await asyncio.gather(*(ask(name) for name in names))
        return [name for name in silent if name is not None]

    async def _ask_one(self, name: str, window: int, gathered: GatheredUsage) -> bool:
        peer = self._context.daemon.membership.address(name)
        if peer is None:
            return False
        reply = await self._context.daemon.links.call(
            peer,
            lambda stub: stub.CountUsage,
            pb.CountUsageRequest(window=window),
            ANSWER_SECONDS,
            GatewayPeersStub,
        )
        if isinstance(reply, PeerUnreachable):
            return False
        begins = self._counts.windows.begins_at_unix_seconds(window)
        gathered.answered += 1
        gathered.partial += reply.counted_from_ms / 1000 > begins
        for count in reply.counts:
            gathered.counts[count.tenant] += count.requests
        return True


def counts_message(counts: dict[str, int]) -> list[pb.TenantCount]:
    """Return counts as daemons tell them to each other."""
    return [pb.TenantCount(tenant=name, requests=number) for name, number in counts.items()]
