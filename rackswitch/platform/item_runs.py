"""Runs items of batch jobs at the platform's engines."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from rackswitch.clients.http import NOT_SENT_ERRORS, error_name
from rackswitch.jobs import EngineLoad, JobItem, TextPiece
from rackswitch.platform.answers import (
    check_answer_head,
    close_connection,
    release_or_close,
)
from rackswitch.platform.caller_headers import headers_for_target
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.counts import parse_count
from rackswitch.platform.events import INVALID_VERSION, MAX_DIGITS, EventParser
from rackswitch.platform.load_header import parse_load_report
from rackswitch.platform.names import (
    EXPECT_INSTANCE_HEADER,
    LAST_EVENT_HEADER,
    REQUEST_ID_HEADER,
    URGENCY_HEADER,
    VERSIONS_HEADER,
)
from rackswitch.routing import ListedTarget
from rackswitch.tenants import ANONYMOUS, Caller

__all__ = ["ItemClient", "ItemRequest", "ItemRunEnd", "ItemRunEnded"]


class ItemRunEnd(Enum):
    """How a run of an item ended."""

    COMPLETE = "whole"
    INTERRUPTED = "broken"
    """The stream stopped before its end; another engine can continue it."""

    SILENT = "silent"
    """The engine accepted no connection, or stopped sending."""

    NOT_RUN = "not run"
    """The engine reported that it did not begin, as it is full or is loading weights."""

    MISDIRECTED = "not there"
    """Another engine now has the address."""

    FAILED = "failed"
    """The engine reported an internal error."""

    IMPOSSIBLE = "impossible"
    """The engine reported that the item can never be processed."""


@dataclass(frozen=True, slots=True)
class ItemRunEnded:
    """End of an item's run.

    Attributes
    ----------
    was_sent : bool
        False if no part of the item can have reached the engine.
    is_malformed : bool
        Whether the engine sent bytes that are no answer to this request.
    """

    end: ItemRunEnd
    detail: str = ""
    was_sent: bool = True
    is_malformed: bool = False


@dataclass(frozen=True, slots=True)
class ItemRequest:
    """An item as it is sent to an engine.

    Attributes
    ----------
    after_piece : int
        Number of the last piece already received; 0 for a run from the beginning.
    urgency : int
        Priority among the engine's runs, on the platform's scale.
    caller : Caller
        Caller that submitted the item.
    """

    host: str
    item: JobItem
    after_piece: int
    urgency: int
    caller: Caller = ANONYMOUS


class ItemClient:
    """Client of engines for the items of batch jobs.

    Parameters
    ----------
    sessions : TargetSessions
        Connections to use.
    """

    __slots__ = ("_sessions",)

    def __init__(self, sessions: TargetSessions):
        self._sessions = sessions

    async def run(
        self,
        target: ListedTarget,
        request: ItemRequest,
        first_piece_timeout_seconds: float,
        next_piece_timeout_seconds: float,
    ) -> AsyncIterator[EngineLoad | TextPiece | ItemRunEnded]:
        """Run an item; closing the iterator aborts the run.

        Parameters
        ----------
        target : ListedTarget
            The engine.
        request : ItemRequest
            What to run.
        first_piece_timeout_seconds, next_piece_timeout_seconds : float
            Timeouts of the first piece, from the start of the run, and of each later piece, or the
            end of the stream, from the previous one. Bytes that are no piece, such as comments, do
            not extend them.

        Yields
        ------
        EngineLoad, TextPiece or ItemRunEnded
            The engine's load, if reported, then the pieces in order, then the end of the run.
        """
        headers = _run_headers(target, request)
        url = URL(target.url + request.item.path, encoded=True)
        loop = asyncio.get_running_loop()
        try:
            async with (
                asyncio.timeout(first_piece_timeout_seconds) as timeout,
                self._sessions.pooled.post(
                    url,
                    data=request.item.body,
                    headers=headers,
                    trace_request_ctx=target,
                ) as answer,
            ):
                self._sessions.record_response(target, answer, request.item.item_id)
                load = parse_load_report(answer.headers, loop.time())
                if load is not None:
                    yield EngineLoad(load.running, load.waiting)
                parser = _event_parser(answer, request.item.item_id)
                if isinstance(parser, ItemRunEnded):
                    await release_or_close(answer, request.item.item_id)
                    yield parser
                    return
                async for data in answer.content.iter_any():
                    for piece in parser.feed(data):
                        timeout.reschedule(loop.time() + next_piece_timeout_seconds)
                        yield piece
                    if parser.fault:
                        close_connection(answer)
                        yield _malformed(parser.fault)
                        return
            yield _end_of_stream(answer, parser, request)
        except NOT_SENT_ERRORS as error:
            detail = f"cannot connect: {error_name(error)}"
            yield ItemRunEnded(ItemRunEnd.SILENT, detail, was_sent=False)
        except TimeoutError:
            yield ItemRunEnded(ItemRunEnd.SILENT, "no piece came in time")
        except (aiohttp.ClientResponseError, ValueError) as error:
            yield _malformed(f"{error_name(error)}: {error}")
        except (aiohttp.ClientError, OSError) as error:
            yield ItemRunEnded(ItemRunEnd.INTERRUPTED, f"{error_name(error)}: {error}")


def _malformed(detail: str) -> ItemRunEnded:
    """Return the end of a run whose engine sent bytes that are no answer to it."""
    return ItemRunEnded(ItemRunEnd.INTERRUPTED, detail, is_malformed=True)


def _run_headers(target: ListedTarget, request: ItemRequest) -> CIMultiDict[str]:
    headers = headers_for_target(request.item.headers, request.caller)
    headers["Host"] = request.host
    headers[REQUEST_ID_HEADER] = request.item.item_id
    headers[EXPECT_INSTANCE_HEADER] = target.instance
    headers[URGENCY_HEADER] = str(request.urgency)
    if request.after_piece:
        headers[LAST_EVENT_HEADER] = str(request.after_piece)
    return headers


def _event_parser(answer: aiohttp.ClientResponse, item_id: str) -> EventParser | ItemRunEnded:
    """Return a parser of the answer's events, or the end of the run if it has none."""
    ended = _item_refusal(answer, item_id)
    if ended is not None:
        return ended
    version = answer.headers.get(VERSIONS_HEADER)
    if version is None:
        return EventParser(None)
    number = parse_count(version, MAX_DIGITS)
    if number is None:
        return _malformed(INVALID_VERSION)
    return EventParser(number)


