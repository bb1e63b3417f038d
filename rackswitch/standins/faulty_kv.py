"""A key-value client without a network, whose faults follow from a seed.

It runs on any event loop clock, so randomised tests drive the daemon's own
code through hours of faults in seconds.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass

from rackswitch.clients.kv import (
    KvRead,
    KvUnavailable,
    LeaseGranted,
    TxnPart,
    TxnPartDone,
    WatchNews,
)
from rackswitch.standins.kv_store import KvStore

__all__ = ["FaultyKv", "KvFaults"]

TIMEOUT_SECONDS = 1.0
MAX_LATE_SECONDS = 6.0


@dataclass(slots=True)
class KvFaults:
    """Shares of calls that go wrong, changed at will while a test runs.

    Attributes
    ----------
    lost_request, lost_answer, late_effect : float
        Unanswered calls: without effect, with it, with it only some seconds later.
    refused : float
        Calls refused with certainty that there was no effect.
    stale_read : float
        Reads answered with an older state.
    down : bool
        Whether nothing is answered at all.
    """

    lost_request: float = 0.0
    lost_answer: float = 0.0
    late_effect: float = 0.0
    refused: float = 0.0
    stale_read: float = 0.0
    down: bool = False
    delay_seconds: float = 0.002


class FaultyKv:
    """One daemon's connection to a shared `KvStore`.

    Parameters
    ----------
    store : KvStore
        The service's state.
    rng : random.Random
        Decides which calls go wrong.
    faults : KvFaults
        How many.
    """

    def __init__(self, store: KvStore, rng: random.Random, faults: KvFaults):
        self.calls = 0
        self.faults = faults
        self._store = store
        self._rng = rng
        self._older: dict[str, KvRead] = {}
        self._late: set[asyncio.Task[None]] = set()

    async def read(
        self,
        key: str,
        is_prefix: bool = False,
        keys_only: bool = False,
        may_be_stale: bool = False,
    ) -> KvRead | KvUnavailable:
        """Read one key, or all under a prefix; values always come along here."""
        if not await self._answers():
            return KvUnavailable("no answer", False)
        self._expire()
        if key in self._older and self._rng.random() < self.faults.stale_read:
            return self._older[key]
        read = self._store.read(key, is_prefix)
        if self._rng.random() < 0.5:
            self._older[key] = read
        return read

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that come after a key (empty: all of them)."""
        read = await self.read(prefix, is_prefix=True)
        if isinstance(read, KvUnavailable):
            return read
        later = tuple(entry for entry in read.entries if entry.key > after_key)
        return KvRead(later, read.revision)

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartDone] | KvUnavailable:
        """Carry out parts in one call, each on its own conditions."""
        self.calls += 1
        await asyncio.sleep(self.faults.delay_seconds * (0.5 + self._rng.random()))
        if self._hits(self.faults.refused):
            return KvUnavailable("refused", False)
        if self.faults.down or self._hits(self.faults.lost_request):
            return await self._unanswered()
        if self._hits(self.faults.late_effect):
            self._apply_later(parts)
            return await self._unanswered()
        self._expire()
        done = self._store.txn(parts)
        if self._hits(self.faults.lost_answer):
            return await self._unanswered()
        await asyncio.sleep(self.faults.delay_seconds)
        return done

    async def grant_lease(self, life_seconds: float) -> LeaseGranted | KvUnavailable:
        """Make a lease."""
        if not await self._answers():
            return KvUnavailable("no answer", True)
        now_seconds = asyncio.get_running_loop().time()
        return LeaseGranted(self._store.grant(life_seconds, now_seconds), life_seconds)

    async def keep_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Prolong a lease; False if it is gone."""
        if not await self._answers():
            return KvUnavailable("no answer", True)
        return self._store.keep(lease_id, asyncio.get_running_loop().time()) > 0

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """End a lease, which deletes its keys."""
        if not await self._answers():
            return KvUnavailable("no answer", True)
        self._store.end_lease(lease_id)
        return None

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[WatchNews | KvUnavailable]:
        """Yield nothing and break at once: tests make do with reads."""
        self.calls += 1
        yield KvUnavailable("watches are not offered here", False)

    def _hits(self, share: float) -> bool:
        return self._rng.random() < share

    def _expire(self) -> None:
        self._store.expire(asyncio.get_running_loop().time())

    async def _answers(self) -> bool:
        self.calls += 1
        await asyncio.sleep(self.faults.delay_seconds * (0.5 + self._rng.random()))
        if self.faults.down or self._hits(self.faults.lost_request + self.faults.lost_answer):
            await asyncio.sleep(TIMEOUT_SECONDS)
            return False
        return True

    async def _unanswered(self) -> KvUnavailable:
        await asyncio.sleep(TIMEOUT_SECONDS)
        return KvUnavailable("no answer", True)

    def _apply_later(self, parts: list[TxnPart]) -> None:
        async def apply() -> None:
            await asyncio.sleep(self._rng.random() * MAX_LATE_SECONDS)
            self._expire()
            self._store.txn(parts)

        task = asyncio.create_task(apply())
        self._late.add(task)
        task.add_done_callback(self._late.discard)
