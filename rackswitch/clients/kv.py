"""The key-value service: compare-and-swap, leases and watches.

The client speaks the JSON gateway of the etcd version 3 interface. Every call
has a time limit, and an answer that does not come leaves the effect unknown;
this is a value of its own, which callers resolve by reading.

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

from rackswitch.clients.http import NOT_SENT_ERRORS, HttpSessions
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
    "TxnPartDone",
    "WatchNews",
    "latest_news",
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
    """What a read found, and the service's revision at that time."""

    entries: tuple[KvEntry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class KvUnavailable:
    """No answer, or a refusal.

    Attributes
    ----------
    effect_unknown : bool
        True if a write may have taken effect, or may still.
    history_lost : bool
        True if a watch cannot go on from its revision, so the keys must be read anew.
    """

    detail: str
    effect_unknown: bool
    history_lost: bool = False


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition: the key's create or mod revision equals a number (0: absent)."""

    key: str
    field: str
    revision: int


@dataclass(frozen=True, slots=True)
class Operation:
    """Put `value` under `key`, or delete the key if `value` is None.

    With `is_prefix` a deletion takes all keys under the prefix. A put with a lease that
    is gone fails.
    """

    key: str
    value: bytes | None
    lease_id: int = 0
    is_prefix: bool = False


@dataclass(frozen=True, slots=True)
class TxnPart:
    """Operations that happen if all conditions hold; else `read_keys` are read."""

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]
    read_keys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TxnPartDone:
    """Whether a part's conditions held, and the first of its keys found if not.

    Attributes
    ----------
    lease_gone : bool
        True if nothing was done because a put named a lease that is over.
    """

    succeeded: bool
    present: KvEntry | None
    revision: int
    lease_gone: bool = False


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease in the service, with its time to live."""

    lease_id: int
    life_seconds: float


@dataclass(frozen=True, slots=True)
class WatchNews:
    """Something changed, or only progress; `deleted` are keys, where the client tells them.

    A key stands once, in one of both: several changes of it are told as the last one.
    """

    entries: tuple[KvEntry, ...]
    revision: int
    deleted: tuple[str, ...] = ()


def latest_news(
    puts: Iterable[KvEntry], deletions: Iterable[tuple[str, int]], revision: int
) -> WatchNews:
    """Return what is left of changes in any order: the last one of each key.

    Parameters
    ----------
    puts : iterable of KvEntry
        Entries as they were written.
    deletions : iterable of (str, int)
        Keys that went, each with the revision of that.
    revision : int
        The service's revision after the changes.
    """
    latest: dict[str, KvEntry] = {}
    for entry in puts:
        known = latest.get(entry.key)
        if known is None or entry.mod_revision > known.mod_revision:
            latest[entry.key] = entry
    gone: dict[str, int] = {}
    for key, deleted_revision in deletions:
        gone[key] = max(deleted_revision, gone.get(key, 0))
    entries = tuple(e for e in latest.values() if e.mod_revision > gone.get(e.key, 0))
    written = {entry.key for entry in entries}
    return WatchNews(entries, revision, tuple(key for key in gone if key not in written))


class KvClient(Protocol):
    """What the daemon needs of the key-value service."""

    calls: int

    async def read(
        self,
        key: str,
        is_prefix: bool = False,
        keys_only: bool = False,
        may_be_stale: bool = False,
    ) -> KvRead | KvUnavailable:
        """Read one key, or all under a prefix.

        Parameters
        ----------
        key : str
            The key or prefix.
        is_prefix : bool
            Whether all keys under a prefix are meant.
        keys_only : bool
            Whether revisions without values are enough.
        may_be_stale : bool
            Whether the state of some seconds ago is good enough, which costs the service less.
        """
        ...

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that come after a key (empty: all of them)."""
        ...

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartDone] | KvUnavailable:
        """Carry out parts in one call, each on its own conditions."""
        ...

    async def grant_lease(self, life_seconds: float) -> LeaseGranted | KvUnavailable:
        """Make a lease."""
        ...

    async def keep_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Prolong a lease; False if it is gone."""
        ...

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """End a lease, which deletes its keys."""
        ...

    def watch(self, key: str, from_revision: int) -> AsyncIterator[WatchNews | KvUnavailable]:
        """Yield changes of a key until the watch breaks, which is the last item."""
        ...


KV_CLIENTS: Registry[type] = Registry("key-value protocol")


def prefix_end(prefix: str) -> str:
    """Return the key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _text(data: str | bytes) -> str:
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


class _WireTxnStep(msgspec.Struct, frozen=True):
    response_range: _WireRange | None = None
    response_txn: "_WireTxn | None" = None


class _WireTxn(msgspec.Struct, frozen=True):
    header: _WireHeader = _WireHeader()
    succeeded: bool = False
    responses: list[_WireTxnStep] = []

    def part_done(self, revision: int) -> TxnPartDone:
        present = None
        for response in self.responses:
            found = response.response_range
            if present is None and found is not None and found.kvs:
                present = found.kvs[0].entry()
        return TxnPartDone(self.succeeded, present, revision)


class _WireGrant(msgspec.Struct, frozen=True):
    ID: int
    TTL: float


class _WireKeep(msgspec.Struct, frozen=True):
    TTL: float = 0


class _WireKeepAnswer(msgspec.Struct, frozen=True):
    result: _WireKeep


class _WireEvent(msgspec.Struct, frozen=True):
    kv: _WireEntry
    type: str = "PUT"


class _WireWatch(msgspec.Struct, frozen=True):
    header: _WireHeader = _WireHeader()
    events: list[_WireEvent] = []


