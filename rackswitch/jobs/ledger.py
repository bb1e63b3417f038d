"""The state of one batch job on the daemon that owns it.

The ledger decides which items may start, when a result may be listed and at which position. A
result gets a position only after the segment that holds it is stored in the key-value service. Only
the owner appends segments, one at a time, so a position never changes.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from rackswitch.jobs.messages import Job, JobResult
from rackswitch.jobs.progress import ItemPhase, ItemProgress
from rackswitch.outcomes import check_invariant
from rackswitch.requests import backoff_seconds

__all__ = ["JobLedger"]

MAX_RESULTS_PER_SEGMENT = 256
MAX_SEGMENT_CHARACTERS = 500_000
"""Keeps a segment, encoded as base64, below the 1 MiB limit of a value."""

RETRY_DELAY_SECONDS = 0.05
"""Delay before an item is started again after an interrupted or failed run; prevents a busy
loop."""

MAX_ERROR_DELAY_SECONDS = 1.0
"""Maximum delay before an item continues after unexpected errors."""


@dataclass(slots=True)
class JobLedger:
    """The state of a job's items, and its results in order.

    Parameters
    ----------
    job : Job
        The job.
    listed : list of JobResult
        Stored results, by position.
    max_failures : int
        Number of failed runs after which an item is given up.
    single_version : bool
        Whether one version of the weights must generate all of a text.

    Attributes
    ----------
    allowed_regions : frozenset of str or None
        Regions in which its items may run by the table in force; None for all.
    limits_are_current : callable
        Returns whether `max_failures` comes from a table that is known to be current. Items are not
        given up by another one, but wait.
    limits_are_confirmed : callable
        Returns whether `single_version` comes from a table that includes all changes before the
        job's claim. A complete text of several versions waits for one.
    """

    job: Job
    listed: list[JobResult] = field(default_factory=list)
    max_failures: int = 3
    single_version: bool = False
    ended: bool = False
    items: dict[str, ItemProgress] = field(default_factory=dict)
    allowed_regions: frozenset[str] | None = None
    limits_are_current: Callable[[], bool] = lambda: True
    limits_are_confirmed: Callable[[], bool] = lambda: True
    _pending_results: list[JobResult] = field(default_factory=list)
    _unfinished_items: Counter[str] = field(default_factory=Counter)
    _unlisted_items: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.items = {item.item_id: ItemProgress(item) for item in self.job.items}
        self._unfinished_items = Counter(item.group for item in self.job.items)
        self._unlisted_items = Counter(self._unfinished_items)
        for result in self.listed:
            self._mark_listed(result)

    @property
    def total(self) -> int:
        """The number of items."""
        return len(self.job.items)

    @property
    def groups(self) -> list[str]:
        """The job's groups, in the order of their first items."""
        return list(self._unfinished_items)

    @property
    def is_complete(self) -> bool:
        """Whether every item is listed."""
        return len(self.listed) == self.total

    def startable_items(self, now_seconds: float) -> list[ItemProgress]:
        """Return the items that may start now; none once the job is ended."""
        if self.ended:
            return []
        return [
            progress for progress in self.items.values() if self._may_start(progress, now_seconds)
        ]

    def _may_start(self, progress: ItemProgress, now_seconds: float) -> bool:
        return (
            progress.phase is ItemPhase.WAITING
            and now_seconds >= progress.not_before_seconds
            and progress.failures < self.max_failures
        )

    def has_overdue_items(self, now_seconds: float) -> bool:
        """Return whether any item that may start now is overdue."""
        return not self.ended and any(
            progress.is_overdue(now_seconds) and self._may_start(progress, now_seconds)
            for progress in self.items.values()
        )

    def record_idle_items(self, now_seconds: float) -> None:
        """Record that waiting items that were never considered before are at no engine."""
        for progress in self.items.values():
            if progress.phase is ItemPhase.WAITING and progress.idle_since_seconds is None:
                progress.record_idle(now_seconds)

    def record_start(self, progress: ItemProgress) -> None:
        """Record the start of an item's run."""
        check_invariant(progress.phase is ItemPhase.WAITING, "an item runs once at a time")
        progress.phase = ItemPhase.RUNNING
        progress.run_number += 1

    def postpone(self, progress: ItemProgress, until_seconds: float) -> None:
        """Record that an item was not sent and must not be sent before a given time."""
        if progress.result is not None:
            return
        progress.phase = ItemPhase.WAITING
        progress.not_before_seconds = until_seconds

    def record_interruption(
        self,
        progress: ItemProgress,
        target: str,
        now_seconds: float,
        was_at_engine: bool = True,
    ) -> None:
        """Record that a run was interrupted, through no fault of the item.

        Does nothing if the item's result was listed meanwhile, by another owner.

        Parameters
        ----------
        progress : ItemProgress
            The item.
        target : str
            The engine.
        now_seconds : float
            The current time (monotonic).
        was_at_engine : bool, optional
            Whether the engine worked on the item.
        """
        if progress.result is not None:
            return
        progress.phase = ItemPhase.WAITING
        progress.record_idle(now_seconds, was_at_engine)
        progress.avoided_instance = target
        progress.not_before_seconds = now_seconds + RETRY_DELAY_SECONDS

    def record_error(self, progress: ItemProgress, now_seconds: float) -> None:
        """Record that an unexpected error ended the work on an item; it continues after a delay.

        An item whose text is complete stays in its phase, and its reward call is sent again.
        """
        if progress.result is not None:
            return
        delay_seconds = backoff_seconds(
            RETRY_DELAY_SECONDS, MAX_ERROR_DELAY_SECONDS, progress.errors
        )
        progress.errors += 1
        progress.not_before_seconds = now_seconds + delay_seconds
        if progress.phase is ItemPhase.RUNNING:
            progress.phase = ItemPhase.WAITING
            progress.record_idle(now_seconds, was_at_engine=False)

    def record_failure(self, progress: ItemProgress, now_seconds: float) -> None:
        """Record that an engine ended a run with a failure; too many failures end the item."""
        if progress.result is not None:
            return
        progress.failures += 1
        if progress.failures >= self.max_failures and self.limits_are_current():
            self.give_up(progress)
            return
        progress.phase = ItemPhase.WAITING
        progress.record_idle(now_seconds)
        progress.not_before_seconds = now_seconds + RETRY_DELAY_SECONDS

    def record_complete_text(self, progress: ItemProgress) -> None:
        """Record that a text is complete; its reward call, if any, comes next."""
        if progress.result is not None:
            return
        if len(progress.versions) > 1 and not self.limits_are_confirmed():
            progress.phase = ItemPhase.UNCONFIRMED
            return
        if progress.item.reward is None:
            self._complete_item(progress, "")
        else:
            progress.phase = ItemPhase.SCORING

    def exhausted_items(self) -> list[ItemProgress]:
        """Return the waiting items with too many failures, whose limits were not current then."""
        return [
            progress
            for progress in self.items.values()
            if progress.phase is ItemPhase.WAITING and progress.failures >= self.max_failures
        ]

    def settle_texts(self) -> None:
        """Accept the texts of several versions that had to wait, or let their items run again."""
        if not self.limits_are_confirmed():
            return
        for progress in self.items.values():
            if progress.phase is not ItemPhase.UNCONFIRMED:
                continue
            if self.single_version:
                progress.discard_text()
                progress.phase = ItemPhase.WAITING
            else:
                self.record_complete_text(progress)

    def record_score(self, progress: ItemProgress, score: str) -> None:
        """Record the answer of the reward call."""
        self._complete_item(progress, score)

    def record_reward_failures(
        self, progress: ItemProgress, failures: int, max_failures: int
    ) -> bool:
        """Record failed answers of the reward service; return whether to try again.

        Parameters
        ----------
        progress : ItemProgress
            The item.
        failures : int
            Failed answers since the last call of this method.
        max_failures : int
            Number of failed answers, over all calls, after which the item is given up. It comes
            from the reward call's own route.
        """
        progress.reward_failures += failures
        if progress.reward_failures < max_failures or not self.limits_are_current():
            return True
        self.give_up(progress)
        return False

    def give_up(self, progress: ItemProgress) -> None:
        """End an item without a text."""
        if progress.result is not None:
            return
        self.record_result(progress, JobResult(item_id=progress.item.item_id, completed=False))

    def next_segment(self) -> tuple[int, list[JobResult]]:
        """Return the position of the next segment and the results to append in it."""
        segment: list[JobResult] = []
        characters = 0
        for result in self._pending_results[:MAX_RESULTS_PER_SEGMENT]:
            characters += len(result.text)
            if segment and characters > MAX_SEGMENT_CHARACTERS:
                break
            segment.append(result)
        return len(self.listed), segment

    def record_segment(self, position: int, segment: list[JobResult]) -> None:
        """Record a stored segment, which may be an earlier one than the last proposed."""
        check_invariant(position == len(self.listed), "segments are appended in order")
        listed_ids = {result.item_id for result in self.listed}
        for result in segment:
            check_invariant(result.item_id not in listed_ids, "an item is listed once")
            listed_ids.add(result.item_id)
            self.listed.append(result)
            self._mark_listed(result)
        self._pending_results = [
            result for result in self._pending_results if result.item_id not in listed_ids
        ]

    @property
    def completes_step(self) -> bool:
        """Whether pending results complete the groups that the submitter waits for."""
        group_count = len(self._unfinished_items)
        wanted_count = min(self.job.wanted_groups, group_count) or group_count
        finished_count = sum(count <= 0 for count in self._unfinished_items.values())
        listed_count = sum(count <= 0 for count in self._unlisted_items.values())
        return finished_count >= wanted_count > listed_count

    @property
    def has_pending(self) -> bool:
        """Whether results wait to be appended."""
        return bool(self._pending_results)

    def end(self) -> None:
        """Record that the submitter ended the job; no more items start."""
        self.ended = True

    def _complete_item(self, progress: ItemProgress, score: str) -> None:
        if progress.result is not None:
            return
        result = JobResult(
            item_id=progress.item.item_id,
            completed=True,
            text=progress.text(),
            versions=tuple(progress.versions),
            score=score,
        )
        self.record_result(progress, result)

    def record_result(self, progress: ItemProgress, result: JobResult) -> None:
        """Record an item's result, which then waits for a position."""
        if progress.result is None:
            self._unfinished_items[progress.item.group] -= 1
        progress.result = result
        progress.phase = ItemPhase.FINISHED
        progress.discard_text()
        self._pending_results.append(result)

    def _mark_listed(self, result: JobResult) -> None:
        progress = self.items.get(result.item_id)
        check_invariant(progress is not None, "a result belongs to an item of its job")
        if progress is not None:
            if progress.result is None:
                self._unfinished_items[progress.item.group] -= 1
            self._unlisted_items[progress.item.group] -= 1
            progress.result = result
            progress.phase = ItemPhase.LISTED
            progress.discard_text()
