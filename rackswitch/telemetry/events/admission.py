"""What is logged of calls for which there is too little room."""

from rackswitch.telemetry.events.base import Event, registered

__all__ = ["CallDecided", "RoomSeen"]


@registered
class CallDecided(Event, tag="call decided", frozen=True):
    """A call was sent, let wait or refused; a call that waited has a second line.

    Attributes
    ----------
    route : str
        The route of the call.
    caller_class : int
        Its rank; reward calls have one behind all callers.
    outcome : str
        ``sent``, ``waits``, or ``refused: `` and why.
    expected_wait_seconds, waited_seconds : float
        How long it would probably wait, and how long it has.
    left_seconds : float
        How long the caller goes on waiting.
    waiting, in_flight, limit : int, int, float
        Calls of this daemon that wait for the service and that are there, and how many may be.
    free_slots, word_age_seconds : float
        Slots believed to be free, and the age of the newest word of a target; -1 if none was
        heard.
    refusals_since_answer : int
        Calls that targets of the service refused since the last answer of one of them.
    crowding : float
        Share of answers that told lately of a full target, between 0 and 1.
    come_back_seconds : float
        When a refused caller was told to come back, counted from then; 0 for others.
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
        """Whether the call went at once."""
        return self.outcome == "sent" and self.waited_seconds == 0.0


@registered
class RoomSeen(Event, tag="room seen", frozen=True):
    """What one daemon's calls wanted of a service, told while there is something to tell.

    Attributes
    ----------
    waiting, in_flight : int
        Calls that wait, and calls that are there.
    limit : float
        How many may be there.
    oldest_wait_seconds : float
        How long the longest waiting one has waited.
    tenant_shares : dict of str to float
        Part of the work done lately, by tenant.
    """

    service: str
    waiting: int
    in_flight: int
    limit: float
    oldest_wait_seconds: float
    tenant_shares: dict[str, float]

    @property
    def is_routine(self) -> bool:
        """It is told again a second later."""
        return True
