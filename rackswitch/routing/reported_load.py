"""The load that a target reports with its answers and refusals."""

from dataclasses import dataclass

__all__ = ["ReportedLoad"]


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """One load report of a target.

    Attributes
    ----------
    running, waiting : int
        Requests in progress, and requests in its queue.
    slots : int
        Maximum number of requests in progress.
    pace : float or None
        How many times longer than typical work takes there at present; None if not reported.
    received_at_seconds : float
        When the answer that carried it was received (monotonic).
    """

    running: int
    waiting: int
    slots: int
    pace: float | None
    received_at_seconds: float
