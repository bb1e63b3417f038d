"""A batch job on the daemon that owns it."""

import asyncio
from dataclasses import dataclass, field

from rackswitch.jobs import Job, JobLedger, JobResult
from rackswitch.table import RouteRow

__all__ = ["OwnedJob", "new_owned_job"]

UNROUTED_KEEP_SECONDS = 3600.0
"""How long items of a job without a known route are tried; a route's default value."""


@dataclass(slots=True)
class OwnedJob:
    """A job that this daemon owns.

    Attributes
    ----------
    owner_revision : int
        Fencing number of this owner's writes.
    submitted_seconds : float
        When the job was submitted (monotonic).
    due_seconds, keep_until_seconds : float
        Deadline for all results, and when items may be abandoned (monotonic).
    runs : dict of str to asyncio.Task
        Active runs and reward calls, by item.
    next_append_seconds, last_append_seconds : float
        Earliest next append after a failed one, and time of the last append (monotonic).
    appending : asyncio.Lock
        Held during an append, so that there is one at a time.
    successor : str
        Daemon that the job is being handed over to; empty if none is.
    awaits_claim : bool
        Whether the job was handed over here while the key-value service was unreachable. It runs,
        but its results are neither served nor listed before it is claimed; `owner_revision` is the
        former owner's.
    append_is_unknown : bool
        Whether the last segment may be stored although its append was not confirmed.
    may_miss_results : bool
        Whether another daemon may have listed results that are not in the ledger. Readers use the
        key-value service until these are loaded, or a segment is appended after them.
    is_unrouted : bool
        Whether no table so far had the job's route.
    results_listed : asyncio.Event
        Set when results are listed, and then replaced by a new event.
    """

    ledger: JobLedger
    owner_revision: int
    submitted_seconds: float
    due_seconds: float
    keep_until_seconds: float
    runs: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    results_listed: asyncio.Event = field(default_factory=asyncio.Event)
    next_append_seconds: float = 0.0
    last_append_seconds: float = float("-inf")
    next_checkpoint_seconds: float = 0.0
    appending: asyncio.Lock = field(default_factory=asyncio.Lock)
    append_is_unknown: bool = False
    successor: str = ""
    awaits_claim: bool = False
    may_miss_results: bool = False
    is_unrouted: bool = True

    @property
    def may_append(self) -> bool:
        """Whether results may be appended: the job is claimed and not being handed over."""
        return not self.awaits_claim and not self.successor

    @property
    def may_serve_results(self) -> bool:
        """Whether readers may be served from the ledger: it has all listed results."""
        return self.may_append and not self.may_miss_results

    def apply_route(self, route: RouteRow) -> None:
        """Apply the deadlines and limits of the job's route, which may change while the job runs.

        The keep time is never shortened: a submitter relies on the one that it was accepted with.
        """
        keep_until_seconds = self.submitted_seconds + route.keep_seconds
        if self.is_unrouted or keep_until_seconds > self.keep_until_seconds:
            self.keep_until_seconds = keep_until_seconds
        self.is_unrouted = False
        self.due_seconds = self.submitted_seconds + route.due_seconds
        self.ledger.max_failures = route.most_attempts
        self.ledger.single_version = route.single_version

    def record_claim(self, owner_revision: int, may_miss_results: bool) -> None:
        """Record this daemon's claim of the job."""
        self.owner_revision = owner_revision
        self.awaits_claim = False
        self.may_miss_results = may_miss_results

    def add_listed_results(self, position: int, results: list[JobResult]) -> None:
        """Add results that are in the key-value service already; cancel their items' runs."""
        self.ledger.record_segment(position, results)
        for result in results:
            run = self.runs.pop(result.item_id, None)
            if run is not None:
                run.cancel()

    def notify_readers(self) -> None:
        """Wake the readers that wait for results."""
        self.results_listed.set()
        self.results_listed = asyncio.Event()


def new_owned_job(
    job: Job,
    owner_revision: int,
    listed: list[JobResult],
    route: RouteRow | None,
    submitted_seconds: float,
) -> OwnedJob:
    """Return a job with its route's deadlines and limits.

    Parameters
    ----------
    job : Job
        The job.
    owner_revision : int
        Revision of this daemon's claim.
    listed : list of JobResult
        The results that have positions already.
    route : RouteRow or None
        The job's route; None if the table has none.
    submitted_seconds : float
        When the job was submitted (monotonic).
    """
    owned = OwnedJob(
        JobLedger(job, listed),
        owner_revision,
        submitted_seconds,
        due_seconds=submitted_seconds,
        keep_until_seconds=submitted_seconds + UNROUTED_KEEP_SECONDS,
    )
    if route is not None:
        owned.apply_route(route)
    return owned
