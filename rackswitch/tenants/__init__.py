"""Tenants: whose key a request carries, and what the table allows its holder."""

from rackswitch.tenants.callers import ANYBODY, JOB_SEPARATOR, Caller
from rackswitch.tenants.index import FormerKey, TenantIndex, index_tenants
from rackswitch.tenants.keys import KeyFault, bearer_key, key_digest

__all__ = [
    "ANYBODY",
    "JOB_SEPARATOR",
    "Caller",
    "FormerKey",
    "KeyFault",
    "TenantIndex",
    "bearer_key",
    "index_tenants",
    "key_digest",
]
