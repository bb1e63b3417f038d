"""Reading the key that a request carries; keys are kept and logged as digests only."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["KeyFault", "bearer_key", "key_digest"]

SCHEME = "bearer"

MAX_KEY_CHARACTERS = 512
"""Longer ones are refused unread; usual keys have 20 to 200 characters."""


@dataclass(frozen=True, slots=True)
class KeyFault:
    """Why nobody is known to hold a request's key, without the key.

    Attributes
    ----------
    detail : str
        For the log: it may name a tenant.
    may_be_new : bool
        Whether a newer table may have the key: it can be read, and no known table had it.
    is_form : bool
        Whether the header itself is at fault, whatever key it may hold.
    """

    detail: str
    may_be_new: bool = False
    is_form: bool = False

    @property
    def told(self) -> str:
        """One line that gives nothing away of keys and tenants that the caller need not know."""
        return self.detail if self.is_form else "the key is not valid"


def key_digest(key: str) -> str:
    """Return what stands for a key wherever it is kept or logged (SHA-256, hexadecimal)."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(values: Sequence[str]) -> str | KeyFault:
    """Return the key in a request's ``Authorization`` headers (RFC 6750, section 2.1).

    Parameters
    ----------
    values : sequence of str
        The values of all headers of that name.
    """
    if not values:
        return KeyFault("no key: the request has no Authorization header", is_form=True)
    if len(values) > 1:
        return KeyFault(f"{len(values)} Authorization headers, one is allowed", is_form=True)
    scheme, _, key = values[0].strip().partition(" ")
    if scheme.lower() != SCHEME:
        return KeyFault("the Authorization header's scheme is not Bearer", is_form=True)
    key = key.strip()
    if not key:
        return KeyFault("the Authorization header holds no key", is_form=True)
    if len(key) > MAX_KEY_CHARACTERS:
        return KeyFault(f"the key has over {MAX_KEY_CHARACTERS} characters", is_form=True)
    if not key.isascii() or not key.isprintable() or " " in key:
        return KeyFault("the key holds characters that no key has", is_form=True)
    return key
