"""Calls of the platform's engines and plain services."""

import asyncio
import functools
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from rackswitch.clients.http import NOT_SENT_ERRORS
from rackswitch.jobs import JobItem, TextPiece
from rackswitch.platform.events import EventParser
from rackswitch.platform.names import (
    DEADLINE_HEADER,
    EXPECT_INSTANCE_HEADER,
    LAST_EVENT_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    STAMP_HEADER,
    URGENCY_HEADER,
    VERSIONS_HEADER,
)
from rackswitch.requests import Call, TargetAnswer, TargetFailed, TargetStream
from rackswitch.routing import ListedTarget

__all__ = [
    "EngineReport",
    "EngineSessions",
    "ItemRunEnd",
    "ItemRunEnded",
    "NoReport",
    "OrderAnswer",
    "PlatformEngineClient",
]

CONNECT_TIMEOUT_SECONDS = 0.5
"""A new connection takes 1 ms and two network delays; an engine whose queue of new
connections is full drops the first packet, which is sent again after a second."""

KEPT_CONNECTION_SECONDS = 4.0
"""How long an unused connection to an engine is kept. Engines close theirs after a time
of their own, and a request on a connection that is just being closed is lost."""

REPORT_TIMEOUT_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 1.0

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that concern one connection only (RFC 9110, section 7.6.1), with those that the
client library sets for the body it sends."""

SKIPPED_DEFAULTS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that the client library would add by itself."""


class _CheckedResponseHandler(ResponseHandler):
    """Tells a body that ends with its connection from one that was reset.

    The library takes both for the body's end.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


class EngineSessions:
    """Connections to engines: kept ones, and single-use ones for what must run once."""

    __slots__ = ("kept", "single_use")

    def __init__(self) -> None:
        self.kept = _session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=KEPT_CONNECTION_SECONDS)
        )
        self.single_use = _session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self.kept.close(), self.single_use.close())


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    loop = asyncio.get_running_loop()
    # The library has no public way to choose the handler.
    connector._factory = functools.partial(_CheckedResponseHandler, loop=loop)  # type: ignore[assignment]
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_DEFAULTS,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own word about itself, some hundred milliseconds old.

    Attributes
    ----------
    orders_taken : int
        Orders since its start; an order that names another number is not carried out.
    """

    versions: dict[str, int]
    is_loading: bool
    orders_taken: int
    waiting: int
    running: int


@dataclass(frozen=True, slots=True)
class NoReport:
    """The engine did not tell."""

    detail: str


