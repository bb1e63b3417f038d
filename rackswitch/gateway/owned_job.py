"""A batch job on the daemon that owns it."""

import asyncio
from dataclasses import dataclass, field

from rackswitch.jobs import JobLedger

__all__ = ["OwnedJob"]


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
    appending : asyncio.Lock
        Held while a segment of results is being kept: there is one at a time.
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
    next_checkpoint_seconds: float = 0.0
    appending: asyncio.Lock = field(default_factory=asyncio.Lock)

    def tell_news(self) -> None:
        """Wake all who wait for results."""
        self.news.set()
        self.news = asyncio.Event()
