"""Messages of the platform's key-value service, and their conversion to the `KvClient` types."""

from base64 import b64decode, b64encode
from typing import Any, TypeVar

import msgspec

from rackswitch.clients.kv import KvEntry, KvUnavailable, TxnPart
from rackswitch.decoding import Undecodable, decode_json
from rackswitch.outcomes import check_invariant

__all__ = [
    "StoreAnswer",
    "WireConflict",
    "WireKey",
    "WireLease",
    "WireRange",
    "WireTxnDone",
    "WireWatch",
    "check_answer_status",
    "first_existing_entry",
    "txn_body",
    "mark_without_effect",
]

T = TypeVar("T")

REJECTED_STATUSES = (429, 503)
"""Statuses with which the service rejects a call without effect: rate limit, or unavailable."""


class WireItem(msgspec.Struct, frozen=True):
    """An entry, or the tombstone of a deleted one."""

    key: str
    value: str = ""
    # The revision of the last change; called "mod revision" in etcd.
    revision: int = 0
    create_revision: int = 0
    tombstone: bool = False

    def entry(self) -> KvEntry:
        """Return the entry as a `KvEntry`."""
        return KvEntry(self.key, b64decode(self.value), self.create_revision, self.revision)


class WireKey(WireItem, frozen=True):
    """Answer to a read of one key."""

    store_revision: int = 0


class WireRange(msgspec.Struct, frozen=True):
    """A page of the entries under a prefix."""

    store_revision: int
    items: list[WireItem] = []
    truncated: bool = False


class WireWatch(msgspec.Struct, frozen=True):
    """Changes under a prefix."""

    store_revision: int
    events: list[WireItem] = []


class WireTxnDone(msgspec.Struct, frozen=True):
    """A committed transaction."""

    revision: int


class WireConflict(msgspec.Struct, frozen=True):
    """A transaction whose conditions failed, with the compared entries."""

    items: list[WireItem] = []


class WireLease(msgspec.Struct, frozen=True):
    """A lease that was created or renewed."""

    ttl_ms: float
    lease: int = 0


class StoreAnswer:
    """Status and body of the answer to a call.

    Parameters
    ----------
    status : int
        HTTP status.
    content : bytes
        The body.
    attempt_seconds : float, optional
        How long the attempt that was answered took; -1 if unknown.
    """

    __slots__ = ("attempt_seconds", "content", "status")

    def __init__(self, status: int, content: bytes, attempt_seconds: float = -1.0):
        self.status = status
        self.content = content
        self.attempt_seconds = attempt_seconds

    @property
    def is_rejected(self) -> bool:
        """Whether the service rejected the call unprocessed, so that another path may succeed."""
        return self.status in REJECTED_STATUSES

    def decode(self, message_type: type[T]) -> T | KvUnavailable:
        """Decode the content as a message."""
        decoded = decode_json(self.content, message_type)
        if isinstance(decoded, Undecodable):
            return KvUnavailable(f"cannot read the answer: {decoded.detail}", effect_unknown=True)
        return decoded


def check_answer_status(answer: StoreAnswer) -> StoreAnswer | KvUnavailable:
    """Return the answer if its status is one that callers handle, otherwise the failure."""
    if answer.status in (200, 404, 412):
        return answer
    if answer.status == 410:
        return KvUnavailable("the history is gone", effect_unknown=False, history_lost=True)
    # The platform specifies that these statuses mean that the call had no effect.
    refused = answer.is_rejected or answer.status in (400, 403, 413)
    return KvUnavailable(f"status {answer.status}", effect_unknown=not refused)


def mark_without_effect(answer: KvUnavailable) -> KvUnavailable:
    """Return the failure of a call that cannot have an effect, such as a read."""
    return KvUnavailable(answer.detail, effect_unknown=False, history_lost=answer.history_lost)


def txn_body(part: TxnPart) -> dict[str, Any]:
    """Return the body of a transaction."""
    # The service compares modification revisions only. Keys whose create revision is compared are
    # never written again, so both revisions are equal.
    expected = [{"key": compare.key, "revision": compare.revision} for compare in part.compares]
    puts = []
    removals = []
    for operation in part.operations:
        check_invariant(not operation.is_prefix, "the platform's service deletes single keys only")
        if operation.value is None:
            removals.append(operation.key)
            continue
        value = b64encode(operation.value).decode()
        puts.append({"key": operation.key, "value": value, "lease": operation.lease_id})
    return {"expected": expected, "set_keys": puts, "remove": removals}


def first_existing_entry(part: TxnPart, conflict: WireConflict) -> KvEntry | None:
    """Return the first existing entry of the keys that a part reads or compares."""
    keys = part.read_keys or tuple(compare.key for compare in part.compares)
    by_key = {item.key: item for item in conflict.items if not item.tombstone}
    for key in keys:
        if key in by_key:
            return by_key[key].entry()
    return None
