"""Gateway contexts and stubs for tests without a network, on a virtual clock."""

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
from rackswitch.table import ServiceRow, StoredRow, TableDocument


def make_gateway_context(
    name: str, store: KvStore, seed: int = 1, faults: KvFaults | None = None
) -> GatewayContext:
    daemon = make_context(name, store, random.Random(seed), faults)
    return GatewayContext(stand_in_settings(name), daemon, StoreReachability(daemon.log))


def make_member(started_at_unix_seconds: float = 0.0, **limits: float) -> MemberEntry:
    return MemberEntry("127.0.0.1", 1, "z", 1, started_at_unix_seconds, **limits)


class NoLoadPoller:
    """Load poller that polls no engine."""

    async def poll(self, service: str, allowed_regions: frozenset[str] | None = None) -> None:
        return


class NoQuarantine:
    """Quarantine that admits every request and ignores all outcomes."""

    def record_failure(self, fingerprint: str, target: ListedTarget) -> None:
        return

    def record_answer(self, fingerprint_of: Callable[[], str]) -> None:
        return

    def record_not_run(self, fingerprint_of: Callable[[], str]) -> None:
        return

    async def admit(
        self,
        fingerprint_of: Callable[[], str],
        deadline_seconds: float,
        may_claim: bool = True,
    ) -> None:
        return

    async def admit_item(self, fingerprint_of: Callable[[], str], deadline_seconds: float) -> None:
        return


async def inject_random_faults(
    rng: random.Random,
    interval_seconds: tuple[float, float],
    kinds: Sequence[str],
    inject_fault: Callable[[str], Awaitable[None]],
) -> None:
    """Inject one or two faults of random kinds at random intervals, until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(*interval_seconds))
        count = 2 if rng.random() < 0.4 else 1
        chosen_kinds = [rng.choice(kinds) for _ in range(count)]
        await asyncio.gather(*(inject_fault(kind) for kind in chosen_kinds))


class HolderCall(Protocol):
    """A call of a role's holder, as sent to a receiver that does not check fencing numbers."""

    sent_seconds: float
    holder: str
    fencing: int


def turn_violations(calls: Sequence[HolderCall], turn_seconds: float) -> list[str]:
    """Return violations of the holders' turns in calls sorted by the time they were sent."""
    problems: list[str] = []
    for earlier, later in zip(calls, calls[1:], strict=False):
        interval_seconds = later.sent_seconds - earlier.sent_seconds
        if later.fencing < earlier.fencing:
            problems.append(f"fencing {later.fencing} after {earlier.fencing}")
        elif earlier.holder != later.holder and later.fencing == earlier.fencing:
            problems.append(f"two holders with fencing {later.fencing}")
        elif earlier.holder != later.holder and interval_seconds < turn_seconds:
            problems.append(f"{earlier.holder}, then {later.holder} after {interval_seconds:.2f} s")
    return problems


def state_cold_rate(context: GatewayContext) -> None:
    """Give a daemon a table with a cold rate, as of a deployment that counts memory and link."""
    row = ServiceRow(name="cold", cold_requests_per_second=17.0)
    revision = context.table_revision + 1
    rows = {**context.daemon.view.document.rows, "service/cold": StoredRow(revision, row)}
    context.daemon.view.replace_if_newer(TableDocument(revision, rows))
