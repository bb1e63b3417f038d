"""A batch job on the daemon that owns it."""

import asyncio
from dataclasses import dataclass, field

from rackswitch.jobs import Job, JobLedger, JobResult
from rackswitch.table import RouteRow

__all__ = ["OwnedJob", "new_owned_job"]

UNROUTED_KEEP_SECONDS = 3600.0
"""How long a job is kept whose route is unknown; as long as a route that does not say."""


@dataclass(slots=True)
class OwnedJob:
    """A job that this daemon owns.

    Attributes
    ----------
    owner_revision : int
        Fences this owner's writes.
    due_seconds, keep_until_seconds : float
        When all results are wanted, and from when items may be given up (monotonic).
    runs : dict of str to asyncio.Task
        Runs and reward calls under way, by item.
    next_append_seconds, last_append_seconds : float
        From when on results may be appended again after a refusal, and when they last were
        (monotonic).
    appending : asyncio.Lock
        Held while a segment of results is being kept: there is one at a time.
    successor : str
        Daemon that the job is being handed over to; empty if none is.
    awaits_claim : bool
        Whether the job was handed over here while the key-value service was away. It is worked on,
        but nothing of it is told or listed before it is claimed; `owner_revision` is the former
        owner's.
    append_is_unknown : bool
        Whether the last segment may be kept although nobody has said so.
    is_behind : bool
        Whether another daemon may have listed results that are not known here. Until they
        are, or a segment is appended behind all, the key-value service is read.
    news : asyncio.Event
        Set when results were listed; replaced then.
    """

    ledger: JobLedger
    owner_revision: int
    due_seconds: float
    keep_until_seconds: float
    runs: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    next_append_seconds: float = 0.0
    last_append_seconds: float = float("-inf")
    next_checkpoint_seconds: float = 0.0
    appending: asyncio.Lock = field(default_factory=asyncio.Lock)
    append_is_unknown: bool = False
    successor: str = ""
    awaits_claim: bool = False
    is_behind: bool = False

    @property
    def may_list(self) -> bool:
        """Whether results may be listed here: not without a claim or beside another owner."""
        return not self.awaits_claim and not self.successor

    @property
    def may_tell(self) -> bool:
        """Whether results may be read here: all that are listed are known."""
        return self.may_list and not self.is_behind

    def claimed(self, owner_revision: int, is_behind: bool) -> None:
        """Note that this daemon owns the job from a revision on."""
        self.owner_revision = owner_revision
        self.awaits_claim = False
        self.is_behind = is_behind

    def take_in(self, position: int, results: list[JobResult]) -> None:
        """Note results that were listed already; runs of their items end."""
        self.ledger.appended(position, results)
        for result in results:
            run = self.runs.pop(result.item_id, None)
            if run is not None:
                run.cancel()

    def tell_news(self) -> None:
        """Wake all who wait for results."""
        self.news.set()
        self.news = asyncio.Event()


def new_owned_job(
    job: Job,
    owner_revision: int,
    listed: list[JobResult],
    route: RouteRow | None,
    begun_seconds: float,
) -> OwnedJob:
    """Return a job with its route's bounds.

    Parameters
    ----------
    job : Job
        The job.
    owner_revision : int
        Of this daemon's claim.
    listed : list of JobResult
        The results that have positions already.
    route : RouteRow or None
        The job's route; None if no table in force knows it.
    begun_seconds : float
        When the job was submitted (monotonic).
    """
    if route is None:
        ledger = JobLedger(job, listed)
        keep_until_seconds = begun_seconds + UNROUTED_KEEP_SECONDS
        return OwnedJob(ledger, owner_revision, begun_seconds, keep_until_seconds)
    ledger = JobLedger(
        job,
        listed,
        max_failures=route.most_attempts,
        single_version=route.single_version,
    )
    return OwnedJob(
        ledger,
        owner_revision,
        due_seconds=begun_seconds + route.due_seconds,
        keep_until_seconds=begun_seconds + route.keep_seconds,
    )
