"""Client of the platform's key-value service.

It fulfils the `KvClient` interface, so the keepers that use the stand-alone
deployment's service work here too.
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
    TxnPartDone,
    WatchNews,
    latest_news,
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
    checked_answer,
    present_entry,
    txn_body,
    without_effect,
)

__all__ = ["PROTOCOL_NAME", "PlatformKvClient"]

PROTOCOL_NAME = "operator-platform"

CALL_TIMEOUT_SECONDS = 1.5
"""An answer takes 4 ms on a calm day and up to a hundred times that on a slow one."""

WATCH_WAIT_SECONDS = 0.7
"""How long a watch is held open. A watch may go silent without a word, which shows only
when its time is over; a change that it has missed must be in force 2 s after it was made."""

WATCH_SLACK_SECONDS = 0.15
"""How much later than its time a watch may answer on a calm day before it counts as cut."""

SLOW_FACTOR = 2.0
"""How many times as late as the slowest recent answer to another call a watch may be."""

SLOWEST_DECAY = 0.8
"""By which the slowest answer is forgotten with each faster one: some ten answers."""

STALE = {"stale_ok": "1"}
"""Asks for a reading that may be some seconds old, which costs a tenth."""

WATCH_PATH = "/rackswitch/kv-watch"
"""The one call that the service answers only when there is news, or its time is over."""

MAX_PAGES = 200


@KV_CLIENTS.register(PROTOCOL_NAME)
class PlatformKvClient:
    """Client of the platform's key-value service.

    Parameters
    ----------
    transport : StoreTransport
        Brings calls to the service.
    """

    __slots__ = ("_slowest_seconds", "_transport", "calls", "calls_by_path")

    def __init__(self, transport: StoreTransport):
        self._transport = transport
        self._slowest_seconds = 0.0
        self.calls = 0
        self.calls_by_path: Counter[str] = Counter()

    async def read(
        self,
        key: str,
        is_prefix: bool = False,
        keys_only: bool = False,
        may_be_stale: bool = False,
    ) -> KvRead | KvUnavailable:
        """Read one key, or all under a prefix.

        The service knows no reading of revisions alone, so `keys_only` changes nothing.
        """
        if is_prefix:
            return await self._read_pages(key, "", may_be_stale)
        query = {"key": key, **(STALE if may_be_stale else {})}
        answer = await self._call("GET", "/rackswitch/kv-key", query)
        if isinstance(answer, KvUnavailable):
            return without_effect(answer)
        if answer.status == 404:
            # Only an answer of the service itself counts as "no such key".
            missing = answer.decode(WireRange)
            revision = missing.store_revision if isinstance(missing, WireRange) else 0
            return KvRead((), revision)
        found = answer.decode(WireKey)
        if isinstance(found, KvUnavailable):
            return without_effect(found)
        return KvRead((found.entry(),), found.store_revision)

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that come after a key, page by page.

        The revision is that of the first page, so a watch from there misses nothing that
        changed between the pages.
        """
        return await self._read_pages(prefix, after_key, may_be_stale=False)

    async def _read_pages(
        self, prefix: str, after_key: str, may_be_stale: bool
    ) -> KvRead | KvUnavailable:
        entries: dict[str, KvEntry] = {}
        first_revision = 0
        start = after_key
        for _ in range(MAX_PAGES):
            # The service takes the key to go on from under the name of a revision.
            query = {"path_prefix": prefix, **({"since_rev": start} if start else {})}
            query.update(STALE if may_be_stale else {})
            answer = await self._call("GET", "/rackswitch/kv-range", query)
            if isinstance(answer, KvUnavailable):
                return without_effect(answer)
            page = answer.decode(WireRange)
            if isinstance(page, KvUnavailable):
                return without_effect(page)
            first_revision = first_revision or page.store_revision
            fresh = [item for item in page.items if item.key > start]
            for item in fresh:
                entries[item.key] = item.entry()
            if not page.truncated or not fresh:
                break
            start = fresh[-1].key
        return KvRead(tuple(entries.values()), first_revision)

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartDone] | KvUnavailable:
        """Carry out parts one after the other, each on its own conditions."""
        done: list[TxnPartDone] = []
        for part in parts:
            result = await self._txn_part(part)
            if isinstance(result, KvUnavailable):
                effect_unknown = result.effect_unknown or bool(done)
                return KvUnavailable(result.detail, effect_unknown)
            done.append(result)
        return done

    async def _txn_part(self, part: TxnPart) -> TxnPartDone | KvUnavailable:
        answer = await self._call("POST", "/rackswitch/kv-txn", body=txn_body(part))
        if isinstance(answer, KvUnavailable):
            return answer
        if answer.status == 404:
            return TxnPartDone(False, None, 0, lease_gone=True)
        if answer.status == 412:
            conflict = answer.decode(WireConflict)
            if isinstance(conflict, KvUnavailable):
                return KvUnavailable(conflict.detail, effect_unknown=False)
            return TxnPartDone(False, present_entry(part, conflict), 0)
        written = answer.decode(WireTxnDone)
        if isinstance(written, KvUnavailable):
            return written
        return TxnPartDone(True, None, written.revision)

    async def grant_lease(self, life_seconds: float) -> LeaseGranted | KvUnavailable:
        """Make a lease.

        One that was made though its answer was lost is used by nobody and runs out, so the call
        may be made again, also through a peer, and need not wait its whole time on a path that is
        silent.
        """
        body = {"ttl_ms": round(life_seconds * 1000)}
        answer = await self._call("POST", "/rackswitch/kv-lease", body=body, repeatable=True)
        if isinstance(answer, KvUnavailable):
            return answer
        granted = answer.decode(WireLease)
        if isinstance(granted, KvUnavailable):
            return granted
        return LeaseGranted(granted.lease, granted.ttl_ms / 1000)

    async def keep_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Prolong a lease; False if it is gone."""
        answer = await self._call("POST", f"/rackswitch/kv-keep/{lease_id}", repeatable=True)
        if isinstance(answer, KvUnavailable):
            return answer
        return answer.status != 404

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """End a lease, which deletes its keys."""
        answer = await self._call("DELETE", f"/rackswitch/kv-lease-end/{lease_id}")
        return answer if isinstance(answer, KvUnavailable) else None

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[WatchNews | KvUnavailable]:
        """Yield changes under a prefix after a revision until the watch breaks.

        The first question is answered at once, so that who begins to watch knows at once how
        things are; the others are held open until there is news.
        """
        revision = from_revision
        wait_seconds = 0.0
        while True:
            query = {
                "path_prefix": key,
                "since_rev": str(revision),
                "wait_ms": str(round(wait_seconds * 1000)),
            }
            answer = await self._call(
                "GET",
                WATCH_PATH,
                query,
                limit_seconds=self._watch_limit(wait_seconds),
                held=wait_seconds > 0,
            )
            wait_seconds = WATCH_WAIT_SECONDS
            if isinstance(answer, KvUnavailable):
                yield without_effect(answer)
                return
            news = answer.decode(WireWatch)
            if isinstance(news, KvUnavailable):
                yield without_effect(news)
                return
            revision = max(revision, news.store_revision)
            yield latest_news(
                [event.entry() for event in news.events if not event.tombstone],
                [(event.key, event.revision) for event in news.events if event.tombstone],
                revision,
            )

    def _watch_limit(self, wait_seconds: float) -> float:
        """Return how long a watch's answer may take.

        A question that is not held is a reading like others. One that is held may be as late as
        other answers of late, and twice that. A bound that fits calm days alone breaks every watch
        of a slow service: while the service took 31 times as long as usual, for 5 s, all daemons
        of a fleet of nine watched by themselves, and a step came 5 s late.
        """
        if not wait_seconds:
            return CALL_TIMEOUT_SECONDS
        return wait_seconds + max(WATCH_SLACK_SECONDS, SLOW_FACTOR * self._slowest_seconds)

    def _note_time(self, call: StoreCall, took_seconds: float) -> None:
        if not call.held:
            decayed_seconds = self._slowest_seconds * SLOWEST_DECAY
            self._slowest_seconds = max(took_seconds, decayed_seconds)

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
            limit_seconds=limit_seconds,
            repeatable=repeatable or method == "GET",
            held=held,
        )
        began_seconds = asyncio.get_running_loop().time()
        answer = await self._transport.send(call)
        if isinstance(answer, KvUnavailable):
            return answer
        self._note_time(call, asyncio.get_running_loop().time() - began_seconds)
        return checked_answer(answer)


def _call_name(path: str, query: dict[str, str] | None) -> str:
    """Return a call's name for counting: its verb, and the prefix that it is about."""
    verb = path.split("/")[2]
    asked = query or {}
    prefix = asked.get("path_prefix", "").partition("/")[0]
    words = [verb, prefix, "stale" if STALE.items() <= asked.items() else ""]
    return " ".join(word for word in words if word)
