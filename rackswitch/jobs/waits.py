"""Why an item that is owed runs at no engine.

An engine either has room for an item, or there are obstacles. Each obstacle is a registered
function, so that the log names all that apply to an engine.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.progress import ItemPhase, ItemProgress
from rackswitch.jobs.schedule import EngineCapacity
from rackswitch.registry import Registry

__all__ = ["OBSTACLES", "EngineSurvey", "WaitReason", "survey_engines", "wait_reason"]

Obstacle = Callable[[EngineCapacity, JobLedger, float], bool]
OBSTACLES: Registry[Obstacle] = Registry("obstacle of an engine")
"""Reasons why an engine gets no run of an item: functions of the engine, the ledger and the current
time (monotonic)."""


class WaitReason(Enum):
    """What an item at no engine waits for."""

    ROUTE = "a table with its route"
    FAILURE_LIMIT = "a current table, as too many of its runs failed"
    RETRY_TIME = "the earliest time of its next run"
    ADMISSION = "its next run to be sent"
    ENGINE = "an engine with room"
    TURN = "its turn, as engines have room"


@dataclass(frozen=True, slots=True)
class EngineSurvey:
    """The engines of a service, as seen by one item.

    Attributes
    ----------
    with_room : tuple of str
        Instances of the engines that may run the item now.
    obstacles : dict of str to int
        Number of engines that each obstacle excludes; several may apply to one engine.
    """

    with_room: tuple[str, ...]
    obstacles: dict[str, int]


def survey_engines(
    engines: Iterable[EngineCapacity], ledger: JobLedger, now_seconds: float
) -> EngineSurvey:
    """Return which engines have room for an item of a job, and what excludes the others.

    Parameters
    ----------
    engines : iterable of EngineCapacity
        All engines of the job's service.
    ledger : JobLedger
        The job's ledger.
    now_seconds : float
        The current time (monotonic).
    """
    with_room: list[str] = []
    counts: Counter[str] = Counter()
    for engine in engines:
        names = [
            name for name in OBSTACLES.names() if OBSTACLES.get(name)(engine, ledger, now_seconds)
        ]
        counts.update(names)
        if not names:
            with_room.append(engine.instance)
    return EngineSurvey(tuple(with_room), dict(counts))


def wait_reason(
    progress: ItemProgress,
    ledger: JobLedger,
    has_route: bool,
    survey: EngineSurvey,
    now_seconds: float,
) -> WaitReason:
    """Return what an item at no engine waits for.

    Parameters
    ----------
    progress : ItemProgress
        The item.
    ledger : JobLedger
        Its job's ledger.
    has_route : bool
        Whether the table in force has the job's route.
    survey : EngineSurvey
        The engines of its service.
    now_seconds : float
        The current time (monotonic).
    """
    if progress.phase is ItemPhase.RUNNING:
        return WaitReason.ADMISSION
    if not has_route:
        return WaitReason.ROUTE
    if progress.failures >= ledger.max_failures:
        return WaitReason.FAILURE_LIMIT
    if now_seconds < progress.not_before_seconds:
        return WaitReason.RETRY_TIME
    return WaitReason.TURN if survey.with_room else WaitReason.ENGINE


@OBSTACLES.register("does not respond")
def _is_excluded(engine: EngineCapacity, _ledger: JobLedger, now_seconds: float) -> bool:
    return now_seconds < engine.excluded_until_seconds


@OBSTACLES.register("no free slot")
def _is_full(engine: EngineCapacity, _ledger: JobLedger, _now_seconds: float) -> bool:
    return engine.free_slots <= 0


@OBSTACLES.register("no free memory")
def _lacks_memory(engine: EngineCapacity, _ledger: JobLedger, _now_seconds: float) -> bool:
    return engine.runs > 0 and engine.free_tokens <= 0


@OBSTACLES.register("region not allowed")
def _is_forbidden(engine: EngineCapacity, ledger: JobLedger, _now_seconds: float) -> bool:
    return not engine.is_allowed(ledger.allowed_regions)


@OBSTACLES.register("weights too old")
def _has_old_weights(engine: EngineCapacity, ledger: JobLedger, _now_seconds: float) -> bool:
    return engine.versions.get(ledger.job.model, 0) < ledger.job.oldest_version
