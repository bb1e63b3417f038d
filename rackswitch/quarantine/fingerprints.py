"""Recognises a request that is sent again under another identity."""

import hashlib

__all__ = ["request_fingerprint"]

FINGERPRINT_BYTES = 10


def request_fingerprint(tenant: str, host: str, method: str, path: str, body: bytes) -> str:
    """Return a digest that is equal for all sends of one request, whatever their identities.

    Parameters
    ----------
    tenant : str
        The caller; empty if callers are not identified.
    host, method, path : str
        Where it is sent; the path includes the query.
    body : bytes
        The complete body.

    Returns
    -------
    str
        Hexadecimal digits that reveal nothing of the request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (tenant.encode(), host.lower().encode(), method.encode(), path.encode(), body):
        # The length prefix keeps different splits of the same bytes apart.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
