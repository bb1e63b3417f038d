"""In-memory stand-in for the key-value service (etcd version 3 JSON gateway)."""

import asyncio
import time
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
from blacksheep import Request, Response, StreamedContent

from rackswitch.clients.kv import Compare, KvEntry, Operation, TxnPart, TxnPartResult
from rackswitch.standins.faults import FaultGate, FaultyApplication
from rackswitch.standins.kv_store import KvStore
from rackswitch.web import WebServer
from rackswitch.web.handlers import add_route, json_response, make_application, watch_disconnect

__all__ = ["KvStandIn"]

MAX_VALUE_BYTES = 1_000_000
LEASE_SWEEP_INTERVAL_SECONDS = 0.1
RATE_WINDOW_SECONDS = 1.0


@dataclass(slots=True, eq=False)
class _Watch:
    key: str
    queue: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)


class KvStandIn:
    """An in-memory key-value service with injected faults, a rate limit and call counts.

    Parameters
    ----------
    host, port : str, int
        Listening address.
    seed : int
        Seed of the random faults.
    calls_per_second : float
        Rate limit; calls above it get 429.
    """

    def __init__(self, host: str, port: int, seed: int = 1, calls_per_second: float = 2500.0):
        self.gate = FaultGate(seed)
        self.calls = 0
        self.writes = 0
        self.refused = 0
        self._calls_per_second = calls_per_second
        self._window: tuple[float, int] = (0.0, 0)
        self.store = KvStore()
        self._watches: set[_Watch] = set()
        self._sweeper: asyncio.Task[None] | None = None
        application = make_application()
        add_route(application, "POST", "/v3/kv/range", self._on_range)
        add_route(application, "POST", "/v3/kv/txn", self._on_txn)
        add_route(application, "POST", "/v3/lease/grant", self._on_grant)
        add_route(application, "POST", "/v3/lease/keepalive", self._on_keepalive)
        add_route(application, "POST", "/v3/lease/revoke", self._on_revoke)
        add_route(application, "POST", "/v3/watch", self._on_watch)
        add_route(application, "GET", "/stats", self._on_stats)
        self._server = WebServer(FaultyApplication(application, self.gate), host, port)

    @property
    def url(self) -> str:
        """Base URL of the service."""
        return self._server.url

    async def start(self) -> None:
        """Start serving and expiring leases."""
        await self._server.start()
        self._sweeper = asyncio.create_task(self._sweep_leases())

    async def stop(self) -> None:
        """Stop serving."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self._server.crash()

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None if it does not exist."""
        found = self.store.read(key).entries
        return found[0].value if found else None

    def lapse_leases(self) -> None:
        """End all leases without notifying their holders."""
        for lease_id in list(self.store.leases):
            self.store.end_lease(lease_id)

    def break_watches(self) -> None:
        """End all watches without sending pending events."""
        for watch in list(self._watches):
            watch.queue.put_nowait(b"")

    def _exceeds_rate_limit(self) -> bool:
        self.calls += 1
        second = time.monotonic() // RATE_WINDOW_SECONDS
        count = self._window[1] + 1 if self._window[0] == second else 1
        self._window = (second, count)
        if count > self._calls_per_second:
            self.refused += 1
            return True
        return False

    async def _read_json(self, request: Request) -> Any:
        return msgspec.json.decode(await request.read() or b"{}")

    async def _on_range(self, request: Request) -> Response:
        if self._exceeds_rate_limit():
            return Response(429)
        body = await self._read_json(request)
        read = self.store.read(_decode_text(body["key"]), is_prefix="range_end" in body)
        kvs = [_encode_entry(entry) for entry in read.entries]
        if body.get("keys_only"):
            for encoded_entry in kvs:
                del encoded_entry["value"]
        return json_response({"header": self._response_header(), "kvs": kvs})

    async def _on_txn(self, request: Request) -> Response:
        if self._exceeds_rate_limit():
            return Response(429)
        self.writes += 1
        body = await self._read_json(request)
        requests = body.get("success", [])
        nested_transactions = [
            request_operation["request_txn"]
            for request_operation in requests
            if "request_txn" in request_operation
        ]
        parts = [_parse_part(transaction) for transaction in nested_transactions or [body]]
        if any(_is_too_large(part) for part in parts):
            return Response(413)
        results = [_encode_result(result) for result in self.store.txn(parts)]
        self._notify_watches()
        header = {"header": self._response_header()}
        if not nested_transactions:
            return json_response(header | results[0])
        responses = [{"response_txn": result} for result in results]
        return json_response(header | {"succeeded": True, "responses": responses})

    async def _on_grant(self, request: Request) -> Response:
        if self._exceeds_rate_limit():
            return Response(429)
        ttl_seconds = float((await self._read_json(request))["TTL"])
        lease_id = self.store.grant(ttl_seconds, time.monotonic())
        return json_response({"ID": str(lease_id), "TTL": str(ttl_seconds)})

    async def _on_keepalive(self, request: Request) -> Response:
        if self._exceeds_rate_limit():
            return Response(429)
        lease_id = int((await self._read_json(request))["ID"])
        ttl_seconds = self.store.keep(lease_id, time.monotonic())
        return json_response({"result": {"TTL": str(ttl_seconds)}})

    async def _on_revoke(self, request: Request) -> Response:
        if self._exceeds_rate_limit():
            return Response(429)
        self.store.end_lease(int((await self._read_json(request))["ID"]))
        return json_response({})

    async def _on_watch(self, request: Request) -> Response:
        if self._exceeds_rate_limit():
            return Response(429)
        create = (await self._read_json(request))["create_request"]
        watch = _Watch(_decode_text(create["key"]))
        self._watches.add(watch)
        for entry in self.store.read(watch.key).entries:
            if entry.mod_revision >= int(create.get("start_revision", 0)):
                watch.queue.put_nowait(self._encode_event(entry))

        watcher = watch_disconnect(request, lambda: watch.queue.put_nowait(b""))

        async def lines() -> AsyncIterator[bytes]:
            try:
                yield msgspec.json.encode({"result": {"header": self._response_header()}}) + b"\n"
                while line := await watch.queue.get():
                    yield line
            finally:
                watcher.cancel()
                self._watches.discard(watch)

        return Response(200, content=StreamedContent(b"application/json", lines))

    async def _on_stats(self, request: Request) -> Response:
        return json_response(
            {
                "calls": self.calls,
                "writes": self.writes,
                "refused": self.refused,
                "watches": len(self._watches),
                "keys": len(self.store.keys),
            }
        )

    def _response_header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}

    def _notify_watches(self) -> None:
        for entry in self.store.changed:
            event = self._encode_event(entry)
            for watch in self._watches:
                if watch.key == entry.key:
                    watch.queue.put_nowait(event)
        self.store.changed.clear()

    def _encode_event(self, entry: KvEntry) -> bytes:
        events = [{"type": "PUT", "kv": _encode_entry(entry)}]
        return (
            msgspec.json.encode({"result": {"header": self._response_header(), "events": events}})
            + b"\n"
        )

    async def _sweep_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_INTERVAL_SECONDS)
            self.store.expire(time.monotonic())


