"""Client of plain services: one forwarded HTTP call."""

import asyncio
from dataclasses import dataclass

import aiohttp

from rackswitch.clients.bodies import MAX_BODY_BYTES, read_body
from rackswitch.clients.http import NOT_SENT_ERRORS, HttpSessions, error_name

__all__ = ["PlainAnswer", "PlainFailed", "PlainRequest", "PlainServiceClient"]

REFUSED_STATUSES = (429, 503)
RAN_HEADER = "rackswitch-ran"
"""Response header; the value ``no`` states that the service did not start the request."""


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """A call to forward."""

    request_id: str
    method: str
    path: str
    body: bytes
    media_type: str
    repeatable: bool
    deadline_seconds: float
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """The service's complete response."""

    status: int
    body: bytes
    media_type: str


@dataclass(frozen=True, slots=True)
class PlainFailed:
    """No complete response; `may_have_run` is False only if the call did not start."""

    may_have_run: bool
    detail: str


class PlainServiceClient:
    """Client of plain services.

    Parameters
    ----------
    sessions : HttpSessions
        Sessions to use; a call that must not be repeated uses a new connection.
    """

    __slots__ = ("_sessions",)

    def __init__(self, sessions: HttpSessions):
        self._sessions = sessions

    async def call(self, url: str, request: PlainRequest) -> PlainAnswer | PlainFailed:
        """Make the call without retries."""
        session = self._sessions.pooled if request.repeatable else self._sessions.single_use
        headers = {"X-Request-Id": request.request_id, "Content-Type": request.media_type}
        if request.idempotency_key is not None:
            headers["Idempotency-Key"] = request.idempotency_key
        try:
            async with (
                asyncio.timeout_at(request.deadline_seconds),
                session.request(
                    request.method,
                    f"{url}/{request.path}",
                    data=request.body,
                    headers=headers,
                ) as answer,
            ):
                body = await read_body(answer, MAX_BODY_BYTES)
        except NOT_SENT_ERRORS as error:
            return PlainFailed(False, f"cannot connect: {error_name(error)}")
        except (aiohttp.ClientError, TimeoutError) as error:
            return PlainFailed(True, f"no answer: {error_name(error)}")
        if answer.status in REFUSED_STATUSES and answer.headers.get(RAN_HEADER) == "no":
            return PlainFailed(False, f"the service did not begin: status {answer.status}")
        media_type = answer.headers.get("Content-Type", "application/octet-stream")
        return PlainAnswer(answer.status, body, media_type)
