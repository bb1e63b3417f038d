"""Starts of items that have been at no engine for too long.

Estimates delay an item: its owner takes an engine for unresponsive, or its memory for full. An
owner may be wrong, and an owed item must not wait for what it only believes. The engine itself
refuses what it cannot run.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import replace

from rackswitch.jobs.engine_memory import item_tokens
from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.schedule import EngineCapacity, ItemStart, LengthForecast, plan_starts

__all__ = ["plan_overdue_starts"]


def plan_overdue_starts(
    ledgers: list[JobLedger],
    engines: Iterable[EngineCapacity],
    service_of: dict[str, str],
    due_seconds: dict[str, float],
    now_seconds: float,
    forecast: LengthForecast,
    rng: random.Random,
) -> list[ItemStart]:
    """Decide which overdue items start where, after other items have been planned.

    Parameters
    ----------
    ledgers : list of JobLedger
        The jobs owned here.
    engines : iterable of EngineCapacity
        Capacity that other items have left; reduced by the planned starts. An engine that does not
        respond is used if no other one has capacity.
    service_of, due_seconds : dict
        By job, the service that runs its items and when it is due (monotonic).
    now_seconds : float
        The current time (monotonic).
    forecast : LengthForecast
        Forecast of the length of texts.
    rng : random.Random
        Chooses among engines that report their pace.

    Returns
    -------
    list of ItemStart
        Starts at engines that are less than half full.
    """
    owed_ledgers = [ledger for ledger in ledgers if ledger.has_overdue_items(now_seconds)]
    if not owed_ledgers:
        return []
    starts: list[ItemStart] = []
    planned_items: set[tuple[str, str]] = set()
    for candidates in _by_preference(engines, now_seconds):
        by_instance = {engine.instance: engine for engine in candidates}
        new_starts = plan_starts(
            owed_ledgers,
            [_overdue_capacity(engine) for engine in candidates],
            service_of,
            due_seconds,
            now_seconds,
            forecast,
            rng=rng,
            may_start=lambda ledger, progress: (
                progress.is_overdue(now_seconds)
                and (ledger.job.job_id, progress.item.item_id) not in planned_items
            ),
        )
        for start in new_starts:
            by_instance[start.instance].reserve(item_tokens(start.progress, forecast))
            planned_items.add((start.ledger.job.job_id, start.progress.item.item_id))
        starts += new_starts
    return starts


def _by_preference(
    engines: Iterable[EngineCapacity], now_seconds: float
) -> tuple[list[EngineCapacity], list[EngineCapacity]]:
    """Return the engines that respond, and the others."""
    responding: list[EngineCapacity] = []
    excluded: list[EngineCapacity] = []
    for engine in engines:
        (excluded if now_seconds < engine.excluded_until_seconds else responding).append(engine)
    return responding, excluded


def _overdue_capacity(engine: EngineCapacity) -> EngineCapacity:
    """Return an engine's capacity for overdue items: half of its slots, and any memory.

    A cold engine gets no more than its budget allows.
    """
    half_slots = math.ceil(engine.slots / 2) - engine.runs
    free_slots = min(engine.free_slots, half_slots) if engine.is_cold else half_slots
    return replace(engine, free_slots=free_slots, free_tokens=math.inf)