def _decode_text(data: str) -> str:
    return b64decode(data).decode()


def _parse_part(body: Any) -> TxnPart:
    compares = []
    for compare in body.get("compare", []):
        name = compare["target"].lower()
        revision = int(compare.get(f"{name}_revision", 0))
        compares.append(Compare(_decode_text(compare["key"]), name, revision))
    operations = [
        _parse_operation(request_operation) for request_operation in body.get("success", [])
    ]
    read_keys = [
        _decode_text(request_operation["request_range"]["key"])
        for request_operation in body.get("failure", [])
    ]
    return TxnPart(tuple(compares), tuple(operations), tuple(read_keys))


def _parse_operation(request_operation: Any) -> Operation:
    if "request_delete_range" in request_operation:
        deletion = request_operation["request_delete_range"]
        return Operation(_decode_text(deletion["key"]), None, is_prefix="range_end" in deletion)
    put = request_operation["request_put"]
    return Operation(_decode_text(put["key"]), b64decode(put["value"]), int(put.get("lease", 0)))


def _is_too_large(part: TxnPart) -> bool:
    return any(len(operation.value or b"") > MAX_VALUE_BYTES for operation in part.operations)


def _encode_result(done: TxnPartResult) -> dict[str, Any]:
    responses = []
    if done.present is not None:
        responses.append({"response_range": {"kvs": [_encode_entry(done.present)]}})
    return {"succeeded": done.succeeded, "responses": responses}


def _encode_entry(entry: KvEntry) -> dict[str, str]:
    return {
        "key": b64encode(entry.key.encode()).decode(),
        "value": b64encode(entry.value).decode(),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
    }
