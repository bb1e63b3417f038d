"""Which items to start now, and at which engine."""

from collections.abc import Iterable
from dataclasses import dataclass

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.progress import ItemProgress

__all__ = ["EngineRoom", "ItemStart", "plan_starts"]


@dataclass(slots=True)
class EngineRoom:
    """Room at one engine, as the owner of the jobs sees it.

    Attributes
    ----------
    free_slots : int
        Runs that may begin there now.
    seconds_per_piece : float
        Smoothed time between the events of one stream there.
    versions : dict of str to int
        The weights it has, by model; items that need newer ones do not go there.
    """

    instance: str
    service: str
    free_slots: int
    seconds_per_piece: float
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class ItemStart:
    """An item to be started at an engine."""

    ledger: JobLedger
    progress: ItemProgress
    instance: str


def plan_starts(
    ledgers: Iterable[JobLedger],
    engines: list[EngineRoom],
    service_of: dict[str, str],
    due_seconds: dict[str, float],
    now_seconds: float,
) -> list[ItemStart]:
    """Decide which waiting items start at which engines.

    Jobs that are due first go first. Within a job an item whose run broke goes on before
    others begin, then the items expected to be longest: what a step waits for in the end
    is its longest texts, and those cannot be hurried later. Each goes to the fastest
    engine that has room, since an engine's pace hardly depends on how many run there.

    Parameters
    ----------
    ledgers : iterable of JobLedger
        The jobs owned here.
    engines : list of EngineRoom
        Room at the engines; what is planned is taken off.
    service_of, due_seconds : dict
        By job, the service that runs its items and when it is due (monotonic).
    now_seconds : float
        Monotonic clock.

    Returns
    -------
    list of ItemStart
        At most as many as there is room for.
    """
    starts: list[ItemStart] = []
    for ledger in sorted(ledgers, key=lambda ledger: due_seconds[ledger.job.job_id]):
        service = service_of.get(ledger.job.job_id)
        rooms = [engine for engine in engines if engine.service == service]
        waiting = sorted(ledger.waiting(now_seconds), key=_item_rank)
        for progress in waiting:
            engine = _best_engine(rooms, ledger, progress)
            if engine is None:
                break
            engine.free_slots -= 1
            starts.append(ItemStart(ledger, progress, engine.instance))
    return starts


def _item_rank(progress: ItemProgress) -> tuple[bool, float]:
    return (progress.run_number == 0, -progress.item.expected_tokens)


def _best_engine(
    rooms: list[EngineRoom], ledger: JobLedger, progress: ItemProgress
) -> EngineRoom | None:
    fit = [
        room
        for room in rooms
        if room.free_slots > 0
        and room.versions.get(ledger.job.model, 0) >= ledger.job.oldest_version
    ]
    if not fit:
        return None
    return min(
        fit,
        key=lambda room: (
            room.instance == progress.avoid,
            room.seconds_per_piece,
            -room.free_slots,
        ),
    )