def _end_of_stream(
    answer: aiohttp.ClientResponse, parser: EventParser, request: ItemRequest
) -> ItemRunEnded:
    """Return whether a stream that ended without an error contained the complete text.

    If the previous run was interrupted directly after its last event, the engine answers the
    resumed one without a version and without events. The text is complete then; counting the run
    as interrupted would repeat it until the step is given up.
    """
    if not parser.is_between_events:
        # An engine that shuts down may end its answer correctly, but inside an event.
        return ItemRunEnded(ItemRunEnd.INTERRUPTED, "the stream ended inside an event")
    if parser.events:
        return ItemRunEnded(ItemRunEnd.COMPLETE)
    names_version = VERSIONS_HEADER in answer.headers
    has_declared_end = "Transfer-Encoding" in answer.headers or "Content-Length" in answer.headers
    if request.after_piece and has_declared_end and not names_version:
        return ItemRunEnded(ItemRunEnd.COMPLETE, "nothing was left of it")
    return ItemRunEnded(ItemRunEnd.INTERRUPTED, "the stream brought no event")


def _item_refusal(answer: aiohttp.ClientResponse, item_id: str) -> ItemRunEnded | None:
    fault = check_answer_head(answer, item_id)
    if fault is not None:
        if fault.is_other_target:
            return ItemRunEnded(ItemRunEnd.MISDIRECTED, fault.detail)
        if fault.may_have_run:
            return _malformed(fault.detail)
        return ItemRunEnded(ItemRunEnd.NOT_RUN, fault.detail)
    if answer.status == 422:
        return ItemRunEnded(ItemRunEnd.IMPOSSIBLE, "status 422")
    if answer.status == 500:
        return ItemRunEnded(ItemRunEnd.FAILED, "status 500")
    if answer.status != 200:
        return ItemRunEnded(ItemRunEnd.INTERRUPTED, f"status {answer.status}")
    return None
