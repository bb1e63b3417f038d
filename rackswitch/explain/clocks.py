"""A common clock for log lines of several VMs, whose wall clocks differ and may jump.

Within a process, lines are ordered by its monotonic clock. Processes are aligned by events
that all of them log at nearly the same time: a new table revision, model version or target
entry. The median over these events tolerates some that a daemon logged late.
"""

from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable
from statistics import median

from rackswitch.explain.lines import LoggedEvent
from rackswitch.telemetry.events import Event, TableInForce, TargetListed, VersionNamed

__all__ = ["Clocks"]

Process = tuple[str, int]


def _shared_event_key(event: Event) -> Hashable:
    """Return the key of an event that all daemons log at nearly the same time, or None."""
    if isinstance(event, TableInForce):
        return ("table", event.revision)
    if isinstance(event, VersionNamed):
        return ("version", event.model, event.version)
    if isinstance(event, TargetListed):
        return ("target", event.target, event.revision)
    return None


class Clocks:
    """Maps log lines to times on a common clock.

    Parameters
    ----------
    events : iterable of LoggedEvent
        The lines of all processes.
    """

    __slots__ = ("_start_times_seconds",)

    def __init__(self, events: Iterable[LoggedEvent]):
        lines = list(events)
        self._start_times_seconds = _local_start_times(lines)
        shared_times = _shared_event_times(lines)
        if not shared_times:
            return
        counts = {process: len(times) for process, times in shared_times.items()}
        reference = max(counts, key=lambda process: (counts[process], process))
        corrections = {
            process: self._clock_correction_seconds(
                times, shared_times[reference], process, reference
            )
            for process, times in shared_times.items()
        }
        for process, correction_seconds in corrections.items():
            self._start_times_seconds[process] += correction_seconds

    def at_seconds(self, line: LoggedEvent) -> float:
        """Return the time of a line on the common clock, in seconds."""
        return self._start_times_seconds[line.daemon, line.process_index] + line.header.up

    def _clock_correction_seconds(
        self,
        times: dict[Hashable, float],
        reference_times: dict[Hashable, float],
        process: Process,
        reference: Process,
    ) -> float:
        """Return how much later a process started than its own wall clock says."""
        start_seconds = self._start_times_seconds[process]
        reference_start_seconds = self._start_times_seconds[reference]
        differences_seconds = [
            (reference_start_seconds + reference_times[key]) - (start_seconds + uptime_seconds)
            for key, uptime_seconds in times.items()
            if key in reference_times
        ]
        return median(differences_seconds) if differences_seconds else 0.0


def _local_start_times(lines: list[LoggedEvent]) -> dict[Process, float]:
    """Return the start time of each process by its own wall clock (median over its lines)."""
    start_times: dict[Process, list[float]] = defaultdict(list)
    for line in lines:
        start_times[line.daemon, line.process_index].append(line.header.time - line.header.up)
    return {process: median(seconds) for process, seconds in start_times.items()}


def _shared_event_times(lines: list[LoggedEvent]) -> dict[Process, dict[Hashable, float]]:
    """Return, by process, the uptimes at which it logged events that other processes logged too.

    Events during the startup are left out: a starting process reads state that is already old.
    """
    times: dict[Process, dict[Hashable, float]] = defaultdict(dict)
    for line in lines:
        key = _shared_event_key(line.event)
        if key is not None and line.header.up > STARTUP_SECONDS:
            times[line.daemon, line.process_index].setdefault(key, line.header.up)
    process_counts = Counter(key for uptimes in times.values() for key in uptimes)
    return {
        process: {
            key: uptime_seconds
            for key, uptime_seconds in uptimes.items()
            if process_counts[key] > 1
        }
        for process, uptimes in times.items()
    }


STARTUP_SECONDS = 1.0
"""Time in which a process reads its first table and list of targets."""
