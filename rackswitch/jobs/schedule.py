"""Which items to start now, and at which engine."""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from rackswitch.jobs.ledger import JobLedger
from rackswitch.jobs.messages import Job
from rackswitch.jobs.progress import ItemProgress
from rackswitch.jobs.stragglers import SpareCapacity
from rackswitch.routing import TargetEstimate, choose_target

__all__ = [
    "EngineCapacity",
    "ItemOrder",
    "ItemStart",
    "LengthForecast",
    "expected_work_seconds",
    "plan_starts",
    "spare_capacities",
]

INITIAL_PIECES_PER_TOKEN = 0.02
"""Initial ratio, before any text is complete: fifty tokens per piece."""

RATIO_SMOOTHING = 0.05
"""Weight of a new text in the moving average. Small, since single estimates are often wrong by a
factor of two or more."""

TAIL_SHARE = 0.5
"""Share of its present length that a text is expected to grow by once it exceeds its estimate;
lengths have a heavy tail."""

RUN_COST_SHARE = 0.01
"""Relative slowdown that each run at an engine causes for the others there. An engine's step takes
0.52 % more with each request of a batch, and about as much again for the text that a typical
request has read and generated."""

TYPICAL_RUN_SECONDS = 0.9
"""Typical time of a run. Divided by an engine's slots, it gives the interval at which a full
engine frees one."""

TYPICAL_SECONDS_PER_PIECE = 0.04
"""Pace of an engine that is neither slow nor overloaded; used to weigh lengths against
deadlines."""

_Requirement = tuple[str, str, int, frozenset[str] | None]
"""What decides which engines may run an item: service, model, oldest version, allowed regions."""


@dataclass(slots=True)
class EngineCapacity:
    """Capacity of one engine, as estimated by the owner of the jobs.

    Attributes
    ----------
    free_slots : int
        Runs that may start there now.
    slots : int
        Runs that it works on at once.
    runs : int
        Runs already there, of all daemons, as far as the owner knows.
    seconds_per_piece : float
        Smoothed interval between the events of one stream there.
    versions : dict of str to int
        Versions of its weights, by model; items that need newer ones do not start there.
    estimate : TargetEstimate or None
        Estimate for one more run, based on the engine's reported load. If given, the pace is taken
        from it and not from `runs` and `seconds_per_piece`; None if the engine's service reports no
        pace.
    run_seconds : float
        Typical time of a complete run at pace 1; used for the wait behind other runs.
    free_tokens : float
        Memory, in tokens, for runs yet to start there, each counted with its final size; infinite
        if unknown.
    region : str
        Region of its zone; empty if unknown.
    is_cold : bool
        Whether it is cold or has just become warm: it gets runs only if no other engine has
        capacity, and no moved ones.
    excluded_until_seconds : float
        Until when it gets no runs because it refused one or did not respond (monotonic).
    """

    instance: str
    service: str
    free_slots: int
    seconds_per_piece: float
    versions: dict[str, int]
    slots: int = 0
    runs: int = 0
    estimate: TargetEstimate | None = None
    run_seconds: float = TYPICAL_RUN_SECONDS
    free_tokens: float = math.inf
    region: str = ""
    is_cold: bool = False
    excluded_until_seconds: float = 0.0

    def has_capacity_for(self, tokens: float) -> bool:
        """Return whether one more run of this final size in tokens fits.

        An engine without runs always accepts one, so that no item waits beside an idle engine. The
        engine itself rejects a run that exceeds its memory.
        """
        return self.free_slots > 0 and (self.runs == 0 or tokens <= self.free_tokens)

    def is_allowed(self, allowed_regions: frozenset[str] | None) -> bool:
        """Return whether work with these allowed regions may run there; None allows all."""
        return allowed_regions is None or self.region in allowed_regions

    def reserve(self, tokens: float = 0.0) -> None:
        """Reserve a slot and memory for one more run."""
        self.free_slots -= 1
        self.runs += 1
        if self.estimate is not None:
            self.estimate = self.estimate.with_added_request()
        self.free_tokens -= tokens

    def expected_seconds_per_piece(self) -> float:
        """Return the pace that one more run would have there."""
        if self.estimate is not None:
            return self.estimate.unit_seconds * self.estimate.pace
        return self.seconds_per_piece * (1 + RUN_COST_SHARE * self.runs)

    def expected_seconds(self, pieces: float) -> float:
        """Return how long one more run would take there, including its wait for a slot."""
        queued = max(0, self.runs + 1 - self.slots) if self.slots else 0
        wait_seconds = queued * TYPICAL_RUN_SECONDS / max(1, self.slots)
        return wait_seconds + pieces * self.expected_seconds_per_piece()


