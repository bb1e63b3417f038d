"""How many runs engines have that several daemons fill at the same time.

Each owner of a job counts its own runs, and receives with each answer and report the total number
at an engine. The difference is the number of other daemons' runs.
"""

from dataclasses import dataclass, field

__all__ = ["EngineLoad", "EngineOccupancy"]

LOAD_REPORT_LIFETIME_SECONDS = 1.0
"""Lifetime of an engine's load report: about the time of a typical run, after which most of the
reported runs have ended."""


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The load that an engine reports.

    Attributes
    ----------
    running, waiting : int
        Requests in progress, and requests in its queue.
    """

    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class _OtherRuns:
    count: int
    until_seconds: float
    reported_at_seconds: float


@dataclass(slots=True)
class EngineOccupancy:
    """Number of runs at each engine: this daemon's own, and those of others by load reports."""

    own_runs: dict[str, int] = field(default_factory=dict)
    _other_runs: dict[str, _OtherRuns] = field(default_factory=dict)

    def record_start(self, instance: str) -> None:
        """Add a run of this daemon."""
        self.own_runs[instance] = self.own_runs.get(instance, 0) + 1

    def record_end(self, instance: str) -> None:
        """Remove a run of this daemon."""
        self.own_runs[instance] -= 1

    def record_load(self, instance: str, load: EngineLoad, now_seconds: float) -> None:
        """Record an engine's load report, which includes this daemon's runs there."""
        other_count = load.running + load.waiting - self.own_runs.get(instance, 0)
        self._other_runs[instance] = _OtherRuns(
            max(0, other_count), now_seconds + LOAD_REPORT_LIFETIME_SECONDS, now_seconds
        )

    def reported_at_seconds(self, instance: str) -> float:
        """Return when an engine last reported its load (monotonic); minus infinity if never."""
        other_runs = self._other_runs.get(instance)
        return other_runs.reported_at_seconds if other_runs is not None else float("-inf")

    def last_reported_other_runs(self, instance: str) -> int | None:
        """Return the number of other daemons' runs by an engine's last report, however old.

        None if the engine has not reported its load.
        """
        other_runs = self._other_runs.get(instance)
        return other_runs.count if other_runs is not None else None

    def other_runs(self, instance: str, now_seconds: float) -> int:
        """Return the number of other daemons' runs at an engine; 0 without a current report."""
        other_runs = self._other_runs.get(instance)
        return (
            other_runs.count
            if other_runs is not None and now_seconds < other_runs.until_seconds
            else 0
        )
