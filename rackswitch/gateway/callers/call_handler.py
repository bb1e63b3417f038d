"""HTTP responses to callers: a target's answer or stream, or an error status."""

import asyncio
import math

from rackswitch.gateway.callers.disconnects import done_before_disconnect
from rackswitch.gateway.callers.dispatch_answers import DispatchAnswer, outcome_label
from rackswitch.gateway.callers.refusals import (
    TEXT_HEADERS,
    Refusal,
    refuse,
    refuse_before_routing,
)
from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.gateway.callers.stream_relay import StreamRelay
from rackswitch.gateway.context import GatewayContext, TableInUse
from rackswitch.gateway.placement_log import placement_event
from rackswitch.outcomes import BrokenInvariant, MayHaveRun, NotRun
from rackswitch.requests import Call, TargetAnswer, TargetStream, may_end_before_stop
from rackswitch.routing import ListedTarget, WorkKind
from rackswitch.table import Handling, RouteRow
from rackswitch.telemetry.events import EstimateLogged, RequestEnded
from rackswitch.web.exchange import Exchange

__all__ = ["CallHandler"]

RESTART_SECONDS = 2.0
"""Time from the end of a stop until the next process serves requests."""


class CallHandler:
    """Forwards callers' calls to targets and responds to the callers.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    dispatcher : RequestDispatcher
        Sends calls to targets.
    """

    __slots__ = ("_context", "_dispatcher")

    def __init__(self, context: GatewayContext, dispatcher: RequestDispatcher):
        self._context = context
        self._dispatcher = dispatcher

    async def serve(
        self,
        exchange: Exchange,
        route: RouteRow,
        call: Call,
        deadline_seconds: float,
        arrived_seconds: float,
        routed_by: TableInUse,
    ) -> None:
        """Serve a call; cancel it if the caller disconnects first."""
        if not self._may_end_before_stop(route, deadline_seconds):
            await self._refuse_while_stopping(exchange)
            return
        log = self._dispatcher.new_log(route)
        work = asyncio.create_task(
            self._dispatcher.call(route, call, deadline_seconds, log, as_stream=route.streams)
        )
        if not await done_before_disconnect(exchange, work):
            self._log_end(route, call, arrived_seconds, routed_by, "caller left", None)
            return
        answer = work.result()
        outcome = answer.outcome
        label = outcome_label(outcome)
        if isinstance(outcome, TargetAnswer):
            await exchange.respond(outcome.status, outcome.headers, outcome.body)
        elif isinstance(outcome, TargetStream):
            relay = StreamRelay(self._dispatcher, route, call, deadline_seconds, log)
            try:
                label = await self._relay(exchange, relay, outcome, _stream_target(answer))
            except ConnectionError as error:
                label = f"{outcome.status}, cut off: {error}"
                self._log_end(route, call, arrived_seconds, routed_by, label, answer)
                raise
        elif isinstance(outcome, NotRun):
            retry_at_seconds = outcome.retry_at_seconds or self._context.now_seconds()
            retry_after_seconds = max(0.0, retry_at_seconds - self._context.now_seconds())
            await refuse(exchange, Refusal(503, outcome.detail, retry_after_seconds))
        else:
            await self._respond_failed(exchange, outcome, deadline_seconds)
        self._log_end(route, call, arrived_seconds, routed_by, label, answer)

    def _may_end_before_stop(self, route: RouteRow, deadline_seconds: float) -> bool:
        """Return whether a call may be sent to a target, if this daemon is stopping."""
        may_repeat = route.handling is Handling.REPEATABLE and not route.streams
        return may_end_before_stop(
            self._context.stop_deadline_seconds,
            self._context.now_seconds(),
            deadline_seconds,
            self._dispatcher.typical_call_seconds(route) if may_repeat else math.inf,
        )

    async def _refuse_while_stopping(self, exchange: Exchange) -> None:
        """Refuse a call; another daemon can serve it at once, or else the next process here."""
        now_seconds = self._context.now_seconds()
        own_name = self._context.daemon_name
        has_other_daemon = any(name != own_name for name in self._context.daemon.membership.live())
        stop_seconds = max(0.0, self._context.stop_deadline_seconds - now_seconds)
        retry_after_seconds = 0.0 if has_other_daemon else stop_seconds + RESTART_SECONDS
        exchange.close_connection = True
        detail = "this daemon is stopping and may end before the request does"
        await refuse_before_routing(
            exchange, self._context, Refusal(503, detail, retry_after_seconds)
        )

    async def _relay(
        self, exchange: Exchange, relay: StreamRelay, stream: TargetStream, target: ListedTarget
    ) -> str:
        """Forward a stream to the caller; return its outcome for the log."""
        pieces = relay.pieces(stream, target)
        sending = asyncio.create_task(exchange.stream(stream.status, stream.headers, pieces))
        try:
            if not await done_before_disconnect(exchange, sending):
                return "caller left"
            sending.result()
        finally:
            await pieces.aclose()
        return f"{stream.status}, resumed {relay.resume_count} times"

    def _log_end(
        self,
        route: RouteRow,
        call: Call,
        arrived_seconds: float,
        routed_by: TableInUse,
        outcome: str,
        answer: DispatchAnswer | None,
    ) -> None:
        elapsed_seconds = self._context.now_seconds() - arrived_seconds
        self._context.log.write(
            RequestEnded(
                request=call.request_id,
                route=route.name,
                caller_class=call.caller.rank(route.caller_class),
                tenant=call.caller.tenant,
                table_revision=self._context.table_revision,
                list_age_seconds=self._context.list_age_seconds(),
                targets_known=self._dispatcher.usable_target_count(route, call.caller.tenant),
                target=answer.instance if answer is not None else "",
                attempts=answer.attempts if answer is not None else 0,
                elapsed_seconds=round(elapsed_seconds, 4),
                outcome=outcome,
                routed_by_revision=routed_by.revision,
                routed_by_age_seconds=routed_by.age_seconds,
                place=self._placement_event(answer),
            )
        )

    def _placement_event(self, answer: DispatchAnswer | None) -> EstimateLogged | None:
        if answer is None or answer.target is None:
            return None
        return placement_event(self._context, answer.estimate, answer.target.service, WorkKind.CALL)

    async def _respond_failed(
        self, exchange: Exchange, outcome: MayHaveRun, deadline_seconds: float
    ) -> None:
        """Respond that the request failed and may have run."""
        deadline_passed = self._context.now_seconds() >= deadline_seconds
        await exchange.respond(
            504 if deadline_passed else 502, TEXT_HEADERS, outcome.detail.encode()
        )


def _stream_target(answer: DispatchAnswer) -> ListedTarget:
    """Return the target that sends the stream of an answer."""
    if answer.target is None:
        raise BrokenInvariant("a stream answer has no target")
    return answer.target
