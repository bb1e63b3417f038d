"""The order in which items of several steps start at shared engines.

An item's slack is the time until its job is due less the expected time to complete its text. A
trainer waits only for some of its groups; the others yield to the items of other trainers.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.progress import ItemPhase, ItemProgress
from rackswitch.jobs.schedule import TYPICAL_SECONDS_PER_PIECE, EngineCapacity, LengthForecast

__all__ = ["SlackOrder", "available_paces", "surplus_groups"]

SLACK_RESOLUTION_SECONDS = 0.25
"""Slacks that differ by less count as equal, and the more urgent class goes first; forecasts of
single texts are no more precise."""

CARRIED_OVER_SHARE = 0.5
"""Share of the wanted groups that may be carried over from an earlier step. These are the first
in a job, and the trainer waits for them whichever others are complete."""


def surplus_groups(ledger: JobLedger, forecast: LengthForecast) -> set[str]:
    """Return the groups of a job that its trainer will probably not wait for.

    The groups with the least remaining work are wanted. A group is complete with its longest text;
    the total of its texts breaks ties.

    Parameters
    ----------
    ledger : JobLedger
        The job's ledger.
    forecast : LengthForecast
        Forecast of the length of texts.
    """
    groups = ledger.groups
    wanted_count = ledger.job.wanted_groups
    if not 0 < wanted_count < len(groups):
        return set()
    max_remaining: dict[str, float] = defaultdict(float)
    total_remaining: dict[str, float] = defaultdict(float)
    for progress in ledger.items.values():
        if progress.result is not None:
            continue
        group = progress.item.group
        is_complete = progress.phase in (ItemPhase.UNCONFIRMED, ItemPhase.SCORING)
        remaining_pieces = 0.0 if is_complete else forecast.remaining_pieces(progress)
        max_remaining[group] = max(max_remaining[group], remaining_pieces)
        total_remaining[group] += remaining_pieces
    carried_over = int(CARRIED_OVER_SHARE * wanted_count)
    ranked_groups = sorted(
        groups[carried_over:], key=lambda group: (max_remaining[group], total_remaining[group])
    )
    return set(ranked_groups[wanted_count - carried_over :])


def available_paces(engines: Iterable[EngineCapacity]) -> dict[str, float]:
    """Return, by service, the pace of the best engine for one more run, in seconds per piece."""
    paces: dict[str, float] = {}
    for engine in engines:
        seconds_per_piece = engine.expected_seconds_per_piece()
        best_seconds = paces.get(engine.service, seconds_per_piece)
        paces[engine.service] = min(best_seconds, seconds_per_piece)
    return paces


@dataclass(slots=True)
class SlackOrder:
    """The order of items over all jobs of one owner, at one moment.

    Parameters
    ----------
    service_of, due_seconds : dict
        By job, the service that runs its items and when it is due (monotonic).
    rank_of : dict of str to int
        By job, its rank, 0 first.
    paces_seconds : dict of str to float
        By service, the available pace, in seconds per piece.
    forecast : LengthForecast
        Forecast of the length of texts.
    surplus : dict of str to set of str, optional
        Surplus groups by job; missing entries are computed and added.
    """

    service_of: dict[str, str]
    due_seconds: dict[str, float]
    rank_of: dict[str, int]
    paces_seconds: dict[str, float]
    forecast: LengthForecast
    surplus: dict[str, set[str]] = field(default_factory=dict)

    def start_by_seconds(self, ledger: JobLedger, progress: ItemProgress) -> float:
        """Return an item's latest start to be complete when due (monotonic)."""
        job_id = ledger.job.job_id
        service = self.service_of.get(job_id, "")
        seconds_per_piece = self.paces_seconds.get(service, TYPICAL_SECONDS_PER_PIECE)
        work_seconds = self.forecast.remaining_pieces(progress) * seconds_per_piece
        return self.due_seconds[job_id] - work_seconds

    def is_surplus(self, ledger: JobLedger, progress: ItemProgress) -> bool:
        """Return whether an item's trainer will not wait for its group."""
        job_id = ledger.job.job_id
        surplus = self.surplus.get(job_id)
        if surplus is None:
            surplus = surplus_groups(ledger, self.forecast)
            self.surplus[job_id] = surplus
        return progress.item.group in surplus

    def key(self, ledger: JobLedger, progress: ItemProgress) -> tuple[bool, bool, int, int, float]:
        """Return an item's sort key; the smallest goes first.

        A text that was started continues before new ones start, as its group is closer to complete.
        """
        start_by_seconds = self.start_by_seconds(ledger, progress)
        return (
            self.is_surplus(ledger, progress),
            progress.run_number == 0,
            int(start_by_seconds // SLACK_RESOLUTION_SECONDS),
            self.rank_of.get(ledger.job.job_id, 0),
            start_by_seconds,
        )
