"""Knowing a request again that comes under another identity."""

import hashlib

__all__ = ["request_fingerprint"]

FINGERPRINT_BYTES = 10
"""Two different requests of a fleet's day, some 10^8, share 80 bits with a chance of 10^-8."""


def request_fingerprint(tenant: str, host: str, method: str, path: str, body: bytes) -> str:
    """Return what all sends of one request have in common, whatever their identities.

    Parameters
    ----------
    tenant : str
        Who sends it; empty where callers are not known.
    host, method, path : str
        What it is sent to, the path with its query.
    body : bytes
        Its body, whole.

    Returns
    -------
    str
        Hexadecimal digits; nothing of the request can be read from them.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (tenant.encode(), host.lower().encode(), method.encode(), path.encode(), body):
        # With its length before it, no part can pass for the end of the one before.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
