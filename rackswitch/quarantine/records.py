"""What daemons report to each other about ended targets and about requests on trial."""

import msgspec

__all__ = ["ClearedRequest", "EndRecord", "EndedTarget", "TrialRecord"]


class EndedTarget(msgspec.Struct, frozen=True):
    """A target that ended under runs of one daemon.

    Attributes
    ----------
    target : str
        The start that ended.
    runs : tuple of str
        Fingerprints of the requests whose runs were interrupted there.
    at_unix_seconds : float
        When the end was detected, by the daemon's own clock; small differences between the clocks
        of daemons are tolerated.
    """

    target: str
    runs: tuple[str, ...]
    at_unix_seconds: float


class ClearedRequest(msgspec.Struct, frozen=True):
    """A request that a target has answered, so that the ends it was present at had other causes."""

    fingerprint: str
    targets: tuple[str, ...]
    at_unix_seconds: float


class EndRecord(msgspec.Struct, frozen=True):
    """All that one daemon reports about ends.

    Attributes
    ----------
    number : int
        Increases with each of the daemon's records, also across restarts: a record with a higher
        number replaces one with a lower number.
    lease_id : int
        The lease that the record is attached to, for the daemon's next process to continue.
    """

    number: int = 0
    lease_id: int = 0
    ends: tuple[EndedTarget, ...] = ()
    acquittals: tuple[ClearedRequest, ...] = ()


class TrialRecord(msgspec.Struct, frozen=True):
    """The trials of a request: its sends after targets had ended under it.

    Attributes
    ----------
    trials : int
        Number of trials, each claimed before it is sent.
    next_at_unix_seconds : float
        Earliest time at which the next one may be claimed.
    """

    trials: int
    next_at_unix_seconds: float
