"""Reading the lines that daemons log."""

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
    head : LineHeader
        Who wrote it, and what that daemon's clocks said.
    life : int
        Which process of the daemon wrote it, counting from 0.
    """

    head: LineHeader
    life: int
    event: Event

    @property
    def daemon(self) -> str:
        """The daemon that wrote the line."""
        return self.head.daemon


@dataclass(slots=True)
class ReadLog:
    """What was read, and how many lines were not understood.

    Attributes
    ----------
    unknown : int
        Lines that are JSON objects and no event known here.
    """

    events: list[LoggedEvent]
    unknown: int = 0


class _Named(LineHeader, frozen=True):
    event: str = ""


def read_events(lines: Iterable[str]) -> ReadLog:
    """Read log lines of any number of daemons, each daemon's in the order it wrote them.

    Text before the JSON object, which collectors add, is skipped, as are lines without one.
    """
    log = ReadLog([])
    lives: dict[str, tuple[int, float]] = {}
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        read = _read_line(line[start:])
        if read is None:
            log.unknown += 1
            continue
        head, event = read
        life, up = lives.get(head.daemon, (0, head.up))
        # The steady clock of a process only goes back when another process begins.
        life += head.up < up
        lives[head.daemon] = (life, head.up)
        log.events.append(LoggedEvent(head, life, event))
    return log


def _read_line(text: str) -> tuple[LineHeader, Event] | None:
    try:
        named = msgspec.json.decode(text, type=_Named)
        if named.event not in EVENTS:
            return None
        event = msgspec.json.decode(text, type=EVENTS.get(named.event))
    except msgspec.DecodeError:
        return None
    head = LineHeader(named.time, named.up, named.daemon, named.lines_dropped_before)
    return head, event
