"""The key-value service: compare-and-swap, leases and watches.

The client uses the JSON gateway of the etcd version 3 API. Every call has a
timeout. A write that times out has an unknown effect, which is reported as such;
the calling code resolves it by reading.

References
----------
etcd version 3 API, JSON gateway: ``/v3/kv/range``, ``/v3/kv/txn``,
``/v3/lease/grant``, ``/v3/lease/keepalive``, ``/v3/lease/revoke``, ``/v3/watch``.
"""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
import msgspec

from rackswitch.clients.bodies import MAX_BODY_BYTES, read_body
from rackswitch.clients.http import NOT_SENT_ERRORS, HttpSessions, error_name
from rackswitch.decoding import DECODE_ERRORS, Undecodable, decode_json
from rackswitch.registry import Registry

__all__ = [
    "KV_CLIENTS",
    "Compare",
    "EtcdJsonClient",
    "KvClient",
    "KvEntry",
    "KvRead",
    "KvUnavailable",
    "LeaseGranted",
    "Operation",
    "TxnPart",
    "TxnPartResult",
    "WatchUpdate",
    "latest_update",
    "prefix_end",
]

CALL_TIMEOUT_SECONDS = 1.0
MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class KvEntry:
    """A key with its value and revisions."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


@dataclass(frozen=True, slots=True)
class KvRead:
    """The entries that a read returned, and the service's revision at that time."""

    entries: tuple[KvEntry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class KvUnavailable:
    """The service did not respond, or refused the call.

    Attributes
    ----------
    effect_unknown : bool
        True if a write may have taken effect or may still do so.
    history_lost : bool
        True if a watch cannot continue from its revision; the keys must be read again.
    """

    detail: str
    effect_unknown: bool
    history_lost: bool = False


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition that a key's create or mod revision has a value (0: absent)."""

    key: str
    field: str
    revision: int


@dataclass(frozen=True, slots=True)
class Operation:
    """Puts `value` at `key`, or deletes the key if `value` is None.

    With `is_prefix`, a deletion removes all keys with the prefix. A put with an expired
    lease fails.
    """

    key: str
    value: bytes | None
    lease_id: int = 0
    is_prefix: bool = False


@dataclass(frozen=True, slots=True)
class TxnPart:
    """Operations that run if all conditions hold; otherwise `read_keys` are read."""

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]
    read_keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TxnPartResult:
    """Whether a part's conditions held and, if not, the first of its `read_keys` that exists.

    Attributes
    ----------
    lease_expired : bool
        True if nothing was done because a put named an expired lease.
    """

    succeeded: bool
    present: KvEntry | None
    revision: int
    lease_expired: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease of the service with its TTL."""

    lease_id: int
    ttl_seconds: float


@dataclass(frozen=True, slots=True)
class WatchUpdate:
    """Changes of watched keys, or only a new revision.

    `deleted` holds deleted keys if the client reports deletions. Each key occurs once, in
    `entries` or `deleted`, with its last change.
    """

    entries: tuple[KvEntry, ...]
    revision: int
    deleted: tuple[str, ...] = ()


def latest_update(
    puts: Iterable[KvEntry], deletions: Iterable[tuple[str, int]], revision: int
) -> WatchUpdate:
    """Merge changes given in any order into the last change of each key.

    Parameters
    ----------
    puts : iterable of KvEntry
        Written entries.
    deletions : iterable of (str, int)
        Deleted keys with the revision of the deletion.
    revision : int
        The service's revision after the changes.
    """
    latest: dict[str, KvEntry] = {}
    for entry in puts:
        previous = latest.get(entry.key)
        if previous is None or entry.mod_revision > previous.mod_revision:
            latest[entry.key] = entry
    deletion_revisions: dict[str, int] = {}
    for key, deleted_revision in deletions:
        deletion_revisions[key] = max(deleted_revision, deletion_revisions.get(key, 0))
    entries = tuple(e for e in latest.values() if e.mod_revision > deletion_revisions.get(e.key, 0))
    written = {entry.key for entry in entries}
    return WatchUpdate(
        entries, revision, tuple(key for key in deletion_revisions if key not in written)
    )


class KvClient(Protocol):
    """Interface to the key-value service."""

    calls: int

    async def read(
        self,
        key: str,
        is_prefix: bool = False,
        keys_only: bool = False,
        may_be_stale: bool = False,
    ) -> KvRead | KvUnavailable:
        """Read one key, or all keys with a prefix.

        Parameters
        ----------
        key : str
            The key or prefix.
        is_prefix : bool
            Whether to read all keys with the prefix `key`.
        keys_only : bool
            Whether to omit the values.
        may_be_stale : bool
            Whether a state of some seconds ago is acceptable, which is cheaper for the service.
        """
        ...

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that come after a key (empty: all of them)."""
        ...

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartResult] | KvUnavailable:
        """Execute the parts in one call; each part has its own conditions."""
        ...

    async def grant_lease(self, ttl_seconds: float) -> LeaseGranted | KvUnavailable:
        """Create a lease."""
        ...

    async def renew_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Renew a lease; return False if it has expired."""
        ...

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """Revoke a lease, which deletes its keys."""
        ...

    def watch(self, key: str, from_revision: int) -> AsyncIterator[WatchUpdate | KvUnavailable]:
        """Yield changes of a key; the last item reports why the watch ended."""
        ...


KV_CLIENTS: Registry[type] = Registry("key-value protocol")


def prefix_end(prefix: str) -> str:
    """Return the smallest key greater than all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _to_base64(data: str | bytes) -> str:
    return b64encode(data.encode() if isinstance(data, str) else data).decode()


