"""Stand-in for the operator platform's key-value service, with injected faults."""

import asyncio
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec

from rackswitch.clients.kv import Compare, KvEntry, Operation, TxnPart
from rackswitch.standins.kv_store import KvStore
from rackswitch.web import WebServer
from rackswitch.web.exchange import Exchange

__all__ = ["PlatformStoreStandIn", "StoreFaults"]

SWEEP_INTERVAL_SECONDS = 0.05
MAX_BODY_BYTES = 40_000_000
MAX_PAGE_ITEMS = 500


@dataclass(slots=True)
class StoreFaults:
    """Faults that the stand-in shows from now on.

    Attributes
    ----------
    down : str
        Empty for no fault, ``silent`` (no answers) or ``busy`` (503).
    lost_answers : int
        Number of next transactions to apply without answering.
    lost_about : str
        Restricts `lost_answers` to transactions that contain this key or prefix.
    turned_away : set of str
        IP addresses of clients that get 503.
    stale_state : KvStore or None
        Earlier state that answers reads which may be stale; None for the present state.
    """

    down: str = ""
    lost_answers: int = 0
    lost_about: str = ""
    turned_away: set[str] = field(default_factory=set)
    stale_state: KvStore | None = None


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    key: str
    entry: KvEntry | None


class PlatformStoreStandIn:
    """The parts of the platform's key-value service that gateways use, in memory."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0):
        self.store = KvStore()
        self.faults = StoreFaults()
        self.calls = 0
        self._history: list[_Change] = []
        self._compacted_revision = 0
        self._leases: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server = WebServer(self._serve, host, port)
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Listening address as HOST:PORT."""
        return self._server.url.removeprefix("http://")

    async def start(self) -> None:
        """Listen and start expiring leases."""
        await self._server.start()
        self._sweeper = asyncio.create_task(self._expire_leases_periodically())

    async def stop(self) -> None:
        """Stop listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self._server.crash()

    def put(self, key: str, value: Any) -> None:
        """Write a value on behalf of the operator or a target."""
        self.put_bytes(key, msgspec.json.encode(value))

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write any bytes, as another writer may do."""
        self.store.txn([TxnPart((), (Operation(key, value),))])
        self._record_changes()

    def delete(self, key: str) -> None:
        """Delete a key on behalf of the operator or a target."""
        self.store.txn([TxnPart((), (Operation(key, None),))])
        self._record_changes()

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys without notifying its holder."""
        self.store.end_lease(lease_id)
        self._record_changes()

    def keep_stale_reads(self) -> None:
        """Answer reads that may be stale with the present state from now on."""
        self.faults.stale_state = KvStore(self.store.revision, dict(self.store.keys))

    def forget_history(self) -> None:
        """Compact the history, so that watches from earlier revisions get 410."""
        self._history.clear()
        self._compacted_revision = self.store.revision

    def _record_changes(self) -> None:
        changes = [_Change(entry.mod_revision, entry.key, entry) for entry in self.store.changed]
        changes += [_Change(revision, key, None) for key, revision in self.store.deleted]
        self.store.changed.clear()
        self.store.deleted.clear()
        if changes:
            self._history.extend(sorted(changes, key=lambda change: change.revision))
            self._changed.set()
            self._changed = asyncio.Event()

    async def _expire_leases_periodically(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self.store.expire(asyncio.get_running_loop().time())
            self._record_changes()

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        self.calls += 1
        if self.faults.down == "silent":
            await exchange.wait_for_disconnect()
            return
        if self.faults.down == "busy" or scope["client"][0] in self.faults.turned_away:
            await exchange.respond(503)
            return
        body = await exchange.read_body(MAX_BODY_BYTES, asyncio.get_running_loop().time() + 5.0)
        content = body if isinstance(body, bytes) else b""
        status, answer = await self.answer(exchange.path, exchange.query, content)
        if self._drops_answer(exchange.path, content):
            self.faults.lost_answers -= 1
            await exchange.wait_for_disconnect()
            return
        await exchange.respond(status, (), msgspec.json.encode(answer))

    def _drops_answer(self, path: str, body: bytes) -> bool:
        if not self.faults.lost_answers or not path.endswith("/kv-txn"):
            return False
        return self.faults.lost_about.encode() in body

    async def answer(self, path: str, raw_query: str, body: bytes) -> tuple[int, Any]:
        """Return the status and body of the answer to a call, without any fault."""
        query = {name: values[0] for name, values in parse_qs(raw_query).items()}
        endpoint, _, argument = path.removeprefix("/rackswitch/").partition("/")
        now_seconds = asyncio.get_running_loop().time()
        self.store.expire(now_seconds)
        self._record_changes()
        if endpoint == "kv-key":
            return self._read_key(query["key"])
        if endpoint == "kv-range":
            store = self.store
            if "stale_ok" in query and self.faults.stale_state is not None:
                store = self.faults.stale_state
            return _read_range(store, query["path_prefix"], query.get("since_rev", ""))
        if endpoint == "kv-watch":
            return await self._watch(query)
        if endpoint == "kv-txn":
            return self._txn(msgspec.json.decode(body))
        if endpoint == "kv-lease":
            ttl_seconds = msgspec.json.decode(body)["ttl_ms"] / 1000
            lease = self.store.grant(ttl_seconds, now_seconds)
            return 200, {"lease": lease, "ttl_ms": round(ttl_seconds * 1000)}
        if endpoint == "kv-keep":
            ttl_seconds = self.store.keep(int(argument), now_seconds)
            return (200, {"ttl_ms": ttl_seconds * 1000}) if ttl_seconds else (404, {})
        if endpoint == "kv-lease-end":
            self.store.end_lease(int(argument))
            self._record_changes()
            return 200, {}
        return 404, {}

    def _read_key(self, key: str) -> tuple[int, Any]:
        entries = self.store.read(key).entries
        if not entries:
            return 404, {"store_revision": self.store.revision}
        return 200, {**_encode_item(entries[0]), "store_revision": self.store.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, revision = query["path_prefix"], int(query["since_rev"])
        deadline_seconds = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        # A timer may fire early by the clock's resolution, so its end is not checked by the clock.
        is_over = int(query["wait_ms"]) == 0
        while True:
            if revision < self._compacted_revision:
                return 410, {}
            events = [
                _encode_event(change)
                for change in self._history
                if change.revision > revision and change.key.startswith(prefix)
            ]
            if events or is_over:
                return 200, {"events": events, "store_revision": self.store.revision}
            try:
                async with asyncio.timeout_at(deadline_seconds):
                    await self._changed.wait()
            except TimeoutError:
                is_over = True

    def _txn(self, transaction: dict[str, Any]) -> tuple[int, Any]:
        compares = tuple(
            Compare(item["key"], "mod", item["revision"]) for item in transaction["expected"]
        )
        puts = [
            Operation(item["key"], b64decode(item["value"]), item.get("lease", 0))
            for item in transaction["set_keys"]
        ]
        if any(put.lease_id and put.lease_id not in self.store.leases for put in puts):
            return 404, {}
        deletions = [Operation(key, None) for key in transaction["remove"]]
        result = self.store.txn([TxnPart(compares, (*puts, *deletions))])[0]
        self._record_changes()
        if result.succeeded:
            return 200, {"revision": self.store.revision}
        current_entries = [self.store.read(compare.key).entries for compare in compares]
        return 412, {"items": [_encode_item(found[0]) for found in current_entries if found]}


def _read_range(store: KvStore, prefix: str, after_key: str) -> tuple[int, Any]:
    entries = [
        entry for entry in store.read(prefix, is_prefix=True).entries if entry.key > after_key
    ]
    return 200, {
        "items": [_encode_item(entry) for entry in entries[:MAX_PAGE_ITEMS]],
        "truncated": len(entries) > MAX_PAGE_ITEMS,
        "store_revision": store.revision,
    }


def _encode_item(entry: KvEntry) -> dict[str, Any]:
    return {
        "key": entry.key,
        "value": b64encode(entry.value).decode(),
        "revision": entry.mod_revision,
        "create_revision": entry.create_revision,
        "lease": 0,
    }


def _encode_event(change: _Change) -> dict[str, Any]:
    if change.entry is None:
        return {"key": change.key, "revision": change.revision, "tombstone": True}
    return _encode_item(change.entry)
