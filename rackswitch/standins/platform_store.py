"""Stand-in of the operator platform's key-value service, with faults on order."""

import asyncio
import contextlib
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

SWEEP_SECONDS = 0.05
MAX_BODY_BYTES = 40_000_000
PAGE_ITEMS = 500


@dataclass(slots=True)
class StoreFaults:
    """What the stand-in does wrong from now on.

    Attributes
    ----------
    down : str
        Empty, ``silent`` (never answers) or ``busy`` (503).
    lost_answers : int
        So many of the next transactions are done and not answered.
    lost_about : str
        Only transactions that name this key or prefix lose their answers.
    turned_away : set of str
        Addresses of clients that get 503.
    """

    down: str = ""
    lost_answers: int = 0
    lost_about: str = ""
    turned_away: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    key: str
    entry: KvEntry | None


class PlatformStoreStandIn:
    """The platform's key-value service in memory, as far as gateways use it."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0):
        self.store = KvStore()
        self.faults = StoreFaults()
        self.calls = 0
        self._history: list[_Change] = []
        self._forgotten_revision = 0
        self._leases: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server = WebServer(self._serve, host, port)
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Where the service listens, as HOST:PORT."""
        return self._server.url.removeprefix("http://")

    async def start(self) -> None:
        """Listen and let leases run out."""
        await self._server.start()
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self._server.crash()

    def put(self, key: str, value: Any) -> None:
        """Write a value as the operator or a target would."""
        self.store.txn([TxnPart((), (Operation(key, msgspec.json.encode(value)),))])
        self._note_changes()

    def delete(self, key: str) -> None:
        """Remove a key as the operator or a target would."""
        self.store.txn([TxnPart((), (Operation(key, None),))])
        self._note_changes()

    def end_lease(self, lease_id: int) -> None:
        """Take a lease's keys away at once, which no call of its holder shows."""
        self.store.end_lease(lease_id)
        self._note_changes()

    def forget_history(self) -> None:
        """Drop all history, so that watches from before get 410."""
        self._history.clear()
        self._forgotten_revision = self.store.revision

    def _note_changes(self) -> None:
        changes = [_Change(entry.mod_revision, entry.key, entry) for entry in self.store.changed]
        changes += [_Change(revision, key, None) for key, revision in self.store.deleted]
        self.store.changed.clear()
        self.store.deleted.clear()
        if changes:
            self._history.extend(sorted(changes, key=lambda change: change.revision))
            self._changed.set()
            self._changed = asyncio.Event()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.store.expire(asyncio.get_running_loop().time())
            self._note_changes()

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        self.calls += 1
        if self.faults.down == "silent":
            await exchange.wait_gone()
            return
        if self.faults.down == "busy" or scope["client"][0] in self.faults.turned_away:
            await exchange.respond(503)
            return
        body = await exchange.read_body(MAX_BODY_BYTES, asyncio.get_running_loop().time() + 5.0)
        content = body if isinstance(body, bytes) else b""
        status, answer = await self._answer(exchange, content)
        if self._loses_answer(exchange.path, content):
            self.faults.lost_answers -= 1
            await exchange.wait_gone()
            return
        await exchange.respond(status, (), msgspec.json.encode(answer))

    def _loses_answer(self, path: str, body: bytes) -> bool:
        if not self.faults.lost_answers or not path.endswith("/kv-txn"):
            return False
        return self.faults.lost_about.encode() in body

    async def _answer(self, exchange: Exchange, body: bytes) -> tuple[int, Any]:
        query = {name: values[0] for name, values in parse_qs(exchange.query).items()}
        verb, _, argument = exchange.path.removeprefix("/rackswitch/").partition("/")
        now_seconds = asyncio.get_running_loop().time()
        self.store.expire(now_seconds)
        self._note_changes()
        if verb == "kv-key":
            return self._read_key(query["key"])
        if verb == "kv-range":
            return self._read_range(query["path_prefix"], query.get("since_rev", ""))
        if verb == "kv-watch":
            return await self._watch(query)
        if verb == "kv-txn":
            return self._txn(msgspec.json.decode(body))
        if verb == "kv-lease":
            life_seconds = msgspec.json.decode(body)["ttl_ms"] / 1000
            lease = self.store.grant(life_seconds, now_seconds)
            return 200, {"lease": lease, "ttl_ms": round(life_seconds * 1000)}
        if verb == "kv-keep":
            life_seconds = self.store.keep(int(argument), now_seconds)
            return (200, {"ttl_ms": life_seconds * 1000}) if life_seconds else (404, {})
        if verb == "kv-lease-end":
            self.store.end_lease(int(argument))
            self._note_changes()
            return 200, {}
        return 404, {}

    def _read_key(self, key: str) -> tuple[int, Any]:
        entries = self.store.read(key).entries
        if not entries:
            return 404, {"store_revision": self.store.revision}
        return 200, {**_item(entries[0]), "store_revision": self.store.revision}

    def _read_range(self, prefix: str, after_key: str) -> tuple[int, Any]:
        entries = [
            entry
            for entry in self.store.read(prefix, is_prefix=True).entries
            if entry.key > after_key
        ]
        return 200, {
            "items": [_item(entry) for entry in entries[:PAGE_ITEMS]],
            "truncated": len(entries) > PAGE_ITEMS,
            "store_revision": self.store.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, revision = query["path_prefix"], int(query["since_rev"])
        deadline_seconds = asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        while True:
            if revision < self._forgotten_revision:
                return 410, {}
            events = [
                _event(change)
                for change in self._history
                if change.revision > revision and change.key.startswith(prefix)
            ]
            if events or asyncio.get_running_loop().time() >= deadline_seconds:
                return 200, {"events": events, "store_revision": self.store.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline_seconds):
                    await self._changed.wait()

    def _txn(self, wire: dict[str, Any]) -> tuple[int, Any]:
        compares = tuple(Compare(row["key"], "mod", row["revision"]) for row in wire["expected"])
        puts = [
            Operation(row["key"], b64decode(row["value"]), row.get("lease", 0))
            for row in wire["set_keys"]
        ]
        if any(put.lease_id and put.lease_id not in self.store.leases for put in puts):
            return 404, {}
        removals = [Operation(key, None) for key in wire["remove"]]
        done = self.store.txn([TxnPart(compares, (*puts, *removals))])[0]
        self._note_changes()
        if done.succeeded:
            return 200, {"revision": self.store.revision}
        present = [self.store.read(compare.key).entries for compare in compares]
        return 412, {"items": [_item(found[0]) for found in present if found]}


def _item(entry: KvEntry) -> dict[str, Any]:
    return {
        "key": entry.key,
        "value": b64encode(entry.value).decode(),
        "revision": entry.mod_revision,
        "create_revision": entry.create_revision,
        "lease": 0,
    }


def _event(change: _Change) -> dict[str, Any]:
    if change.entry is None:
        return {"key": change.key, "revision": change.revision, "tombstone": True}
    return _item(change.entry)
