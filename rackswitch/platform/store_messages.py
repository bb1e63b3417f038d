"""Messages of the platform's key-value service, and how they map to our interface."""

from base64 import b64decode, b64encode
from typing import Any, TypeVar

import msgspec

from rackswitch.clients.kv import KvEntry, KvUnavailable, TxnPart
from rackswitch.outcomes import check_invariant

__all__ = [
    "StoreAnswer",
    "WireConflict",
    "WireKey",
    "WireLease",
    "WireRange",
    "WireTxnDone",
    "WireWatch",
    "checked_answer",
    "present_entry",
    "txn_body",
    "without_effect",
]

T = TypeVar("T")

TURNED_AWAY_STATUSES = (429, 503)
"""Answers by which the service says that it has done nothing: too many calls, or not now."""


class WireItem(msgspec.Struct, frozen=True):
    """An entry, or what is left of one."""

    key: str
    value: str = ""
    # The revision of the last change, where other services say "mod revision".
    revision: int = 0
    create_revision: int = 0
    tombstone: bool = False

    def entry(self) -> KvEntry:
        """Return the entry as our interface has it."""
        return KvEntry(self.key, b64decode(self.value), self.create_revision, self.revision)


class WireKey(WireItem, frozen=True):
    """Answer to the reading of one key."""

    store_revision: int = 0


class WireRange(msgspec.Struct, frozen=True):
    """A page of the entries under a prefix."""

    store_revision: int
    items: list[WireItem] = []
    truncated: bool = False


class WireWatch(msgspec.Struct, frozen=True):
    """What changed under a prefix."""

    store_revision: int
    events: list[WireItem] = []


class WireTxnDone(msgspec.Struct, frozen=True):
    """A transaction that took effect."""

    revision: int


class WireConflict(msgspec.Struct, frozen=True):
    """A transaction whose conditions did not hold, with the entries that it compared."""

    items: list[WireItem] = []


class WireLease(msgspec.Struct, frozen=True):
    """A lease that was made or prolonged."""

    ttl_ms: float
    lease: int = 0


class StoreAnswer:
    """Status and content of one call."""

    __slots__ = ("content", "status")

    def __init__(self, status: int, content: bytes):
        self.status = status
        self.content = content

    @property
    def turned_away(self) -> bool:
        """Whether the service did not look at the call, so that another way may do better."""
        return self.status in TURNED_AWAY_STATUSES

    def decode(self, kind: type[T]) -> T | KvUnavailable:
        """Return the content as a message."""
        try:
            return msgspec.json.decode(self.content, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return KvUnavailable(f"cannot read the answer: {error}", effect_unknown=True)


def checked_answer(answer: StoreAnswer) -> StoreAnswer | KvUnavailable:
    """Return an answer that may be read, or by its status why it may not."""
    if answer.status in (200, 404, 412):
        return answer
    if answer.status == 410:
        return KvUnavailable("the history is gone", effect_unknown=False, history_lost=True)
    # By the platform's word a refusal with one of these means that nothing was done.
    refused = answer.turned_away or answer.status in (400, 403, 413)
    return KvUnavailable(f"status {answer.status}", effect_unknown=not refused)


def without_effect(answer: KvUnavailable) -> KvUnavailable:
    """Return the failure of a call that has no effect by its kind."""
    return KvUnavailable(answer.detail, effect_unknown=False, history_lost=answer.history_lost)


def txn_body(part: TxnPart) -> dict[str, Any]:
    """Return a transaction as the service takes it."""
    # A key of ours is never written again where its create revision is compared, so both
    # kinds of comparison are the same here.
    expected = [{"key": compare.key, "revision": compare.revision} for compare in part.compares]
    puts = []
    removals = []
    for operation in part.operations:
        check_invariant(not operation.is_prefix, "this service deletes single keys only")
        if operation.value is None:
            removals.append(operation.key)
            continue
        value = b64encode(operation.value).decode()
        puts.append({"key": operation.key, "value": value, "lease": operation.lease_id})
    return {"expected": expected, "set_keys": puts, "remove": removals}


def present_entry(part: TxnPart, conflict: WireConflict) -> KvEntry | None:
    """Return the first entry that a part wanted to read or compare, of those that are there."""
    wanted = part.read_keys or tuple(compare.key for compare in part.compares)
    by_key = {item.key: item for item in conflict.items if not item.tombstone}
    for key in wanted:
        if key in by_key:
            return by_key[key].entry()
    return None
