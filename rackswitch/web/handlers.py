"""Helpers for request handlers of a web application."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from blacksheep import Application, Content, Request, Response, Router
from blacksheep.exceptions import MessageAborted

from rackswitch.decoding import Undecodable, decode_json
from rackswitch.web.problems import Problem, problem_response

__all__ = [
    "BodyFault",
    "add_route",
    "json_response",
    "make_application",
    "path_value",
    "read_body",
    "read_json",
    "watch_disconnect",
]

BODY_TIMEOUT_SECONDS = 20.0

T = TypeVar("T")


def make_application() -> Application:
    """Return an application with its own router that reports errors as problem documents."""
    application = Application(router=Router())

    async def on_error(app: Application, request: Request, error: Exception) -> Response:
        app.logger.exception("request handler failed", exc_info=error)
        return problem_response(
            Problem(500, "internal-error", "Internal error in the daemon.", ran="unknown")
        )

    async def on_not_found(app: Application, request: Request, error: Exception) -> Response:
        return problem_response(Problem(404, "not-found", "No resource at this path."))

    async def on_abort(app: Application, request: Request, error: Exception) -> Response:
        # The caller disconnected during its request; it does not receive this response.
        return problem_response(Problem(400, "bad-request", "The body is incomplete."))

    application.exceptions_handlers[Exception] = on_error
    application.exceptions_handlers[MessageAborted] = on_abort
    application.exceptions_handlers[404] = on_not_found
    return application


Handler = Callable[[Request], Awaitable[Response]]


def add_route(application: Application, method: str, path: str, handler: Handler) -> None:
    """Route a path to a bound method that takes the request.

    The framework sets attributes on the handler, which a bound method does not allow, and
    binds parameters by name; the wrapper avoids both.
    """

    async def handle(request: Request) -> Response:
        return await handler(request)

    application.router.add(method, path, handle)


def path_value(request: Request, name: str) -> str:
    """Return a route parameter of the request, or an empty string."""
    values = request.route_values or {}
    return values.get(name) or ""


def json_response(
    value: Any, status: int = 200, headers: list[tuple[bytes, bytes]] | None = None
) -> Response:
    """Return a response with `value` encoded as JSON."""
    return Response(status, headers, Content(b"application/json", msgspec.json.encode(value)))


def watch_disconnect(request: Request, on_disconnect: Callable[[], None]) -> asyncio.Task[None]:
    """Call `on_disconnect` when the caller disconnects; the body must have been read before.

    Returns
    -------
    asyncio.Task
        To be cancelled when the response is complete.
    """
    receive = request.content.receive  # type: ignore[union-attr]

    async def wait() -> None:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                on_disconnect()
                return

    return asyncio.create_task(wait())


class BodyFault(msgspec.Struct, frozen=True):
    """A body that could not be read or decoded, with the problem to report."""

    problem: Problem


async def read_body(request: Request, max_bytes: int) -> bytes | BodyFault:
    """Read a body up to a maximum size."""
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
            async for chunk in request.stream():  # type: ignore[attr-defined]
                size += len(chunk)
                if size > max_bytes:
                    detail = f"The body exceeds {max_bytes} bytes."
                    return BodyFault(Problem(413, "body-too-large", detail))
                chunks.append(chunk)
    except TimeoutError:
        return BodyFault(Problem(408, "body-too-slow", "The body was not received in time."))
    return b"".join(chunks)


async def read_json(request: Request, kind: type[T], max_bytes: int) -> T | BodyFault:
    """Read and decode a JSON body; an error names the invalid field."""
    body = await read_body(request, max_bytes)
    if isinstance(body, BodyFault):
        return body
    decoded = decode_json(body, kind)
    if isinstance(decoded, Undecodable):
        return BodyFault(Problem(400, "bad-request", decoded.detail))
    return decoded
