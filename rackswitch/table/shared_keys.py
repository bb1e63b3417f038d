"""Detection of keys that are assigned to more than one tenant."""

from collections.abc import Iterable

from rackswitch.table.rows import TenantRow

__all__ = ["shared_key"]


def shared_key(tenants: Iterable[TenantRow]) -> tuple[str, str] | None:
    """Return two tenants that share a key, or None if every key has one tenant."""
    holders: dict[str, str] = {}
    for row in tenants:
        for digest in row.key_sha256:
            holder = holders.setdefault(digest, row.name)
            if holder != row.name:
                return holder, row.name
    return None
