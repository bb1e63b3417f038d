"""Connections to the platform's engines and plain services."""

import asyncio
import functools
import re
from collections.abc import Callable
from types import SimpleNamespace

import aiohttp
from aiohttp.client_proto import ResponseHandler

from rackswitch.clients.bodies import BodyBudget
from rackswitch.clients.http import HttpSession, close_idle_connections
from rackswitch.platform.answers import MISDIRECTED_STATUS
from rackswitch.platform.load_header import parse_load_report
from rackswitch.platform.names import REQUEST_ID_HEADER
from rackswitch.routing import ListedTarget, ReportedLoad

__all__ = ["ConnectCallback", "LoadReportCallback", "TargetSessions", "body_budget_for"]

ConnectCallback = Callable[[str, float], None]
"""Receives a target's zone and the time in seconds that a connection to it took to open."""

LoadReportCallback = Callable[[ListedTarget, ReportedLoad], None]
"""Receives each load report of a target."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""A new connection takes 1 ms and two network delays; an engine whose queue of new connections is
full drops the first packet, which is sent again after a second."""

DEFAULT_KEEP_ALIVE_SECONDS = 4.0
"""Keep-alive timeout of unused connections until a target has sent its own.

A request on a connection that the target is closing is lost."""

BODY_MEMORY_SHARE = 0.125
"""Share of a VM's memory for the answers that are being read. Each is copied once when it is
complete."""

DEFAULT_BODY_BUDGET_BYTES = 134_217_728
"""Memory for these answers on a VM whose memory is not known."""

KEEP_ALIVE_MARGIN_SECONDS = 1.0
"""How much earlier than the target this daemon closes an unused connection.

It covers the rounding to whole seconds in the target's header and the network delay."""

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d{1,4})")

SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that the client library would otherwise add."""


def body_budget_for(memory_mb: float) -> BodyBudget:
    """Return the budget of a VM with this memory in MB; 0 if its memory is not known."""
    if memory_mb <= 0:
        return BodyBudget(DEFAULT_BODY_BUDGET_BYTES)
    return BodyBudget(int(memory_mb * 1_000_000 * BODY_MEMORY_SHARE))


class _CheckedResponseHandler(ResponseHandler):
    """Raises an error if the connection is reset within a body.

    The library treats both a close and a reset as the end of a body without a length.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


class TargetSessions:
    """Connections to targets: pooled, and single-use for calls that must not be repeated.

    Parameters
    ----------
    on_load_report : callable, optional
        Called with each load report of a target.
    on_connect : callable, optional
        Called with the time of each new connection whose request names its target in
        `trace_request_ctx`; connections are not timed by default.
    body_budget : BodyBudget, optional
        Memory for the answers to callers; a default one if left out.

    Attributes
    ----------
    body_budget : BodyBudget
        Memory for the answers to callers that are being read.
    keep_alive_seconds : float
        Keep-alive timeout of unused connections.
    """

    __slots__ = (
        "_pooled_connector",
        "_keep_alive_seconds_by_service",
        "_on_load_report",
        "body_budget",
        "pooled",
        "keep_alive_seconds",
        "single_use",
    )

    def __init__(
        self,
        on_load_report: LoadReportCallback | None = None,
        on_connect: ConnectCallback | None = None,
        body_budget: BodyBudget | None = None,
    ) -> None:
        self.body_budget = body_budget or BodyBudget(DEFAULT_BODY_BUDGET_BYTES)
        self._on_load_report = on_load_report
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self._keep_alive_seconds_by_service: dict[str, float] = {}
        self._pooled_connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=self.keep_alive_seconds
        )
        traces = [_connect_trace(on_connect)] if on_connect is not None else []
        self.pooled = _session(self._pooled_connector, traces)
        self.single_use = _session(aiohttp.TCPConnector(limit=0, force_close=True), traces)

    def record_response(
        self, target: ListedTarget, answer: aiohttp.ClientResponse, request_id: str
    ) -> None:
        """Record the keep-alive timeout and load report in the headers of a target's answer."""
        self._record_keep_alive(target.service, answer)
        if answer.headers.get(REQUEST_ID_HEADER, request_id) == request_id:
            self.record_load_report(target, answer)

    def record_load_report(self, target: ListedTarget, answer: aiohttp.ClientResponse) -> None:
        """Record the load report in an answer, unless another target sent it."""
        if self._on_load_report is None or answer.status == MISDIRECTED_STATUS:
            return
        report = parse_load_report(answer.headers, asyncio.get_running_loop().time())
        if report is not None:
            self._on_load_report(target, report)

    def _record_keep_alive(self, service: str, answer: aiohttp.ClientResponse) -> None:
        """Record the keep-alive timeout that the targets of a service send.

        The shortest one applies to all services, as the library has one timeout per pool.
        """
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(answer.headers.get("Keep-Alive", ""))
        if match is None:
            return
        seconds = max(0.0, int(match[1]) - KEEP_ALIVE_MARGIN_SECONDS)
        if self._keep_alive_seconds_by_service.get(service) == seconds:
            return
        self._keep_alive_seconds_by_service[service] = seconds
        self.keep_alive_seconds = min(self._keep_alive_seconds_by_service.values())
        # The library has no public way to change the timeout later, but reads it at each use.
        self._pooled_connector._keepalive_timeout = self.keep_alive_seconds

    def close_idle_connections(self) -> None:
        """Close the unused connections.

        The library measures idle time by the monotonic clock, which stops while the VM is
        suspended, so it would reuse connections that the targets have already closed.
        """
        close_idle_connections(self._pooled_connector)

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self.pooled.close(), self.single_use.close())


def _connect_trace(on_connect: ConnectCallback) -> aiohttp.TraceConfig:
    """Return a trace that passes the time of each new connection to a target on."""

    async def record_start(_session: object, context: SimpleNamespace, _params: object) -> None:
        context.started_seconds = asyncio.get_running_loop().time()

    async def record_end(_session: object, context: SimpleNamespace, _params: object) -> None:
        target = context.trace_request_ctx
        if isinstance(target, ListedTarget):
            elapsed_seconds = asyncio.get_running_loop().time() - context.started_seconds
            on_connect(target.zone, elapsed_seconds)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(record_start)
    trace.on_connection_create_end.append(record_end)
    return trace


def _session(connector: aiohttp.TCPConnector, traces: list[aiohttp.TraceConfig]) -> HttpSession:
    loop = asyncio.get_running_loop()
    # The library has no public way to choose the handler.
    connector._factory = functools.partial(_CheckedResponseHandler, loop=loop)  # type: ignore[assignment]
    return HttpSession(
        connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=traces,
    )
