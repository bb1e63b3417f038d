"""What the head of a target's answer says, and what is passed on of a call and its answer."""

import aiohttp
from multidict import CIMultiDictProxy

from rackswitch.platform.names import NOT_RUN_HEADER, REQUEST_ID_HEADER, STAMP_HEADER
from rackswitch.requests import TargetFailed

__all__ = [
    "OTHER_TARGET_STATUS",
    "close_connection",
    "end_to_end_headers",
    "refusal_or_fault",
    "release_or_close",
]

OTHER_TARGET_STATUS = 421
"""By which a target says that the one expected is not there."""

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
    if answer.status == OTHER_TARGET_STATUS:
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


async def release_or_close(answer: aiohttp.ClientResponse, request_id: str) -> None:
    """Keep the connection of an answer by which its target itself refused, or close it.

    Busy engines refuse often, and each refusal would else cost a connection. What may still come
    on any other connection belongs to nobody. To be called within the time limit of the call.
    """
    fault = refusal_or_fault(answer, request_id)
    refused = fault is not None and not fault.may_have_run
    own_word = answer.headers.get(REQUEST_ID_HEADER) == request_id
    if refused and own_word and "Content-Length" in answer.headers:
        await answer.read()
    else:
        close_connection(answer)


def close_connection(answer: aiohttp.ClientResponse) -> None:
    """Close the connection that an answer came on, also if its body is already here.

    Once the body is here the library takes the connection for free, whatever the answer was. Where
    that belonged to another request, each further request would get the answer of the one before.
    """
    answer.close()
    protocol = answer._protocol
    if protocol is not None:
        protocol.close()


def end_to_end_headers(
    headers: CIMultiDictProxy[str] | tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that go past a connection, in their order."""
    pairs = headers if isinstance(headers, tuple) else headers.items()
    return tuple((name, value) for name, value in pairs if name.lower() not in HOP_BY_HOP)
