"""Reads the key of a request. Keys are stored and logged as digests only."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["KeyFault", "bearer_key", "key_digest"]

SCHEME = "bearer"

MAX_KEY_CHARACTERS = 512
"""Longer keys are refused without a lookup; typical keys have 20 to 200 characters."""


@dataclass(frozen=True, slots=True)
class KeyFault:
    """Why a request's key was not accepted; does not contain the key.

    Attributes
    ----------
    detail : str
        The reason for the log; it may name a tenant.
    may_be_new : bool
        Whether a newer table may have the key: the key is well-formed and no known table had it.
    is_malformed : bool
        Whether the header itself is invalid, whatever its key.
    """

    detail: str
    may_be_new: bool = False
    is_malformed: bool = False

    @property
    def public_detail(self) -> str:
        """The reason for the caller, without details of keys and tenants."""
        return self.detail if self.is_malformed else "the key is not valid"


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored and logged (SHA-256, hexadecimal)."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(values: Sequence[str]) -> str | KeyFault:
    """Return the key in ``Authorization`` headers (RFC 6750, section 2.1), or its fault.

    Parameters
    ----------
    values : sequence of str
        The values of all ``Authorization`` headers.
    """
    if not values:
        return KeyFault("no key: the request has no Authorization header", is_malformed=True)
    if len(values) > 1:
        return KeyFault(f"{len(values)} Authorization headers, one is allowed", is_malformed=True)
    scheme, _, key = values[0].strip().partition(" ")
    if scheme.lower() != SCHEME:
        return KeyFault("the Authorization header's scheme is not Bearer", is_malformed=True)
    key = key.strip()
    if not key:
        return KeyFault("the Authorization header holds no key", is_malformed=True)
    if len(key) > MAX_KEY_CHARACTERS:
        return KeyFault(f"the key has over {MAX_KEY_CHARACTERS} characters", is_malformed=True)
    if not key.isascii() or not key.isprintable() or " " in key:
        return KeyFault("the key holds characters that no key has", is_malformed=True)
    return key
