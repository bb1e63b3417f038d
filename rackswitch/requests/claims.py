"""Claims, by which a request with an idempotency key runs at most once.

A claim is a key in the key-value service, created only if it is absent, with the identity of the
attempt that created it. That attempt may run the request and then stores the answer; all others
get the stored answer or the claim's state.
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
    """Last recorded state of a claimed request."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    RELEASED = "released"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a claim key.

    Attributes
    ----------
    owner : str
        Unique identity of the claiming attempt (daemon, start and counter).
    digest : str
        Digest of the request, to detect a key that is used for two requests.
    """

    owner: str
    digest: str
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    media_type: str = ""
    body: bytes = b""


class ClaimDecision(Enum):
    """What a claim found in the key-value service means for one attempt."""

    RUN = "run"
    TAKE_OVER = "take over"
    REPLAY = "replay"
    IN_DOUBT = "in doubt"
    KEY_REUSED = "key reused"


def claim_bucket(unix_seconds: float, period_seconds: float) -> int:
    """Return the number of the period that a claim made now belongs to."""
    return int(unix_seconds // period_seconds)


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of all claims of one period, which are deleted together."""
    return f"{CLAIM_PREFIX}{bucket:012d}/"


def claim_keys(tenant: str, idempotency_key: str, bucket: int) -> tuple[str, str, str]:
    """Return the possible keys of a claim: in the current, the previous and the next period.

    A claim is written to the first, if none of the three exists. The next period is included
    since another daemon's clock may be ahead. The claims of different tenants have different
    keys.
    """
    digest = hashlib.blake2b(f"{tenant}\n{idempotency_key}".encode(), digest_size=16)
    key_name = digest.hexdigest()
    current, previous, following = (
        bucket_prefix(bucket + offset) + key_name for offset in (0, -1, 1)
    )
    return current, previous, following


def request_digest(route: str, method: str, body: bytes) -> str:
    """Return a digest that is equal for repeats of the same request."""
    digest = hashlib.blake2b(f"{method} {route}\n".encode(), digest_size=16)
    digest.update(body)
    return digest.hexdigest()


def decide_claim(present: Claim, owner: str, digest: str) -> ClaimDecision:
    """Decide what an attempt does, from the claim in the key-value service.

    Parameters
    ----------
    present : Claim
        The stored claim: this attempt's own, or the one found in its place.
    owner : str
        This attempt's identity.
    digest : str
        This request's digest.

    Returns
    -------
    ClaimDecision
        RUN only if this attempt created the claim; TAKE_OVER if its owner released it without
        running the request; the claim must then be replaced by compare-and-swap.
    """
    if present.state is ClaimState.RELEASED:
        return ClaimDecision.TAKE_OVER
    if present.digest != digest:
        return ClaimDecision.KEY_REUSED
    if present.state is ClaimState.ANSWERED:
        return ClaimDecision.REPLAY
    return ClaimDecision.RUN if present.owner == owner else ClaimDecision.IN_DOUBT
