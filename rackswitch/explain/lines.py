"""Reads the lines of decision logs."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from rackswitch.telemetry import LineHeader
from rackswitch.telemetry.events import EVENTS, Event

__all__ = ["LoggedEvent", "ReadLog", "read_events"]


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One line of a log.

    Attributes
    ----------
    header : LineHeader
        The daemon that wrote the line, and its clocks.
    process_index : int
        Index of the daemon's process that wrote the line: 0 for the first one in the log.
    """

    header: LineHeader
    process_index: int
    event: Event

    @property
    def daemon(self) -> str:
        """The daemon that wrote the line."""
        return self.header.daemon


@dataclass(slots=True)
class ReadLog:
    """The events read from logs, and the number of unknown lines.

    Attributes
    ----------
    unknown : int
        Lines with a JSON object that is no known event.
    """

    events: list[LoggedEvent]
    unknown: int = 0


class _TaggedHeader(LineHeader, frozen=True):
    event: str = ""


def read_events(lines: Iterable[str]) -> ReadLog:
    """Read log lines of any number of daemons; those of one daemon have to be in order.

    Prefixes before the JSON object, as log collectors add them, are skipped, and so are lines
    without a JSON object.
    """
    log = ReadLog([])
    last_processes: dict[str, tuple[int, float]] = {}
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        parsed = _parse_line(line[start:])
        if parsed is None:
            log.unknown += 1
            continue
        header, event = parsed
        process_index, last_uptime_seconds = last_processes.get(header.daemon, (0, header.up))
        # The uptime only decreases when another process starts.
        process_index += header.up < last_uptime_seconds
        last_processes[header.daemon] = (process_index, header.up)
        log.events.append(LoggedEvent(header, process_index, event))
    return log


def _parse_line(text: str) -> tuple[LineHeader, Event] | None:
    try:
        tagged_header = msgspec.json.decode(text, type=_TaggedHeader)
        if tagged_header.event not in EVENTS:
            return None
        event = msgspec.json.decode(text, type=EVENTS.get(tagged_header.event))
    except msgspec.DecodeError:
        return None
    header = LineHeader(
        tagged_header.time,
        tagged_header.up,
        tagged_header.daemon,
        tagged_header.lines_dropped_before,
    )
    return header, event
