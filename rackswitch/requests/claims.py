"""Requests that run at most once: a claim before the run, the answer after it.

A claim is a key in the key-value service, made only where it is absent, with
the identity of the attempt that made it. Whoever made it may run the request;
everybody else gets its stored answer or its honest state.
"""

import hashlib
from enum import Enum

import msgspec

__all__ = [
    "CLAIM_PREFIX",
    "Claim",
    "ClaimDecision",
    "ClaimState",
    "bucket_prefix",
    "claim_bucket",
    "claim_keys",
    "decide_claim",
    "request_digest",
]

CLAIM_PREFIX = "claims/"


class ClaimState(Enum):
    """How far the claimed request has come, as far as was written."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a claim key.

    Attributes
    ----------
    owner : str
        Unique identity of the attempt at claiming (daemon, start and counter).
    digest : str
        Digest of the request, so that a key used for two requests is caught.
    """

    owner: str
    digest: str
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    media_type: str = ""
    body: bytes = b""


class ClaimDecision(Enum):
    """What a claim found in the service means for one attempt."""

    RUN = "run"
    TAKE_OVER = "take over"
    REPLAY = "replay"
    IN_DOUBT = "in doubt"
    KEY_REUSED = "key reused"


def claim_bucket(unix_seconds: float, life_seconds: float) -> int:
    """Return the number of the period that a claim made now belongs to."""
    return int(unix_seconds // life_seconds)


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of all claims of one period, which are deleted together."""
    return f"{CLAIM_PREFIX}{bucket:012d}/"


def claim_keys(tenant: str, idempotency_key: str, bucket: int) -> tuple[str, str, str]:
    """Return the keys under which a claim may stand: this period, the one before, the next.

    A claim is written to the first, and holds if none of the three is there. The next
    period counts since another daemon's clock may be ahead. Tenants cannot meet each
    other's claims.
    """
    digest = hashlib.blake2b(f"{tenant}\n{idempotency_key}".encode(), digest_size=16)
    name = digest.hexdigest()
    this, before, after = (bucket_prefix(bucket + offset) + name for offset in (0, -1, 1))
    return this, before, after


def request_digest(route: str, method: str, body: bytes) -> str:
    """Return a digest by which a repeated request is known to be the same."""
    digest = hashlib.blake2b(f"{method} {route}\n".encode(), digest_size=16)
    digest.update(body)
    return digest.hexdigest()


def decide_claim(present: Claim, owner: str, digest: str) -> ClaimDecision:
    """Decide from the claim that stands in the service.

    Parameters
    ----------
    present : Claim
        What the service holds, after this attempt's write or in its place.
    owner : str
        This attempt's identity.
    digest : str
        This request's digest.

    Returns
    -------
    ClaimDecision
        RUN only if this very attempt made the claim; TAKE_OVER if its maker has given it
        up without running, which must be settled by a compare-and-swap.
    """
    if present.state is ClaimState.RELEASED:
        return ClaimDecision.TAKE_OVER
    if present.digest != digest:
        return ClaimDecision.KEY_REUSED
    if present.state is ClaimState.ANSWERED:
        return ClaimDecision.REPLAY
    return ClaimDecision.RUN if present.owner == owner else ClaimDecision.IN_DOUBT