class _WireEntry(msgspec.Struct, frozen=True):
    key: str
    value: str = ""
    create_revision: int = 0
    mod_revision: int = 0

    def entry(self) -> KvEntry:
        return KvEntry(
            b64decode(self.key).decode(),
            b64decode(self.value),
            self.create_revision,
            self.mod_revision,
        )


class _WireHeader(msgspec.Struct, frozen=True):
    revision: int = 0


class _WireRange(msgspec.Struct, frozen=True):
    header: _WireHeader = _WireHeader()
    kvs: list[_WireEntry] = []


class _WireOperationResponse(msgspec.Struct, frozen=True):
    response_range: _WireRange | None = None
    response_txn: "_WireTxn | None" = None


class _WireTxn(msgspec.Struct, frozen=True):
    header: _WireHeader = _WireHeader()
    succeeded: bool = False
    responses: list[_WireOperationResponse] = []

    def part_result(self, revision: int) -> TxnPartResult:
        present = None
        for response in self.responses:
            found = response.response_range
            if present is None and found is not None and found.kvs:
                present = found.kvs[0].entry()
        return TxnPartResult(self.succeeded, present, revision)


class _WireGrant(msgspec.Struct, frozen=True):
    ID: int
    TTL: float


class _WireKeepAlive(msgspec.Struct, frozen=True):
    TTL: float = 0


class _WireKeepAliveResponse(msgspec.Struct, frozen=True):
    result: _WireKeepAlive


class _WireEvent(msgspec.Struct, frozen=True):
    kv: _WireEntry
    type: str = "PUT"


class _WireWatch(msgspec.Struct, frozen=True):
    header: _WireHeader = _WireHeader()
    events: list[_WireEvent] = []


class _WireWatchResponse(msgspec.Struct, frozen=True):
    result: _WireWatch


class _EmptyResponse(msgspec.Struct):
    pass


