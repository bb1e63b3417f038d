"""In-memory key-value client with seeded random faults.

It uses the event loop's clock, so randomised tests on a virtual clock can
simulate hours of faults in seconds.
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
    TxnPartResult,
    WatchUpdate,
)
from rackswitch.standins.kv_store import KvStore

__all__ = ["FaultyKv", "KvFaults"]

TIMEOUT_SECONDS = 1.0
MAX_LATE_EFFECT_SECONDS = 6.0


@dataclass(slots=True)
class KvFaults:
    """Probabilities of faults; a test may change them while it runs.

    Attributes
    ----------
    lost_request, lost_answer, late_effect : float
        Unanswered calls: without effect, with effect, with a delayed effect.
    refused : float
        Calls refused without effect.
    stale_read : float
        Reads answered with an earlier state.
    down : bool
        Whether no call is answered.
    """

    lost_request: float = 0.0
    lost_answer: float = 0.0
    late_effect: float = 0.0
    refused: float = 0.0
    stale_read: float = 0.0
    down: bool = False
    delay_seconds: float = 0.002


class FaultyKv:
    """The client of one daemon for a shared `KvStore`.

    Parameters
    ----------
    store : KvStore
        State of the service.
    rng : random.Random
        Random generator that selects the calls with faults.
    faults : KvFaults
        Probabilities of the faults.
    """

    def __init__(self, store: KvStore, rng: random.Random, faults: KvFaults):
        self.calls = 0
        self.faults = faults
        self._store = store
        self._rng = rng
        self._stale_reads: dict[str, KvRead] = {}
        self._late_effects: set[asyncio.Task[None]] = set()

    async def read(
        self,
        key: str,
        is_prefix: bool = False,
        keys_only: bool = False,
        may_be_stale: bool = False,
    ) -> KvRead | KvUnavailable:
        """Read one key or all keys under a prefix; values are always included."""
        if not await self._answers():
            return KvUnavailable("no answer", False)
        self._expire()
        if key in self._stale_reads and self._rng.random() < self.faults.stale_read:
            return self._stale_reads[key]
        read = self._store.read(key, is_prefix)
        if self._rng.random() < 0.5:
            self._stale_reads[key] = read
        return read

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that sort after a key; an empty key reads all."""
        read = await self.read(prefix, is_prefix=True)
        if isinstance(read, KvUnavailable):
            return read
        later = tuple(entry for entry in read.entries if entry.key > after_key)
        return KvRead(later, read.revision)

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartResult] | KvUnavailable:
        """Run transaction parts in one call, each under its own conditions."""
        self.calls += 1
        await asyncio.sleep(self.faults.delay_seconds * (0.5 + self._rng.random()))
        if self._occurs(self.faults.refused):
            return KvUnavailable("refused", False)
        if self.faults.down or self._occurs(self.faults.lost_request):
            return await self._time_out()
        if self._occurs(self.faults.late_effect):
            self._apply_later(parts)
            return await self._time_out()
        self._expire()
        done = self._store.txn(parts)
        if self._occurs(self.faults.lost_answer):
            return await self._time_out()
        await asyncio.sleep(self.faults.delay_seconds)
        return done

    async def grant_lease(self, ttl_seconds: float) -> LeaseGranted | KvUnavailable:
        """Grant a lease."""
        if not await self._answers():
            return KvUnavailable("no answer", True)
        now_seconds = asyncio.get_running_loop().time()
        return LeaseGranted(self._store.grant(ttl_seconds, now_seconds), ttl_seconds)

    async def renew_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Renew a lease; return False if it no longer exists."""
        if not await self._answers():
            return KvUnavailable("no answer", True)
        return self._store.keep(lease_id, asyncio.get_running_loop().time()) > 0

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """Revoke a lease and delete its keys."""
        if not await self._answers():
            return KvUnavailable("no answer", True)
        self._store.end_lease(lease_id)
        return None

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[WatchUpdate | KvUnavailable]:
        """Report the watch as unavailable; tests use reads instead."""
        self.calls += 1
        yield KvUnavailable("watches are not supported by this stand-in", False)

    def _occurs(self, share: float) -> bool:
        return self._rng.random() < share

    def _expire(self) -> None:
        self._store.expire(asyncio.get_running_loop().time())

    async def _answers(self) -> bool:
        self.calls += 1
        await asyncio.sleep(self.faults.delay_seconds * (0.5 + self._rng.random()))
        if self.faults.down or self._occurs(self.faults.lost_request + self.faults.lost_answer):
            await asyncio.sleep(TIMEOUT_SECONDS)
            return False
        return True

    async def _time_out(self) -> KvUnavailable:
        await asyncio.sleep(TIMEOUT_SECONDS)
        return KvUnavailable("no answer", True)

    def _apply_later(self, parts: list[TxnPart]) -> None:
        async def apply() -> None:
            await asyncio.sleep(self._rng.random() * MAX_LATE_EFFECT_SECONDS)
            self._expire()
            self._store.txn(parts)

        task = asyncio.create_task(apply())
        self._late_effects.add(task)
        task.add_done_callback(self._late_effects.discard)
