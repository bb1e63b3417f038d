"""What the head of a target's answer says, and what is passed on of a call and its answer."""

import aiohttp
from multidict import CIMultiDictProxy

from rackswitch.platform.names import NOT_RUN_HEADER, REQUEST_ID_HEADER, STAMP_HEADER
from rackswitch.requests import TargetFailed

__all__ = ["end_to_end_headers", "refusal_or_fault"]

HOP_BY_HOP = frozenset(
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
"""Headers that concern one connection only (RFC 9110, section 7.6.1), with those that the
client library sets for the body it sends."""


def refusal_or_fault(answer: aiohttp.ClientResponse, request_id: str) -> TargetFailed | None:
    """Return why an answer's head shows that the call was not served, or None."""
    if answer.status == 421:
        return TargetFailed(False, "another target has the address", not_there=True)
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
    return None


def end_to_end_headers(
    headers: CIMultiDictProxy[str] | tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that go past a connection, in their order."""
    pairs = headers if isinstance(headers, tuple) else headers.items()
    return tuple((name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP)
