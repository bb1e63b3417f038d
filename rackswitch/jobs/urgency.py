"""How urgent an engine is told that a run is.

Engines that several owners fill admit the most urgent of their queue first. So the owners' common
order holds in the queues too, though no owner knows what the others have sent.
"""

from collections.abc import Collection

__all__ = ["MIDDLE_URGENCY", "urgency_levels", "urgency_of"]

MIDDLE_URGENCY = 5
"""Level that engines give to a request that names none."""

MOST_URGENT, LEAST_URGENT = 0, 9
"""The range of levels that engines know."""

TIGHT_SECONDS = 1.0
"""An item with less slack than that is late after one wait in a full engine's queue."""

LATE, TIGHT, EASY, SURPLUS = range(4)
"""Grades of an item. They are few, so that a run is displaced only by one that is clearly nearer
to being late."""

LAST_PLACE = 2 * SURPLUS + 1
"""The last place, counted from 0. Each grade has two: one for the first rank, one behind it for all
others."""


def urgency_levels(rank: int, call_ranks: Collection[int]) -> tuple[int, int]:
    """Return the most and the least urgent level that runs of a rank may have.

    Calls are sent without a level and stand in the middle. Items of a rank before theirs stay
    before them, items of a later rank behind them.

    Parameters
    ----------
    rank : int
        The rank of the items' route, 0 first.
    call_ranks : collection of int
        Ranks of all routes of calls that the same engines serve.
    """
    first, last = MOST_URGENT, LEAST_URGENT
    if any(call < rank for call in call_ranks):
        first = MIDDLE_URGENCY + 1
    if any(call > rank for call in call_ranks):
        last = MIDDLE_URGENCY - 1
    if rank in call_ranks or first > last:
        return MIDDLE_URGENCY, MIDDLE_URGENCY
    return first, last


def urgency_of(
    slack_seconds: float, is_surplus: bool, is_first_rank: bool, levels: tuple[int, int]
) -> int:
    """Return the level of a run: by its slack, and by its rank among runs of one grade.

    Parameters
    ----------
    slack_seconds : float
        From now until the item must have begun to be whole in time.
    is_surplus : bool
        Whether its trainer will not wait for it.
    is_first_rank : bool
        Whether no items at the same engines have a rank before its own.
    levels : (int, int)
        The most and the least urgent level that it may have.
    """
    first, last = levels
    place = 2 * _grade(slack_seconds, is_surplus) + (not is_first_rank)
    return first + place * (last - first) // LAST_PLACE


def _grade(slack_seconds: float, is_surplus: bool) -> int:
    if is_surplus:
        return SURPLUS
    if slack_seconds <= 0.0:
        return LATE
    return TIGHT if slack_seconds < TIGHT_SECONDS else EASY
