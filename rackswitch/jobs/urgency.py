"""The urgency level that is sent to an engine with a run.

An engine admits the most urgent run of its queue first. So runs of several owners start in the
common order, although no owner knows what the others have sent.
"""

from collections.abc import Collection

__all__ = ["DEFAULT_URGENCY", "urgency_levels", "urgency_of"]

DEFAULT_URGENCY = 5
"""Level that engines assume for a request without one."""

MOST_URGENT, LEAST_URGENT = 0, 9
"""Range of the levels that engines accept."""

TIGHT_SLACK_SECONDS = 1.0
"""An item with less slack than this is late after one wait in a full engine's queue."""

LATE, TIGHT, AMPLE, SURPLUS = range(4)
"""Grades of an item's slack. They are few, so that only a run that is clearly closer to being
late displaces another."""

MAX_URGENCY_POSITION = 2 * SURPLUS + 1
"""Last position, counted from 0. Each grade has two: one for items of the first rank, one for
all others."""


def urgency_levels(rank: int, call_ranks: Collection[int]) -> tuple[int, int]:
    """Return the most and the least urgent level that runs of a rank may have.

    Calls are sent without a level and get the middle one. Items of a rank before that of the calls
    get more urgent levels, items of a later rank less urgent ones.

    Parameters
    ----------
    rank : int
        Rank of the items' route, 0 first.
    call_ranks : collection of int
        Ranks of all call routes that the same engines serve.
    """
    most_urgent, least_urgent = MOST_URGENT, LEAST_URGENT
    if any(call_rank < rank for call_rank in call_ranks):
        most_urgent = DEFAULT_URGENCY + 1
    if any(call_rank > rank for call_rank in call_ranks):
        least_urgent = DEFAULT_URGENCY - 1
    if rank in call_ranks or most_urgent > least_urgent:
        return DEFAULT_URGENCY, DEFAULT_URGENCY
    return most_urgent, least_urgent


def urgency_of(
    slack_seconds: float, is_surplus: bool, is_first_rank: bool, levels: tuple[int, int]
) -> int:
    """Return the level of a run, by its slack, and within a grade by its rank.

    Parameters
    ----------
    slack_seconds : float
        Time left until the item must have started to be complete when due.
    is_surplus : bool
        Whether the item's trainer will not wait for it.
    is_first_rank : bool
        Whether no items at the same engines have an earlier rank.
    levels : (int, int)
        Most and least urgent level that the run may have.
    """
    most_urgent, least_urgent = levels
    position = 2 * _slack_grade(slack_seconds, is_surplus) + (not is_first_rank)
    return most_urgent + position * (least_urgent - most_urgent) // MAX_URGENCY_POSITION


def _slack_grade(slack_seconds: float, is_surplus: bool) -> int:
    if is_surplus:
        return SURPLUS
    if slack_seconds <= 0.0:
        return LATE
    return TIGHT if slack_seconds < TIGHT_SLACK_SECONDS else AMPLE