@dataclass(frozen=True, slots=True)
class ItemStart:
    """An item to start at an engine.

    Attributes
    ----------
    ledger : JobLedger
        Ledger of its job.
    progress : ItemProgress
        The item, with its text so far.
    instance : str
        The engine.
    """

    ledger: JobLedger
    progress: ItemProgress
    instance: str


class ItemOrder(Protocol):
    """The order in which items start."""

    def key(self, ledger: JobLedger, progress: ItemProgress) -> Any:
        """Return an item's sort key; the smallest starts first."""


@dataclass(slots=True)
class LengthForecast:
    """Forecast of the length of texts from their submitters' estimates.

    Submitters count tokens, and a piece of an engine's stream holds several, so the ratio is learnt
    from complete texts. It is a mean of logarithms, since single estimates are often far off in
    both directions.

    Attributes
    ----------
    log_pieces_per_token : float
        Logarithm of the number of pieces per expected token.
    """

    log_pieces_per_token: float = math.log(INITIAL_PIECES_PER_TOKEN)

    @property
    def pieces_per_token(self) -> float:
        """Number of pieces per token of a text."""
        return math.exp(self.log_pieces_per_token)

    def record_length(self, expected_tokens: float, pieces: int) -> None:
        """Update the ratio with a complete text."""
        if expected_tokens <= 0 or pieces <= 0:
            return
        ratio = math.log(pieces / expected_tokens)
        self.log_pieces_per_token += RATIO_SMOOTHING * (ratio - self.log_pieces_per_token)

    def remaining_pieces(self, progress: ItemProgress) -> float:
        """Return how many pieces an item's text probably still lacks."""
        expected_pieces = progress.item.expected_tokens * math.exp(self.log_pieces_per_token)
        done_pieces = len(progress.pieces)
        # A text that exceeds its estimate belongs to the long tail.
        return max(expected_pieces - done_pieces, TAIL_SHARE * done_pieces)


def expected_work_seconds(job: Job) -> float:
    """Return the expected total run time of a job's texts before any of them starts.

    An item without an expected length counts as a typical run.
    """
    seconds_per_token = INITIAL_PIECES_PER_TOKEN * TYPICAL_SECONDS_PER_PIECE
    return sum(
        item.expected_tokens * seconds_per_token if item.expected_tokens else TYPICAL_RUN_SECONDS
        for item in job.items
    )


def plan_starts(
    ledgers: Iterable[JobLedger],
    engines: list[EngineCapacity],
    service_of: dict[str, str],
    due_seconds: dict[str, float],
    now_seconds: float,
    forecast: LengthForecast | None = None,
    longest_first: bool = True,
    rng: random.Random | None = None,
    order: ItemOrder | None = None,
    tokens_of: Callable[[ItemProgress], float] | None = None,
    may_start: Callable[[JobLedger, ItemProgress], bool] | None = None,
) -> list[ItemStart]:
    """Decide which waiting items start at which engines.

    Items whose run was interrupted come first. Then come the items that must start earliest to be
    complete when their job is due, over all jobs: a step waits for its longest texts, and a long
    text of a later job cannot wait for short ones of an earlier job. Each item goes to the engine
    with capacity that will probably complete it first: a long text to a fast engine, even if it
    waits there, a short one to an engine that is not full.

    Parameters
    ----------
    ledgers : iterable of JobLedger
        The jobs owned here.
    engines : list of EngineCapacity
        Capacity of the engines; reduced by the planned starts.
    service_of, due_seconds : dict
        By job, the service that runs its items and when it is due (monotonic).
    now_seconds : float
        Monotonic clock.
    forecast : LengthForecast, optional
        Forecast of the length of texts; an initial one by default.
    longest_first : bool, optional
        Whether an item's length counts for when it must start.
    rng : random.Random, optional
        Chooses among engines that report their pace; differs from daemon to daemon.
    order : ItemOrder, optional
        Replaces the order described above.
    tokens_of : callable, optional
        Final memory use of an item's run, in tokens; not counted by default.
    may_start : callable, optional
        Whether an item is planned; all by default.

    Returns
    -------
    list of ItemStart
        No more than there is capacity for.
    """
    length_forecast = forecast or LengthForecast()
    random_source = rng or random.Random(0)
    available_services = {candidate.service for candidate in engines if candidate.free_slots > 0}
    waiting = [
        (
            order.key(ledger, progress)
            if order is not None
            else _default_order_key(
                progress, due_seconds[ledger.job.job_id], length_forecast if longest_first else None
            ),
            ledger,
            progress,
        )
        for ledger in ledgers
        if service_of.get(ledger.job.job_id) in available_services
        for progress in ledger.startable_items(now_seconds)
        if may_start is None or may_start(ledger, progress)
    ]
    waiting.sort(key=lambda entry: entry[0])
    starts: list[ItemStart] = []
    unavailable: set[_Requirement] = set()
    reserved: set[_Requirement] = set()
    for _, ledger, progress in waiting:
        service = service_of[ledger.job.job_id]
        job = ledger.job
        requirement = (service, job.model, job.oldest_version, ledger.allowed_regions)
        if requirement in unavailable:
            continue
        pieces = length_forecast.remaining_pieces(progress)
        tokens = tokens_of(progress) if tokens_of is not None else 0.0
        candidates = _engines_for(engines, service, ledger)
        engine = _best_engine(
            [candidate for candidate in candidates if candidate.has_capacity_for(tokens)],
            progress,
            pieces,
            random_source,
        )
        if engine is not None:
            engine.reserve(tokens)
            starts.append(ItemStart(ledger, progress, engine.instance))
        elif not candidates:
            unavailable.add(requirement)
        elif requirement not in reserved:
            reserved.add(requirement)
            _reserve_largest_engine(candidates)
    return starts


