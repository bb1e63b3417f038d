"""Claims in the key-value service, many to one write."""

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass

import msgspec

from rackswitch.daemon.context import DaemonContext
from rackswitch.platform.kv import (
    Compare,
    KvUnavailable,
    LeaseGranted,
    Operation,
    TxnPart,
    TxnPartDone,
)
from rackswitch.requests import Claim, ClaimDecision, ClaimState, decide_claim

__all__ = ["ClaimFound", "ClaimKeeper", "ClaimsUnavailable"]

MOST_PARTS = 64
CLAIM_LIFE_SECONDS = 24 * 3600.0
LEASE_USE_SECONDS = 3600.0
RETRY_SECONDS = 0.1
RELEASE_TRIES = 50
MOST_KEPT_ANSWER_BYTES = 64_000


@dataclass(frozen=True, slots=True)
class ClaimFound:
    """What the claim in the service means for this attempt."""

    decision: ClaimDecision
    claim: Claim


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
        "_context",
        "_counter",
        "_flushing",
        "_lease",
        "_lease_ends_seconds",
        "_pending",
        "_start",
        "writes",
    )

    def __init__(self, context: DaemonContext):
        self._context = context
        self._pending: deque[_Pending] = deque()
        self._flushing = False
        self._lease: LeaseGranted | None = None
        self._lease_ends_seconds = 0.0
        self._counter = itertools.count()
        self._start = context.rng.randrange(1 << 60)
        self.writes = 0

    def new_owner(self) -> str:
        """Return an identity for one attempt at claiming, never used before."""
        return f"{self._context.settings.daemon}/{self._start:x}/{next(self._counter)}"

    async def claim(
        self, key: str, claim: Claim, give_up_seconds: float
    ) -> ClaimFound | ClaimsUnavailable:
        """Make a claim if there is none; return what stands in the service.

        An unanswered write is simply tried again: it is conditional on the key's absence,
        and the owner in the value tells whether an earlier try made it.
        """
        replaces = 0
        while self._context.now_seconds() < give_up_seconds:
            done = await self._create(key, claim, replaces)
            if isinstance(done, KvUnavailable):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if done.succeeded:
                return ClaimFound(ClaimDecision.RUN, claim)
            if done.present is None:
                replaces = 0
                continue
            present = msgspec.json.decode(done.present.value, type=Claim)
            decision = decide_claim(present, claim.owner, claim.digest)
            if decision is ClaimDecision.TAKE_OVER:
                replaces = done.present.mod_revision
                continue
            return ClaimFound(decision, present)
        self._context.spawn(self.release(key, claim))
        return ClaimsUnavailable()

    async def store_answer(self, key: str, claim: Claim, status: int, media_type: str, body: bytes):
        """Write the answer into a claim, for later duplicates of the request."""
        kept = body if len(body) <= MOST_KEPT_ANSWER_BYTES else b""
        answered = msgspec.structs.replace(
            claim,
            state=ClaimState.ANSWERED,
            status=status,
            media_type=media_type if kept == body else "",
            body=kept,
        )
        await self._settle(key, answered)

    async def release(self, key: str, claim: Claim) -> None:
        """Give a claim up without having run the request.

        The claim is overwritten, not deleted: a try of this daemon that is still on its
        way cannot make the claim again.
        """
        await self._settle(key, msgspec.structs.replace(claim, state=ClaimState.RELEASED))

    async def _settle(self, key: str, settled: Claim) -> None:
        replaces = 0
        for _ in range(RELEASE_TRIES):
            done = await self._create(key, settled, replaces)
            if isinstance(done, KvUnavailable):
                await asyncio.sleep(10 * RETRY_SECONDS)
                continue
            if done.succeeded or done.present is None:
                return
            present = msgspec.json.decode(done.present.value, type=Claim)
            if present.owner != settled.owner or present.state is settled.state:
                return
            replaces = done.present.mod_revision

    async def _create(self, key: str, claim: Claim, replaces: int) -> TxnPartDone | KvUnavailable:
        lease_id = await self._lease_id()
        if lease_id is None:
            return KvUnavailable("no lease for claims", False)
        compare = Compare(key, "mod" if replaces else "create", replaces)
        part = TxnPart((compare,), (Operation(key, msgspec.json.encode(claim), lease_id),), key)
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
                for index, each in enumerate(batch):
                    if not each.done.done():
                        each.done.set_result(
                            done if isinstance(done, KvUnavailable) else done[index]
                        )
        finally:
            self._flushing = False

    def _take_batch(self) -> list[_Pending]:
        """Take pending parts of different keys; the service takes a key once a write."""
        batch: list[_Pending] = []
        keys: set[str] = set()
        left: deque[_Pending] = deque()
        while self._pending and len(batch) < MOST_PARTS:
            each = self._pending.popleft()
            if each.key in keys:
                left.append(each)
                continue
            keys.add(each.key)
            batch.append(each)
        self._pending.extendleft(reversed(left))
        return batch

    async def _lease_id(self) -> int | None:
        now_seconds = self._context.now_seconds()
        if self._lease is None or now_seconds >= self._lease_ends_seconds:
            granted = await self._context.kv.grant_lease(CLAIM_LIFE_SECONDS)
            if isinstance(granted, KvUnavailable):
                return self._lease.lease_id if self._lease is not None else None
            self._lease = granted
            self._lease_ends_seconds = now_seconds + LEASE_USE_SECONDS
        return self._lease.lease_id
