"""One batch job on the daemon that owns it.

The ledger decides which items may start, when a result may be listed and at
which position. A position is given only once the segment that holds it is
known to be kept in the key-value service; segments are appended one at a time
by the owner alone, so a position never moves.
"""

from collections import Counter
from dataclasses import dataclass, field

from rackswitch.jobs.messages import Job, JobResult
from rackswitch.jobs.progress import ItemPhase, ItemProgress
from rackswitch.outcomes import check_invariant

__all__ = ["JobLedger"]

MAX_RESULTS_PER_SEGMENT = 256
MAX_SEGMENT_CHARACTERS = 500_000
"""Keeps a segment, as base64, below the 1 MiB that a value may have."""

RETRY_PAUSE_SECONDS = 0.05
"""Pause before an item whose run broke starts again; engines that refuse are found
out within a few network round trips, so this only spaces a busy loop."""


@dataclass(slots=True)
class JobLedger:
    """The state of a job's items, and its results in their order.

    Parameters
    ----------
    job : Job
        The job.
    listed : list of JobResult
        Results that are kept, by position.
    max_failures : int
        Failures of an item's runs after which it is given up.
    single_version : bool
        Whether all of a text must be made by one version.
    """

    job: Job
    listed: list[JobResult] = field(default_factory=list)
    max_failures: int = 3
    single_version: bool = False
    ended: bool = False
    items: dict[str, ItemProgress] = field(default_factory=dict)
    _pending: list[JobResult] = field(default_factory=list)
    _unfinished: Counter[str] = field(default_factory=Counter)
    _unlisted: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.items = {item.item_id: ItemProgress(item) for item in self.job.items}
        self._unfinished = Counter(item.group for item in self.job.items)
        self._unlisted = Counter(self._unfinished)
        for result in self.listed:
            self._mark_listed(result)

    @property
    def total(self) -> int:
        """The number of items."""
        return len(self.job.items)

    @property
    def groups(self) -> list[str]:
        """Its groups, in the order of their first items."""
        return list(self._unfinished)

    @property
    def is_complete(self) -> bool:
        """Whether every item is listed."""
        return len(self.listed) == self.total

    def waiting(self, now_seconds: float) -> list[ItemProgress]:
        """Return the items that may start now; none once the job is ended."""
        if self.ended:
            return []
        return [
            progress
            for progress in self.items.values()
            if progress.phase is ItemPhase.WAITING and now_seconds >= progress.not_before_seconds
        ]

    def started(self, progress: ItemProgress) -> None:
        """Note that a run of an item begins."""
        check_invariant(progress.phase is ItemPhase.WAITING, "an item runs once at a time")
        progress.phase = ItemPhase.RUNNING
        progress.run_number += 1

    def postponed(self, progress: ItemProgress, until_seconds: float) -> None:
        """Note that an item was not sent and must not be before a moment."""
        if progress.result is not None:
            return
        progress.phase = ItemPhase.WAITING
        progress.not_before_seconds = until_seconds

    def broke(self, progress: ItemProgress, target: str, now_seconds: float) -> None:
        """Note that a run ended before the text was whole, through no fault of the item.

        Its result may have been listed meanwhile, from another owner: it runs no more then.
        """
        if progress.result is not None:
            return
        progress.phase = ItemPhase.WAITING
        progress.avoid = target
        progress.not_before_seconds = now_seconds + RETRY_PAUSE_SECONDS

    def failed(self, progress: ItemProgress, now_seconds: float) -> None:
        """Note that an engine ended a run with a failure; enough of them end the item."""
        if progress.result is not None:
            return
        progress.failures += 1
        if progress.failures >= self.max_failures:
            self.give_up(progress)
            return
        progress.phase = ItemPhase.WAITING
        progress.not_before_seconds = now_seconds + RETRY_PAUSE_SECONDS

    def whole(self, progress: ItemProgress) -> None:
        """Note that the text is whole; it is listed at once or after its reward call."""
        if progress.result is not None:
            return
        if progress.item.reward is None:
            self._finish(progress, "")
        else:
            progress.phase = ItemPhase.SCORING

    def scored(self, progress: ItemProgress, score: str) -> None:
        """Note the answer of the reward call."""
        self._finish(progress, score)

    def reward_failed(self, progress: ItemProgress, failures: int, max_failures: int) -> bool:
        """Note answers by which the reward service failed; return whether to try again.

        Parameters
        ----------
        progress : ItemProgress
            The item.
        failures : int
            Answers since the last call of this method.
        max_failures : int
            How many of them, over all calls, the reward call's own route allows.
        """
        progress.reward_failures += failures
        if progress.reward_failures < max_failures:
            return True
        self.give_up(progress)
        return False

    def give_up(self, progress: ItemProgress) -> None:
        """End an item without a text."""
        if progress.result is not None:
            return
        self.take_result(progress, JobResult(item_id=progress.item.item_id, completed=False))

    def next_segment(self) -> tuple[int, list[JobResult]]:
        """Return the results to append now, and the position of the first of them."""
        segment: list[JobResult] = []
        characters = 0
        for result in self._pending[:MAX_RESULTS_PER_SEGMENT]:
            characters += len(result.text)
            if segment and characters > MAX_SEGMENT_CHARACTERS:
                break
            segment.append(result)
        return len(self.listed), segment

    def appended(self, position: int, segment: list[JobResult]) -> None:
        """Note that a segment is kept, whether it is the one last proposed or an earlier one."""
        check_invariant(position == len(self.listed), "segments are appended in order")
        known = {result.item_id for result in self.listed}
        for result in segment:
            check_invariant(result.item_id not in known, "an item is listed once")
            known.add(result.item_id)
            self.listed.append(result)
            self._mark_listed(result)
        self._pending = [result for result in self._pending if result.item_id not in known]

    @property
    def decides_step(self) -> bool:
        """Whether results wait to be listed with which the job has all that is wanted of it."""
        groups = len(self._unfinished)
        wanted = min(self.job.wanted_groups, groups) or groups
        finished = sum(count <= 0 for count in self._unfinished.values())
        listed = sum(count <= 0 for count in self._unlisted.values())
        return finished >= wanted > listed

    @property
    def has_pending(self) -> bool:
        """Whether results wait to be appended."""
        return bool(self._pending)

    def end(self) -> None:
        """Note that the submitter has ended the job: nothing of it starts any more."""
        self.ended = True

    def _finish(self, progress: ItemProgress, score: str) -> None:
        if progress.result is not None:
            return
        result = JobResult(
            item_id=progress.item.item_id,
            completed=True,
            text=progress.text(),
            versions=tuple(progress.versions),
            score=score,
        )
        self.take_result(progress, result)

    def take_result(self, progress: ItemProgress, result: JobResult) -> None:
        """Note the end of an item, which waits for a position from now on."""
        if progress.result is None:
            self._unfinished[progress.item.group] -= 1
        progress.result = result
        progress.phase = ItemPhase.FINISHED
        progress.begin_anew()
        self._pending.append(result)

    def _mark_listed(self, result: JobResult) -> None:
        progress = self.items.get(result.item_id)
        check_invariant(progress is not None, "a result belongs to an item of its job")
        if progress is not None:
            if progress.result is None:
                self._unfinished[progress.item.group] -= 1
            self._unlisted[progress.item.group] -= 1
            progress.result = result
            progress.phase = ItemPhase.LISTED
            progress.begin_anew()
