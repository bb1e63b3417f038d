"""Carrying out who waits for room at a service, who goes and who is refused.

A word is a target's statement about its own load (`rackswitch.routing.reported_load`).
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from rackswitch.admission import (
    AdmissionDecision,
    AdmissionRequest,
    RefuseCall,
    SendCall,
    ServiceAdmission,
    Ticket,
    WaitInQueue,
    next_retry_at_seconds,
)
from rackswitch.gateway.context import GatewayContext
from rackswitch.outcomes import NotRun, NotRunReason
from rackswitch.routing import TargetEstimate
from rackswitch.telemetry.events import CallDecided, RoomSeen

__all__ = ["CallAdmission", "NoTarget", "PlacesOf"]

TOLD_SECONDS = 1.0
"""Between two lines about one service's room."""

ANSWER_WORD_SECONDS = 0.02
"""A word no older than this came with the answer that has just been read."""

MAX_SHARES_TOLD = 20
"""Tenants in one line, those with the largest shares."""

PlacesOf = Callable[[str], Sequence[TargetEstimate]]
"""From a service's name to what is believed of its targets; empty if nothing is known."""


@dataclass(frozen=True, slots=True)
class NoTarget:
    """The service's last target went while the call waited."""


Turn = SendCall | RefuseCall | NoTarget


@dataclass(slots=True)
class _Waiting:
    """A call that waits.

    Attributes
    ----------
    want : AdmissionRequest
        What it asks for.
    expected_seconds : float
        How long it would probably wait, when it began to.
    since_seconds : float
        When it began to (monotonic).
    turn : Future of Turn
        What is decided at last.
    """

    want: AdmissionRequest
    expected_seconds: float
    since_seconds: float
    turn: asyncio.Future[Turn]


@dataclass(slots=True)
class _Service:
    """One service's room with the calls that wait in it.

    Attributes
    ----------
    look : TimerHandle or None
        The next look at it without anything else happening.
    telling : TimerHandle or None
        When it is told of next; None while there is nothing to tell.
    """

    name: str
    room: ServiceAdmission
    waiting: dict[Ticket, _Waiting]
    look: asyncio.TimerHandle | None = None
    telling: asyncio.TimerHandle | None = None


