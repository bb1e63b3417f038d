"""Index of a table's tenants by key, with the recently revoked keys."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.table import TableDocument, TenantRow
from rackswitch.tenants.callers import ANONYMOUS, Caller
from rackswitch.tenants.keys import KeyFault, bearer_key, key_digest

__all__ = ["RevokedKey", "TenantIndex", "index_tenants"]

MAX_REVOKED_KEYS = 10_000
"""Maximum number of revoked keys that are kept to report why a caller is refused, some 3 MB: four
keys an edit at 2,500 edits a day."""

LOGGED_DIGEST_CHARACTERS = 12
"""Length of the digest's prefix in the log line of a refusal."""


@dataclass(frozen=True, slots=True)
class RevokedKey:
    """A key that an earlier table had and a later one doesn't have.

    Attributes
    ----------
    revision : int
        Revision of the first table without the key.
    """

    tenant: str
    revision: int


@dataclass(frozen=True, slots=True)
class TenantIndex:
    """The holders of keys, by digest.

    Attributes
    ----------
    has_tenants : bool
        Whether the table has tenants; if not, no key is required.
    revoked : dict of str to RevokedKey
        Keys that were revoked while this process ran, the latest last.
    """

    by_digest: dict[str, TenantRow] = field(default_factory=dict)
    has_tenants: bool = False
    revoked: dict[str, RevokedKey] = field(default_factory=dict)

    def identify(self, authorization: Iterable[str]) -> Caller | KeyFault:
        """Return the caller with the key in the ``Authorization`` headers, or the key's fault."""
        if not self.has_tenants:
            return ANONYMOUS
        key = bearer_key(tuple(authorization))
        if isinstance(key, KeyFault):
            return key
        digest = key_digest(key)
        row = self.by_digest.get(digest)
        if row is None:
            return self._unknown_key_fault(digest)
        return Caller(row.name, row.caller_class, keys_required=True)

    def caller_without_key(self) -> Caller:
        """Return the caller of a route that requires no key."""
        return Caller(keys_required=self.has_tenants)

    def caller_of_tenant(self, tenant: str) -> Caller:
        """Return the caller for work that a tenant submitted earlier, whatever its keys are now."""
        return Caller(tenant, keys_required=self.has_tenants or bool(tenant))

    def _unknown_key_fault(self, digest: str) -> KeyFault:
        digest_prefix = digest[:LOGGED_DIGEST_CHARACTERS]
        revoked = self.revoked.get(digest)
        if revoked is None:
            return KeyFault(f"key {digest_prefix} is not known", may_be_new=True)
        reason = f"was taken away with table {revoked.revision}"
        return KeyFault(f"key {digest_prefix} of {revoked.tenant} {reason}")


def index_tenants(document: TableDocument, before: TenantIndex) -> TenantIndex:
    """Return the index of a table's tenants.

    Parameters
    ----------
    document : TableDocument
        The table.
    before : TenantIndex
        The index of the previous table.
    """
    rows = [stored.row for stored in document.rows.values() if isinstance(stored.row, TenantRow)]
    by_digest = {digest: row for row in rows for digest in row.key_sha256}
    revoked = {
        digest: revoked_key
        for digest, revoked_key in before.revoked.items()
        if digest not in by_digest
    }
    for digest, row in before.by_digest.items():
        if digest not in by_digest:
            revoked[digest] = RevokedKey(row.name, document.revision)
    for digest in list(revoked)[: max(0, len(revoked) - MAX_REVOKED_KEYS)]:
        del revoked[digest]
    return TenantIndex(by_digest, bool(rows), revoked)
