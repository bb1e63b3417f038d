"""The runs of items that this daemon has at engines."""

from dataclasses import dataclass, field

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.progress import ItemProgress

__all__ = ["OwnRun", "OwnRuns"]


@dataclass(frozen=True, slots=True)
class OwnRun:
    """One run under way.

    Attributes
    ----------
    instance, start : str
        The engine, and which start of it.
    """

    ledger: JobLedger
    progress: ItemProgress
    instance: str
    start: str

    @property
    def key(self) -> tuple[str, str]:
        """The job and the item that it is of."""
        return (self.ledger.job.job_id, self.progress.item.item_id)


@dataclass(slots=True)
class OwnRuns:
    """All runs under way, by job and item."""

    runs: dict[tuple[str, str], OwnRun] = field(default_factory=dict)

    def began(self, run: OwnRun) -> None:
        """Count a run in."""
        self.runs[run.key] = run

    def ended(self, run: OwnRun) -> None:
        """Count a run out; a later one of its item stays."""
        if self.runs.get(run.key) is run:
            del self.runs[run.key]

    def at(self, start: str) -> list[OwnRun]:
        """Return the runs at one start of an engine."""
        return [run for run in self.runs.values() if run.start == start]
