"""Forwards callers' calls to the platform's engines and plain services."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from yarl import URL

from rackswitch.clients.bodies import MAX_BODY_BYTES, read_body
from rackswitch.clients.http import NOT_SENT_ERRORS, error_name
from rackswitch.platform.answers import (
    check_answer_head,
    close_connection,
    end_to_end_headers,
    release_or_close,
)
from rackswitch.platform.caller_headers import headers_for_target
from rackswitch.platform.connections import TargetSessions
from rackswitch.platform.names import DEADLINE_HEADER, EXPECT_INSTANCE_HEADER, REQUEST_ID_HEADER
from rackswitch.requests import Call, TargetAnswer, TargetFailed, TargetStream
from rackswitch.routing import ListedTarget

__all__ = ["TargetClient"]

CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
"""Errors of a call that ends without a complete answer."""


class TargetClient:
    """Forwards calls, unchanged except for the platform's headers.

    Parameters
    ----------
    sessions : TargetSessions
        Connections to use.
    """

    __slots__ = ("_sessions",)

    def __init__(self, sessions: TargetSessions):
        self._sessions = sessions

    @property
    def keep_alive_seconds(self) -> float:
        """Keep-alive timeout of unused connections to targets."""
        return self._sessions.keep_alive_seconds

    async def forward(
        self, target: ListedTarget, call: Call, deadline_seconds: float, fresh_connection: bool
    ) -> TargetAnswer | TargetFailed:
        """Send a call to a target once and read the complete answer."""
        try:
            async with (
                asyncio.timeout_at(deadline_seconds),
                self._open(target, call, deadline_seconds, fresh_connection) as answer,
            ):
                self._sessions.record_response(target, answer, call.request_id)
                fault = check_answer_head(answer, call.request_id, not fresh_connection)
                if fault is not None:
                    await release_or_close(answer, call.request_id)
                    return fault
                body = await self._read(answer)
        except CALL_ERRORS as error:
            return _failure(error)
        return TargetAnswer(answer.status, end_to_end_headers(answer.headers), body)

    async def open_stream(
        self, target: ListedTarget, call: Call, deadline_seconds: float, fresh_connection: bool
    ) -> TargetStream | TargetAnswer | TargetFailed:
        """Send a call and return its answer as soon as the headers have arrived.

        An answer with an error status is not a stream and is read completely.
        """
        request = self._open(target, call, deadline_seconds, fresh_connection)
        try:
            async with asyncio.timeout_at(deadline_seconds):
                answer = await request
        except CALL_ERRORS as error:
            return _failure(error)
        self._sessions.record_response(target, answer, call.request_id)
        fault = check_answer_head(answer, call.request_id, not fresh_connection)
        if fault is not None:
            close_connection(answer)
            return fault
        headers = end_to_end_headers(answer.headers)
        if 200 <= answer.status < 300:
            return TargetStream(answer.status, headers, _body_chunks(answer), answer.close)
        try:
            async with asyncio.timeout_at(deadline_seconds), answer:
                return TargetAnswer(answer.status, headers, await self._read(answer))
        except CALL_ERRORS as error:
            return _failure(error)

    async def _read(self, answer: aiohttp.ClientResponse) -> bytes:
        return await read_body(answer, MAX_BODY_BYTES, self._sessions.body_budget)

    def _open(
        self, target: ListedTarget, call: Call, deadline_seconds: float, fresh_connection: bool
    ) -> Any:
        session = self._sessions.single_use if fresh_connection else self._sessions.pooled
        remaining_seconds = deadline_seconds - asyncio.get_running_loop().time()
        headers = headers_for_target(call.headers, call.caller)
        headers["Host"] = call.host
        headers[REQUEST_ID_HEADER] = call.request_id
        headers[EXPECT_INSTANCE_HEADER] = target.instance
        headers[DEADLINE_HEADER] = str(max(1, int(remaining_seconds * 1000)))
        return session.request(
            call.method,
            URL(target.url + call.path, encoded=True),
            data=call.body or None,
            headers=headers,
            trace_request_ctx=target,
        )


def _failure(error: Exception) -> TargetFailed:
    if isinstance(error, NOT_SENT_ERRORS):
        return TargetFailed(False, f"cannot connect: {error_name(error)}", is_unresponsive=True)
    silent = isinstance(error, TimeoutError)
    return TargetFailed(True, f"no whole answer: {error_name(error)}", is_unresponsive=silent)


async def _body_chunks(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the chunks of a body as they arrive.

    Raises
    ------
    ConnectionError
        If the connection fails before the end of the body.
    """
    try:
        async for data in answer.content.iter_any():
            yield data
    except (aiohttp.ClientError, OSError) as error:
        raise ConnectionError(str(error)) from error
    finally:
        answer.close()
