"""How long callers' connections may take over a request's head, and rest between requests."""

import asyncio
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

__all__ = ["BoundedHttpProtocol", "ConnectionLimits"]

LATE_HEAD_ANSWER = (
    STATUS_LINE[408]
    + b"content-type: text/plain; charset=utf-8\r\ncontent-length: 33\r\nconnection: close\r\n\r\n"
    + b"The head did not come in in time."
)


@dataclass(slots=True)
class ConnectionLimits:
    """Bounds on callers' connections, which may change while the server runs.

    Attributes
    ----------
    header_timeout_seconds : float
        From the first byte of a request to the end of its head.
    idle_timeout_seconds : float
        How long a connection may rest without a request.
    """

    header_timeout_seconds: float
    idle_timeout_seconds: float


class BoundedHttpProtocol(HttpToolsProtocol):
    """The library's protocol, with the limits in force at each moment.

    The library itself waits for a head without end, and keeps the idle time that it was
    started with.

    Parameters
    ----------
    limits : ConnectionLimits
        Shared by all connections of a server.
    **options
        As of the library.
    """

    def __init__(self, limits: ConnectionLimits, **options: Any):
        super().__init__(**options)
        self._limits = limits
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin; a connection on which nothing is asked rests like any other."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self._limits.idle_timeout_seconds, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """End."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Note the first byte of a request."""
        super().on_message_begin()
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            self._limits.header_timeout_seconds, self._head_is_late
        )

    def on_headers_complete(self) -> None:
        """Note that a request's head is whole."""
        self._stop_head_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Note the end of an answer, from where the connection rests."""
        self.timeout_keep_alive = self._limits.idle_timeout_seconds  # type: ignore[assignment]
        super().on_response_complete()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_is_late(self) -> None:
        if self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            # The answer to the request before goes first, and the connection ends with it.
            self.cycle.keep_alive = False
            return
        self.transport.write(LATE_HEAD_ANSWER)
        self.transport.close()
