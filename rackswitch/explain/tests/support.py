"""Writes log lines of daemons whose wall clocks differ."""

import msgspec

from rackswitch.telemetry import LineHeader
from rackswitch.telemetry.events import Event

EPOCH_SECONDS = 1_700_000_000.0


class LoggingDaemon:
    """Collects log lines of a daemon whose wall clock is ahead by `ahead_seconds`."""

    def __init__(self, name: str, started_seconds: float = 0.0, ahead_seconds: float = 0.0):
        self.name = name
        self.ahead_seconds = ahead_seconds
        self.lines: list[str] = []
        self._started_seconds = started_seconds

    def log(self, at_seconds: float, event: Event) -> None:
        """Add a line with an event that happens at a true time."""
        header = LineHeader(
            EPOCH_SECONDS + at_seconds + self.ahead_seconds,
            at_seconds - self._started_seconds,
            self.name,
        )
        line = msgspec.json.encode(header)[:-1] + b"," + msgspec.json.encode(event)[1:]
        self.lines.append(line.decode())
