"""Gateways without a network, on a clock that jumps."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from rackswitch.daemon.tests.support import make_context
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.store.member_entries import MemberEntry
from rackswitch.gateway.store.reachability import StoreReachability
from rackswitch.routing import ListedTarget
from rackswitch.standins.faulty_kv import KvFaults
from rackswitch.standins.kv_store import KvStore
from rackswitch.standins.platform_fleet import stand_in_settings


def make_gateway_context(
    name: str, store: KvStore, seed: int = 1, faults: KvFaults | None = None
) -> GatewayContext:
    daemon = make_context(name, store, random.Random(seed), faults)
    return GatewayContext(stand_in_settings(name), daemon, StoreReachability(daemon.log))


def make_member(started_at_unix_seconds: float = 0.0, room: float = 0.0) -> MemberEntry:
    return MemberEntry("127.0.0.1", 1, "z", 1, started_at_unix_seconds, processor_share=room)


class NoLooks:
    """Asks no engine how full it is."""

    async def look(self, service: str) -> None:
        return


class NoQuarantine:
    """Asks after no target, and holds nothing back."""

    def broke(self, fingerprint: str, target: ListedTarget) -> None:
        return

    def answered(self, fingerprint_of: Callable[[], str]) -> None:
        return

    def not_run(self, fingerprint_of: Callable[[], str]) -> None:
        return

    async def admit(
        self,
        fingerprint_of: Callable[[], str],
        deadline_seconds: float,
        may_claim: bool = True,
    ) -> None:
        return


async def break_at_random(
    rng: random.Random,
    calm_seconds: tuple[float, float],
    kinds: Sequence[str],
    fault: Callable[[str], Awaitable[None]],
) -> None:
    """Bring about faults of random kinds until cancelled, one or two at a time, calm between."""
    while True:
        await asyncio.sleep(rng.uniform(*calm_seconds))
        count = 2 if rng.random() < 0.4 else 1
        chosen = [rng.choice(kinds) for _ in range(count)]
        await asyncio.gather(*(fault(kind) for kind in chosen))


class HolderCall(Protocol):
    """A call of a role's holder, as it left; whoever got it checks no fencing number."""

    sent_seconds: float
    holder: str
    fencing: int


def turn_violations(calls: Sequence[HolderCall], turn_seconds: float) -> list[str]:
    """Return what must not be seen of calls, in the order in which they were sent."""
    found: list[str] = []
    for before, after in zip(calls, calls[1:], strict=False):
        gap_seconds = after.sent_seconds - before.sent_seconds
        if after.fencing < before.fencing:
            found.append(f"fencing {after.fencing} after {before.fencing}")
        elif before.holder != after.holder and after.fencing == before.fencing:
            found.append(f"two holders with fencing {after.fencing}")
        elif before.holder != after.holder and gap_seconds < turn_seconds:
            found.append(f"{before.holder}, then {after.holder} after {gap_seconds:.2f} s")
    return found
