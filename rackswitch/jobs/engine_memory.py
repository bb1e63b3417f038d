"""How much room engines have for more runs: slots and memory together.

An engine whose memory runs out preempts a run in the middle of its text. What each run holds
grows until its end, so a run fits only if all that are there fit with what they will hold.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from rackswitch.jobs.local_runs import LocalRun
from rackswitch.jobs.occupancy import LOAD_LIFE_SECONDS
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

QUEUED_RUNS = 1
"""Runs that an owner may have queued at an engine beyond its slots. With one, the engine goes on
at once when another owner's run ends, which this owner cannot see; each more waits there for a
slot while one may become free elsewhere."""


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """What more an engine takes.

    Attributes
    ----------
    slots : int
        Runs that may be sent to it.
    tokens : float
        Memory for them, with all that they will hold; infinite if it is not known.
    """

    slots: int
    tokens: float


@dataclass(frozen=True, slots=True)
class _Used:
    """What others' runs held of an engine, and until when that counts (monotonic)."""

    others_tokens: float
    until_seconds: float


@dataclass(slots=True)
class EngineMemory:
    """What engines have told of their memory, by start.

    Attributes
    ----------
    total_tokens : dict of str to int
        All that an engine has.
    """

    total_tokens: dict[str, int] = field(default_factory=dict)
    _used: dict[str, _Used] = field(default_factory=dict)

    def heard(
        self,
        start: str,
        used_tokens: int,
        total_tokens: int,
        own_tokens: float,
        now_seconds: float,
    ) -> None:
        """Take in an engine's word, its statement about its own load.

        Parameters
        ----------
        start : str
            Which start of the engine.
        used_tokens, total_tokens : int
            What is used and cannot give way, and all that it has; 0 for the latter if it does
            not say.
        own_tokens : float
            What this daemon's runs hold of the former.
        now_seconds : float
            Monotonic clock.
        """
        if total_tokens <= 0:
            return
        self.total_tokens[start] = total_tokens
        others_tokens = max(0.0, used_tokens - own_tokens)
        self._used[start] = _Used(others_tokens, now_seconds + LOAD_LIFE_SECONDS)

    def keep_only(self, starts: Collection[str]) -> None:
        """Drop all that is known of engines that are gone."""
        for start in [start for start in self.total_tokens if start not in starts]:
            del self.total_tokens[start], self._used[start]

    def free_tokens(self, start: str, own_tokens_at_end: float, now_seconds: float) -> float:
        """Return what is left for more runs once this daemon's own have grown to their ends.

        Parameters
        ----------
        start : str
            Which start of the engine.
        own_tokens_at_end : float
            What this daemon's runs there will hold.
        now_seconds : float
            Monotonic clock.
        """
        total_tokens = self.total_tokens.get(start)
        if total_tokens is None:
            return math.inf
        used = self._used[start]
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
    """Return what an engine takes of one owner: the two bounds together.

    Parameters
    ----------
    slots : int
        Runs that it works on at once.
    own_runs, own_queued : int
        Runs of this owner there, and those among them that have not begun: a run in its queue
        says that an engine is full, whatever its last word was.
    others_runs : int
        Runs of others, by the engine's last word.
    free_tokens : float
        Memory that is left for more runs.
    is_shared : bool, optional
        Whether others' runs are counted; else each owner takes all slots for its own.
    """
    own_room = slots - own_runs
    if not is_shared:
        return FreeCapacity(own_room, free_tokens)
    if own_queued:
        return FreeCapacity(min(own_room, QUEUED_RUNS - own_queued), free_tokens)
    return FreeCapacity(min(own_room, max(QUEUED_RUNS, own_room - others_runs)), free_tokens)


def item_tokens(progress: ItemProgress, forecast: LengthForecast) -> float:
    """Return what an item's run will probably hold at its end, with its prompt."""
    return progress.item.prompt_tokens + _text_tokens(progress, forecast)


def tokens_at_end(runs: Iterable[LocalRun], forecast: LengthForecast) -> float:
    """Return what runs at one engine will hold together at their ends."""
    return _tokens(runs, lambda progress: _text_tokens(progress, forecast))


def tokens_held(runs: Iterable[LocalRun], forecast: LengthForecast) -> float:
    """Return what runs at one engine hold together by now."""
    return _tokens(runs, lambda progress: progress.last_number / forecast.pieces_per_token)


def _tokens(runs: Iterable[LocalRun], text_tokens: Callable[[ItemProgress], float]) -> float:
    """Add up texts, and prompts once for each group: its items share their prompt."""
    prompts: dict[tuple[str, str], int] = {}
    total = 0.0
    for run in runs:
        item = run.progress.item
        # An item without a group shares its prompt with none.
        group = (run.ledger.job.job_id, item.group or item.item_id)
        prompts[group] = max(prompts.get(group, 0), item.prompt_tokens)
        total += text_tokens(run.progress)
    return total + sum(prompts.values())


def _text_tokens(progress: ItemProgress, forecast: LengthForecast) -> float:
    """Return how long an item's text probably becomes, within what it may."""
    item = progress.item
    most = float(item.tokens - item.prompt_tokens)
    if item.expected_tokens <= 0:
        return most
    pieces = progress.last_number + forecast.remaining_pieces(progress)
    return min(most, pieces / forecast.pieces_per_token)