class OrderAnswer(Enum):
    """How an engine answered an order."""

    TAKEN = "taken"
    HOLDS_ALREADY = "holds already"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ItemRunEnd(Enum):
    """How a run of an item ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    """The stream stopped before its end; it can go on elsewhere."""

    SILENT = "silent"
    """The engine did not take a connection, or stopped sending."""

    NOT_RUN = "not run"
    """The engine said that it did not begin, as it is full or loads weights."""

    NOT_THERE = "not there"
    """Another engine has the address."""

    FAILED = "failed"
    """The engine ended the run with a failure of its own."""

    IMPOSSIBLE = "impossible"
    """The engine said that this item can never be done."""


@dataclass(frozen=True, slots=True)
class ItemRunEnded:
    """The last thing a run of an item brings."""

    end: ItemRunEnd
    detail: str = ""


class _WireModel(msgspec.Struct):
    name: str
    version: int = 0


class _WireReport(msgspec.Struct):
    # Orders taken since the engine's start; in the platform's list the same name counts
    # heartbeats.
    seq: int = 0
    # True while an order is carried out, whatever the number of requests.
    busy: bool = False
    waiting: int = 0
    running: int = 0
    models: list[_WireModel] = []


class PlatformEngineClient:
    """Client of engines and plain services.

    Parameters
    ----------
    sessions : EngineSessions
        Connections to use.
    """

    __slots__ = ("_sessions",)

    def __init__(self, sessions: EngineSessions):
        self._sessions = sessions

    async def forward(
        self, target: ListedTarget, call: Call, deadline_seconds: float, fresh_connection: bool
    ) -> TargetAnswer | TargetFailed:
        """Send a call to a target once and read its whole answer."""
        try:
            async with (
                asyncio.timeout_at(deadline_seconds),
                self._open(target, call, deadline_seconds, fresh_connection) as answer,
            ):
                fault = _refusal_or_fault(answer, call.request_id)
                if fault is not None:
                    _discard(answer)
                    return fault
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return _failure(error)
        if len(answer.history) > 0:
            return TargetFailed(True, "redirected")
        return TargetAnswer(answer.status, _passed_back(answer.headers), body)

    async def open_stream(
        self, target: ListedTarget, call: Call, deadline_seconds: float, fresh_connection: bool
    ) -> TargetStream | TargetAnswer | TargetFailed:
        """Send a call and return its answer as soon as its head is there.

        An answer that is no success is read whole, since it is no stream.
        """
        request = self._open(target, call, deadline_seconds, fresh_connection)
        try:
            async with asyncio.timeout_at(deadline_seconds):
                answer = await request
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return _failure(error)
        fault = _refusal_or_fault(answer, call.request_id)
        if fault is not None:
            _discard(answer)
            return fault
        headers = _passed_back(answer.headers)
        if 200 <= answer.status < 300:
            return TargetStream(answer.status, headers, _body_pieces(answer), answer.close)
        try:
            async with asyncio.timeout_at(deadline_seconds), answer:
                return TargetAnswer(answer.status, headers, await answer.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return _failure(error)

    async def run_item(
        self,
        target: ListedTarget,
        host: str,
        item: JobItem,
        after_piece: int,
        urgency: int,
        first_patience_seconds: float,
        next_patience_seconds: float,
    ) -> AsyncIterator[TextPiece | ItemRunEnded]:
        """Run an item from after a piece on; closing the iterator ends the engine's work.

        Yields
        ------
        TextPiece or ItemRunEnded
            The pieces in order, then how the run ended.
        """
        headers = CIMultiDict(item.headers)
        headers["Host"] = host
        headers[REQUEST_ID_HEADER] = item.item_id
        headers[EXPECT_INSTANCE_HEADER] = target.instance
        headers[URGENCY_HEADER] = str(urgency)
        if after_piece:
            headers[LAST_EVENT_HEADER] = str(after_piece)
        url = URL(target.url + item.path, encoded=True)
        loop = asyncio.get_running_loop()
        try:
            async with (
                asyncio.timeout(first_patience_seconds) as limit,
                self._sessions.kept.post(
                    url, data=item.body, headers=headers, allow_redirects=False
                ) as answer,
            ):
                ended = _item_refusal(answer, item.item_id)
                if ended is not None:
                    _discard(answer)
                    yield ended
                    return
                version = _version(answer.headers)
                if version is None:
                    _discard(answer)
                    yield ItemRunEnded(ItemRunEnd.BROKEN, "the answer names no version")
                    return
                parser = EventParser(version)
                async for data in answer.content.iter_any():
                    limit.reschedule(loop.time() + next_patience_seconds)
                    for piece in parser.feed(data):
                        yield piece
                    if parser.fault:
                        _discard(answer)
                        yield ItemRunEnded(ItemRunEnd.BROKEN, parser.fault)
                        return
            yield ItemRunEnded(ItemRunEnd.WHOLE)
        except NOT_SENT_ERRORS as error:
            yield ItemRunEnded(ItemRunEnd.SILENT, f"cannot connect: {type(error).__name__}")
        except TimeoutError:
            yield ItemRunEnded(ItemRunEnd.SILENT, "nothing came in time")
        except (aiohttp.ClientError, OSError, ValueError) as error:
            yield ItemRunEnded(ItemRunEnd.BROKEN, f"{type(error).__name__}: {error}")

    async def report(self, target: ListedTarget) -> EngineReport | NoReport:
        """Read what an engine says about itself."""
        url = URL(target.url + "/rackswitch/report", encoded=True)
        headers = {EXPECT_INSTANCE_HEADER: target.instance}
        try:
            async with (
                asyncio.timeout(REPORT_TIMEOUT_SECONDS),
                self._sessions.kept.get(url, headers=headers) as answer,
            ):
                content = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return NoReport(type(error).__name__)
        if answer.status != 200:
            return NoReport(f"status {answer.status}")
        try:
            wire = msgspec.json.decode(content, type=_WireReport)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return NoReport(f"cannot read the report: {error}")
        return EngineReport(
            versions={model.name: model.version for model in wire.models},
            is_loading=wire.busy,
            orders_taken=wire.seq,
            waiting=wire.waiting,
            running=wire.running,
        )

    async def order_version(
        self,
        target: ListedTarget,
        model: str,
        version: int,
        holder: str,
        fencing: int,
        orders_taken: int,
        runs_go_on: bool,
    ) -> OrderAnswer:
        """Order an engine to load a version.

        With `runs_go_on` its runs go on under the new weights, else it waits for their
        ends before it loads.

        The order names the engine's instance and the number of orders it has taken, so
        that one which arrives late or after a restart has no effect.
        """
        body = {
            "op": "version",
            "model": model,
            "version": version,
            "mode": "keep" if runs_go_on else "wait",
            "holder": holder,
            "fence": fencing,
            "expected": orders_taken,
        }
        headers = {
            EXPECT_INSTANCE_HEADER: target.instance,
            "Content-Type": "application/json",
        }
        url = URL(target.url + "/rackswitch/order", encoded=True)
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_SECONDS),
                self._sessions.single_use.post(
                    url, data=msgspec.json.encode(body), headers=headers
                ) as answer,
            ):
                await answer.read()
        except NOT_SENT_ERRORS:
            return OrderAnswer.REFUSED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderAnswer.UNKNOWN
        if answer.status == 202:
            return OrderAnswer.TAKEN
        return OrderAnswer.HOLDS_ALREADY if answer.status == 200 else OrderAnswer.REFUSED

    def _open(
        self, target: ListedTarget, call: Call, deadline_seconds: float, fresh_connection: bool
    ) -> Any:
        session = self._sessions.single_use if fresh_connection else self._sessions.kept
        left_seconds = deadline_seconds - asyncio.get_running_loop().time()
        headers = CIMultiDict(
            (name, value) for name, value in call.headers if name.lower() not in HOP_BY_HOP
        )
        headers["Host"] = call.host
        headers[REQUEST_ID_HEADER] = call.request_id
        headers[EXPECT_INSTANCE_HEADER] = target.instance
        headers[DEADLINE_HEADER] = str(max(1, int(left_seconds * 1000)))
        return session.request(
            call.method,
            URL(target.url + call.path, encoded=True),
            data=call.body or None,
            headers=headers,
            allow_redirects=False,
        )


def _refusal_or_fault(answer: aiohttp.ClientResponse, request_id: str) -> TargetFailed | None:
    """Return why an answer's head shows that the call was not served, or None."""
    if answer.status == 421:
        return TargetFailed(False, "another target has the address", not_there=True)
    if NOT_RUN_HEADER in answer.headers:
        return TargetFailed(False, f"the target did not begin: status {answer.status}")
    if answer.headers.get(REQUEST_ID_HEADER) != request_id:
        return TargetFailed(True, "the answer belongs to another request")
    if "Content-Encoding" in answer.headers:
        return TargetFailed(True, "the answer is encoded, so it is not the target's")
    if 200 <= answer.status < 300 and STAMP_HEADER not in answer.headers:
        return TargetFailed(True, "the answer carries no signature of the target")
    if answer.status < 200 or 300 <= answer.status < 400:
        return TargetFailed(True, f"status {answer.status}")
    return None


