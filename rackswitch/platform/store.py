"""Client of the platform's key-value service.

It implements the `KvClient` interface, so the stores of the stand-alone deployment also work
with this service.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import urlencode

import msgspec

from rackswitch.clients.kv import (
    KV_CLIENTS,
    KvEntry,
    KvRead,
    KvUnavailable,
    LeaseGranted,
    TxnPart,
    TxnPartResult,
    WatchUpdate,
    latest_update,
)
from rackswitch.platform.store_calls import StoreCall, StoreTransport
from rackswitch.platform.store_messages import (
    StoreAnswer,
    WireConflict,
    WireKey,
    WireLease,
    WireRange,
    WireTxnDone,
    WireWatch,
    check_answer_status,
    first_existing_entry,
    mark_without_effect,
    txn_body,
)
from rackswitch.relay import SlowestRecent

__all__ = ["PROTOCOL_NAME", "PlatformKvClient"]

PROTOCOL_NAME = "operator-platform"

CALL_TIMEOUT_SECONDS = 1.5
"""An answer usually takes 4 ms, and up to a hundred times that while the service is slow."""

WATCH_WAIT_SECONDS = 0.7
"""Duration of a watch's long poll. A lost watch is noticed only after this time, and a change must
be in force 2 s after it was made."""

WATCH_SLACK_SECONDS = 0.15
"""Minimum extra time for the answer to a long poll."""

SLOW_ANSWER_FACTOR = 2.0
"""Extra time for the answer to a long poll, as a multiple of the slowest recent answer."""

SLOWEST_ANSWER_DECAY = 0.8
"""Factor by which the slowest duration decreases with each faster answer or long poll."""

STALE_READ_QUERY = {"stale_ok": "1"}
"""Requests a read that may be some seconds stale and is cheaper."""

WATCH_PATH = "/rackswitch/kv-watch"
"""Path of the only long poll: answered on a change or after its wait time."""

MAX_PAGES = 200


@KV_CLIENTS.register(PROTOCOL_NAME)
class PlatformKvClient:
    """Client of the platform's key-value service.

    Parameters
    ----------
    transport : StoreTransport
        Sends calls to the service.
    """

    __slots__ = ("_slowest_answer", "_transport", "calls", "calls_by_path")

    def __init__(self, transport: StoreTransport):
        self._transport = transport
        self._slowest_answer = SlowestRecent(SLOWEST_ANSWER_DECAY)
        self.calls = 0
        self.calls_by_path: Counter[str] = Counter()

    async def read(
        self,
        key: str,
        is_prefix: bool = False,
        keys_only: bool = False,
        may_be_stale: bool = False,
    ) -> KvRead | KvUnavailable:
        """Read one key, or all keys under a prefix.

        The service cannot omit values, so `keys_only` has no effect.
        """
        if is_prefix:
            return await self._read_pages(key, "", may_be_stale)
        query = {"key": key, **(STALE_READ_QUERY if may_be_stale else {})}
        answer = await self._call("GET", "/rackswitch/kv-key", query)
        if isinstance(answer, KvUnavailable):
            return mark_without_effect(answer)
        if answer.status == 404:
            # An answer of the service itself contains its revision; any other 404 gives 0.
            missing = answer.decode(WireRange)
            revision = missing.store_revision if isinstance(missing, WireRange) else 0
            return KvRead((), revision)
        found = answer.decode(WireKey)
        if isinstance(found, KvUnavailable):
            return mark_without_effect(found)
        return KvRead((found.entry(),), found.store_revision)

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that follow a key, page by page.

        The revision is that of the first page, so that a watch from it includes all changes made
        between the pages.
        """
        return await self._read_pages(prefix, after_key, may_be_stale=False)

    async def _read_pages(
        self, prefix: str, after_key: str, may_be_stale: bool
    ) -> KvRead | KvUnavailable:
        entries: dict[str, KvEntry] = {}
        first_revision = 0
        start = after_key
        for _ in range(MAX_PAGES):
            # For this call, `since_rev` is the key to continue after, not a revision.
            query = {"path_prefix": prefix, **({"since_rev": start} if start else {})}
            query.update(STALE_READ_QUERY if may_be_stale else {})
            answer = await self._call("GET", "/rackswitch/kv-range", query)
            if isinstance(answer, KvUnavailable):
                return mark_without_effect(answer)
            page = answer.decode(WireRange)
            if isinstance(page, KvUnavailable):
                return mark_without_effect(page)
            first_revision = first_revision or page.store_revision
            new_items = [item for item in page.items if item.key > start]
            for item in new_items:
                entries[item.key] = item.entry()
            if not page.truncated or not new_items:
                break
            start = new_items[-1].key
        return KvRead(tuple(entries.values()), first_revision)

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartResult] | KvUnavailable:
        """Execute the parts in order, each on its own conditions."""
        done: list[TxnPartResult] = []
        for part in parts:
            result = await self._txn_part(part)
            if isinstance(result, KvUnavailable):
                effect_unknown = result.effect_unknown or bool(done)
                return KvUnavailable(result.detail, effect_unknown)
            done.append(result)
        return done

    async def _txn_part(self, part: TxnPart) -> TxnPartResult | KvUnavailable:
        answer = await self._call("POST", "/rackswitch/kv-txn", body=txn_body(part))
        if isinstance(answer, KvUnavailable):
            return answer
        if answer.status == 404:
            return TxnPartResult(False, None, 0, lease_expired=True)
        if answer.status == 412:
            conflict = answer.decode(WireConflict)
            if isinstance(conflict, KvUnavailable):
                return KvUnavailable(conflict.detail, effect_unknown=False)
            return TxnPartResult(False, first_existing_entry(part, conflict), 0)
        written = answer.decode(WireTxnDone)
        if isinstance(written, KvUnavailable):
            return written
        return TxnPartResult(True, None, written.revision)

    async def grant_lease(self, ttl_seconds: float) -> LeaseGranted | KvUnavailable:
        """Create a lease.

        The call is repeatable, also through a peer: if an answer is lost, its lease is unused and
        expires.
        """
        body = {"ttl_ms": round(ttl_seconds * 1000)}
        answer = await self._call("POST", "/rackswitch/kv-lease", body=body, repeatable=True)
        if isinstance(answer, KvUnavailable):
            return answer
        granted = answer.decode(WireLease)
        if isinstance(granted, KvUnavailable):
            return granted
        return LeaseGranted(granted.lease, granted.ttl_ms / 1000)

    async def renew_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Renew a lease; False if it no longer exists."""
        answer = await self._call("POST", f"/rackswitch/kv-keep/{lease_id}", repeatable=True)
        if isinstance(answer, KvUnavailable):
            return answer
        return answer.status != 404

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """Revoke a lease, which deletes its keys.

        The call is repeatable, as no later lease has the same identity.
        """
        path = f"/rackswitch/kv-lease-end/{lease_id}"
        answer = await self._call("DELETE", path, repeatable=True)
        return answer if isinstance(answer, KvUnavailable) else None

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[WatchUpdate | KvUnavailable]:
        """Yield changes under a prefix after a revision until a call fails.

        The first call is answered at once, so that the caller has the current state; the later
        ones are long polls.
        """
        revision = from_revision
        wait_seconds = 0.0
        while True:
            query = {
                "path_prefix": key,
                "since_rev": str(revision),
                "wait_ms": str(round(wait_seconds * 1000)),
            }
            asked_at_seconds = asyncio.get_running_loop().time()
            answer = await self._call(
                "GET",
                WATCH_PATH,
                query,
                limit_seconds=self._watch_timeout_seconds(wait_seconds),
                held=wait_seconds > 0,
            )
            if isinstance(answer, KvUnavailable):
                yield mark_without_effect(answer)
                return
            overrun_seconds = asyncio.get_running_loop().time() - asked_at_seconds - wait_seconds
            if wait_seconds and overrun_seconds >= 0.0:
                self._record_duration(overrun_seconds)
            wait_seconds = WATCH_WAIT_SECONDS
            news = answer.decode(WireWatch)
            if isinstance(news, KvUnavailable):
                yield mark_without_effect(news)
                return
            revision = max(revision, news.store_revision)
            yield latest_update(
                [event.entry() for event in news.events if not event.tombstone],
                [(event.key, event.revision) for event in news.events if event.tombstone],
                revision,
            )

    def _watch_timeout_seconds(self, wait_seconds: float) -> float:
        """Return the timeout of a watch's call.

        A long poll gets extra time in proportion to the slowest recent answer, so that watches
        of a slow service do not fail.
        """
        if not wait_seconds:
            return CALL_TIMEOUT_SECONDS
        slowest_seconds = self._slowest_answer.value_seconds(asyncio.get_running_loop().time())
        return wait_seconds + max(WATCH_SLACK_SECONDS, SLOW_ANSWER_FACTOR * slowest_seconds)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        limit_seconds: float = CALL_TIMEOUT_SECONDS,
        repeatable: bool = False,
        held: bool = False,
    ) -> StoreAnswer | KvUnavailable:
        self.calls += 1
        self.calls_by_path[_call_name(path, query)] += 1
        call = StoreCall(
            method=method,
            target=path + ("?" + urlencode(query, safe="/") if query else ""),
            content=msgspec.json.encode(body) if body is not None else b"",
            timeout_seconds=limit_seconds,
            repeatable=repeatable or method == "GET",
            is_long_poll=held,
        )
        started_seconds = asyncio.get_running_loop().time()
        answer = await self._transport.send(call)
        if isinstance(answer, KvUnavailable):
            return answer
        if answer.attempt_seconds < 0.0:
            answer.attempt_seconds = asyncio.get_running_loop().time() - started_seconds
        # Time lost on silent paths before this attempt says nothing of the service.
        if not call.is_long_poll:
            self._record_duration(answer.attempt_seconds)
        return check_answer_status(answer)

    def _record_duration(self, duration_seconds: float) -> None:
        """Record how long the service took, apart from the wait of a long poll."""
        self._slowest_answer.record(duration_seconds, asyncio.get_running_loop().time())


def _call_name(path: str, query: dict[str, str] | None) -> str:
    """Return a call's name for the counters: verb, key prefix, and "stale" for a stale read."""
    verb = path.split("/")[2]
    query_fields = query or {}
    prefix = query_fields.get("path_prefix", "").partition("/")[0]
    name_parts = [verb, prefix, "stale" if STALE_READ_QUERY.items() <= query_fields.items() else ""]
    return " ".join(part for part in name_parts if part)
