"""What daemons tell each other of targets that ended, and of requests on trial."""

import msgspec

__all__ = ["ClearedRequest", "EndRecord", "EndedTarget", "TrialRecord"]


class EndedTarget(msgspec.Struct, frozen=True):
    """A target that ended under runs of one daemon.

    Attributes
    ----------
    target : str
        The start that ended.
    runs : tuple of str
        Fingerprints of the requests whose runs broke there.
    at_unix_seconds : float
        When that was known, by the daemon's own clock; only its order with other ends of the same
        daemon, and hours, depend on it.
    """

    target: str
    runs: tuple[str, ...]
    at_unix_seconds: float


class ClearedRequest(msgspec.Struct, frozen=True):
    """A request that a target has answered, so that ends it was present at have other causes."""

    fingerprint: str
    targets: tuple[str, ...]
    at_unix_seconds: float


class EndRecord(msgspec.Struct, frozen=True):
    """All that one daemon tells of ends.

    Attributes
    ----------
    number : int
        Rises with the daemon's records, also over its restarts: a higher one replaces a lower one.
    lease_id : int
        The lease that the record hangs on, so that the daemon's next process can go on with it.
    """

    number: int = 0
    lease_id: int = 0
    ends: tuple[EndedTarget, ...] = ()
    acquittals: tuple[ClearedRequest, ...] = ()


class TrialRecord(msgspec.Struct, frozen=True):
    """How often a request was sent although it had ended targets.

    Attributes
    ----------
    trials : int
        Sends since then, each claimed before it left.
    next_at_unix_seconds : float
        From when the next one may be claimed.
    """

    trials: int
    next_at_unix_seconds: float