class CallAdmission:
    """The rooms of all services that calls of this daemon go to.

    Calls that wait are woken when another one ends or when their own time comes.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    places_of : callable
        What is believed of a service's targets.
    """

    __slots__ = ("_context", "_places_of", "_services")

    def __init__(self, context: GatewayContext, places_of: PlacesOf):
        self._context = context
        self._places_of = places_of
        self._services: dict[str, _Service] = {}

    async def enter(self, service_name: str, want: AdmissionRequest) -> NotRun | NoTarget | None:
        """Wait until a call may go; it then counts as being there until it has ended.

        Returns
        -------
        NotRun or NoTarget or None
            The refusal, or None to go on.
        """
        service = self._service(service_name)
        now_seconds = self._context.now_seconds()
        draw = self._context.rng.random()
        decision = service.room.ask(want, self._places_of(service_name), draw, now_seconds)
        return await self._carry_out(service, want, decision)

    async def enter_again(
        self, service_name: str, want: AdmissionRequest
    ) -> NotRun | NoTarget | None:
        """Let a call that a target did not begin wait for another place."""
        service = self._service(service_name)
        decision = service.room.ask_again(want, self._context.now_seconds())
        return await self._carry_out(service, want, decision)

    def repeat(self, service_name: str, want: AdmissionRequest) -> bool:
        """Count a failed call in once more, if the service's retries allow it."""
        room = self._service(service_name).room
        now_seconds = self._context.now_seconds()
        if not room.may_repeat(now_seconds):
            return False
        room.repeat(want, now_seconds)
        return True

    def answered(
        self, service_name: str, want: AdmissionRequest, instance: str, took_seconds: float
    ) -> None:
        """Note that a target has answered a call."""
        service = self._service(service_name)
        now_seconds = self._context.now_seconds()
        place = next(
            (place for place in self._places_of(service_name) if place.instance == instance), None
        )
        service.room.ended(want, took_seconds)
        if place is not None and place.word_age_seconds <= ANSWER_WORD_SECONDS:
            service.room.limit.answered(place.running, place.waiting, place.slots, now_seconds)
        else:
            service.room.limit.answered_untold(now_seconds)
        self._look(service)

    def not_begun(self, service_name: str, want: AdmissionRequest) -> None:
        """Note that a target had no room for a call."""
        service = self._service(service_name)
        service.room.ended(want, None)
        service.room.target_refused(self._context.now_seconds())
        self._look(service)

    def ended(self, service_name: str, want: AdmissionRequest) -> None:
        """Note that a call has ended without an answer, or did not leave."""
        service = self._service(service_name)
        service.room.ended(want, None)
        self._look(service)

    def no_target(self, service_name: str) -> None:
        """Note that a service has no target: nobody waits for it any longer."""
        service = self._service(service_name)
        for ticket in service.room.no_target():
            self._tell(service, ticket, NoTarget())
        self._look(service)

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(name, ServiceAdmission(), {})
        return service

    async def _carry_out(
        self, service: _Service, want: AdmissionRequest, decision: AdmissionDecision
    ) -> NotRun | NoTarget | None:
        self._tell_later(service)
        if isinstance(decision, WaitInQueue):
            return await self._wait(service, want, decision)
        return self._outcome(service, want, decision, 0.0, 0.0)

    async def _wait(
        self, service: _Service, want: AdmissionRequest, decision: WaitInQueue
    ) -> NotRun | NoTarget | None:
        since_seconds = self._context.now_seconds()
        turn: asyncio.Future[Turn] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(want, decision.wait_seconds, since_seconds, turn)
        service.waiting[decision.ticket] = waiting
        self._log(service, want, "waits", decision.wait_seconds, 0.0)
        self._look(service)
        try:
            taken = await turn
        except asyncio.CancelledError:
            self._left(service, decision.ticket, waiting)
            raise
        waited_seconds = self._context.now_seconds() - since_seconds
        return self._outcome(service, want, taken, decision.wait_seconds, waited_seconds)

    def _left(self, service: _Service, ticket: Ticket, waiting: _Waiting) -> None:
        """Take out a call whose caller has gone, perhaps just as its turn came."""
        service.waiting.pop(ticket, None)
        had_turn = waiting.turn.done() and not waiting.turn.cancelled()
        if not had_turn:
            service.room.left(ticket)
        elif isinstance(waiting.turn.result(), SendCall):
            service.room.ended(waiting.want, None)
        self._look(service)

    def _outcome(
        self,
        service: _Service,
        want: AdmissionRequest,
        turn: Turn,
        expected_seconds: float,
        waited_seconds: float,
    ) -> NotRun | NoTarget | None:
        if isinstance(turn, SendCall):
            self._log(service, want, "sent", expected_seconds, waited_seconds)
            return None
        if isinstance(turn, NoTarget):
            return turn
        now_seconds = self._context.now_seconds()
        draw = self._context.rng.random()
        back_seconds = next_retry_at_seconds(want, turn, draw, now_seconds)
        outcome = f"refused: {turn.cause.value}"
        come_back_seconds = back_seconds - now_seconds
        self._log(service, want, outcome, turn.wait_seconds, waited_seconds, come_back_seconds)
        return NotRun(NotRunReason.OVERLOADED, turn.cause.value, back_seconds)

    def _look(self, service: _Service) -> None:
        """Let go whoever may, refuse whoever cannot be served in time, and look again in time."""
        now_seconds = self._context.now_seconds()
        if service.waiting:
            for ticket, turn in service.room.due(self._places_of(service.name), now_seconds):
                self._tell(service, ticket, turn)
        if service.look is not None:
            service.look.cancel()
            service.look = None
        at_seconds = service.room.next_look_seconds(now_seconds)
        if at_seconds < float("inf"):
            loop = asyncio.get_running_loop()
            service.look = loop.call_at(max(at_seconds, now_seconds + 1e-3), self._look, service)

    def _tell(self, service: _Service, ticket: Ticket, turn: Turn) -> None:
        waiting = service.waiting.pop(ticket)
        if not waiting.turn.done():
            waiting.turn.set_result(turn)
        elif isinstance(turn, SendCall):
            # Its caller has left in the same turn of the loop.
            service.room.ended(waiting.want, None)

    def _log(
        self,
        service: _Service,
        want: AdmissionRequest,
        outcome: str,
        expected_seconds: float,
        waited_seconds: float,
        come_back_seconds: float = 0.0,
    ) -> None:
        places = self._places_of(service.name)
        ages = [place.word_age_seconds for place in places]
        age_seconds = min(ages, default=float("inf"))
        self._context.log.write(
            CallDecided(
                request=want.request_id,
                service=service.name,
                route=want.kind,
                tenant=want.tenant,
                caller_class=want.rank,
                outcome=outcome,
                expected_wait_seconds=round(expected_seconds, 4),
                waited_seconds=round(waited_seconds, 4),
                left_seconds=round(want.deadline_seconds - self._context.now_seconds(), 4),
                waiting=len(service.room.room),
                in_flight=service.room.limit.in_flight,
                limit=round(service.room.limit.limit, 3),
                free_slots=round(sum(place.free_slots for place in places), 2),
                word_age_seconds=round(age_seconds, 4) if age_seconds < float("inf") else -1.0,
                come_back_seconds=round(come_back_seconds, 4),
                refusals_since_answer=service.room.limit.refusals_since_answer,
                crowding=round(service.room.limit.crowding(self._context.now_seconds()), 3),
            )
        )

    def _tell_later(self, service: _Service) -> None:
        """Tell of a service's room after a while, and again while calls wait there."""
        if service.telling is None:
            loop = asyncio.get_running_loop()
            service.telling = loop.call_later(TOLD_SECONDS, self._tell_room, service)

    def _tell_room(self, service: _Service) -> None:
        service.telling = None
        now_seconds = self._context.now_seconds()
        shares = service.room.served_shares(now_seconds)
        largest = sorted(shares, key=shares.__getitem__, reverse=True)[:MAX_SHARES_TOLD]
        self._context.log.write(
            RoomSeen(
                service=service.name,
                waiting=len(service.room.room),
                in_flight=service.room.limit.in_flight,
                limit=round(service.room.limit.limit, 3),
                oldest_wait_seconds=round(service.room.oldest_wait_seconds(now_seconds), 4),
                tenant_shares={tenant: round(shares[tenant], 4) for tenant in largest if tenant},
            )
        )
        if service.waiting:
            self._tell_later(service)
