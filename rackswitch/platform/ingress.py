"""Headers of callers' requests and of the answers to them."""

from dataclasses import dataclass, replace

from rackswitch.platform.names import (
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
    REQUEST_ID_HEADER,
    STAMP_HEADER,
)
from rackswitch.requests import Call, TargetAnswer
from rackswitch.web.exchange import Exchange

__all__ = [
    "MalformedRequest",
    "request_deadline_seconds",
    "caller_request_id",
    "with_last_event_id",
    "server_stamp",
]


@dataclass(frozen=True, slots=True)
class MalformedRequest:
    """A malformed request; the detail names the field."""

    detail: str


def caller_request_id(exchange: Exchange) -> str:
    """Return the request ID that the caller sent; empty if there is none."""
    return exchange.header(REQUEST_ID_HEADER) or ""


def request_deadline_seconds(
    exchange: Exchange, arrived_seconds: float
) -> float | None | MalformedRequest:
    """Return the caller's deadline (event loop time); None if it sent none."""
    text = exchange.header(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        remaining_ms = float(text)
    except ValueError:
        return MalformedRequest(f"`{DEADLINE_HEADER}` must be a number (found {text!r})")
    return arrived_seconds + max(0.0, remaining_ms) / 1000


def with_last_event_id(call: Call, last_number: str) -> Call:
    """Return the call that resumes a stream after an event."""
    other_headers = tuple(
        pair for pair in call.headers if pair[0].lower() != LAST_EVENT_HEADER.lower()
    )
    headers = (*other_headers, (LAST_EVENT_HEADER, last_number)) if last_number else call.headers
    return replace(call, headers=headers)


def server_stamp(answer: TargetAnswer) -> str:
    """Return the signature in a target's answer; empty if there is none."""
    for name, value in answer.headers:
        if name.lower() == STAMP_HEADER.lower():
            return value
    return ""
