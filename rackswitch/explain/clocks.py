"""One clock for lines of several VMs, whose times of day differ and may jump.

Within one process lines are placed by its steady clock. Processes are placed against
each other by what all of them learn at nearly the same moment: a table or version that
comes into force, a target that is listed. The median over those moments forgives single
ones that a daemon learnt late.
"""

from collections import Counter, defaultdict
from collections.abc import Hashable, Iterable
from statistics import median

from rackswitch.explain.lines import LoggedEvent
from rackswitch.telemetry.events import Event, TableInForce, TargetListed, VersionNamed

__all__ = ["Clocks"]

Process = tuple[str, int]


def _shared_moment(event: Event) -> Hashable:
    """Return what identifies a moment that all daemons log, or None."""
    if isinstance(event, TableInForce):
        return ("table", event.revision)
    if isinstance(event, VersionNamed):
        return ("version", event.model, event.version)
    if isinstance(event, TargetListed):
        return ("target", event.target, event.revision)
    return None


class Clocks:
    """Times of lines on one common clock.

    Parameters
    ----------
    events : iterable of LoggedEvent
        All lines there are.
    """

    __slots__ = ("_starts_seconds",)

    def __init__(self, events: Iterable[LoggedEvent]):
        lines = list(events)
        self._starts_seconds = _own_starts(lines)
        moments = _moments(lines)
        if not moments:
            return
        counts = {process: len(times) for process, times in moments.items()}
        reference = max(counts, key=lambda process: (counts[process], process))
        corrections = {
            process: self._correction(times, moments[reference], process, reference)
            for process, times in moments.items()
        }
        for process, correction_seconds in corrections.items():
            self._starts_seconds[process] += correction_seconds

    def at_seconds(self, line: LoggedEvent) -> float:
        """Return when a line was written, on the common clock."""
        return self._starts_seconds[line.daemon, line.life] + line.head.up

    def _correction(
        self,
        times: dict[Hashable, float],
        reference_times: dict[Hashable, float],
        process: Process,
        reference: Process,
    ) -> float:
        """Return how much later a process really began than its time of day says."""
        own_start_seconds = self._starts_seconds[process]
        reference_start_seconds = self._starts_seconds[reference]
        differences = [
            (reference_start_seconds + reference_times[moment]) - (own_start_seconds + up)
            for moment, up in times.items()
            if moment in reference_times
        ]
        return median(differences) if differences else 0.0


def _own_starts(lines: list[LoggedEvent]) -> dict[Process, float]:
    """Return when each process began, by its own time of day (median over its lines)."""
    starts: dict[Process, list[float]] = defaultdict(list)
    for line in lines:
        starts[line.daemon, line.life].append(line.head.time - line.head.up)
    return {process: median(seconds) for process, seconds in starts.items()}


def _moments(lines: list[LoggedEvent]) -> dict[Process, dict[Hashable, float]]:
    """Return, by process, the steady times of the moments that several processes share.

    What a process learns while it starts is left out: it reads then what is old already.
    """
    times: dict[Process, dict[Hashable, float]] = defaultdict(dict)
    for line in lines:
        moment = _shared_moment(line.event)
        if moment is not None and line.head.up > STARTING_SECONDS:
            times[line.daemon, line.life].setdefault(moment, line.head.up)
    shared = Counter(moment for seen in times.values() for moment in seen)
    return {
        process: {moment: up for moment, up in seen.items() if shared[moment] > 1}
        for process, seen in times.items()
    }


STARTING_SECONDS = 1.0
"""A start to the first table and list takes some 0.3 s."""
