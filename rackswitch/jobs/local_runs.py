"""The runs of items that this daemon has at engines."""

from dataclasses import dataclass, field

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.progress import ItemProgress

__all__ = ["BEGIN_PATIENCE_SECONDS", "LocalRun", "LocalRuns"]

BEGIN_PATIENCE_SECONDS = 0.1
"""Within this time an engine with a free slot takes the connection, reads the prompt and brings the
first piece. A run without a piece by then is taken to be in the engine's queue."""


@dataclass(frozen=True, slots=True)
class LocalRun:
    """One run under way.

    Attributes
    ----------
    ledger : JobLedger
        The job that its item is of.
    progress : ItemProgress
        The item, with its text so far.
    instance, start : str
        The engine, and which start of it (`ListedTarget.start`).
    sent_at_seconds : float
        When it was sent (monotonic).
    pieces_before : int
        Pieces that its text had then.
    """

    ledger: JobLedger
    progress: ItemProgress
    instance: str
    start: str
    sent_at_seconds: float
    pieces_before: int = 0

    @property
    def key(self) -> tuple[str, str]:
        """The job and the item that it is of."""
        return (self.ledger.job.job_id, self.progress.item.item_id)

    @property
    def has_begun(self) -> bool:
        """Whether it has brought a piece."""
        return self.progress.last_number > self.pieces_before

    def is_queued(self, now_seconds: float) -> bool:
        """Return whether it is in its engine's queue, by the time that it has taken to begin."""
        return not self.has_begun and now_seconds >= self.sent_at_seconds + BEGIN_PATIENCE_SECONDS


@dataclass(slots=True)
class LocalRuns:
    """All runs under way, by engine's start, job and item."""

    by_start: dict[str, dict[tuple[str, str], LocalRun]] = field(default_factory=dict)

    def began(self, run: LocalRun) -> None:
        """Count a run in."""
        self.by_start.setdefault(run.start, {})[run.key] = run

    def ended(self, run: LocalRun) -> None:
        """Count a run out; a later one of its item stays."""
        runs = self.by_start.get(run.start, {})
        if runs.get(run.key) is not run:
            return
        del runs[run.key]
        if not runs:
            del self.by_start[run.start]

    def at(self, start: str) -> list[LocalRun]:
        """Return the runs at one start of an engine."""
        return list(self.by_start.get(start, {}).values())

    def queued(self, start: str, now_seconds: float) -> int:
        """Return how many of them have not begun though a free engine would have begun them."""
        return sum(run.is_queued(now_seconds) for run in self.by_start.get(start, {}).values())
