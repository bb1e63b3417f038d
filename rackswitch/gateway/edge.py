"""The HTTP edge: callers' requests, trainers' jobs, and whether this daemon is ready."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.job_keeper import JobKeeper
from rackswitch.gateway.job_reader import JobReader, JobUnknown, JobUnsure
from rackswitch.gateway.job_store import JobCreated, JobKnown, JobMarker, JobTooLarge
from rackswitch.gateway.request_front import RequestFront, outcome_label
from rackswitch.gateway.stream_relay import StreamRelay
from rackswitch.jobs import check_job
from rackswitch.outcomes import MayHaveRun, NotRun
from rackswitch.platform.desired_state import LIMITS_NAME
from rackswitch.platform.ingress import (
    EndJob,
    JobCall,
    MalformedRequest,
    ReadItem,
    ReadResults,
    decode_job,
    decode_job_call,
    encode_results,
    request_deadline_seconds,
    request_identity,
)
from rackswitch.requests import Call, TargetAnswer, TargetStream
from rackswitch.table import Handling, LimitsRow, RouteRow
from rackswitch.web.exchange import BodyTooLarge, BodyTooSlow, CallerGone, Exchange

__all__ = ["CallerEdge"]

BODY_PATIENCE_SECONDS = 10.0
"""How long a body may take whose sender names no deadline."""

COME_BACK_SECONDS = 0.3
"""When a refused trainer should come back: another daemon may take the job at once."""

STATE_COME_BACK_SECONDS = 0.2
"""When to come back to a daemon that has just started and knows no table yet."""

JSON = (("content-type", "application/json"),)
TEXT = (("content-type", "text/plain; charset=utf-8"),)


class CallerEdge:
    """An ASGI application that serves callers and trainers.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    front : RequestFront
        Serves calls.
    keeper : JobKeeper
        Takes and ends jobs.
    reader : JobReader
        Reads jobs.
    """

    __slots__ = ("_context", "_front", "_keeper", "_reader")

    def __init__(
        self,
        context: GatewayContext,
        front: RequestFront,
        keeper: JobKeeper,
        reader: JobReader,
    ):
        self._context = context
        self._front = front
        self._keeper = keeper
        self._reader = reader

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
        # A stopping daemon asks callers to take a new connection, which goes elsewhere.
        exchange.close_connection = self._context.daemon.stopping
        with self._context.daemon.in_flight:
            try:
                await self._serve(exchange)
            except ConnectionError as error:
                logger.info("answer broken off: {}", error)
                raise

    async def _serve(self, exchange: Exchange) -> None:
        arrived_seconds = self._context.now_seconds()
        job_call = decode_job_call(exchange)
        if isinstance(job_call, MalformedRequest):
            await self._refuse(exchange, 400, job_call.detail)
        elif job_call is not None:
            await self._serve_job_call(exchange, job_call, arrived_seconds)
        else:
            await self._serve_request(exchange, arrived_seconds)

    async def _serve_request(self, exchange: Exchange, arrived_seconds: float) -> None:
        if self._context.table_revision == 0:
            await self._refuse(exchange, 503, "no table in force yet", STATE_COME_BACK_SECONDS)
            return
        limits = self._limits()
        if exchange.header_bytes > limits.most_header_bytes:
            exchange.close_connection = True
            await self._refuse(exchange, 431, f"over {limits.most_header_bytes} header bytes")
            return
        host = exchange.header("host") or ""
        route = self._context.routes.find(host, exchange.path)
        if route is None:
            await self._refuse(exchange, 404, f"no route for {host}{exchange.path}")
            return
        request_id = request_identity(exchange)
        if not request_id:
            await self._refuse(exchange, 400, "the request has no identity")
            return
        deadline = request_deadline_seconds(exchange, arrived_seconds)
        if isinstance(deadline, MalformedRequest):
            await self._refuse(exchange, 400, deadline.detail)
            return
        body = await exchange.read_body(
            limits.most_body_bytes, deadline or arrived_seconds + BODY_PATIENCE_SECONDS
        )
        if not isinstance(body, bytes):
            await self._refuse_body(exchange, body)
        elif route.handling is Handling.BATCH:
            await self._submit(exchange, route, request_id, host, body)
        else:
            call = Call(request_id, host, exchange.method, exchange.target, exchange.headers, body)
            route_deadline = arrived_seconds + route.timeout_seconds
            until = min(route_deadline, deadline) if deadline is not None else route_deadline
            await self._pass_through(exchange, route, call, until, arrived_seconds)

    async def _pass_through(
        self,
        exchange: Exchange,
        route: RouteRow,
        call: Call,
        deadline_seconds: float,
        arrived_seconds: float,
    ) -> None:
        log = self._front.new_log(route)
        work = asyncio.create_task(
            self._front.call(route, call, deadline_seconds, log, as_stream=route.streams)
        )
        if not await _done_before_gone(exchange, work):
            self._log_end(route, call, arrived_seconds, "caller left", 0, "")
            return
        answer = work.result()
        outcome = answer.outcome
        label = outcome_label(outcome)
        if isinstance(outcome, TargetAnswer):
            await exchange.respond(outcome.status, outcome.headers, outcome.body)
        elif isinstance(outcome, TargetStream):
            relay = StreamRelay(self._front, route, call, deadline_seconds, log)
            label = await self._relay(exchange, relay, outcome, answer.target)
        elif isinstance(outcome, NotRun):
            retry_at_seconds = outcome.retry_at_seconds or self._context.now_seconds()
            left_seconds = max(0.0, retry_at_seconds - self._context.now_seconds())
            await self._refuse(exchange, 503, outcome.detail, left_seconds)
        else:
            await self._fail(exchange, outcome, deadline_seconds)
        self._log_end(route, call, arrived_seconds, label, answer.attempts, answer.target)

    async def _relay(
        self, exchange: Exchange, relay: StreamRelay, stream: TargetStream, target: str
    ) -> str:
        """Pass a stream on as it comes; return how that ended."""
        pieces = relay.pieces(stream, target)
        sending = asyncio.create_task(exchange.stream(stream.status, stream.headers, pieces))
        try:
            if not await _done_before_gone(exchange, sending):
                return "caller left"
            sending.result()
        finally:
            await pieces.aclose()
        return f"{stream.status}, resumed {relay.resumed} times"

    def _log_end(
        self,
        route: RouteRow,
        call: Call,
        arrived_seconds: float,
        outcome: str,
        attempts: int,
        target: str,
    ) -> None:
        elapsed_seconds = self._context.now_seconds() - arrived_seconds
        self._context.daemon.telemetry.request_ended(
            route.name, route.caller_class, _short_label(outcome), elapsed_seconds
        )
        self._context.log.write(
            "request ended",
            request=call.request_id,
            route=route.name,
            table_revision=self._context.table_revision,
            target=target,
            attempts=attempts,
            elapsed_seconds=round(elapsed_seconds, 4),
            outcome=outcome,
        )

    async def _submit(
        self, exchange: Exchange, route: RouteRow, job_id: str, host: str, body: bytes
    ) -> None:
        job = decode_job(job_id, host, exchange.path, body, time.time())
        fault = job.detail if isinstance(job, MalformedRequest) else check_job(job)
        if fault is not None or isinstance(job, MalformedRequest):
            await self._refuse(exchange, 400, fault or "")
            return
        if self._context.daemon.stopping:
            await self._refuse(exchange, 503, "this daemon is stopping", COME_BACK_SECONDS)
            return
        outcome = await self._keeper.submit(job)
        if isinstance(outcome, JobCreated | JobKnown):
            status, detail = 202, type(outcome).__name__
            await exchange.respond(202)
        elif isinstance(outcome, JobTooLarge):
            status, detail = 413, outcome.detail
            await self._refuse(exchange, 413, outcome.detail)
        elif outcome.effect_unknown:
            status, detail = 504, outcome.detail
            await exchange.respond(504, TEXT, b"the job may have been taken; send it again")
        else:
            status, detail = 503, outcome.detail
            await self._refuse(exchange, 503, outcome.detail, COME_BACK_SECONDS)
        self._context.log.write(
            "job submitted",
            job=job_id,
            route=route.name,
            step=job.step,
            items=len(job.items),
            table_revision=self._context.table_revision,
            outcome=status,
            detail=detail,
        )

    async def _serve_job_call(
        self, exchange: Exchange, call: JobCall, arrived_seconds: float
    ) -> None:
        if isinstance(call, ReadResults):
            await self._read_results(exchange, call, arrived_seconds)
        elif isinstance(call, ReadItem):
            answer = await self._reader.item(call.job_id, call.item_id)
            if isinstance(answer, bytes):
                headers = (("content-type", "application/octet-stream"),)
                await exchange.respond(200, headers, answer)
            else:
                await self._refuse_job_call(exchange, answer, call)
        else:
            await self._end_job(exchange, call)

    async def _read_results(
        self, exchange: Exchange, call: ReadResults, arrived_seconds: float
    ) -> None:
        deadline_seconds = arrived_seconds + call.wait_seconds
        work = asyncio.create_task(
            self._reader.results(call.job_id, call.position, deadline_seconds)
        )
        if not await _done_before_gone(exchange, work):
            return
        page = work.result()
        if isinstance(page, JobUnknown | JobUnsure):
            await self._refuse_job_call(exchange, page, call)
            return
        self._context.log.write(
            "results read",
            job=call.job_id,
            position=call.position,
            count=len(page.results),
            source=page.source,
            listed=page.listed,
            elapsed_seconds=round(self._context.now_seconds() - arrived_seconds, 4),
        )
        body = encode_results(page.total, call.position, page.results)
        await exchange.respond(200, JSON, body)

    async def _end_job(self, exchange: Exchange, call: EndJob) -> None:
        marker = await self._reader.marker(call.job_id)
        if not isinstance(marker, JobMarker):
            await self._refuse_job_call(exchange, marker, call)
            return
        failure = await self._keeper.end(marker)
        outcome = "ended" if failure is None else failure.detail
        self._context.log.write("job ended", job=call.job_id, outcome=outcome)
        if failure is None:
            await exchange.respond(200)
        else:
            await self._refuse(exchange, 503, failure.detail, COME_BACK_SECONDS)

    async def _refuse_job_call(
        self, exchange: Exchange, reason: JobUnknown | JobUnsure, call: JobCall
    ) -> None:
        unsure = isinstance(reason, JobUnsure)
        self._context.log.write(
            "job call refused",
            job=call.job_id,
            call=type(call).__name__,
            outcome=type(reason).__name__,
            detail=reason.detail if isinstance(reason, JobUnsure) else "",
        )
        if unsure:
            await self._refuse(exchange, 503, "the job cannot be read now", COME_BACK_SECONDS)
        else:
            await self._refuse(exchange, 404, "there is no such job or item")

    def _limits(self) -> LimitsRow:
        row = self._context.daemon.view.row(LimitsRow, LIMITS_NAME)
        return row if row is not None else LimitsRow(name=LIMITS_NAME)

    async def _refuse_body(
        self, exchange: Exchange, fault: BodyTooLarge | BodyTooSlow | CallerGone
    ) -> None:
        if isinstance(fault, BodyTooLarge):
            await self._refuse(exchange, 413, f"the body is over {fault.most_bytes} bytes")
        elif isinstance(fault, BodyTooSlow):
            await self._refuse(exchange, 408, "the body did not come in time")

    async def _refuse(
        self, exchange: Exchange, status: int, detail: str, retry_after_seconds: float | None = None
    ) -> None:
        """Answer that the request has not run and will not."""
        headers: tuple[tuple[str, str], ...] = TEXT
        if retry_after_seconds is not None:
            headers = (*TEXT, ("retry-after", f"{retry_after_seconds:.3f}"))
        if status in (400, 404, 413, 431):
            self._context.log.write("request refused", status=status, detail=detail)
        await exchange.respond(status, headers, detail.encode())

    async def _fail(self, exchange: Exchange, outcome: MayHaveRun, deadline_seconds: float) -> None:
        """Answer without a promise whether the request has run."""
        late = self._context.now_seconds() >= deadline_seconds
        await exchange.respond(504 if late else 502, TEXT, outcome.detail.encode())


def _short_label(outcome: str) -> str:
    """Return an outcome without its detail, so that metrics have few labels."""
    return outcome.partition(":")[0].partition(",")[0]


async def _done_before_gone(exchange: Exchange, work: asyncio.Task[Any]) -> bool:
    """Wait for work on a request; cancel it and return False if the caller goes first."""
    gone = asyncio.create_task(exchange.wait_gone())
    try:
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
    finally:
        gone.cancel()
        if not work.done():
            work.cancel()
    if work.done():
        return True
    await asyncio.wait((work,))
    return False
