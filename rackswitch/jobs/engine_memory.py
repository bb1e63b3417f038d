"""The capacity of engines for more runs: slots and memory together.

An engine that runs out of memory preempts a run in the middle of its text. A run's memory grows
until its end, so a run fits only if the final sizes of all runs there fit.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from rackswitch.jobs.local_runs import LocalRun
from rackswitch.jobs.occupancy import LOAD_REPORT_LIFETIME_SECONDS
from rackswitch.jobs.progress import ItemProgress
from rackswitch.jobs.schedule import LengthForecast

__all__ = [
    "EngineMemory",
    "FreeCapacity",
    "free_capacity",
    "item_tokens",
    "tokens_at_end",
    "tokens_held",
]

MAX_QUEUED_RUNS = 1
"""Runs that an owner may queue at an engine beyond its free slots. One lets the engine continue
at once when another owner's run ends; more would wait there while a slot may become free
elsewhere."""


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """The free capacity of an engine.

    Attributes
    ----------
    slots : int
        Runs that may be sent to it.
    tokens : float
        Memory for them, in tokens of their final sizes; infinite if unknown.
    """

    slots: int
    tokens: float


@dataclass(frozen=True, slots=True)
class _OthersUsage:
    """Memory used by other daemons' runs, and until when this report is valid (monotonic)."""

    others_tokens: float
    until_seconds: float


@dataclass(slots=True)
class EngineMemory:
    """Memory that engines have reported, by engine start.

    Attributes
    ----------
    total_tokens : dict of str to int
        An engine's total memory, in tokens.
    """

    total_tokens: dict[str, int] = field(default_factory=dict)
    _others_usage: dict[str, _OthersUsage] = field(default_factory=dict)

    def record_usage(
        self,
        start: str,
        used_tokens: int,
        total_tokens: int,
        own_tokens: float,
        now_seconds: float,
    ) -> None:
        """Record the memory in an engine's load report.

        Parameters
        ----------
        start : str
            Which start of the engine.
        used_tokens, total_tokens : int
            Memory that is used and cannot be evicted, and total memory; 0 for the latter if the
            engine does not report it.
        own_tokens : float
            Part of `used_tokens` held by this daemon's runs.
        now_seconds : float
            Monotonic clock.
        """
        if total_tokens <= 0:
            return
        self.total_tokens[start] = total_tokens
        others_tokens = max(0.0, used_tokens - own_tokens)
        self._others_usage[start] = _OthersUsage(
            others_tokens, now_seconds + LOAD_REPORT_LIFETIME_SECONDS
        )

    def keep_only(self, starts: Collection[str]) -> None:
        """Discard the memory of all other engine starts."""
        for start in [start for start in self.total_tokens if start not in starts]:
            del self.total_tokens[start], self._others_usage[start]

    def free_tokens(self, start: str, own_tokens_at_end: float, now_seconds: float) -> float:
        """Return the memory for more runs, with this daemon's own runs counted at their final size.

        Parameters
        ----------
        start : str
            Which start of the engine.
        own_tokens_at_end : float
            Final size of this daemon's runs there.
        now_seconds : float
            Monotonic clock.
        """
        total_tokens = self.total_tokens.get(start)
        if total_tokens is None:
            return math.inf
        used = self._others_usage[start]
        others_tokens = used.others_tokens if now_seconds < used.until_seconds else 0.0
        return total_tokens - own_tokens_at_end - others_tokens


def free_capacity(
    slots: int,
    own_runs: int,
    own_queued: int,
    others_runs: int,
    free_tokens: float,
    is_shared: bool = True,
) -> FreeCapacity:
    """Return the free capacity of an engine for one owner, limited by slots and by memory.

    Parameters
    ----------
    slots : int
        Runs that it works on at once.
    own_runs, own_queued : int
        This owner's runs there, and how many of them have not begun. A queued run shows that the
        engine is full, whatever its last report said.
    others_runs : int
        Other owners' runs by the engine's last report.
    free_tokens : float
        Memory for more runs, in tokens.
    is_shared : bool, optional
        Whether others' runs are counted; otherwise each owner uses all slots.
    """
    own_free_slots = slots - own_runs
    if not is_shared:
        return FreeCapacity(own_free_slots, free_tokens)
    if own_queued:
        return FreeCapacity(min(own_free_slots, MAX_QUEUED_RUNS - own_queued), free_tokens)
    return FreeCapacity(
        min(own_free_slots, max(MAX_QUEUED_RUNS, own_free_slots - others_runs)), free_tokens
    )


def item_tokens(progress: ItemProgress, forecast: LengthForecast) -> float:
    """Return the expected final memory use of an item's run, with its prompt, in tokens."""
    return progress.item.prompt_tokens + _text_tokens(progress, forecast)


def tokens_at_end(runs: Iterable[LocalRun], forecast: LengthForecast) -> float:
    """Return the expected final memory use of runs at one engine, in tokens."""
    return _sum_tokens(runs, lambda progress: _text_tokens(progress, forecast))


def tokens_held(runs: Iterable[LocalRun], forecast: LengthForecast) -> float:
    """Return the present memory use of runs at one engine, in tokens."""
    return _sum_tokens(runs, lambda progress: progress.last_number / forecast.pieces_per_token)


def _sum_tokens(runs: Iterable[LocalRun], text_tokens_of: Callable[[ItemProgress], float]) -> float:
    """Sum up the texts, and the prompts once per group, since a group shares its prompt."""
    prompt_tokens: dict[tuple[str, str], int] = {}
    total_tokens = 0.0
    for run in runs:
        item = run.progress.item
        # An item without a group shares its prompt with no other item.
        group_key = (run.ledger.job.job_id, item.group or item.item_id)
        prompt_tokens[group_key] = max(prompt_tokens.get(group_key, 0), item.prompt_tokens)
        total_tokens += text_tokens_of(run.progress)
    return total_tokens + sum(prompt_tokens.values())


def _text_tokens(progress: ItemProgress, forecast: LengthForecast) -> float:
    """Return the expected final length of an item's text, within its limit."""
    item = progress.item
    max_tokens = float(item.tokens - item.prompt_tokens)
    if item.expected_tokens <= 0:
        return max_tokens
    pieces = progress.last_number + forecast.remaining_pieces(progress)
    return min(max_tokens, pieces / forecast.pieces_per_token)
