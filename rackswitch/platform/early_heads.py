"""Heads of requests that are read before the imports of an HTTP parser."""

from dataclasses import dataclass

from rackswitch.platform.names import DEADLINE_HEADER, REQUEST_ID_HEADER, WAIT_HEADER

__all__ = ["EarlyHead", "parse_early_head"]

HEAD_END = b"\r\n\r\n"

HELD_READ_MARGIN_SECONDS = 1.5
"""How much longer than the time that it allows a caller waits for a read that may be held."""


@dataclass(frozen=True, slots=True)
class EarlyHead:
    """What decides how long a request may wait for the end of a start.

    Attributes
    ----------
    request_id, path : str
        Empty if the request has none.
    deadline_seconds : float or None
        When its caller gives it up (the clock of its arrival); None if the head does not tell.
    """

    request_id: str
    path: str
    deadline_seconds: float | None


def parse_early_head(received: bytes, received_at_seconds: float) -> EarlyHead | None:
    """Return the head of a request, or None if it is incomplete.

    A malformed head is not reported: the server that takes the connection over rejects it.

    Parameters
    ----------
    received : bytes
        What a connection has received.
    received_at_seconds : float
        When its first bytes arrived.
    """
    text, end, _ = received.partition(HEAD_END)
    if not end:
        return None
    request_line, *lines = text.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    words = request_line.split(" ")
    return EarlyHead(
        headers.get(REQUEST_ID_HEADER.lower(), ""),
        words[1].partition("?")[0] if len(words) > 1 else "",
        _deadline_seconds(headers, received_at_seconds),
    )


def _deadline_seconds(headers: dict[str, str], received_at_seconds: float) -> float | None:
    """Return when the caller gives a request up, by its time limit or the wait it allows."""
    limit_seconds = _seconds(headers.get(DEADLINE_HEADER.lower(), ""))
    wait_seconds = _seconds(headers.get(WAIT_HEADER.lower(), ""))
    if limit_seconds is not None:
        return received_at_seconds + limit_seconds
    if wait_seconds is not None:
        return received_at_seconds + wait_seconds + HELD_READ_MARGIN_SECONDS
    return None


def _seconds(milliseconds_text: str) -> float | None:
    try:
        return max(0.0, float(milliseconds_text)) / 1000
    except ValueError:
        return None
