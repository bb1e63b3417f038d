"""HTTP handlers for callers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Annotated, Any

import msgspec
from blacksheep import Content, Request, Response, StreamedContent
from loguru import logger

from rackswitch.daemon.access import find_tenant
from rackswitch.daemon.caller_responses import (
    chunk_body,
    complete_body,
    outcome_label,
    outcome_problem,
    server_sent_event,
)
from rackswitch.daemon.completions import CompletionCall, CompletionDispatcher
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.limit_manager import LimitManager
from rackswitch.daemon.service_calls import ServiceCall, ServiceDispatcher
from rackswitch.outcomes import (
    Completed,
    NotRun,
    NotRunReason,
    Outcome,
    RanAndFailed,
)
from rackswitch.requests import StreamChunk
from rackswitch.table import RouteRow, TenantRow
from rackswitch.web.handlers import (
    BodyFault,
    json_response,
    path_value,
    read_body,
    read_json,
    watch_disconnect,
)
from rackswitch.web.problems import problem_response

__all__ = ["CallerHandler"]

TIMEOUT_HEADER = b"rackswitch-timeout-seconds"
REPEATABLE_HEADER = b"rackswitch-repeatable"
IDEMPOTENCY_HEADER = b"idempotency-key"
DEFAULT_TIMEOUT_SECONDS = 60.0
MAX_TIMEOUT_SECONDS = 600.0
MAX_KEY_CHARACTERS = 200
SSE_MEDIA_TYPE = b"text/event-stream"


class CompletionBody(msgspec.Struct, forbid_unknown_fields=True):
    """The supported fields of a completion request."""

    model: str
    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 16
    seed: int = 0
    stream: bool = False
    temperature: float | None = None
    user: str | None = None


class CallerHandler:
    """Turns callers' HTTP requests into calls, and outcomes into responses.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    completions : CompletionFront
        Serves completions.
    services : ServiceFront
        Serves calls to plain services.
    limits : LimitManager
        The tenants' limits.
    """

    __slots__ = ("_completions", "_context", "_limits", "_services")

    def __init__(
        self,
        context: DaemonContext,
        completions: CompletionDispatcher,
        services: ServiceDispatcher,
        limits: LimitManager,
    ):
        self._context = context
        self._completions = completions
        self._services = services
        self._limits = limits

    async def completions(self, request: Request) -> Response:
        """``POST /v1/completions``."""
        arrived_seconds = self._context.now_seconds()
        body = await read_json(request, CompletionBody, self._context.settings.most_body_bytes)
        admitted = self._admit(request)
        if isinstance(admitted, NotRun):
            return self._refusal_response(admitted)
        if isinstance(body, BodyFault):
            return self._finish(admitted, problem_response(body.problem), "bad_request")
        route = self._route(admitted, body.model)
        deadline = self._deadline_seconds(request, arrived_seconds)
        for fault in (route, deadline):
            if isinstance(fault, NotRun):
                return self._finish(admitted, self._refusal_response(fault), "not_run")
        call = CompletionCall(
            tenant=admitted,
            route=route,  # type: ignore[arg-type]
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            seed=body.seed,
            deadline_seconds=deadline,  # type: ignore[arg-type]
            arrived_seconds=arrived_seconds,
        )
        if body.stream:
            return await self._stream(request, call)
        watcher = _cancel_on_disconnect(request)
        try:
            return await self._collect(call)
        finally:
            watcher.cancel()

    async def service(self, request: Request) -> Response:
        """``ANY /v1/services/{service}/{path}``."""
        arrived_seconds = self._context.now_seconds()
        body = await read_body(request, self._context.settings.most_body_bytes)
        admitted = self._admit(request)
        if isinstance(admitted, NotRun):
            return self._refusal_response(admitted)
        if isinstance(body, BodyFault):
            return self._finish(admitted, problem_response(body.problem), "bad_request")
        call = self._service_call(request, admitted, body, arrived_seconds)
        if isinstance(call, NotRun):
            return self._finish(admitted, self._refusal_response(call), "not_run")
        outcome = await self._services.call(call)
        response = self._response(outcome)
        return self._finish(admitted, response, outcome_label(outcome), arrived_seconds)

    def _admit(self, request: Request) -> TenantRow | NotRun:
        """Authenticate the caller, check its limits and count the request as in flight."""
        now_seconds = self._context.now_seconds()
        if self._context.stopping:
            return NotRun(NotRunReason.STOPPING, "this daemon is stopping", now_seconds + 1.0)
        if self._context.view.revision == 0:
            return NotRun(NotRunReason.TABLE_UNCONFIRMED, "no table in force", now_seconds + 1.0)
        refuses = self._context.settings.freshness.callers == "refuse"
        if refuses and not self._context.view.is_confirmed(now_seconds):
            detail = "the table in force is not confirmed"
            return NotRun(NotRunReason.TABLE_UNCONFIRMED, detail, now_seconds + 2.0)
        tenant = find_tenant(self._context.view, request)
        if tenant is None:
            return NotRun(NotRunReason.UNAUTHORIZED, "unknown bearer token")
        refusal = self._limits.try_acquire(tenant)
        if refusal is not None:
            self._context.telemetry.record_request(tenant.name, tenant.rank, "not_run", 0.0)
            return refusal
        self._context.in_flight.begin()
        return tenant

    def _finish(
        self,
        tenant: TenantRow,
        response: Response,
        outcome: str,
        arrived_seconds: float | None = None,
    ) -> Response:
        """Release the request's slot and record its end."""
        self._context.in_flight.end()
        self._limits.release(tenant)
        now_seconds = self._context.now_seconds()
        elapsed_seconds = 0.0 if arrived_seconds is None else now_seconds - arrived_seconds
        self._context.telemetry.record_request(tenant.name, tenant.rank, outcome, elapsed_seconds)
        return response

    def _route(self, tenant: TenantRow, name: str) -> RouteRow | NotRun:
        route = self._context.view.row(RouteRow, name)
        if route is None or (route.tenants and tenant.name not in route.tenants):
            return NotRun(NotRunReason.UNKNOWN_MODEL, f"`model`: no route {name!r} for this caller")
        return route

    def _deadline_seconds(self, request: Request, arrived_seconds: float) -> float | NotRun:
        text = request.get_first_header(TIMEOUT_HEADER)
        if text is None:
            return arrived_seconds + DEFAULT_TIMEOUT_SECONDS
        try:
            timeout_seconds = float(text)
        except ValueError:
            timeout_seconds = -1.0
        if not 0 < timeout_seconds <= MAX_TIMEOUT_SECONDS:
            name = TIMEOUT_HEADER.decode()
            detail = f"`{name}` must be a number above 0 and at most {MAX_TIMEOUT_SECONDS:.0f}"
            return NotRun(NotRunReason.BAD_REQUEST, detail)
        return arrived_seconds + timeout_seconds

    def _service_call(
        self, request: Request, tenant: TenantRow, body: bytes, arrived_seconds: float
    ) -> ServiceCall | NotRun:
        route = self._route(tenant, path_value(request, "service"))
        if isinstance(route, NotRun):
            return route
        deadline = self._deadline_seconds(request, arrived_seconds)
        if isinstance(deadline, NotRun):
            return deadline
        key = (request.get_first_header(IDEMPOTENCY_HEADER) or b"").decode("latin-1")
        if len(key) > MAX_KEY_CHARACTERS:
            detail = f"`idempotency-key` is over {MAX_KEY_CHARACTERS} characters"
            return NotRun(NotRunReason.BAD_REQUEST, detail)
        repeatable_text = (request.get_first_header(REPEATABLE_HEADER) or b"").lower()
        if repeatable_text not in (b"", b"yes", b"no"):
            return NotRun(NotRunReason.BAD_REQUEST, "`rackswitch-repeatable` must be yes or no")
        # Without the header, only safe HTTP methods are repeatable.
        repeatable = repeatable_text == b"yes" or (
            repeatable_text == b"" and request.method in ("GET", "HEAD")
        )
        query = request.url.query
        path = path_value(request, "path") + (f"?{query.decode()}" if query else "")
        return ServiceCall(
            tenant=tenant,
            route=route,
            method=request.method,
            path=path,
            body=body,
            media_type=(request.content_type() or b"application/octet-stream").decode("latin-1"),
            repeatable=repeatable,
            idempotency_key=key or None,
            deadline_seconds=deadline,
            arrived_seconds=arrived_seconds,
        )

    async def _collect(self, call: CompletionCall) -> Response:
        chunks: list[StreamChunk] = []
        outcome: Outcome | None = None
        response = Response(499)
        label = "cancelled"
        try:
            async with aclosing(self._completions.stream(call)) as source:
                async for item in source:
                    if isinstance(item, StreamChunk):
                        chunks.append(item)
                    else:
                        outcome = item
            if outcome is not None:
                response, label = self._response(outcome), outcome_label(outcome)
            else:
                response, label = json_response(complete_body(call, chunks)), "completed"
        finally:
            self._context.telemetry.count_tokens(call.tenant.name, len(chunks))
            self._finish(call.tenant, response, label, call.arrived_seconds)
        return response

    async def _stream(self, request: Request, call: CompletionCall) -> Response:
        source = self._completions.stream(call)
        first_item = await self._first_item(request, call, source)
        if not isinstance(first_item, StreamChunk):
            return self._finish(
                call.tenant,
                self._response(first_item),
                outcome_label(first_item),
                call.arrived_seconds,
            )
        watcher: asyncio.Task[None] | None = None

        async def events() -> AsyncIterator[bytes]:
            label = "cancelled"
            tokens = 0
            try:
                item: StreamChunk | Outcome = first_item
                while isinstance(item, StreamChunk):
                    yield server_sent_event(chunk_body(call, item))
                    tokens += len(item.token_ids)
                    if item.finish_reason is not None:
                        yield b"data: [DONE]\n\n"
                        label = "completed"
                        return
                    item = await anext(source)
                label = outcome_label(item)
                yield server_sent_event(self._error_event(item))
            finally:
                if watcher is not None:
                    watcher.cancel()
                await source.aclose()
                self._context.telemetry.count_tokens(call.tenant.name, tokens)
                self._finish(call.tenant, Response(200), label, call.arrived_seconds)

        watcher = _cancel_on_disconnect(request)
        return Response(200, content=StreamedContent(SSE_MEDIA_TYPE, events))

    async def _first_item(
        self, request: Request, call: CompletionCall, source: AsyncIterator[StreamChunk | Outcome]
    ) -> StreamChunk | Outcome:
        watcher = _cancel_on_disconnect(request)
        try:
            return await anext(source)
        except asyncio.CancelledError:
            self._finish(call.tenant, Response(499), "cancelled", call.arrived_seconds)
            raise
        finally:
            watcher.cancel()

    def _error_event(self, outcome: Outcome) -> dict[str, Any]:
        problem = outcome_problem(outcome, self._context.now_seconds())
        # Part of the answer has already been sent, whatever the outcome of the last attempt.
        return {"error": msgspec.structs.replace(problem, ran="yes")}

    def _response(self, outcome: Outcome) -> Response:
        if isinstance(outcome, Completed | RanAndFailed):
            headers = [(b"rackswitch-ran", b"yes")]
            content = Content(outcome.media_type.encode("latin-1"), outcome.body)
            return Response(outcome.status, headers, content)
        return problem_response(outcome_problem(outcome, self._context.now_seconds()))

    def _refusal_response(self, refusal: NotRun) -> Response:
        logger.debug("refused", reason=refusal.reason.value)
        return problem_response(outcome_problem(refusal, self._context.now_seconds()))


def _cancel_on_disconnect(request: Request) -> asyncio.Task[None]:
    """Cancel the current task, and with it the engine's work, when the caller disconnects."""
    task = asyncio.current_task()

    def cancel() -> None:
        if task is not None:
            task.cancel()

    return watch_disconnect(request, cancel)
