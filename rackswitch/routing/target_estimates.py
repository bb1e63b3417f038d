"""What a place at a target is worth to a request, as one daemon believes it.

A target's word is its last statement about its own load (`rackswitch.routing.reported_load`).
"""

from dataclasses import dataclass, replace

__all__ = ["TargetEstimate"]


@dataclass(frozen=True, slots=True)
class TargetEstimate:
    """Room at one target, with all that the daemon has heard and seen taken together.

    Attributes
    ----------
    instance : str
        The target.
    slots : int
        Requests that it works on at once.
    running, waiting : float
        Requests believed to be worked on and to be queued there, of all daemons, with those that
        this daemon has sent since the target's last word.
    pace : float
        How many times longer than usual work is believed to take there.
    unit_seconds : float
        Usual time of one request, or of one piece of a text, at pace 1.
    word_age_seconds : float
        Age of the target's last word; infinite if it never gave one.
    arrival_seconds : float
        Network distance there and back, with a new connection if none is open.
    is_at_hand : bool
        Whether an open connection rests there.
    """

    instance: str
    slots: int
    running: float
    waiting: float
    pace: float
    unit_seconds: float
    word_age_seconds: float
    arrival_seconds: float
    is_at_hand: bool = False

    @property
    def free_slots(self) -> float:
        """Requests that could begin there at once."""
        return max(0.0, self.slots - self.running - self.waiting)

    def with_one_more(self) -> "TargetEstimate":
        """Return the place as it is once one more request has been sent there."""
        if self.free_slots >= 1:
            return replace(self, running=self.running + 1)
        return replace(self, waiting=self.waiting + 1)

    def wait_seconds(self, run_seconds: float) -> float:
        """Return how long one more request waits there for a slot.

        Parameters
        ----------
        run_seconds : float
            How long the requests before it usually take at pace 1.
        """
        ahead = self.running + self.waiting + 1 - self.slots
        return max(0.0, ahead) * run_seconds * self.pace / max(1, self.slots)

    def finish_seconds(self, units: float, run_seconds: float) -> float:
        """Return when one more request is probably through, counted from now.

        Parameters
        ----------
        units : float
            Its work: 1 for a usual request, or the pieces of a text.
        run_seconds : float
            How long the requests before it usually take at pace 1.
        """
        work_seconds = units * self.unit_seconds * self.pace
        return self.arrival_seconds + self.wait_seconds(run_seconds) + work_seconds
