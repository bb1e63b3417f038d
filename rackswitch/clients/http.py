"""HTTP client sessions shared by the clients.

A request is sent once. Whether it may be sent again depends on what it does, which only the caller
of a session knows, so the sessions neither repeat requests nor follow redirects.

The pooled session reuses connections. The single-use session opens a connection for each call, for
requests that must run at most once: the peer may close a reused connection while a request is being
written, and it is then unknown whether the request arrived.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp

from rackswitch.clients.bodies import MAX_BODY_BYTES, read_body
from rackswitch.decoding import Undecodable, decode_json

__all__ = [
    "NOT_SENT_ERRORS",
    "CallFailed",
    "ConnectionBrokenError",
    "HttpSession",
    "HttpSessions",
    "call_json",
    "close_idle_connections",
    "error_name",
]

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised before any byte of the request is sent."""

CONNECT_TIMEOUT_SECONDS = 1.0
POOL_SIZE = 512


class ConnectionBrokenError(aiohttp.ClientError):
    """A connection ended after a request was sent and before the head of its answer.

    The request may have run. The cause is the library's error.
    """


def error_name(error: BaseException) -> str:
    """Return the type of a failed request's error, for logs; that of the cause of a break."""
    if isinstance(error, ConnectionBrokenError) and error.__cause__ is not None:
        return type(error.__cause__).__name__
    return type(error).__name__


async def _send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request; report a broken connection with an error that the library does not handle.

    The library repeats GET, HEAD, OPTIONS, TRACE, PUT and DELETE by itself after these errors
    (RFC 9110, section 9.2.2), on new connections as well.
    """
    try:
        return await send(request)
    except NOT_SENT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error)) from error


class HttpSession:
    """A client session that sends each request once.

    Parameters
    ----------
    connector : aiohttp.BaseConnector, optional
        The connections; by default those of a new pool.
    options : object
        Further arguments of `aiohttp.ClientSession`.
    """

    __slots__ = ("_session",)

    def __init__(self, connector: aiohttp.BaseConnector | None = None, **options: Any):
        self._session = aiohttp.ClientSession(
            connector=connector, middlewares=(_send_once,), **options
        )

    def request(self, method: str, url: Any, **options: Any) -> Any:
        """Send a request with the arguments of `aiohttp.ClientSession.request`.

        Raises
        ------
        ConnectionBrokenError
            If the connection ended before the head of the answer.
        """
        return self._session.request(method, url, allow_redirects=False, **options)

    def get(self, url: Any, **options: Any) -> Any:
        """Send a GET request."""
        return self.request("GET", url, **options)

    def post(self, url: Any, **options: Any) -> Any:
        """Send a POST request."""
        return self.request("POST", url, **options)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def __aenter__(self) -> "HttpSession":
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.close()


def close_idle_connections(connector: aiohttp.BaseConnector) -> None:
    """Close the unused connections of a pool."""
    # The library has no public way to close idle connections only.
    for connections in connector._conns.values():
        for protocol, _ in connections:
            protocol.close()


class HttpSessions:
    """Client sessions of one process."""

    __slots__ = ("_pooled_connector", "pooled", "single_use")

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
        self._pooled_connector = aiohttp.TCPConnector(limit=POOL_SIZE)
        self.pooled = HttpSession(self._pooled_connector, timeout=timeout, auto_decompress=False)
        self.single_use = HttpSession(
            aiohttp.TCPConnector(limit=0, force_close=True), timeout=timeout, auto_decompress=False
        )

    def close_idle_connections(self) -> None:
        """Close the unused connections of the pooled session."""
        close_idle_connections(self._pooled_connector)

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self.pooled.close(), self.single_use.close())


T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without side effects got no usable response."""

    detail: str


async def call_json(
    session: HttpSession,
    method: str,
    url: str,
    kind: type[T],
    timeout_seconds: float,
    body: Any = None,
) -> T | CallFailed:
    """Make a call that is safe to repeat, again if its connection breaks, and decode its response.

    Parameters
    ----------
    session : HttpSession
        Session to use.
    method, url : str
        HTTP method and URL.
    kind : type
        Type of the response body for status 200.
    timeout_seconds : float
        Timeout of the complete call.
    body : object, optional
        Request body, sent as JSON.

    Returns
    -------
    object or CallFailed
        The decoded response, or the reason for the failure.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            try:
                status, content = await _call(session, method, url, body)
            except ConnectionBrokenError:
                # The peer may close an idle connection just as the call is sent on it.
                status, content = await _call(session, method, url, body)
    except (aiohttp.ClientError, TimeoutError) as error:
        return CallFailed(error_name(error))
    if status != 200:
        return CallFailed(f"status {status}")
    decoded = decode_json(content, kind)
    if isinstance(decoded, Undecodable):
        return CallFailed(f"invalid response body: {decoded.detail}")
    return decoded


async def _call(session: HttpSession, method: str, url: str, body: Any) -> tuple[int, bytes]:
    """Make a call once; return its status and body."""
    async with session.request(method, url, json=body) as answer:
        return answer.status, await read_body(answer, MAX_BODY_BYTES)
