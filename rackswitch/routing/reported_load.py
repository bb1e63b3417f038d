"""What a target says of its own load.

Such a statement is called a word. Targets send one with answers and refusals.
"""

from dataclasses import dataclass

__all__ = ["ReportedLoad"]


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """One statement of a target about itself.

    Attributes
    ----------
    running, waiting : int
        Requests that it works on, and requests in its queue.
    slots : int
        Requests that it works on at once.
    pace : float or None
        How many times longer than usual work takes there at present; None if it does not say.
    heard_at_seconds : float
        When the answer came that carried it (monotonic).
    """

    running: int
    waiting: int
    slots: int
    pace: float | None
    heard_at_seconds: float
