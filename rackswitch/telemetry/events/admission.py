"""Events of admission control."""

from rackswitch.telemetry.events.base import Event, register_event

__all__ = ["CallDecided", "AdmissionState"]


@register_event
class CallDecided(Event, tag="call decided", frozen=True):
    """A call was sent, queued or refused; a call that was queued has a second event.

    Attributes
    ----------
    caller_class : int
        Priority class of the call; reward calls come after all callers' classes.
    outcome : str
        ``sent``, ``waits``, or ``refused: `` and the reason.
    expected_wait_seconds, waited_seconds : float
        Estimated time in the wait queue, and time spent there.
    left_seconds : float
        How much longer the caller waits.
    waiting, in_flight, limit : int, int, float
        This daemon's calls in the service's wait queue, those in flight, and the concurrency limit.
    free_slots, word_age_seconds : float
        Estimated free slots, and the age of the newest load report of a target; -1 if none
        was received.
    refusals_since_answer : int
        Calls that targets of the service refused since one of them last answered a call.
    crowding : float
        Share of recent answers that reported a full target, between 0 and 1.
    come_back_seconds : float
        Delay before a retry that a refused caller was told; 0 for other outcomes.
    """

    request: str
    service: str
    route: str
    tenant: str
    caller_class: int
    outcome: str
    expected_wait_seconds: float
    waited_seconds: float
    left_seconds: float
    waiting: int
    in_flight: int
    limit: float
    free_slots: float
    word_age_seconds: float
    come_back_seconds: float = 0.0
    refusals_since_answer: int = 0
    crowding: float = 0.0

    @property
    def is_routine(self) -> bool:
        """Whether the call was sent without waiting."""
        return self.outcome == "sent" and self.waited_seconds == 0.0


@register_event
class AdmissionState(Event, tag="room seen", frozen=True):
    """Load of one service by this daemon's calls, logged repeatedly while it is in demand.

    Attributes
    ----------
    waiting, in_flight : int
        Calls in the wait queue, and calls in flight.
    limit : float
        Concurrency limit.
    oldest_wait_seconds : float
        How long the oldest call in the wait queue has waited.
    tenant_shares : dict of str to float
        Share of the recently served work, by tenant.
    """

    service: str
    waiting: int
    in_flight: int
    limit: float
    oldest_wait_seconds: float
    tenant_shares: dict[str, float]

    @property
    def is_routine(self) -> bool:
        """Always true: the event is repeated soon."""
        return True
