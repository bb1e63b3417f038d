"""State of the key-value stand-in, without its network interface."""

import itertools
from dataclasses import dataclass, field

from rackswitch.clients.kv import (
    Compare,
    KvEntry,
    KvRead,
    Operation,
    TxnPart,
    TxnPartResult,
    prefix_end,
)

__all__ = ["KvStore"]


@dataclass(slots=True)
class _Stored:
    entry: KvEntry
    lease_id: int


@dataclass(slots=True)
class _Lease:
    ttl_seconds: float
    deadline_seconds: float


@dataclass(slots=True)
class KvStore:
    """Keys with revisions, transactions and leases; callers pass the time in."""

    revision: int = 1
    keys: dict[str, _Stored] = field(default_factory=dict)
    leases: dict[int, _Lease] = field(default_factory=dict)
    changed: list[KvEntry] = field(default_factory=list)
    """Entries written since the owner last cleared this list."""
    deleted: list[tuple[str, int]] = field(default_factory=list)
    """Keys deleted since the owner last cleared this list, each with the revision."""
    _lease_ids: itertools.count = field(default_factory=lambda: itertools.count(1000))

    def read(self, key: str, is_prefix: bool = False) -> KvRead:
        """Read one key or all keys under a prefix."""
        if is_prefix:
            end = prefix_end(key)
            found = [self.keys[name].entry for name in sorted(self.keys) if key <= name < end]
        else:
            found = [self.keys[key].entry] if key in self.keys else []
        return KvRead(tuple(found), self.revision)

    def txn(self, parts: list[TxnPart]) -> list[TxnPartResult]:
        """Run transaction parts at one new revision."""
        self.revision += 1
        return [self._apply_part(part) for part in parts]

    def grant(self, ttl_seconds: float, now_seconds: float) -> int:
        """Grant a lease; return its id."""
        lease_id = next(self._lease_ids)
        self.leases[lease_id] = _Lease(ttl_seconds, now_seconds + ttl_seconds)
        return lease_id

    def keep(self, lease_id: int, now_seconds: float) -> float:
        """Renew a lease; return its TTL, or 0 if it no longer exists."""
        self.expire(now_seconds)
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0.0
        lease.deadline_seconds = now_seconds + lease.ttl_seconds
        return lease.ttl_seconds

    def expire(self, now_seconds: float) -> None:
        """End all expired leases."""
        for lease_id, lease in list(self.leases.items()):
            if now_seconds >= lease.deadline_seconds:
                self.end_lease(lease_id)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        if self.leases.pop(lease_id, None) is None:
            return
        self.revision += 1
        for key in [key for key, stored in self.keys.items() if stored.lease_id == lease_id]:
            self._delete_key(key)

    def _apply_part(self, part: TxnPart) -> TxnPartResult:
        lease_ids = [operation.lease_id for operation in part.operations if operation.lease_id]
        conditions_hold = all(self._condition_holds(compare) for compare in part.compares)
        lease_gone = any(lease_id not in self.leases for lease_id in lease_ids)
        if not conditions_hold or lease_gone:
            found = [self.keys[key].entry for key in part.read_keys if key in self.keys]
            present = found[0] if found else None
            return TxnPartResult(False, present, self.revision, lease_expired=lease_gone)
        for operation in part.operations:
            if operation.value is None:
                self._delete_matching(operation)
            else:
                self._put_key(operation.key, operation.value, operation.lease_id)
        return TxnPartResult(True, None, self.revision)

    def _condition_holds(self, compare: Compare) -> bool:
        stored = self.keys.get(compare.key)
        if stored is None:
            return compare.revision == 0
        present = stored.entry.create_revision
        if compare.field == "mod":
            present = stored.entry.mod_revision
        return present == compare.revision

    def _delete_matching(self, operation: Operation) -> None:
        if not operation.is_prefix:
            self._delete_key(operation.key)
            return
        for entry in self.read(operation.key, is_prefix=True).entries:
            self._delete_key(entry.key)

    def _delete_key(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self.deleted.append((key, self.revision))

    def _put_key(self, key: str, value: bytes, lease_id: int) -> None:
        previous = self.keys.get(key)
        create_revision = previous.entry.create_revision if previous is not None else self.revision
        entry = KvEntry(key, value, create_revision, self.revision)
        self.keys[key] = _Stored(entry, lease_id)
        self.changed.append(entry)
