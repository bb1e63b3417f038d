"""An HTTP request and its response, for handlers that forward bytes unchanged."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from rackswitch.web.connection_limits import RECEIVED_AT_KEY

__all__ = ["BodyTooLarge", "BodyTooSlow", "CallerDisconnected", "Exchange"]

Message = dict[str, Any]


@dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The body exceeds the size limit."""

    max_bytes: int


@dataclass(frozen=True, slots=True)
class BodyTooSlow:
    """The body was not received before the deadline."""


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller disconnected before its body was complete."""


class Exchange:
    """An ASGI request and its response.

    Parameters
    ----------
    scope : dict
        The ASGI scope.
    receive, send : callable
        The ASGI channels.

    Attributes
    ----------
    close_connection : bool
        Whether the connection closes after the response.
    has_response : bool
        Whether the response has begun.
    """

    __slots__ = ("_receive", "_scope", "_send", "close_connection", "has_response")

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ):
        self._scope = scope
        self._receive = receive
        self._send = send
        self.close_connection = False
        self.has_response = False

    @property
    def method(self) -> str:
        """The request's method."""
        return self._scope["method"]

    @property
    def received_at_seconds(self) -> float | None:
        """When the request arrived (event loop time); None if it has just arrived."""
        return self._scope.get(RECEIVED_AT_KEY)

    @property
    def path(self) -> str:
        """The raw path, without the query."""
        return self._scope["raw_path"].decode("latin-1")

    @property
    def query(self) -> str:
        """The raw query, without the question mark."""
        return self._scope["query_string"].decode("latin-1")

    @property
    def target(self) -> str:
        """The raw path and query."""
        return f"{self.path}?{self.query}" if self.query else self.path

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The headers in order; ASGI servers give the names in lower case."""
        return tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._scope["headers"]
        )

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        encoded_name = name.lower().encode("latin-1")
        for key, value in self._scope["headers"]:
            if key == encoded_name:
                return value.decode("latin-1")
        return None

    def header_values(self, name: str) -> tuple[str, ...]:
        """Return all values of a header, in order."""
        encoded_name = name.lower().encode("latin-1")
        return tuple(
            value.decode("latin-1") for key, value in self._scope["headers"] if key == encoded_name
        )

    @property
    def header_bytes(self) -> int:
        """Size of the request's headers, without the request line."""
        return sum(len(name) + len(value) + 4 for name, value in self._scope["headers"])

    async def read_body(
        self, max_bytes: int, deadline_seconds: float
    ) -> bytes | BodyTooLarge | BodyTooSlow | CallerDisconnected:
        """Read the body, up to a maximum size and until a deadline (event loop time)."""
        chunks: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout_at(deadline_seconds):
                while True:
                    message = await self._receive()
                    if message["type"] == "http.disconnect":
                        return CallerDisconnected()
                    chunk = message.get("body", b"")
                    size += len(chunk)
                    if size > max_bytes:
                        self.close_connection = True
                        return BodyTooLarge(max_bytes)
                    chunks.append(chunk)
                    if not message.get("more_body", False):
                        return b"".join(chunks)
        except TimeoutError:
            self.close_connection = True
            return BodyTooSlow()

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller disconnects; the body must have been read before."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def respond(
        self, status: int, headers: tuple[tuple[str, str], ...] = (), body: bytes = b""
    ) -> None:
        """Send a complete response."""
        await self._start(status, (*headers, ("content-length", str(len(body)))))
        await self._send({"type": "http.response.body", "body": body})

    async def stream(
        self, status: int, headers: tuple[tuple[str, str], ...], pieces: AsyncIterator[bytes]
    ) -> None:
        """Send a response piece by piece.

        Raises
        ------
        ConnectionError
            If `pieces` fails. The response is left unterminated, so that the caller does not
            take it for complete.
        """
        await self._start(status, headers)
        async for piece in pieces:
            await self._send({"type": "http.response.body", "body": piece, "more_body": True})
        await self._send({"type": "http.response.body", "body": b""})

    async def _start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        encoded = [
            (name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        if self.close_connection:
            encoded.append((b"connection", b"close"))
        self.has_response = True
        await self._send({"type": "http.response.start", "status": status, "headers": encoded})
