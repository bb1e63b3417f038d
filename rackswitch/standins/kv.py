"""Stand-in of the key-value service (etcd version 3 JSON gateway, in memory)."""

import asyncio
import itertools
import time
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
from blacksheep import Request, Response, StreamedContent

from rackswitch.standins.faults import FaultGate, FaultyApplication
from rackswitch.web import WebServer, add_route, json_response, make_application

__all__ = ["KvStandIn"]

MOST_VALUE_BYTES = 1_000_000
LEASE_SWEEP_SECONDS = 0.1
RATE_WINDOW_SECONDS = 1.0


@dataclass(slots=True)
class _Stored:
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int


@dataclass(slots=True)
class _Lease:
    life_seconds: float
    deadline_seconds: float


@dataclass(slots=True, eq=False)
class _Watch:
    key: str
    queue: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)


class KvStandIn:
    """An in-memory key-value service with faults, rate limit and call counts.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    seed : int
        Seed of the faults.
    calls_per_second : float
        Beyond this rate calls are refused with 429.
    """

    def __init__(self, host: str, port: int, seed: int = 1, calls_per_second: float = 2500.0):
        self.gate = FaultGate(seed)
        self.calls = 0
        self.writes = 0
        self.refused = 0
        self._calls_per_second = calls_per_second
        self._window: tuple[float, int] = (0.0, 0)
        self._revision = 1
        self._keys: dict[str, _Stored] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1000)
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
        """The service's address."""
        return self._server.url

    async def start(self) -> None:
        """Serve."""
        await self._server.start()
        self._sweeper = asyncio.create_task(self._sweep_leases())

    async def stop(self) -> None:
        """Stop serving."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        await self._server.crash()

    def value(self, key: str) -> bytes | None:
        """Return a key's value, for assertions in tests."""
        stored = self._keys.get(key)
        return stored.value if stored is not None else None

    def lapse_leases(self) -> None:
        """End every lease now, whatever its holder believes."""
        for lease_id in list(self._leases):
            self._end_lease(lease_id)

    def break_watches(self) -> None:
        """End every waiting watch without a word about what it missed."""
        for watch in list(self._watches):
            watch.queue.put_nowait(b"")

    def _over_rate(self) -> bool:
        self.calls += 1
        second = time.monotonic() // RATE_WINDOW_SECONDS
        count = self._window[1] + 1 if self._window[0] == second else 1
        self._window = (second, count)
        if count > self._calls_per_second:
            self.refused += 1
            return True
        return False

    async def _body(self, request: Request) -> Any:
        return msgspec.json.decode(await request.read() or b"{}")

    async def _on_range(self, request: Request) -> Response:
        if self._over_rate():
            return Response(429)
        return json_response(self._range(await self._body(request)))

    async def _on_txn(self, request: Request) -> Response:
        if self._over_rate():
            return Response(429)
        self.writes += 1
        body = await self._body(request)
        if _largest_value(body) > MOST_VALUE_BYTES:
            return Response(413)
        return json_response(self._txn(body))

    async def _on_grant(self, request: Request) -> Response:
        if self._over_rate():
            return Response(429)
        life_seconds = float((await self._body(request))["TTL"])
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = _Lease(life_seconds, time.monotonic() + life_seconds)
        return json_response({"ID": str(lease_id), "TTL": str(life_seconds)})

    async def _on_keepalive(self, request: Request) -> Response:
        if self._over_rate():
            return Response(429)
        lease = self._leases.get(int((await self._body(request))["ID"]))
        if lease is None:
            return json_response({"result": {"TTL": "0"}})
        lease.deadline_seconds = time.monotonic() + lease.life_seconds
        return json_response({"result": {"TTL": str(lease.life_seconds)}})

    async def _on_revoke(self, request: Request) -> Response:
        if self._over_rate():
            return Response(429)
        self._end_lease(int((await self._body(request))["ID"]))
        return json_response({})

    async def _on_watch(self, request: Request) -> Response:
        if self._over_rate():
            return Response(429)
        create = (await self._body(request))["create_request"]
        watch = _Watch(b64decode(create["key"]).decode())
        self._watches.add(watch)
        stored = self._keys.get(watch.key)
        if stored is not None and stored.mod_revision >= int(create.get("start_revision", 0)):
            watch.queue.put_nowait(self._event(watch.key, stored))

        async def lines() -> AsyncIterator[bytes]:
            try:
                yield msgspec.json.encode({"result": {"header": self._header()}}) + b"\n"
                while line := await watch.queue.get():
                    yield line
            finally:
                self._watches.discard(watch)

        return Response(200, content=StreamedContent(b"application/json", lines))

    async def _on_stats(self, request: Request) -> Response:
        return json_response(
            {
                "calls": self.calls,
                "writes": self.writes,
                "refused": self.refused,
                "watches": len(self._watches),
                "keys": len(self._keys),
            }
        )

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._revision)}

    def _range(self, body: Any) -> dict[str, Any]:
        key = b64decode(body["key"]).decode()
        if "range_end" in body:
            end = b64decode(body["range_end"]).decode()
            found = [(k, s) for k, s in sorted(self._keys.items()) if key <= k < end]
        else:
            found = [(key, self._keys[key])] if key in self._keys else []
        return {"header": self._header(), "kvs": [_wire_entry(k, s) for k, s in found]}

    def _txn(self, body: Any, nested: bool = False) -> dict[str, Any]:
        if not nested:
            self._revision += 1
        succeeded = all(self._holds(compare) for compare in body.get("compare", []))
        steps = body.get("success" if succeeded else "failure", [])
        responses = [self._step(step) for step in steps]
        return {"header": self._header(), "succeeded": succeeded, "responses": responses}

    def _holds(self, compare: Any) -> bool:
        stored = self._keys.get(b64decode(compare["key"]).decode())
        if compare["target"] == "CREATE":
            present = stored.create_revision if stored is not None else 0
            return present == compare.get("create_revision", 0)
        present = stored.mod_revision if stored is not None else 0
        return present == compare.get("mod_revision", 0)

    def _step(self, step: Any) -> dict[str, Any]:
        if "request_txn" in step:
            return {"response_txn": self._txn(step["request_txn"], nested=True)}
        if "request_range" in step:
            return {"response_range": self._range(step["request_range"])}
        if "request_delete_range" in step:
            self._delete(b64decode(step["request_delete_range"]["key"]).decode())
            return {}
        put = step["request_put"]
        key = b64decode(put["key"]).decode()
        self._put(key, b64decode(put["value"]), int(put.get("lease", 0)))
        return {}

    def _put(self, key: str, value: bytes, lease_id: int) -> None:
        # All operations of one transaction share its revision.
        before = self._keys.get(key)
        created = before.create_revision if before is not None else self._revision
        stored = _Stored(value, created, self._revision, lease_id)
        self._keys[key] = stored
        event = self._event(key, stored)
        for watch in self._watches:
            if watch.key == key:
                watch.queue.put_nowait(event)

    def _delete(self, key: str) -> None:
        self._keys.pop(key, None)

    def _event(self, key: str, stored: _Stored) -> bytes:
        events = [{"type": "PUT", "kv": _wire_entry(key, stored)}]
        return msgspec.json.encode({"result": {"header": self._header(), "events": events}}) + b"\n"

    def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        self._revision += 1
        for key in [key for key, stored in self._keys.items() if stored.lease_id == lease_id]:
            self._delete(key)

    async def _sweep_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_SWEEP_SECONDS)
            now_seconds = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if now_seconds >= lease.deadline_seconds:
                    self._end_lease(lease_id)


def _wire_entry(key: str, stored: _Stored) -> dict[str, str]:
    return {
        "key": b64encode(key.encode()).decode(),
        "value": b64encode(stored.value).decode(),
        "create_revision": str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
    }


def _largest_value(body: Any) -> int:
    sizes = [
        len(step["request_put"]["value"]) * 3 // 4
        for step in body.get("success", [])
        if "request_put" in step
    ]
    return max(sizes, default=0)
