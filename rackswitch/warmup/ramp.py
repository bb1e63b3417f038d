"""How a target that has just stopped being cold is opened to more daemons."""

from enum import Enum

__all__ = ["RAMP_SECONDS", "Warmth", "sender_factor", "warmth"]

RAMP_SECONDS = 1.0
"""Time from the end of the cold phase until all daemons may send without a limit. Otherwise all
owners of jobs would fill the target at once."""

RAMP_STEPS = 4
"""Steps of the ramp; each doubles the number of senders, and the last reaches 16 times as many."""


class Warmth(Enum):
    """The phases of a target."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


def warmth(cold_until_seconds: float, now_seconds: float) -> Warmth:
    """Return the phase of a target.

    Parameters
    ----------
    cold_until_seconds : float
        End of its cold phase (monotonic); minus infinity if it was never cold.
    now_seconds : float
        Monotonic clock.
    """
    if now_seconds < cold_until_seconds:
        return Warmth.COLD
    if now_seconds < cold_until_seconds + RAMP_SECONDS:
        return Warmth.WARMING
    return Warmth.WARM


def sender_factor(cold_until_seconds: float, now_seconds: float) -> int:
    """Return by what the number of senders of a target that is not warm yet is multiplied."""
    if now_seconds < cold_until_seconds:
        return 1
    step = int((now_seconds - cold_until_seconds) / RAMP_SECONDS * RAMP_STEPS)
    return 2 ** min(RAMP_STEPS, step + 1)
