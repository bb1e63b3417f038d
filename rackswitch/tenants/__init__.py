"""Tenants: whose key a request carries, and what the table allows its holder."""

from rackswitch.tenants.callers import ANONYMOUS, Caller, chosen_identity
from rackswitch.tenants.index import FormerKey, TenantIndex, index_tenants
from rackswitch.tenants.keys import KeyFault, bearer_key, key_digest

__all__ = [
    "ANONYMOUS",
    "Caller",
    "FormerKey",
    "KeyFault",
    "TenantIndex",
    "bearer_key",
    "chosen_identity",
    "index_tenants",
    "key_digest",
]
