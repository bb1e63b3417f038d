"""ASGI application for callers and trainers: checks each request before it is served."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger

from rackswitch.gateway.callers.call_handler import CallHandler
from rackswitch.gateway.callers.refusals import TEXT_HEADERS, Refusal, refuse_before_routing
from rackswitch.gateway.context import GatewayContext, TableInUse
from rackswitch.gateway.jobs.job_handler import JobHandler, Submission
from rackswitch.platform.desired_state import LIMITS_NAME
from rackswitch.platform.ingress import (
    MalformedRequest,
    caller_request_id,
    request_deadline_seconds,
)
from rackswitch.platform.job_calls import JobCall, decode_job_call
from rackswitch.platform.names import AUTHORIZATION_HEADER
from rackswitch.requests import Call
from rackswitch.table import Handling, LimitsRow, RouteRow
from rackswitch.telemetry.events import RequestCancelled
from rackswitch.tenants import Caller, KeyFault
from rackswitch.web.exchange import BodyTooLarge, BodyTooSlow, CallerDisconnected, Exchange

__all__ = ["CallerHandler"]

BODY_TIMEOUT_SECONDS = 10.0
"""Time to receive the body of a request that has no deadline header."""

CANCELLED_TEXT = b"this daemon stopped before the request ended; the request may have run"
"""Response body of a request that a planned stop cancels."""

NO_TABLE_RETRY_AFTER_SECONDS = 0.2
"""`Retry-After` of a daemon that has started and has no current table yet."""

NO_TABLE_REFUSAL = Refusal(503, "no table in force yet", NO_TABLE_RETRY_AFTER_SECONDS)
"""Refusal of all requests until a table is known: keys cannot be checked, so no 401 is sent."""


@dataclass(frozen=True, slots=True)
class _RequestHead:
    """The checked head of a request.

    Attributes
    ----------
    deadline_seconds : float or None
        The caller's own deadline (event loop time).
    routed_by : TableInUse
        The table that the route is from.
    """

    route: RouteRow
    caller: Caller
    host: str
    request_id: str
    deadline_seconds: float | None
    routed_by: TableInUse


class CallerHandler:
    """An ASGI application that serves callers and trainers.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    calls : CallHandler
        Handles calls that are forwarded to targets.
    jobs : JobHandler
        Handles the requests of trainers.
    """

    __slots__ = ("_calls", "_context", "_jobs")

    def __init__(self, context: GatewayContext, calls: CallHandler, jobs: JobHandler):
        self._context = context
        self._calls = calls
        self._jobs = jobs

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Serve one request (ASGI)."""
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        with self._context.daemon.in_flight:
            try:
                await self._serve(exchange)
            except asyncio.CancelledError:
                await self._respond_cancelled(exchange)
                raise
            except ConnectionError as error:
                logger.info("response aborted: {}", error)
                raise

    async def _respond_cancelled(self, exchange: Exchange) -> None:
        """Respond to a request that the end of a planned stop cancels.

        Otherwise the caller would get a status 500, or no response, and not know whether to retry.
        """
        self._context.log.write(
            RequestCancelled(request=caller_request_id(exchange), path=exchange.path)
        )
        if not exchange.has_response:
            exchange.close_connection = True
            await exchange.respond(504, TEXT_HEADERS, CANCELLED_TEXT)

    async def _serve(self, exchange: Exchange) -> None:
        # A request may have waited for the end of the start.
        arrived_seconds = exchange.received_at_seconds or self._context.now_seconds()
        job_call = decode_job_call(exchange)
        if isinstance(job_call, MalformedRequest):
            await refuse_before_routing(exchange, self._context, Refusal(400, job_call.detail))
        elif job_call is not None:
            await self._serve_job_call(exchange, job_call, arrived_seconds)
        else:
            await self._serve_request(exchange, arrived_seconds)

    async def _serve_job_call(
        self, exchange: Exchange, job_call: JobCall, arrived_seconds: float
    ) -> None:
        """Serve a call about a job; to other tenants the job does not exist."""
        if self._context.table_revision == 0:
            await refuse_before_routing(exchange, self._context, NO_TABLE_REFUSAL)
            return
        caller = self._context.tenants.identify(exchange.header_values(AUTHORIZATION_HEADER))
        identity = self._jobs.identity_for(caller, job_call.job_id)
        if isinstance(identity, KeyFault):
            await refuse_before_routing(exchange, self._context, self._key_refusal(identity))
            return
        await self._jobs.serve(exchange, replace(job_call, job_id=identity), arrived_seconds)

    async def _serve_request(self, exchange: Exchange, arrived_seconds: float) -> None:
        limits = self._limits()
        head = self._check_head(exchange, limits, arrived_seconds)
        if isinstance(head, Refusal):
            await refuse_before_routing(exchange, self._context, head)
            return
        body_deadline_seconds = head.deadline_seconds or arrived_seconds + BODY_TIMEOUT_SECONDS
        body = await exchange.read_body(limits.most_body_bytes, body_deadline_seconds)
        if not isinstance(body, bytes):
            await self._refuse_body(exchange, body)
        elif head.route.handling is Handling.BATCH:
            submission = Submission(head.route, head.caller, head.request_id, head.host)
            await self._jobs.submit(exchange, submission, body)
        else:
            await self._serve_call(exchange, head, body, arrived_seconds)

    def _check_head(
        self, exchange: Exchange, limits: LimitsRow, arrived_seconds: float
    ) -> _RequestHead | Refusal:
        """Check a request's head; return it parsed, or the refusal."""
        if self._context.table_revision == 0:
            return NO_TABLE_REFUSAL
        if exchange.header_bytes > limits.most_header_bytes:
            exchange.close_connection = True
            return self._refusal_by_table(
                Refusal(431, f"over {limits.most_header_bytes} header bytes")
            )
        host = exchange.header("host") or ""
        route = self._context.routes.find(host, exchange.path)
        if route is None:
            return self._refusal_by_table(Refusal(404, f"no route for {host}{exchange.path}"))
        caller = self._identify_caller(exchange, route)
        if isinstance(caller, KeyFault):
            return self._key_refusal(caller)
        request_id = caller_request_id(exchange)
        if not request_id:
            return Refusal(400, "the request has no identity")
        deadline_seconds = request_deadline_seconds(exchange, arrived_seconds)
        if isinstance(deadline_seconds, MalformedRequest):
            return Refusal(400, deadline_seconds.detail)
        return _RequestHead(
            route, caller, host, request_id, deadline_seconds, self._context.table_in_use()
        )

    def _key_refusal(self, fault: KeyFault) -> Refusal:
        """Return the refusal of a request whose key is not in the table in force."""
        refusal = Refusal(401, fault.detail, response_text=fault.public_detail)
        if not fault.may_be_new:
            return refusal
        return self._refusal_by_table(refusal, "the key cannot be checked now")

    def _refusal_by_table(self, refusal: Refusal, outdated_text: str = "") -> Refusal:
        """Return a refusal after which callers do not retry, or a 503 if the table may be outdated.

        Parameters
        ----------
        refusal : Refusal
            The refusal by the table in force.
        outdated_text : str, optional
            Response body of the 503 where the refusal's detail is not meant for callers.
        """
        contact = self._context.store_reachability
        if self._context.is_table_current() and not contact.is_unreachable:
            return refusal
        retry_after_seconds = NO_TABLE_RETRY_AFTER_SECONDS
        if contact.is_unreachable:
            retry_after_seconds = contact.outage.remaining_seconds(self._context.now_seconds())
        detail = f"{refusal.detail}; the table may be outdated"
        return Refusal(503, detail, retry_after_seconds, outdated_text)

    def _identify_caller(self, exchange: Exchange, route: RouteRow) -> Caller | KeyFault:
        """Return the caller of a request by its key, or the anonymous caller on public routes."""
        tenants = self._context.tenants
        if route.is_public:
            return tenants.caller_without_key()
        return tenants.identify(exchange.header_values(AUTHORIZATION_HEADER))

    async def _serve_call(
        self, exchange: Exchange, head: _RequestHead, body: bytes, arrived_seconds: float
    ) -> None:
        call = Call(
            head.request_id,
            head.host,
            exchange.method,
            exchange.target,
            exchange.headers,
            body,
            head.caller,
        )
        deadline_seconds = arrived_seconds + head.route.timeout_seconds
        if head.deadline_seconds is not None:
            deadline_seconds = min(deadline_seconds, head.deadline_seconds)
        await self._calls.serve(
            exchange, head.route, call, deadline_seconds, arrived_seconds, head.routed_by
        )

    def _limits(self) -> LimitsRow:
        row = self._context.daemon.view.row(LimitsRow, LIMITS_NAME)
        return row if row is not None else LimitsRow(name=LIMITS_NAME)

    async def _refuse_body(
        self, exchange: Exchange, fault: BodyTooLarge | BodyTooSlow | CallerDisconnected
    ) -> None:
        if isinstance(fault, BodyTooLarge):
            refusal = Refusal(413, f"the body is over {fault.max_bytes} bytes")
            await refuse_before_routing(exchange, self._context, self._refusal_by_table(refusal))
        elif isinstance(fault, BodyTooSlow):
            await refuse_before_routing(
                exchange, self._context, Refusal(408, "the body was not received in time")
            )