def _item_refusal(answer: aiohttp.ClientResponse, item_id: str) -> ItemRunEnded | None:
    fault = _refusal_or_fault(answer, item_id)
    if fault is not None:
        if fault.not_there:
            return ItemRunEnded(ItemRunEnd.NOT_THERE, fault.detail)
        end = ItemRunEnd.BROKEN if fault.may_have_run else ItemRunEnd.NOT_RUN
        return ItemRunEnded(end, fault.detail)
    if answer.status == 422:
        return ItemRunEnded(ItemRunEnd.IMPOSSIBLE, "status 422")
    if answer.status == 500:
        return ItemRunEnded(ItemRunEnd.FAILED, "status 500")
    if answer.status != 200:
        return ItemRunEnded(ItemRunEnd.BROKEN, f"status {answer.status}")
    return None


def _failure(error: Exception) -> TargetFailed:
    if isinstance(error, NOT_SENT_ERRORS):
        return TargetFailed(False, f"cannot connect: {type(error).__name__}", silent=True)
    silent = isinstance(error, TimeoutError)
    return TargetFailed(True, f"no whole answer: {type(error).__name__}", silent=silent)


def _discard(answer: aiohttp.ClientResponse) -> None:
    """Close the connection: what may still come on it belongs to nobody."""
    answer.close()


def _version(headers: CIMultiDictProxy[str]) -> int | None:
    text = headers.get(VERSIONS_HEADER, "")
    return int(text) if text.isdigit() else None


def _passed_back(headers: CIMultiDictProxy[str]) -> tuple[tuple[str, str], ...]:
    return tuple((name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP)


async def _body_pieces(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield a body as it comes.

    Raises
    ------
    ConnectionError
        If it breaks off.
    """
    try:
        async for data in answer.content.iter_any():
            yield data
    except (aiohttp.ClientError, OSError) as error:
        raise ConnectionError(str(error)) from error
    finally:
        answer.close()