class _WireWatchAnswer(msgspec.Struct, frozen=True):
    result: _WireWatch


class _Nothing(msgspec.Struct):
    pass


@KV_CLIENTS.register("etcd-json")
class EtcdJsonClient:
    """Client of the etcd version 3 JSON gateway.

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
        """Read one key, or all under a prefix; with `keys_only` revisions without values."""
        body: dict[str, Any] = {"key": _text(key)}
        if keys_only:
            body["keys_only"] = True
        if may_be_stale:
            body["serializable"] = True
        if is_prefix:
            body["range_end"] = _text(prefix_end(key))
        return await self._range(body)

    async def read_from(self, prefix: str, after_key: str) -> KvRead | KvUnavailable:
        """Read the keys under a prefix that come after a key (empty: all of them)."""
        # The smallest key after another one has a zero byte more.
        start = after_key + "\0" if after_key else prefix
        return await self._range({"key": _text(start), "range_end": _text(prefix_end(prefix))})

    async def _range(self, body: dict[str, Any]) -> KvRead | KvUnavailable:
        answer = await self._call("/v3/kv/range", body, _WireRange)
        if isinstance(answer, KvUnavailable):
            return KvUnavailable(answer.detail, effect_unknown=False)
        return KvRead(tuple(wire.entry() for wire in answer.kvs), answer.header.revision)

    async def txn(self, parts: list[TxnPart]) -> list[TxnPartDone] | KvUnavailable:
        """Carry out parts in one call, each on its own conditions."""
        bodies = [_txn_body(part) for part in parts]
        if len(bodies) == 1:
            answer = await self._call("/v3/kv/txn", bodies[0], _WireTxn)
            if isinstance(answer, KvUnavailable):
                return answer
            return [answer.part_done(answer.header.revision)]
        nested = {"success": [{"request_txn": body} for body in bodies]}
        answer = await self._call("/v3/kv/txn", nested, _WireTxn)
        if isinstance(answer, KvUnavailable):
            return answer
        revision = answer.header.revision
        inner = [step.response_txn or _WireTxn() for step in answer.responses]
        return [txn.part_done(revision) for txn in inner]

    async def grant_lease(self, life_seconds: float) -> LeaseGranted | KvUnavailable:
        """Make a lease."""
        answer = await self._call("/v3/lease/grant", {"TTL": life_seconds, "ID": 0}, _WireGrant)
        if isinstance(answer, KvUnavailable):
            return answer
        return LeaseGranted(answer.ID, answer.TTL)

    async def keep_lease(self, lease_id: int) -> bool | KvUnavailable:
        """Prolong a lease; False if it is gone."""
        answer = await self._call("/v3/lease/keepalive", {"ID": lease_id}, _WireKeepAnswer)
        if isinstance(answer, KvUnavailable):
            return answer
        return answer.result.TTL > 0

    async def revoke_lease(self, lease_id: int) -> KvUnavailable | None:
        """End a lease, which deletes its keys."""
        answer = await self._call("/v3/lease/revoke", {"ID": lease_id}, _Nothing)
        return answer if isinstance(answer, KvUnavailable) else None

    async def watch(self, key: str, from_revision: int) -> AsyncIterator[WatchNews | KvUnavailable]:
        """Yield changes of a key until the watch breaks, which is the last item."""
        request = {"create_request": {"key": _text(key), "start_revision": from_revision}}
        self.calls += 1
        try:
            async with self._sessions.pooled.post(self._url + "/v3/watch", json=request) as answer:
                if answer.status != 200:
                    yield KvUnavailable(f"watch got status {answer.status}", False)
                    return
                async for line in answer.content:
                    news = msgspec.json.decode(line, type=_WireWatchAnswer, strict=False).result
                    entries = (event.kv.entry() for event in news.events if event.type == "PUT")
                    yield WatchNews(tuple(entries), news.header.revision)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError, ValueError) as error:
            yield KvUnavailable(f"watch broke: {type(error).__name__}", False)
            return
        yield KvUnavailable("watch ended", False)

    async def _call(self, path: str, body: Any, kind: type[Any]) -> Any:
        self.calls += 1
        data = msgspec.json.encode(body)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                async with self._sessions.pooled.post(self._url + path, data=data) as answer:
                    content = await answer.read()
        except NOT_SENT_ERRORS as error:
            return KvUnavailable(type(error).__name__, effect_unknown=False)
        except (aiohttp.ClientError, TimeoutError) as error:
            return KvUnavailable(type(error).__name__, effect_unknown=True)
        if answer.status in (429, 503):
            return KvUnavailable(f"status {answer.status}", effect_unknown=False)
        if answer.status != 200:
            return KvUnavailable(f"status {answer.status}", effect_unknown=True)
        try:
            # The gateway writes 64-bit numbers as strings.
            return msgspec.json.decode(content, type=kind, strict=False)
        except msgspec.DecodeError as error:
            return KvUnavailable(f"cannot read the answer: {error}", effect_unknown=True)


def _txn_body(part: TxnPart) -> dict[str, Any]:
    compares = [
        {
            "key": _text(compare.key),
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
        body["failure"] = [{"request_range": {"key": _text(key)}} for key in part.read_keys]
    return body


def _operation_body(operation: Operation) -> dict[str, Any]:
    if operation.value is None:
        deletion = {"key": _text(operation.key)}
        if operation.is_prefix:
            deletion["range_end"] = _text(prefix_end(operation.key))
        return {"request_delete_range": deletion}
    return {
        "request_put": {
            "key": _text(operation.key),
            "value": _text(operation.value),
            "lease": operation.lease_id,
        }
    }