@KV_CLIENTS.register("etcd-json")
class EtcdJsonClient:
    """Client of the JSON gateway of etcd version 3.

    Parameters
    ----------
    url : str
        The service's address.
    sessions : HttpSessions
        Connections to use.
    """

    __slots__ = ("_sessions", "_url", "calls")

    def __init__(self, url: str, sessions: HttpSessions):
        self._url = url
        self._sessions = sessions
        self.calls = 0

    async def read(
        self,
        key: str,
        is_prefix: bool = False,
        keys_only: bool = False,
        may_be_stale: bool = False,
    ) -> KvRead | KvUnavailable:
        """Read one key, or all keys with a prefix; `keys_only` omits the values."""
        body: dict[str, Any] = {"key": _to_base64(key)}
        if keys_only:
            body["keys_only"] = True
        if may_be_stale:
            body["serializable"] = True
        if is_prefix:
            body["range_end"] = _to_base64(prefix_end(key))
        return await self._range(body)

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that come after a key (empty: all of them)."""
        # Appending a zero byte gives the next key in order.
        start = after_key + "\0" if after_key else prefix
        return await self._range(
            {"key": _to_base64(start), "range_end": _to_base64(prefix_end(prefix))}
        )

    async def _range(self, body: dict[str, Any]) -> KvRead | KvUnavailable:
        answer = await self._call("/v3/kv/range", body, _WireRange)
        if isinstance(answer, KvUnavailable):
            return KvUnavailable(answer.detail, effect_unknown=False)
        return KvRead(tuple(wire.entry() for wire in answer.kvs), answer.header.revision)

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartResult] | KvUnavailable:
        """Execute the parts in one call; each part has its own conditions."""
        bodies = [_txn_body(part) for part in parts]
        if len(bodies) == 1:
            answer = await self._call("/v3/kv/txn", bodies[0], _WireTxn)
            if isinstance(answer, KvUnavailable):
                return answer
            return [answer.part_result(answer.header.revision)]
        nested_body = {"success": [{"request_txn": body} for body in bodies]}
        answer = await self._call("/v3/kv/txn", nested_body, _WireTxn)
        if isinstance(answer, KvUnavailable):
            return answer
        revision = answer.header.revision
        nested_txns = [
            operation_response.response_txn or _WireTxn() for operation_response in answer.responses
        ]
        return [txn.part_result(revision) for txn in nested_txns]

    async def grant_lease(self, ttl_seconds: float) -> LeaseGranted | KvUnavailable:
        """Create a lease."""
        answer = await self._call("/v3/lease/grant", {"TTL": ttl_seconds, "ID": 0}, _WireGrant)
        if isinstance(answer, KvUnavailable):
            return answer
        return LeaseGranted(answer.ID, answer.TTL)

    async def renew_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Renew a lease; return False if it has expired."""
        answer = await self._call("/v3/lease/keepalive", {"ID": lease_id}, _WireKeepAliveResponse)
        if isinstance(answer, KvUnavailable):
            return answer
        return answer.result.TTL > 0

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """Revoke a lease, which deletes its keys."""
        answer = await self._call("/v3/lease/revoke", {"ID": lease_id}, _EmptyResponse)
        return answer if isinstance(answer, KvUnavailable) else None

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[WatchUpdate | KvUnavailable]:
        """Yield changes of a key; the last item reports why the watch ended."""
        request = {"create_request": {"key": _to_base64(key), "start_revision": from_revision}}
        self.calls += 1
        try:
            async with self._sessions.pooled.post(self._url + "/v3/watch", json=request) as answer:
                if answer.status != 200:
                    yield KvUnavailable(f"watch request got status {answer.status}", False)
                    return
                async for line in answer.content:
                    update = msgspec.json.decode(line, type=_WireWatchResponse, strict=False).result
                    entries = (event.kv.entry() for event in update.events if event.type == "PUT")
                    yield WatchUpdate(tuple(entries), update.header.revision)
        except (aiohttp.ClientError, TimeoutError, *DECODE_ERRORS) as error:
            yield KvUnavailable(f"watch failed: {error_name(error)}", False)
            return
        yield KvUnavailable("watch ended", False)

    async def _call(self, path: str, body: Any, kind: type[Any]) -> Any:
        self.calls += 1
        data = msgspec.json.encode(body)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                async with self._sessions.pooled.post(self._url + path, data=data) as answer:
                    content = await read_body(answer, MAX_BODY_BYTES)
        except NOT_SENT_ERRORS as error:
            return KvUnavailable(error_name(error), effect_unknown=False)
        except (aiohttp.ClientError, TimeoutError) as error:
            return KvUnavailable(error_name(error), effect_unknown=True)
        if answer.status in (429, 503):
            return KvUnavailable(f"status {answer.status}", effect_unknown=False)
        if answer.status != 200:
            return KvUnavailable(f"status {answer.status}", effect_unknown=True)
        # The JSON gateway encodes 64-bit numbers as strings.
        decoded = decode_json(content, kind, strict=False)
        if isinstance(decoded, Undecodable):
            return KvUnavailable(f"invalid response body: {decoded.detail}", effect_unknown=True)
        return decoded


def _txn_body(part: TxnPart) -> dict[str, Any]:
    compares = [
        {
            "key": _to_base64(compare.key),
            "target": compare.field.upper(),
            "result": "EQUAL",
            f"{compare.field}_revision": compare.revision,
        }
        for compare in part.compares
    ]
    body: dict[str, Any] = {
        "compare": compares,
        "success": [_operation_body(operation) for operation in part.operations],
    }
    if part.read_keys:
        body["failure"] = [{"request_range": {"key": _to_base64(key)}} for key in part.read_keys]
    return body


def _operation_body(operation: Operation) -> dict[str, Any]:
    if operation.value is None:
        deletion = {"key": _to_base64(operation.key)}
        if operation.is_prefix:
            deletion["range_end"] = _to_base64(prefix_end(operation.key))
        return {"request_delete_range": deletion}
    return {
        "request_put": {
            "key": _to_base64(operation.key),
            "value": _to_base64(operation.value),
            "lease": operation.lease_id,
        }
    }
