"""How long the parts of a daemon's start took."""

import asyncio
import contextlib
from enum import StrEnum

from rackswitch.telemetry.events import StartTimed

__all__ = ["StartPart", "StartTimes"]


class StartPart(StrEnum):
    """What a daemon reaches during its start; the values are fields of `StartTimed`."""

    LISTENING = "listening_seconds"
    EVENT_LOOP = "event_loop_seconds"
    FIRST_READ = "first_read_seconds"
    SESSION = "session_seconds"
    FIRST_JOB = "first_job_seconds"
    FIRST_ITEM = "first_item_seconds"


class StartTimes:
    """When each part of the start was reached for the first time.

    Parameters
    ----------
    process_started_seconds : float
        Start of the process (event loop time).
    """

    __slots__ = ("_all_reached", "_process_started_seconds", "_reached_at_seconds")

    def __init__(self, process_started_seconds: float):
        self._process_started_seconds = process_started_seconds
        self._reached_at_seconds: dict[StartPart, float] = {}
        self._all_reached = asyncio.Event()

    def record(self, part: StartPart, at_seconds: float) -> None:
        """Record that a part was reached (event loop time); only the first time counts."""
        self._reached_at_seconds.setdefault(part, at_seconds)
        if len(self._reached_at_seconds) == len(StartPart):
            self._all_reached.set()

    async def wait_for_all(self, timeout_seconds: float) -> None:
        """Wait until all parts were reached, or a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._all_reached.wait()

    def event(self) -> StartTimed:
        """Return the event with the time from the process's start to each part reached so far."""
        durations_seconds = {
            part.value: round(at_seconds - self._process_started_seconds, 3)
            for part, at_seconds in self._reached_at_seconds.items()
        }
        return StartTimed(**durations_seconds)
