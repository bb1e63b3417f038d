"""Forwarding a stream to its caller and resuming it at another target if it is interrupted."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator

from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.platform.events import EventSplitter
from rackswitch.platform.ingress import with_last_event_id
from rackswitch.requests import AttemptEnd, AttemptLog, Call, TargetStream
from rackswitch.routing import ListedTarget
from rackswitch.table import RouteRow

__all__ = ["StreamRelay", "StreamTimeoutError"]


class StreamTimeoutError(ConnectionError):
    """A stream had not ended by the deadline of its request."""


class StreamRelay:
    """One caller's stream, from one target or several in succession.

    The caller receives the first target's head. Where the route allows it, an interrupted stream
    is resumed at another target after the last event that was forwarded; only complete events are
    forwarded.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Opens the stream at the next target.
    route : RouteRow
        The route of the call.
    call : Call
        The call.
    deadline_seconds : float
        Deadline of the request (event loop time).
    log : AttemptLog
        The request's attempts so far.

    Attributes
    ----------
    resume_count : int
        How many times the stream was resumed at another target.
    """

    __slots__ = ("_call", "_deadline_seconds", "_dispatcher", "_log", "_route", "resume_count")

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        route: RouteRow,
        call: Call,
        deadline_seconds: float,
        log: AttemptLog,
    ):
        self._dispatcher = dispatcher
        self._route = route
        self._call = call
        self._deadline_seconds = deadline_seconds
        self._log = log
        self.resume_count = 0

    async def pieces(
        self, stream: TargetStream, target: ListedTarget
    ) -> AsyncGenerator[bytes, None]:
        """Yield the stream's bytes in order.

        Raises
        ------
        ConnectionError
            If the stream is interrupted and cannot be resumed. The response must then be aborted,
            so that the caller does not take it for complete.
        StreamTimeoutError
            If the stream has not ended by the deadline, which holds for all its targets together.
        """
        if not self._route.resumable:
            try:
                async for data in self._until_deadline(stream):
                    yield data
            except StreamTimeoutError:
                # A long stream says nothing about its target.
                raise
            except ConnectionError:
                self._dispatcher.record_stream_failure(self._call, target)
                raise
            finally:
                stream.close()
            self._dispatcher.record_stream_end(self._call)
            return
        splitter = EventSplitter()
        while True:
            detail = "the stream ended inside an event"
            try:
                async for data in self._until_deadline(stream):
                    for event in splitter.feed(data):
                        yield event
                    if splitter.fault:
                        raise ConnectionError(splitter.fault)
                if splitter.is_between_events:
                    self._dispatcher.record_stream_end(self._call)
                    return
            except StreamTimeoutError:
                raise
            except ConnectionError as error:
                detail = str(error)
            finally:
                stream.close()
            splitter.discard_partial_event()
            self._dispatcher.record_stream_failure(self._call, target)
            self._log.record_end(AttemptEnd(target.instance, True, detail))
            stream, target = await self._resume(splitter.last_event_id, detail)

    async def _until_deadline(self, stream: TargetStream) -> AsyncIterator[bytes]:
        """Yield the pieces of a target's stream until the request's deadline."""
        pieces = aiter(stream.pieces)
        while True:
            try:
                async with asyncio.timeout_at(self._deadline_seconds):
                    data = await anext(pieces)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                stream.close()
                raise StreamTimeoutError("the stream had not ended by its deadline") from error
            yield data

    async def _resume(self, last_number: str, detail: str) -> tuple[TargetStream, ListedTarget]:
        answer = await self._dispatcher.call(
            self._route,
            with_last_event_id(self._call, last_number),
            self._deadline_seconds,
            self._log,
            as_stream=True,
        )
        if not isinstance(answer.outcome, TargetStream) or answer.target is None:
            raise ConnectionError(f"{detail}; the stream could not be resumed at another target")
        self.resume_count += 1
        return answer.outcome, answer.target
