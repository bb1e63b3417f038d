"""Passing a stream on to its caller, and going on elsewhere when it breaks off."""

from collections.abc import AsyncGenerator

from rackswitch.gateway.callers.request_dispatcher import RequestDispatcher
from rackswitch.platform.events import EventSplitter
from rackswitch.platform.ingress import resumed_after
from rackswitch.requests import AttemptEnd, AttemptLog, Call, TargetStream
from rackswitch.routing import ListedTarget
from rackswitch.table import RouteRow

__all__ = ["StreamRelay"]


class StreamRelay:
    """One caller's stream over one or more targets.

    The answer keeps the head of its first target. Where the route allows it, a stream that
    breaks goes on at another target after the last event that was passed on whole; events
    are therefore passed on whole only.

    Parameters
    ----------
    front : RequestDispatcher
        Finds the next target.
    route : RouteRow
        The route of the call.
    call : Call
        The call.
    deadline_seconds : float
        When the request is given up (event loop time).
    log : AttemptLog
        The request's attempts so far.

    Attributes
    ----------
    resumed : int
        How often the stream went on at another target.
    """

    __slots__ = ("_call", "_deadline_seconds", "_front", "_log", "_route", "resumed")

    def __init__(
        self,
        front: RequestDispatcher,
        route: RouteRow,
        call: Call,
        deadline_seconds: float,
        log: AttemptLog,
    ):
        self._front = front
        self._route = route
        self._call = call
        self._deadline_seconds = deadline_seconds
        self._log = log
        self.resumed = 0

    async def pieces(
        self, stream: TargetStream, target: ListedTarget
    ) -> AsyncGenerator[bytes, None]:
        """Yield the stream's bytes in order.

        Raises
        ------
        ConnectionError
            If it breaks off and cannot go on; the caller must not take it for whole.
        """
        if not self._route.resumable:
            try:
                async for data in stream.pieces:
                    yield data
            except ConnectionError:
                self._front.stream_broke(self._call, target)
                raise
            self._front.stream_ended(self._call)
            return
        cutter = EventSplitter()
        while True:
            detail = "the stream ended inside an event"
            try:
                async for data in stream.pieces:
                    for event in cutter.feed(data):
                        yield event
                if cutter.is_between_events:
                    self._front.stream_ended(self._call)
                    return
            except ConnectionError as error:
                detail = str(error)
            finally:
                stream.close()
            cutter.drop_part()
            self._front.stream_broke(self._call, target)
            self._log.note(AttemptEnd(target.instance, True, detail))
            stream, target = await self._go_on(cutter.last_number, detail)

    async def _go_on(self, last_number: str, detail: str) -> tuple[TargetStream, ListedTarget]:
        answer = await self._front.call(
            self._route,
            resumed_after(self._call, last_number),
            self._deadline_seconds,
            self._log,
            as_stream=True,
        )
        if not isinstance(answer.outcome, TargetStream) or answer.target is None:
            raise ConnectionError(f"{detail}, and it cannot go on elsewhere")
        self.resumed += 1
        return answer.outcome, answer.target
