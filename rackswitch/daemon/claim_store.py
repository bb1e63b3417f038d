"""Claims on idempotency keys in the key-value service, written in batches."""

import asyncio
import itertools
import time
from collections import deque
from dataclasses import dataclass

import msgspec
from loguru import logger

from rackswitch.clients.kv import (
    Compare,
    KvEntry,
    KvUnavailable,
    Operation,
    TxnPart,
    TxnPartResult,
)
from rackswitch.daemon.context import DaemonContext
from rackswitch.requests import (
    Claim,
    ClaimDecision,
    ClaimState,
    bucket_prefix,
    claim_bucket,
    claim_keys,
    decide_claim,
)

__all__ = ["ClaimFound", "ClaimStore", "ClaimsUnavailable"]

MAX_BATCH_PARTS = 64
RETRY_DELAY_SECONDS = 0.1
MAX_SETTLE_ATTEMPTS = 600
SETTLE_RETRY_DELAY_SECONDS = 1.0
RETAINED_PERIODS = 3
"""A claim bucket is deleted this many periods after its own."""

MAX_STORED_ANSWER_BYTES = 64_000
PROBE_INTERVAL_SECONDS = 0.25
"""Between probes of an unreachable key-value service."""

PROBE_KEY = "table"
"""Key that a probe reads; any key would do."""


@dataclass(frozen=True, slots=True)
class ClaimFound:
    """The claim stored in the service and what it means for this attempt.

    Attributes
    ----------
    entry : KvEntry or None
        The entry that this attempt wrote; the answer replaces it.
    """

    decision: ClaimDecision
    claim: Claim
    entry: KvEntry | None = None


@dataclass(frozen=True, slots=True)
class ClaimsUnavailable:
    """The service did not confirm the claim in time, so the request must not run."""


@dataclass(slots=True)
class _PendingWrite:
    key: str
    part: TxnPart
    done: asyncio.Future[TxnPartResult | KvUnavailable]