def _default_order_key(
    progress: ItemProgress, due_seconds: float, forecast: LengthForecast | None
) -> tuple[bool, float]:
    """Return an item's sort key: whether it is new, and its latest start."""
    pieces = forecast.remaining_pieces(progress) if forecast is not None else 0.0
    work_seconds = pieces * TYPICAL_SECONDS_PER_PIECE
    return (progress.run_number == 0, due_seconds - work_seconds)


def _engines_for(
    engines: list[EngineCapacity], service: str, ledger: JobLedger
) -> list[EngineCapacity]:
    """Return the engines that have a free slot and may run a job's items."""
    return [
        engine
        for engine in engines
        if engine.service == service
        and engine.free_slots > 0
        and engine.is_allowed(ledger.allowed_regions)
        and engine.versions.get(ledger.job.model, 0) >= ledger.job.oldest_version
    ]


def _best_engine(
    engines: list[EngineCapacity], progress: ItemProgress, pieces: float, rng: random.Random
) -> EngineCapacity | None:
    if not engines:
        return None
    if all(engine.estimate is not None for engine in engines):
        return _sample_engine(engines, progress.avoided_instance, pieces, rng)
    return min(
        engines,
        key=lambda engine: (
            engine.instance == progress.avoided_instance,
            engine.expected_seconds(pieces),
            -engine.free_slots,
        ),
    )


def _sample_engine(
    engines: list[EngineCapacity], avoided_instance: str | None, pieces: float, rng: random.Random
) -> EngineCapacity:
    """Choose one of several engines that report their pace."""
    preferred = {
        engine.instance: engine for engine in engines if engine.instance != avoided_instance
    }
    by_instance = preferred or {engine.instance: engine for engine in engines}
    estimates = [engine.estimate for engine in by_instance.values() if engine.estimate is not None]
    run_seconds = max(engine.run_seconds for engine in by_instance.values())
    return by_instance[choose_target(estimates, pieces, run_seconds, rng).instance]


def _reserve_largest_engine(engines: list[EngineCapacity]) -> None:
    """Reserve the engine with the most free memory for an item that fits nowhere yet.

    Otherwise smaller items would take the memory as it becomes free, and the large one would never
    start.
    """
    max(engines, key=lambda engine: engine.free_tokens).free_slots = 0


def spare_capacities(engines: list[EngineCapacity]) -> dict[str, SpareCapacity]:
    """Return, by service, the fastest engine with free slots."""
    spare: dict[str, SpareCapacity] = {}
    for engine in engines:
        free_slots = engine.free_slots
        if engine.estimate is not None:
            # A moved run must not wait for a slot.
            free_slots = min(free_slots, int(engine.estimate.free_slots))
        if free_slots <= 0:
            continue
        fastest = spare.get(engine.service)
        seconds_per_piece = engine.expected_seconds_per_piece()
        if fastest is None or seconds_per_piece < fastest.seconds_per_piece:
            spare[engine.service] = SpareCapacity(
                engine.instance, seconds_per_piece, free_slots, engine.versions
            )
    return spare
