"""In which order the items of several steps start at engines that they share.

An item's slack is its job's due time less the work that its text still lacks. A trainer waits
for some of its groups only; what it does not wait for yields to what other trainers do.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.progress import ItemPhase, ItemProgress
from rackswitch.jobs.schedule import USUAL_SECONDS_PER_PIECE, EngineCapacity, LengthForecast

__all__ = ["SlackOrder", "available_paces", "surplus_groups"]

SLACK_GRAIN_SECONDS = 0.25
"""Slacks that differ by less are taken for equal, and the more urgent class goes first:
forecasts of single texts are no better than that."""

CARRIED_SHARE = 0.5
"""Part of the wanted groups that may be left over from an earlier step. These stand first in a
job, and its trainer waits for them whichever others are whole."""


def surplus_groups(ledger: JobLedger, forecast: LengthForecast) -> set[str]:
    """Return the groups of a job that its trainer will probably not wait for.

    Those that need the least are wanted: a group is whole with its longest text, and the sum
    of its texts decides between groups whose longest are alike.

    Parameters
    ----------
    ledger : JobLedger
        The job.
    forecast : LengthForecast
        How long texts become.
    """
    groups = ledger.groups
    wanted = ledger.job.wanted_groups
    if not 0 < wanted < len(groups):
        return set()
    longest: dict[str, float] = defaultdict(float)
    total: dict[str, float] = defaultdict(float)
    for progress in ledger.items.values():
        if progress.result is not None:
            continue
        group = progress.item.group
        is_whole = progress.phase is ItemPhase.SCORING
        lacking = 0.0 if is_whole else forecast.remaining_pieces(progress)
        longest[group] = max(longest[group], lacking)
        total[group] += lacking
    carried = int(CARRIED_SHARE * wanted)
    others = sorted(groups[carried:], key=lambda group: (longest[group], total[group]))
    return set(others[wanted - carried :])


def available_paces(rooms: Iterable[EngineCapacity]) -> dict[str, float]:
    """Return, by service, the pace of its best engine for one more run, in seconds a piece."""
    paces: dict[str, float] = {}
    for room in rooms:
        pace_seconds = room.expected_seconds_per_piece()
        known_seconds = paces.get(room.service, pace_seconds)
        paces[room.service] = min(known_seconds, pace_seconds)
    return paces


@dataclass(slots=True)
class SlackOrder:
    """The order of items over all jobs of one owner, at one moment.

    Parameters
    ----------
    service_of, due_seconds : dict
        By job, the service that runs its items and when it is due (monotonic).
    class_of : dict of str to int
        By job, its rank, 0 first.
    paces_seconds : dict of str to float
        By service, the pace to be had, in seconds a piece.
    forecast : LengthForecast
        How long texts become.
    surplus : dict of str to set of str, optional
        By job, its surplus groups where they are known; those found are put in.
    """

    service_of: dict[str, str]
    due_seconds: dict[str, float]
    class_of: dict[str, int]
    paces_seconds: dict[str, float]
    forecast: LengthForecast
    surplus: dict[str, set[str]] = field(default_factory=dict)

    def start_by_seconds(self, ledger: JobLedger, progress: ItemProgress) -> float:
        """Return when an item must start at the latest to be whole in time (monotonic)."""
        job_id = ledger.job.job_id
        service = self.service_of.get(job_id, "")
        pace_seconds = self.paces_seconds.get(service, USUAL_SECONDS_PER_PIECE)
        work_seconds = self.forecast.remaining_pieces(progress) * pace_seconds
        return self.due_seconds[job_id] - work_seconds

    def is_surplus(self, ledger: JobLedger, progress: ItemProgress) -> bool:
        """Return whether an item's group is one that its trainer will not wait for."""
        job_id = ledger.job.job_id
        surplus = self.surplus.get(job_id)
        if surplus is None:
            surplus = surplus_groups(ledger, self.forecast)
            self.surplus[job_id] = surplus
        return progress.item.group in surplus

    def key(self, ledger: JobLedger, progress: ItemProgress) -> tuple[bool, bool, int, int, float]:
        """Return an item's place; the least goes first.

        A text that was begun goes on before others begin: its group is nearer to being whole.
        """
        start_by_seconds = self.start_by_seconds(ledger, progress)
        return (
            self.is_surplus(ledger, progress),
            progress.run_number == 0,
            int(start_by_seconds // SLACK_GRAIN_SECONDS),
            self.class_of.get(ledger.job.job_id, 0),
            start_by_seconds,
        )
