"""Event streams of the platform's engines."""

from collections.abc import Iterator

from rackswitch.jobs import TextPiece
from rackswitch.platform.names import VERSIONS_HEADER

__all__ = ["EventParser"]

VERSION_FIELD = VERSIONS_HEADER.lower()


class EventParser:
    """Cuts a stream into whole events (the text/event-stream format).

    Parameters
    ----------
    version : int
        The weights that make the first event.

    Attributes
    ----------
    fault : str
        Why the stream is not to be trusted from here on; empty while it is.
    """

    __slots__ = ("_buffer", "_data", "_number", "_version", "fault")

    def __init__(self, version: int):
        self._version = version
        self._buffer = b""
        self._data: list[str] = []
        self._number: int | None = None
        self.fault = ""

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
            elif self._data or self._number is not None:
                piece = self._close_event()
                if piece is not None:
                    yield piece

    def _take_field(self, line: str) -> None:
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
        piece = TextPiece(self._number, "\n".join(self._data), self._version)
        self._data = []
        self._number = None
        return piece
