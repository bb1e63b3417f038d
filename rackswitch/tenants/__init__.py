"""Tenants: identifies a caller by the key of its request."""

from rackswitch.tenants.callers import ANONYMOUS, Caller, chosen_identity, identity_tenant
from rackswitch.tenants.index import RevokedKey, TenantIndex, index_tenants
from rackswitch.tenants.keys import KeyFault, bearer_key, key_digest

__all__ = [
    "ANONYMOUS",
    "Caller",
    "KeyFault",
    "RevokedKey",
    "TenantIndex",
    "bearer_key",
    "chosen_identity",
    "identity_tenant",
    "index_tenants",
    "key_digest",
]