class ClaimStore:
    """Makes and releases claims, and stores answers in them.

    Claims that arrive while a write is in progress are batched into the next write, each
    with its own condition.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    """

    __slots__ = (
        "_cleaned_bucket",
        "_context",
        "_counter",
        "_flushing",
        "_is_unreachable",
        "_pending",
        "_start_id",
        "writes",
    )

    def __init__(self, context: DaemonContext):
        self._context = context
        self._pending: deque[_PendingWrite] = deque()
        self._flushing = False
        self._is_unreachable = False
        self._cleaned_bucket = 0
        self._counter = itertools.count()
        self._start_id = context.rng.randrange(1 << 60)
        self.writes = 0

    def new_owner(self) -> str:
        """Return a unique owner for one attempt at a claim."""
        return f"{self._context.settings.daemon}/{self._start_id:x}/{next(self._counter)}"

    def keys(self, tenant: str, idempotency_key: str) -> tuple[str, str, str]:
        """Return the keys under which a request's claim may be stored now."""
        bucket = claim_bucket(time.time(), self._context.settings.claim_life_seconds)
        return claim_keys(tenant, idempotency_key, bucket)

    async def clean(self, fence: Compare) -> None:
        """Delete expired claims, under the fence of the cleaning role."""
        bucket = claim_bucket(time.time(), self._context.settings.claim_life_seconds)
        if bucket <= self._cleaned_bucket:
            return
        expired_prefix = bucket_prefix(bucket - RETAINED_PERIODS)
        part = TxnPart((fence,), (Operation(expired_prefix, None, is_prefix=True),))
        done = await self._context.kv.txn([part])
        if not isinstance(done, KvUnavailable) and done[0].succeeded:
            self._cleaned_bucket = bucket

    async def claim(
        self, keys: tuple[str, str, str], claim: Claim, deadline_seconds: float
    ) -> ClaimFound | ClaimsUnavailable:
        """Make a claim if there is none; return the claim stored in the service.

        An unanswered write is retried: it is conditional on the key's absence, and the owner
        in the value identifies a claim that an earlier attempt made. While the service is
        known to be unreachable, the claim fails immediately.
        """
        if self._is_unreachable:
            return ClaimsUnavailable()
        replaced_entry: KvEntry | None = None
        while self._context.now_seconds() < deadline_seconds:
            done = await self._write(keys, claim, replaced_entry)
            if isinstance(done, KvUnavailable):
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            if done.succeeded:
                key = keys[0] if replaced_entry is None else replaced_entry.key
                entry = KvEntry(key, b"", 0, done.revision)
                return ClaimFound(ClaimDecision.RUN, claim, entry)
            if done.present is None:
                replaced_entry = None
                continue
            present = msgspec.json.decode(done.present.value, type=Claim)
            decision = decide_claim(present, claim.owner, claim.digest)
            if decision is ClaimDecision.TAKE_OVER:
                replaced_entry = done.present
                continue
            return ClaimFound(decision, present)
        self._context.spawn(self.release(keys, claim))
        return ClaimsUnavailable()

    async def store_answer(
        self,
        keys: tuple[str, str, str],
        found: ClaimFound,
        status: int,
        media_type: str,
        body: bytes,
    ) -> None:
        """Store the answer in a claim, for later duplicates of the request."""
        stored_body = body if len(body) <= MAX_STORED_ANSWER_BYTES else b""
        answered = msgspec.structs.replace(
            found.claim,
            state=ClaimState.ANSWERED,
            status=status,
            media_type=media_type if stored_body == body else "",
            body=stored_body,
        )
        await self._settle(keys, answered, found.entry)

    async def release(
        self, keys: tuple[str, str, str], claim: Claim, entry: KvEntry | None = None
    ) -> None:
        """Release a claim whose request was not run.

        The claim is overwritten, not deleted, so that a delayed write of this daemon cannot
        make it again.
        """
        await self._settle(keys, msgspec.structs.replace(claim, state=ClaimState.RELEASED), entry)

    async def _settle(
        self, keys: tuple[str, str, str], settled: Claim, replaced_entry: KvEntry | None
    ) -> None:
        for _ in range(MAX_SETTLE_ATTEMPTS):
            done = await self._write(keys, settled, replaced_entry)
            if isinstance(done, KvUnavailable):
                await asyncio.sleep(SETTLE_RETRY_DELAY_SECONDS)
                continue
            if done.succeeded:
                return
            if done.present is None:
                replaced_entry = None
                continue
            present = msgspec.json.decode(done.present.value, type=Claim)
            if present.owner != settled.owner or present.state is settled.state:
                return
            replaced_entry = done.present

    async def _write(
        self, keys: tuple[str, str, str], claim: Claim, replaced_entry: KvEntry | None
    ) -> TxnPartResult | KvUnavailable:
        """Create a claim, or replace a known one."""
        if replaced_entry is None:
            key = keys[0]
            compares = tuple(Compare(claim_key, "create", 0) for claim_key in keys)
        else:
            key = replaced_entry.key
            compares = (Compare(key, "mod", replaced_entry.mod_revision),)
        part = TxnPart(compares, (Operation(key, msgspec.json.encode(claim)),), keys)
        future: asyncio.Future[TxnPartResult | KvUnavailable] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(_PendingWrite(key, part, future))
        if not self._flushing:
            self._flushing = True
            self._context.spawn(self._flush())
        return await future

    async def _flush(self) -> None:
        try:
            while self._pending:
                batch = self._take_batch()
                self.writes += 1
                done = await self._context.kv.txn([pending.part for pending in batch])
                self._record_contact(done)
                for index, pending in enumerate(batch):
                    if not pending.done.done():
                        pending.done.set_result(
                            done if isinstance(done, KvUnavailable) else done[index]
                        )
        finally:
            self._flushing = False

    def _record_contact(self, answer: object) -> None:
        unanswered = isinstance(answer, KvUnavailable) and answer.effect_unknown
        if unanswered and not self._is_unreachable:
            self._is_unreachable = True
            logger.warning("claims: the key-value service does not answer")
            self._context.spawn(self._wait_until_reachable())

    async def _wait_until_reachable(self) -> None:
        """Probe the service until it answers again."""
        while isinstance(await self._context.kv.read(PROBE_KEY), KvUnavailable):
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        self._is_unreachable = False
        logger.info("claims: the key-value service answers again")

    def _take_batch(self) -> list[_PendingWrite]:
        """Take pending writes of distinct keys; a transaction may write each key only once."""
        batch: list[_PendingWrite] = []
        keys: set[str] = set()
        deferred: deque[_PendingWrite] = deque()
        while self._pending and len(batch) < MAX_BATCH_PARTS:
            pending = self._pending.popleft()
            if pending.key in keys:
                deferred.append(pending)
                continue
            keys.add(pending.key)
            batch.append(pending)
        self._pending.extendleft(reversed(deferred))
        return batch
