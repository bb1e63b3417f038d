"""Claims in the key-value service, many to one write."""

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
    TxnPartDone,
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

__all__ = ["ClaimFound", "ClaimKeeper", "ClaimsUnavailable"]

MAX_PARTS = 64
RETRY_SECONDS = 0.1
SETTLE_TRIES = 600
SETTLE_RETRY_SECONDS = 1.0
ENDED_PERIODS = 3
"""Claims of the period this many before the present one are of no more use."""

MAX_KEPT_ANSWER_BYTES = 64_000
PROBE_SECONDS = 0.25
"""Between looks whether a service that was away answers again."""

PROBE_KEY = "table"
"""Any key does; this one is small and always read."""


@dataclass(frozen=True, slots=True)
class ClaimFound:
    """What the claim in the service means for this attempt.

    Attributes
    ----------
    entry : KvEntry or None
        The claim's key as this attempt wrote it, to be replaced by the answer.
    """

    decision: ClaimDecision
    claim: Claim
    entry: KvEntry | None = None


@dataclass(frozen=True, slots=True)
class ClaimsUnavailable:
    """The service did not settle the claim in time; nothing may be run."""


@dataclass(slots=True)
class _Pending:
    key: str
    part: TxnPart
    done: asyncio.Future[TxnPartDone | KvUnavailable]


class ClaimKeeper:
    """Makes, answers and releases claims.

    While one write is on its way the claims that arrive are collected, and go together
    in the next; each has its own condition in it.

    Parameters
    ----------
    context : DaemonContext
        The daemon.
    """

    __slots__ = (
        "_cleaned",
        "_context",
        "_counter",
        "_flushing",
        "_is_away",
        "_pending",
        "_start",
        "writes",
    )

    def __init__(self, context: DaemonContext):
        self._context = context
        self._pending: deque[_Pending] = deque()
        self._flushing = False
        self._is_away = False
        self._cleaned = 0
        self._counter = itertools.count()
        self._start = context.rng.randrange(1 << 60)
        self.writes = 0

    def new_owner(self) -> str:
        """Return an identity for one attempt at claiming, never used before."""
        return f"{self._context.settings.daemon}/{self._start:x}/{next(self._counter)}"

    def keys(self, tenant: str, idempotency_key: str) -> tuple[str, str, str]:
        """Return the keys under which a request's claim may stand now."""
        bucket = claim_bucket(time.time(), self._context.settings.claim_life_seconds)
        return claim_keys(tenant, idempotency_key, bucket)

    async def clean(self, fence: Compare) -> None:
        """Delete the claims of periods that have ended, under the fence of the role."""
        bucket = claim_bucket(time.time(), self._context.settings.claim_life_seconds)
        if bucket <= self._cleaned:
            return
        ended = bucket_prefix(bucket - ENDED_PERIODS)
        part = TxnPart((fence,), (Operation(ended, None, is_prefix=True),))
        done = await self._context.kv.txn([part])
        if not isinstance(done, KvUnavailable) and done[0].succeeded:
            self._cleaned = bucket

    async def claim(
        self, keys: tuple[str, str, str], claim: Claim, give_up_seconds: float
    ) -> ClaimFound | ClaimsUnavailable:
        """Make a claim if there is none; return what stands in the service.

        An unanswered write is simply tried again: it is conditional on the key's absence,
        and the owner in the value tells whether an earlier try made it. While the service
        is known to be away nothing is tried, so that the caller is told at once.
        """
        if self._is_away:
            return ClaimsUnavailable()
        replaces: KvEntry | None = None
        while self._context.now_seconds() < give_up_seconds:
            done = await self._write(keys, claim, replaces)
            if isinstance(done, KvUnavailable):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if done.succeeded:
                key = keys[0] if replaces is None else replaces.key
                entry = KvEntry(key, b"", 0, done.revision)
                return ClaimFound(ClaimDecision.RUN, claim, entry)
            if done.present is None:
                replaces = None
                continue
            present = msgspec.json.decode(done.present.value, type=Claim)
            decision = decide_claim(present, claim.owner, claim.digest)
            if decision is ClaimDecision.TAKE_OVER:
                replaces = done.present
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
        """Write the answer into a claim, for later duplicates of the request."""
        kept = body if len(body) <= MAX_KEPT_ANSWER_BYTES else b""
        answered = msgspec.structs.replace(
            found.claim,
            state=ClaimState.ANSWERED,
            status=status,
            media_type=media_type if kept == body else "",
            body=kept,
        )
        await self._settle(keys, answered, found.entry)

    async def release(
        self, keys: tuple[str, str, str], claim: Claim, entry: KvEntry | None = None
    ) -> None:
        """Give a claim up without having run the request.

        The claim is overwritten, not deleted: a try of this daemon that is still on its
        way cannot make the claim again.
        """
        await self._settle(keys, msgspec.structs.replace(claim, state=ClaimState.RELEASED), entry)

    async def _settle(
        self, keys: tuple[str, str, str], settled: Claim, replaces: KvEntry | None
    ) -> None:
        for _ in range(SETTLE_TRIES):
            done = await self._write(keys, settled, replaces)
            if isinstance(done, KvUnavailable):
                await asyncio.sleep(SETTLE_RETRY_SECONDS)
                continue
            if done.succeeded:
                return
            if done.present is None:
                replaces = None
                continue
            present = msgspec.json.decode(done.present.value, type=Claim)
            if present.owner != settled.owner or present.state is settled.state:
                return
            replaces = done.present

    async def _write(
        self, keys: tuple[str, str, str], claim: Claim, replaces: KvEntry | None
    ) -> TxnPartDone | KvUnavailable:
        """Write a claim where there is none, or in place of a known one."""
        if replaces is None:
            key = keys[0]
            compares = tuple(Compare(each, "create", 0) for each in keys)
        else:
            key = replaces.key
            compares = (Compare(key, "mod", replaces.mod_revision),)
        part = TxnPart(compares, (Operation(key, msgspec.json.encode(claim)),), keys)
        future: asyncio.Future[TxnPartDone | KvUnavailable] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(_Pending(key, part, future))
        if not self._flushing:
            self._flushing = True
            self._context.spawn(self._flush())
        return await future

    async def _flush(self) -> None:
        try:
            while self._pending:
                batch = self._take_batch()
                self.writes += 1
                done = await self._context.kv.txn([each.part for each in batch])
                self._note_contact(done)
                for index, each in enumerate(batch):
                    if not each.done.done():
                        each.done.set_result(
                            done if isinstance(done, KvUnavailable) else done[index]
                        )
        finally:
            self._flushing = False

    def _note_contact(self, answer: object) -> None:
        unanswered = isinstance(answer, KvUnavailable) and answer.effect_unknown
        if unanswered and not self._is_away:
            self._is_away = True
            logger.warning("claims: the key-value service does not answer")
            self._context.spawn(self._wait_back())

    async def _wait_back(self) -> None:
        """Ask until the service answers again."""
        while isinstance(await self._context.kv.read(PROBE_KEY), KvUnavailable):
            await asyncio.sleep(PROBE_SECONDS)
        self._is_away = False
        logger.info("claims: the key-value service answers again")

    def _take_batch(self) -> list[_Pending]:
        """Take pending parts of different keys; the service takes a key once a write."""
        batch: list[_Pending] = []
        keys: set[str] = set()
        left: deque[_Pending] = deque()
        while self._pending and len(batch) < MAX_PARTS:
            each = self._pending.popleft()
            if each.key in keys:
                left.append(each)
                continue
            keys.add(each.key)
            batch.append(each)
        self._pending.extendleft(reversed(left))
        return batch
