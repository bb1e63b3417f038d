"""A daemon's estimate of a target's load, and of when a request would finish there."""

from dataclasses import dataclass, replace

from rackswitch.routing.regions import PathClass

__all__ = ["TargetEstimate"]


@dataclass(frozen=True, slots=True)
class TargetEstimate:
    """Estimated state of one target, from its load reports and this daemon's own requests.

    Attributes
    ----------
    instance : str
        The target.
    slots : int
        Maximum number of requests in progress.
    running, waiting : float
        Estimated requests of all daemons in progress and in the queue, including those that this
        daemon has sent since the target's last load report.
    pace : float
        How many times longer than typical work is estimated to take there.
    unit_seconds : float
        Typical time of one request, or of one piece of a text, at pace 1.
    report_age_seconds : float
        Age of the target's last load report; infinite if there is none.
    round_trip_seconds : float
        Network round trip, including a new connection if none is open.
    has_idle_connection : bool
        Whether an idle open connection to it exists.
    path_class : PathClass
        How far it is; `SAME_REGION` if the deployment has no regions.
    """

    instance: str
    slots: int
    running: float
    waiting: float
    pace: float
    unit_seconds: float
    report_age_seconds: float
    round_trip_seconds: float
    has_idle_connection: bool = False
    path_class: PathClass = PathClass.SAME_REGION

    @property
    def free_slots(self) -> float:
        """Number of requests that could begin there at once."""
        return max(0.0, self.slots - self.running - self.waiting)

    def with_added_request(self) -> "TargetEstimate":
        """Return the estimate after one more request has been sent there."""
        if self.free_slots >= 1:
            return replace(self, running=self.running + 1)
        return replace(self, waiting=self.waiting + 1)

    def wait_seconds(self, run_seconds: float) -> float:
        """Return how long one more request would wait there for a slot.

        Parameters
        ----------
        run_seconds : float
            Typical time of the requests ahead of it at pace 1.
        """
        ahead = self.running + self.waiting + 1 - self.slots
        return max(0.0, ahead) * run_seconds * self.pace / max(1, self.slots)

    def finish_seconds(self, units: float, run_seconds: float) -> float:
        """Return the estimated time from now until one more request has finished.

        Parameters
        ----------
        units : float
            Its work: 1 for a typical request, or the number of pieces of a text.
        run_seconds : float
            Typical time of the requests ahead of it at pace 1.
        """
        work_seconds = units * self.unit_seconds * self.pace
        return self.round_trip_seconds + self.wait_seconds(run_seconds) + work_seconds
