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

FIRST_PIECES_PER_TOKEN = 0.02
"""Before any text has become whole: some fifty tokens a piece."""

RATIO_SMOOTHING = 0.05
"""So that some twenty texts weigh in, as single guesses are off by a factor of two or more."""

TAIL_SHARE = 0.5
"""Part of its length so far that a text is taken to still lack once it is longer than
expected: lengths have a heavy tail."""

RUN_COST_SHARE = 0.01
"""By how much each run at an engine slows the others there. An engine's step takes 0.52 % more
with each request of a batch, by its data sheet, and about as much again for the text that a
usual request has read and made."""

USUAL_RUN_SECONDS = 0.9
"""How long a run takes on average; a full engine is through with one each slot's share of it."""

USUAL_SECONDS_PER_PIECE = 0.04
"""Pace of an engine that is neither slow nor overfull; only weighs lengths against deadlines."""


@dataclass(slots=True)
class EngineCapacity:
    """Room at one engine, as the owner of the jobs sees it.

    Attributes
    ----------
    free_slots : int
        Runs that may begin there now.
    slots : int
        Runs that it works on at once.
    runs : int
        Runs that are there already, of all daemons, as far as the owner knows.
    seconds_per_piece : float
        Smoothed time between the events of one stream there.
    versions : dict of str to int
        The weights it has, by model; items that need newer ones do not go there.
    place : TargetEstimate or None
        What one more run may expect there by what the engine tells. Where it is given, the pace
        is taken from it and not from `runs` and `seconds_per_piece`; None if its service tells
        no pace.
    run_seconds : float
        How long a whole run usually takes at pace 1; used for the wait behind other runs.
    free_tokens : float
        Memory, in tokens, for runs yet to begin there, each counted as it will be at its end;
        infinite if it is not known.
    """

    instance: str
    service: str
    free_slots: int
    seconds_per_piece: float
    versions: dict[str, int]
    slots: int = 0
    runs: int = 0
    place: TargetEstimate | None = None
    run_seconds: float = USUAL_RUN_SECONDS
    free_tokens: float = math.inf

    def takes(self, tokens: float) -> bool:
        """Return whether one more run fits that will hold so many tokens.

        An engine without any run takes one whatever it has told of its memory, so that no item
        waits beside an idle engine; it refuses itself what is larger than it.
        """
        return self.free_slots > 0 and (self.runs == 0 or tokens <= self.free_tokens)

    def begin(self, tokens: float = 0.0) -> None:
        """Count one more run in, with what it will hold."""
        self.free_slots -= 1
        self.runs += 1
        if self.place is not None:
            self.place = self.place.with_one_more()
        self.free_tokens -= tokens

    def expected_seconds_per_piece(self) -> float:
        """Return the pace that one more run would have there."""
        if self.place is not None:
            return self.place.unit_seconds * self.place.pace
        return self.seconds_per_piece * (1 + RUN_COST_SHARE * self.runs)

    def expected_seconds(self, pieces: float) -> float:
        """Return how long one more run would take there, with its wait for a slot."""
        queued = max(0, self.runs + 1 - self.slots) if self.slots else 0
        wait_seconds = queued * USUAL_RUN_SECONDS / max(1, self.slots)
        return wait_seconds + pieces * self.expected_seconds_per_piece()


@dataclass(frozen=True, slots=True)
class ItemStart:
    """An item to be started at an engine.

    Attributes
    ----------
    ledger : JobLedger
        Its job.
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
        """Return an item's place; the least goes first."""


@dataclass(slots=True)
class LengthForecast:
    """How long texts become, against what their submitters expect.

    Submitters count tokens and an engine's stream comes in pieces of several, so the ratio
    is learnt from texts that became whole; it is a mean of logarithms, as single guesses
    are often far off in both directions.

    Attributes
    ----------
    log_pieces_per_token : float
        The logarithm of pieces a text had for each token that was expected of it.
    """

    log_pieces_per_token: float = math.log(FIRST_PIECES_PER_TOKEN)

    @property
    def pieces_per_token(self) -> float:
        """Pieces that a text has for each of its tokens."""
        return math.exp(self.log_pieces_per_token)

    def note(self, expected_tokens: float, pieces: int) -> None:
        """Take in a whole text."""
        if expected_tokens <= 0 or pieces <= 0:
            return
        ratio = math.log(pieces / expected_tokens)
        self.log_pieces_per_token += RATIO_SMOOTHING * (ratio - self.log_pieces_per_token)

    def remaining_pieces(self, progress: ItemProgress) -> float:
        """Return how many pieces an item's text probably still lacks."""
        expected = progress.item.expected_tokens * math.exp(self.log_pieces_per_token)
        done = len(progress.pieces)
        # A text that is past what was expected of it is one of the long tail.
        return max(expected - done, TAIL_SHARE * done)


