"""Timeouts of callers' connections, and their end when the server stops."""

import asyncio
import select
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

__all__ = ["RECEIVED_AT_KEY", "BoundedHttpProtocol", "ConnectionLimits"]

HEADER_TIMEOUT_RESPONSE = (
    STATUS_LINE[408]
    + b"content-type: text/plain; charset=utf-8\r\ncontent-length: 33\r\nconnection: close\r\n\r\n"
    + b"The head did not come in in time."
)

RECEIVED_AT_KEY = "rackswitch.received_at_seconds"
"""Key of the ASGI scope of a request that arrived before the server started."""


@dataclass(slots=True)
class ConnectionLimits:
    """Timeouts of callers' connections; they may change while the server runs.

    Attributes
    ----------
    header_timeout_seconds : float
        Maximum time from the first byte of a request to the end of its headers.
    idle_timeout_seconds : float
        Maximum time that a connection may be idle between requests.
    """

    header_timeout_seconds: float
    idle_timeout_seconds: float


class BoundedHttpProtocol(HttpToolsProtocol):
    """Uvicorn's HTTP protocol with timeouts that can change at run time.

    Uvicorn itself has no timeout on request headers, and its idle timeout is fixed at the
    start.

    Parameters
    ----------
    limits : ConnectionLimits
        Timeouts shared by all connections of a server.
    **options
        Arguments of `HttpToolsProtocol`.

    Attributes
    ----------
    received_at_seconds : float or None
        When the next request arrived (event loop time), if that was before the server started.
    """

    def __init__(self, limits: ConnectionLimits, **options: Any):
        super().__init__(**options)
        self._limits = limits
        self._header_timer: asyncio.TimerHandle | None = None
        self._closes_after_response = False
        self.received_at_seconds: float | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the idle timeout before the first request."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self._limits.idle_timeout_seconds, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the header timer."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Start the header timer at the first byte of a request."""
        super().on_message_begin()
        if self.received_at_seconds is not None:
            self.scope[RECEIVED_AT_KEY] = self.received_at_seconds  # type: ignore[literal-required]
            self.received_at_seconds = None
        self._cancel_header_timer()
        self._header_timer = self.loop.call_later(
            self._limits.header_timeout_seconds, self._on_header_timeout
        )

    def on_headers_complete(self) -> None:
        """Stop the header timer at the end of the headers."""
        self._cancel_header_timer()
        super().on_headers_complete()
        if self._closes_after_response:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Apply the current idle timeout at the end of a response."""
        self.timeout_keep_alive = self._limits.idle_timeout_seconds  # type: ignore[assignment]
        super().on_response_complete()

    def close_after_response(self) -> None:
        """Close the connection after the next response whose headers have not been sent yet.

        A response that has begun does not tell its caller about the close, so the caller may
        already be sending its next request.
        """
        self._closes_after_response = True
        if self.cycle is not None and not self.cycle.response_started:
            self.cycle.keep_alive = False

    def shutdown(self) -> None:
        """Close the connection at once if no request is on it, else after the response."""
        self.close_after_response()
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False
        else:
            self.close_if_idle()

    def close_if_idle(self) -> bool:
        """Close the connection if no request is on it; return whether it was closed."""
        if self.transport.is_closing() or self.has_request():
            return False
        self.transport.close()
        return True

    def has_request(self) -> bool:
        """Whether a request is being served, is being received, or waits to be read."""
        if self.transport.is_closing():
            return False
        is_served = self.cycle is not None and not self.cycle.response_complete
        return is_served or self._header_timer is not None or _has_unread_data(self.transport)

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        if self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            # The response to the previous request is sent first; the connection closes after it.
            self.cycle.keep_alive = False
            return
        self.transport.write(HEADER_TIMEOUT_RESPONSE)
        self.transport.close()


def _has_unread_data(transport: asyncio.Transport) -> bool:
    """Whether the kernel holds data, or the end of the stream, that has not been read."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))
