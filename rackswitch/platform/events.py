"""Event streams of the platform's engines."""

from collections.abc import Iterator

from rackswitch.jobs import TextPiece
from rackswitch.platform.names import VERSIONS_HEADER

__all__ = ["EventParser", "EventSplitter"]

VERSION_FIELD = VERSIONS_HEADER.lower()


class EventParser:
    """Cuts a stream into whole events (the text/event-stream format).

    Parameters
    ----------
    version : int or None
        The weights that make the first event; None if the answer names none.

    Attributes
    ----------
    events : int
        Whole events so far.
    fault : str
        Why the stream is not to be trusted from here on; empty while it is.
    """

    __slots__ = ("_buffer", "_data", "_is_open", "_number", "_version", "events", "fault")

    def __init__(self, version: int | None):
        self._version = version
        self.events = 0
        self._buffer = b""
        self._is_open = False
        self._data: list[str] = []
        self._number: int | None = None
        self.fault = ""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._buffer and not self._is_open

    def feed(self, data: bytes) -> Iterator[TextPiece]:
        """Take in bytes and yield the events that are whole now.

        An engine may stop inside an event; what is not closed by an empty line is never
        yielded.
        """
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            if self.fault:
                return
            try:
                text = line.rstrip(b"\r").decode()
            except UnicodeDecodeError:
                self.fault = "bytes that are not text"
                return
            if text:
                self._take_field(text)
                continue
            self._is_open = False
            if self._data or self._number is not None:
                piece = self._close_event()
                if piece is not None:
                    yield piece

    def _take_field(self, line: str) -> None:
        self._is_open = True
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "id":
            self._number = int(value) if value.isdigit() else None
        elif name == VERSION_FIELD:
            if value.strip().isdigit():
                self._version = int(value)
            else:
                self.fault = f"version {value!r} is no number"

    def _close_event(self) -> TextPiece | None:
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
    """Cuts a stream into whole events without changing a byte.

    Attributes
    ----------
    last_number : str
        Number of the last whole event; empty before the first.
    """

    __slots__ = ("_buffer", "last_number")

    def __init__(self) -> None:
        self._buffer = b""
        self.last_number = ""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._buffer

    def drop_part(self) -> None:
        """Forget the event that has only come in part."""
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take in bytes and yield the events that are whole now."""
        self._buffer += data
        while (end := _event_end(self._buffer)) >= 0:
            event, self._buffer = self._buffer[:end], self._buffer[end:]
            for line in event.splitlines():
                if line.startswith(b"id:"):
                    self.last_number = line[3:].strip().decode("latin-1")
            yield event


def _event_end(buffer: bytes) -> int:
    """Return where the first event ends, behind its empty line; -1 if it is not whole."""
    ends = [buffer.find(mark) + len(mark) for mark in (b"\n\n", b"\r\n\r\n") if mark in buffer]
    return min(ends) if ends else -1
