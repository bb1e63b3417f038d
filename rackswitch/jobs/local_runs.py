"""The runs of items that this daemon has at engines."""

from dataclasses import dataclass, field

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.progress import ItemProgress

__all__ = ["BEGIN_TIMEOUT_SECONDS", "LocalRun", "LocalRuns"]

BEGIN_TIMEOUT_SECONDS = 0.1
"""Time in which an engine with a free slot sends the first piece. A run without a piece after
this time is taken to be in the engine's queue."""


@dataclass(frozen=True, slots=True)
class LocalRun:
    """A run in progress.

    Attributes
    ----------
    ledger : JobLedger
        Ledger of the item's job.
    progress : ItemProgress
        The item, with its text so far.
    instance, start : str
        The engine, and which start of it (`ListedTarget.start`).
    sent_at_seconds : float
        When the run was sent (monotonic).
    pieces_before : int
        Number of pieces that the text had at that time.
    zone : str
        Zone of the engine.
    """

    ledger: JobLedger
    progress: ItemProgress
    instance: str
    start: str
    sent_at_seconds: float
    pieces_before: int = 0
    zone: str = ""

    @property
    def key(self) -> tuple[str, str]:
        """Job id and item id of the run."""
        return (self.ledger.job.job_id, self.progress.item.item_id)

    @property
    def has_begun(self) -> bool:
        """Whether the run has delivered a piece."""
        return self.progress.last_number > self.pieces_before

    def is_queued(self, now_seconds: float) -> bool:
        """Return whether the run is probably in its engine's queue: no piece arrived in time."""
        return not self.has_begun and now_seconds >= self.sent_at_seconds + BEGIN_TIMEOUT_SECONDS


@dataclass(slots=True)
class LocalRuns:
    """All runs in progress, by engine start, then by job and item."""

    by_start: dict[str, dict[tuple[str, str], LocalRun]] = field(default_factory=dict)

    def add(self, run: LocalRun) -> None:
        """Add a run."""
        self.by_start.setdefault(run.start, {})[run.key] = run

    def remove(self, run: LocalRun) -> None:
        """Remove a run; a later run of the same item is kept."""
        runs = self.by_start.get(run.start, {})
        if runs.get(run.key) is not run:
            return
        del runs[run.key]
        if not runs:
            del self.by_start[run.start]

    def runs_at(self, start: str) -> list[LocalRun]:
        """Return the runs at one start of an engine."""
        return list(self.by_start.get(start, {}).values())

    def queued_count(self, start: str, now_seconds: float) -> int:
        """Return how many runs at one start of an engine are probably in its queue."""
        return sum(run.is_queued(now_seconds) for run in self.by_start.get(start, {}).values())

    def unanswered_count(self, start: str, since_seconds: float) -> int:
        """Return how many runs at one start of an engine were sent later and have not begun."""
        return sum(
            not run.has_begun and run.sent_at_seconds >= since_seconds
            for run in self.by_start.get(start, {}).values()
        )