def expected_work_seconds(job: Job) -> float:
    """Return how long a job's texts probably take, added up, before any of them is begun.

    An item without a guess of its submitter's counts as a usual run.
    """
    seconds_per_token = FIRST_PIECES_PER_TOKEN * USUAL_SECONDS_PER_PIECE
    return sum(
        item.expected_tokens * seconds_per_token if item.expected_tokens else USUAL_RUN_SECONDS
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
) -> list[ItemStart]:
    """Decide which waiting items start at which engines.

    An item whose run broke goes on before others begin. Then goes the one that must start
    earliest to be whole when its job is due, over all jobs: what a step waits for in the end
    is its longest texts, and a long text of a later job cannot wait for the short ones of an
    earlier job. Each goes to the engine that has room and will probably be through with it
    first: a long text to a fast engine, also if it has to wait there, a short one to one that
    is not full.

    Parameters
    ----------
    ledgers : iterable of JobLedger
        The jobs owned here.
    engines : list of EngineCapacity
        Room at the engines; what is planned is taken off.
    service_of, due_seconds : dict
        By job, the service that runs its items and when it is due (monotonic).
    now_seconds : float
        Monotonic clock.
    forecast : LengthForecast, optional
        How long texts become; a fresh one by default.
    longest_first : bool, optional
        Whether an item's length counts in when it must start.
    rng : random.Random, optional
        Draws among engines that tell their pace; differs from daemon to daemon.
    order : ItemOrder, optional
        Takes the place of the order told above.
    tokens_of : callable, optional
        What an item's run will hold of an engine's memory; by default that is not counted.

    Returns
    -------
    list of ItemStart
        At most as many as there is room for.
    """
    lengths = forecast or LengthForecast()
    draws = rng or random.Random(0)
    with_room = {room.service for room in engines if room.free_slots > 0}
    waiting = [
        (
            order.key(ledger, progress)
            if order is not None
            else _rank(
                progress, due_seconds[ledger.job.job_id], lengths if longest_first else None
            ),
            ledger,
            progress,
        )
        for ledger in ledgers
        if service_of.get(ledger.job.job_id) in with_room
        for progress in ledger.waiting(now_seconds)
    ]
    waiting.sort(key=lambda entry: entry[0])
    starts: list[ItemStart] = []
    full: set[tuple[str, str, int]] = set()
    kept_for_large: set[tuple[str, str, int]] = set()
    for _, ledger, progress in waiting:
        service = service_of[ledger.job.job_id]
        wanted = (service, ledger.job.model, ledger.job.oldest_version)
        if wanted in full:
            continue
        pieces = lengths.remaining_pieces(progress)
        tokens = tokens_of(progress) if tokens_of is not None else 0.0
        fit = _rooms_for(engines, service, ledger)
        engine = _best_engine([room for room in fit if room.takes(tokens)], progress, pieces, draws)
        if engine is not None:
            engine.begin(tokens)
            starts.append(ItemStart(ledger, progress, engine.instance))
        elif not fit:
            full.add(wanted)
        elif wanted not in kept_for_large:
            kept_for_large.add(wanted)
            _keep_for_large(fit)
    return starts


def _rank(
    progress: ItemProgress, due_seconds: float, forecast: LengthForecast | None
) -> tuple[bool, float]:
    """Return an item's place: whether it is new, and when it must start at the latest."""
    pieces = forecast.remaining_pieces(progress) if forecast is not None else 0.0
    work_seconds = pieces * USUAL_SECONDS_PER_PIECE
    return (progress.run_number == 0, due_seconds - work_seconds)


def _rooms_for(
    rooms: list[EngineCapacity], service: str, ledger: JobLedger
) -> list[EngineCapacity]:
    """Return the engines that have a slot and may run a job's items."""
    return [
        room
        for room in rooms
        if room.service == service
        and room.free_slots > 0
        and room.versions.get(ledger.job.model, 0) >= ledger.job.oldest_version
    ]


def _best_engine(
    fit: list[EngineCapacity], progress: ItemProgress, pieces: float, rng: random.Random
) -> EngineCapacity | None:
    if not fit:
        return None
    if all(room.place is not None for room in fit):
        return _drawn_engine(fit, progress.avoid, pieces, rng)
    return min(
        fit,
        key=lambda room: (
            room.instance == progress.avoid,
            room.expected_seconds(pieces),
            -room.free_slots,
        ),
    )


def _drawn_engine(
    rooms: list[EngineCapacity], avoid: str | None, pieces: float, rng: random.Random
) -> EngineCapacity:
    """Return one of some engines that tell their pace."""
    preferred = {room.instance: room for room in rooms if room.instance != avoid}
    by_name = preferred or {room.instance: room for room in rooms}
    places = [room.place for room in by_name.values() if room.place is not None]
    run_seconds = max(room.run_seconds for room in by_name.values())
    return by_name[choose_target(places, pieces, run_seconds, rng).instance]


def _keep_for_large(fit: list[EngineCapacity]) -> None:
    """Let memory become free at one engine for an item that fits none.

    Else smaller ones would take each bit that becomes free, and it would wait for as long as
    there are any.
    """
    max(fit, key=lambda room: room.free_tokens).free_slots = 0


def spare_capacities(rooms: list[EngineCapacity]) -> dict[str, SpareCapacity]:
    """Return, by service, the fastest engine that has room left."""
    spare: dict[str, SpareCapacity] = {}
    for room in rooms:
        free_slots = room.free_slots
        if room.place is not None:
            # A move gains nothing where it would wait.
            free_slots = min(free_slots, int(room.place.free_slots))
        if free_slots <= 0:
            continue
        known = spare.get(room.service)
        pace_seconds = room.expected_seconds_per_piece()
        if known is None or pace_seconds < known.seconds_per_piece:
            spare[room.service] = SpareCapacity(
                room.instance, pace_seconds, free_slots, room.versions
            )
    return spare
