"""Connections to the platform's engines and plain services."""

import asyncio
import functools
import re
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler

from rackswitch.platform.answers import OTHER_TARGET_STATUS
from rackswitch.platform.load_header import load_word_of
from rackswitch.platform.names import REQUEST_ID_HEADER
from rackswitch.routing import ListedTarget, ReportedLoad

__all__ = ["TargetSessions", "WordHeard"]

WordHeard = Callable[[ListedTarget, ReportedLoad], None]
"""Takes in what a target says of its load."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""A new connection takes 1 ms and two network delays; an engine whose queue of new
connections is full drops the first packet, which is sent again after a second."""

UNTOLD_KEPT_SECONDS = 4.0
"""How long an unused connection is kept while no target has told how long it keeps its own; a
request on a connection that is just being closed is lost."""

CLOSING_MARGIN_SECONDS = 1.0
"""How much earlier than the targets this daemon closes: they tell whole seconds, and a request
takes its time to arrive. A larger margin would open more new connections."""

KEEP_ALIVE_SECONDS = re.compile(r"timeout=(\d{1,4})")

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


class TargetSessions:
    """Connections to targets: kept ones, and single-use ones for what must run once.

    Parameters
    ----------
    word_heard : callable, optional
        Told of each word of a target about its load.

    Attributes
    ----------
    kept_seconds : float
        How long an unused connection is kept.
    """

    __slots__ = (
        "_kept_connector",
        "_told_seconds",
        "_word_heard",
        "kept",
        "kept_seconds",
        "single_use",
    )

    def __init__(self, word_heard: WordHeard | None = None) -> None:
        self._word_heard = word_heard
        self.kept_seconds = UNTOLD_KEPT_SECONDS
        self._told_seconds: dict[str, float] = {}
        self._kept_connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=self.kept_seconds)
        self.kept = _session(self._kept_connector)
        self.single_use = _session(aiohttp.TCPConnector(limit=0, force_close=True))

    def heard(self, target: ListedTarget, answer: aiohttp.ClientResponse, request_id: str) -> None:
        """Learn from the head of a target's answer to a request."""
        self._learn_keeping(target.service, answer)
        if answer.headers.get(REQUEST_ID_HEADER, request_id) == request_id:
            self.heard_load(target, answer)

    def heard_load(self, target: ListedTarget, answer: aiohttp.ClientResponse) -> None:
        """Learn a target's load from its answer; one of another target tells nothing of it."""
        if self._word_heard is None or answer.status == OTHER_TARGET_STATUS:
            return
        word = load_word_of(answer.headers, asyncio.get_running_loop().time())
        if word is not None:
            self._word_heard(target, word)

    def _learn_keeping(self, service: str, answer: aiohttp.ClientResponse) -> None:
        """Learn from an answer how long the targets of a service keep unused connections.

        What the least patient service tells holds for all: the library has one time for a pool.
        """
        told = KEEP_ALIVE_SECONDS.search(answer.headers.get("Keep-Alive", ""))
        if told is None:
            return
        seconds = max(0.0, int(told[1]) - CLOSING_MARGIN_SECONDS)
        if self._told_seconds.get(service) == seconds:
            return
        self._told_seconds[service] = seconds
        self.kept_seconds = min(self._told_seconds.values())
        # The library takes this time at the start only, but looks it up at each use.
        self._kept_connector._keepalive_timeout = self.kept_seconds

    def drop_unused(self) -> None:
        """Close the connections that rest.

        The library counts their rest by the steady clock, so after a suspension of the machine it
        would send on connections that the targets have closed long since.
        """
        for kept in self._kept_connector._conns.values():
            for protocol, _ in kept:
                protocol.close()

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
