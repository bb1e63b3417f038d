"""Problem documents (RFC 9457)."""

import math

import msgspec
from blacksheep import Content, Response

__all__ = ["PROBLEM_TYPE_PREFIX", "Problem", "problem_response"]

PROBLEM_TYPE_PREFIX = "urn:rackswitch:problem:"
MEDIA_TYPE = b"application/problem+json"


class Problem(msgspec.Struct, frozen=True):
    """A refusal or failure, as reported to the caller.

    Attributes
    ----------
    name : str
        Last part of the problem type URN.
    ran : str
        "no", "unknown" or "yes": whether the request started to run.
    retry_after_seconds : float or None
        Delay before a retry, for the ``Retry-After`` header.
    """

    status: int
    name: str
    detail: str
    ran: str = "no"
    retry_after_seconds: float | None = None


class _Document(msgspec.Struct):
    type: str
    title: str
    status: int
    detail: str
    ran: str


def problem_response(problem: Problem) -> Response:
    """Return the response for a problem."""
    document = _Document(
        type=PROBLEM_TYPE_PREFIX + problem.name,
        title=problem.name.replace("-", " "),
        status=problem.status,
        detail=problem.detail,
        ran=problem.ran,
    )
    headers = [(b"rackswitch-ran", problem.ran.encode())]
    if problem.retry_after_seconds is not None:
        seconds = max(1, math.ceil(problem.retry_after_seconds))
        headers.append((b"retry-after", str(seconds).encode()))
    return Response(problem.status, headers, Content(MEDIA_TYPE, msgspec.json.encode(document)))
