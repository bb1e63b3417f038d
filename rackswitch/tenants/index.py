"""The tenants of one table by their keys, and the keys that were taken away lately."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.table import TableDocument, TenantRow
from rackswitch.tenants.callers import ANONYMOUS, Caller
from rackswitch.tenants.keys import KeyFault, bearer_key, key_digest

__all__ = ["FormerKey", "TenantIndex", "index_tenants"]

MAX_FORMER_KEYS = 10_000
"""Keys taken away that are remembered, to tell why a caller is refused: some 3 MB at most, four
keys an edit at 2,500 edits a day."""

DIGEST_CHARACTERS_TOLD = 12
"""How much of a digest a refusal's log line tells: enough to tell the keys of a table apart."""


@dataclass(frozen=True, slots=True)
class FormerKey:
    """A key that a table had and a later one has not.

    Attributes
    ----------
    revision : int
        Of the first table without it.
    """

    tenant: str
    revision: int


@dataclass(frozen=True, slots=True)
class TenantIndex:
    """Who holds which key, by digest; looking one up takes the same time for any number.

    Attributes
    ----------
    in_force : bool
        Whether the table has tenants. Without any, nobody is asked for a key.
    former : dict of str to FormerKey
        Keys that were taken away while this process ran, the latest last.
    """

    by_digest: dict[str, TenantRow] = field(default_factory=dict)
    in_force: bool = False
    former: dict[str, FormerKey] = field(default_factory=dict)

    def identify(self, authorization: Iterable[str]) -> Caller | KeyFault:
        """Return who holds the key in a request's ``Authorization`` headers, or why nobody does."""
        if not self.in_force:
            return ANONYMOUS
        key = bearer_key(tuple(authorization))
        if isinstance(key, KeyFault):
            return key
        digest = key_digest(key)
        row = self.by_digest.get(digest)
        if row is None:
            return self._unknown(digest)
        return Caller(row.name, row.caller_class, keys_in_force=True)

    def anybody(self) -> Caller:
        """Return the caller of a route that asks nobody for a key."""
        return Caller(keys_in_force=self.in_force)

    def of_tenant(self, tenant: str) -> Caller:
        """Return a tenant as the owner of work that it submitted earlier, whatever its keys."""
        return Caller(tenant, keys_in_force=self.in_force or bool(tenant))

    def _unknown(self, digest: str) -> KeyFault:
        told = digest[:DIGEST_CHARACTERS_TOLD]
        former = self.former.get(digest)
        if former is None:
            return KeyFault(f"key {told} is not known", may_be_new=True)
        taken_away = f"was taken away with table {former.revision}"
        return KeyFault(f"key {told} of {former.tenant} {taken_away}")


def index_tenants(document: TableDocument, before: TenantIndex) -> TenantIndex:
    """Return the index of a table's tenants.

    Parameters
    ----------
    document : TableDocument
        The table.
    before : TenantIndex
        The index of the table that was in force before it.
    """
    rows = [stored.row for stored in document.rows.values() if isinstance(stored.row, TenantRow)]
    by_digest = {digest: row for row in rows for digest in row.key_sha256}
    former = {key: what for key, what in before.former.items() if key not in by_digest}
    for digest, row in before.by_digest.items():
        if digest not in by_digest:
            former[digest] = FormerKey(row.name, document.revision)
    for digest in list(former)[: max(0, len(former) - MAX_FORMER_KEYS)]:
        del former[digest]
    return TenantIndex(by_digest, bool(rows), former)
