"""Parsers of the event streams of the platform's engines."""

from collections.abc import Iterator

from rackswitch.jobs import TextPiece
from rackswitch.platform.counts import parse_count
from rackswitch.platform.names import VERSIONS_HEADER

__all__ = ["INVALID_VERSION", "MAX_DIGITS", "MAX_EVENT_BYTES", "EventParser", "EventSplitter"]

VERSION_FIELD = VERSIONS_HEADER.lower()

MAX_DIGITS = 15
"""Maximum number of digits of an event's number and version, so that every JSON and MessagePack
implementation can represent them."""

INVALID_VERSION = "the version is no number, or too large"

MAX_EVENT_BYTES = 1_048_576
"""Maximum size of an event. A read of results holds 1 MB, so a longer text could not be read."""


class EventParser:
    """Parses a stream in the text/event-stream format into complete events.

    Parameters
    ----------
    version : int or None
        Version of the weights that generate the first event; None if the answer names none.

    Attributes
    ----------
    events : int
        Number of complete events so far.
    fault : str
        Why the stream is malformed, after which nothing more is parsed; empty if it is not.
    """

    __slots__ = (
        "_buffer",
        "_data",
        "_event_bytes",
        "_number",
        "_version",
        "events",
        "fault",
    )

    def __init__(self, version: int | None):
        self._version = version
        self.events = 0
        self._buffer = b""
        self._event_bytes = 0
        self._data: list[str] = []
        self._number: int | None = None
        self.fault = ""

    @property
    def is_between_events(self) -> bool:
        """Whether the stream is not inside an event."""
        return not self._buffer and not self._event_bytes

    def feed(self, data: bytes) -> Iterator[TextPiece]:
        """Add bytes and yield the events that are now complete.

        An event is complete once an empty line follows it; an engine may stop inside one.
        """
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            self._check_size(len(line))
            if self.fault:
                return
            try:
                text = line.rstrip(b"\r").decode()
            except UnicodeDecodeError:
                self.fault = "bytes that are not text"
                return
            if text:
                self._event_bytes += len(line)
                self._parse_field(text)
                continue
            self._event_bytes = 0
            if self._data or self._number is not None:
                piece = self._finish_event()
                if piece is not None:
                    yield piece
        self._check_size(len(self._buffer))

    def _check_size(self, line_bytes: int) -> None:
        """Record a fault if an event is too long with its next line, or a part of that."""
        if not self.fault and self._event_bytes + line_bytes > MAX_EVENT_BYTES:
            self.fault = f"an event longer than {MAX_EVENT_BYTES} bytes"
            self._buffer = b""

    def _parse_field(self, line: str) -> None:
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "id":
            self._number = parse_count(value, MAX_DIGITS)
        elif name == VERSION_FIELD:
            self._version = parse_count(value, MAX_DIGITS)
            if self._version is None:
                self.fault = INVALID_VERSION

    def _finish_event(self) -> TextPiece | None:
        if self._number is None:
            self.fault = "an event without a number"
            return None
        if self._version is None:
            self.fault = "an event that no version made"
            return None
        self.events += 1
        piece = TextPiece(self._number, "\n".join(self._data), self._version)
        self._data = []
        self._number = None
        return piece


class EventSplitter:
    """Splits a stream into complete events without changing any byte.

    Attributes
    ----------
    last_event_id : str
        Number of the last complete event; empty before the first.
    fault : str
        Why the stream is malformed; empty if it is not.
    """

    __slots__ = ("_buffer", "fault", "last_event_id")

    def __init__(self) -> None:
        self._buffer = b""
        self.fault = ""
        self.last_event_id = ""

    @property
    def is_between_events(self) -> bool:
        """Whether the stream is not inside an event."""
        return not self._buffer

    def discard_partial_event(self) -> None:
        """Discard the event of which only a part has arrived, to go on with another stream."""
        self._buffer = b""
        self.fault = ""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield the events that are now complete."""
        self._buffer += data
        while (end := _event_end(self._buffer)) >= 0:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            for line in event.splitlines():
                if line.startswith(b"id:"):
                    self.last_event_id = line[3:].strip().decode("latin-1")
            yield event
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.fault = f"an event longer than {MAX_EVENT_BYTES} bytes"


def _event_end(buffer: bytes) -> int:
    """Return the offset after the first event and its empty line; -1 if it is incomplete."""
    ends = [
        buffer.find(terminator) + len(terminator)
        for terminator in (b"\n\n", b"\r\n\r\n")
        if terminator in buffer
    ]
    return min(ends) if ends else -1
