"""Checks of an answer's status and headers, and the headers that are forwarded."""

import aiohttp
from multidict import CIMultiDictProxy

from rackswitch.clients.bodies import read_body
from rackswitch.platform.names import NOT_RUN_HEADER, REQUEST_ID_HEADER, STAMP_HEADER
from rackswitch.requests import TargetFailed

__all__ = [
    "MISDIRECTED_STATUS",
    "close_connection",
    "end_to_end_headers",
    "check_answer_head",
    "release_or_close",
]

MISDIRECTED_STATUS = 421
"""Status with which a target reports that the expected instance is not at its address."""

NOT_RUN_STATUSES = (408, MISDIRECTED_STATUS, 429, 503)
"""Statuses that promise callers that a request has not run and never will."""

MAX_REFUSAL_BYTES = 65_536
"""Longer refusals are not read: a new connection costs less."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that apply to a single connection (RFC 9110, section 7.6.1), and those that the client
library sets for the body it sends."""


def check_answer_head(
    answer: aiohttp.ClientResponse, request_id: str, may_repeat: bool = True
) -> TargetFailed | None:
    """Return the failure that an answer's status and headers show, or None.

    Parameters
    ----------
    answer : aiohttp.ClientResponse
        The answer.
    request_id : str
        The request that it must belong to.
    may_repeat : bool, optional
        Whether callers may send the request again. If not, a status that promises that it has not
        run is a failure unless the target states so.
    """
    if answer.status == MISDIRECTED_STATUS:
        return TargetFailed(False, "another target has the address", is_other_target=True)
    if NOT_RUN_HEADER in answer.headers:
        return TargetFailed(False, f"the target did not begin: status {answer.status}")
    if answer.headers.get(REQUEST_ID_HEADER) != request_id:
        return TargetFailed(True, "the answer belongs to another request")
    if "Content-Encoding" in answer.headers:
        return TargetFailed(True, "the answer is encoded, so it is not the target's")
    if 200 <= answer.status < 300 and STAMP_HEADER not in answer.headers:
        return TargetFailed(True, "the answer carries no signature of the target")
    if answer.status < 200 or 300 <= answer.status < 400:
        return TargetFailed(True, f"status {answer.status}")
    if not may_repeat and answer.status in NOT_RUN_STATUSES:
        return TargetFailed(True, f"status {answer.status} without {NOT_RUN_HEADER}")
    return None


async def release_or_close(answer: aiohttp.ClientResponse, request_id: str) -> None:
    """Return the connection of a target's own refusal to the pool; close any other connection.

    Busy engines refuse often, so reusing the connection saves a new one per refusal. Other
    connections may still carry bytes of another answer. Call this within the call's timeout.
    """
    fault = check_answer_head(answer, request_id)
    refused = fault is not None and not fault.may_have_run
    answers_request = answer.headers.get(REQUEST_ID_HEADER) == request_id
    length_bytes = answer.content_length
    is_short = length_bytes is not None and length_bytes <= MAX_REFUSAL_BYTES
    if refused and answers_request and is_short:
        await read_body(answer, MAX_REFUSAL_BYTES)
    else:
        close_connection(answer)


def close_connection(answer: aiohttp.ClientResponse) -> None:
    """Close the connection of an answer, even if its body has been received.

    The library returns a connection to the pool once the body is complete. If the answer belonged
    to another request, each later request on it would receive the answer to the previous one.
    """
    answer.close()
    protocol = answer._protocol
    if protocol is not None:
        protocol.close()


def end_to_end_headers(
    headers: CIMultiDictProxy[str] | tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, in their order."""
    pairs = headers if isinstance(headers, tuple) else headers.items()
    return tuple((name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP_HEADERS)
