"""Orders engines, as the single holder that may."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from rackswitch.capacity import (
    CAPACITY_POLICIES,
    KIND_POLICIES,
    Capacity,
    CapacityPlanner,
    EngineCounts,
    EngineKind,
    EngineOrder,
    JobLoad,
    Place,
    ServiceState,
    wanted_slots,
)
from rackswitch.clients.kv import Compare, KvUnavailable, Operation
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_TURN, DutyRecord, note_record
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.turns import TurnKeeper
from rackswitch.platform.duty_calls import DutyClient, DutyOutcome, Holder
from rackswitch.table import Handling, RouteRow, ServiceRow
from rackswitch.telemetry.events import EnginesOrdered

__all__ = ["ScaleKeeper"]

ORDERED_KEY = "capacity/ordered"
"""What was last ordered, for a successor: the platform does not tell. Not among the entries that
every daemon follows."""

TICK_SECONDS = 0.5

RECENT_SECONDS = 30.0
"""How long a job that has ended still tells what its trainer asks next: some seven steps."""

LIST_SETTLES_SECONDS = 3.0
"""How long after an outage of the service, and after the first engine is seen, the list of engines
is not gone by: a live engine lists itself again within some 2 s, and a fleet that starts knows its
holder before its engines. Ordered by the engines seen at that moment, none, two of six were given
back by orders that meant to add some."""

USUAL_DUE_SECONDS = 7.5
"""For a service without a route of batch jobs; as on the users' sheets."""


class OrderedCount(msgspec.Struct, frozen=True, array_like=True):
    """What was last ordered for a place."""

    service: str
    zone: str
    kind: str
    count: int


class OrderedCounts(msgspec.Struct, frozen=True):
    """What was last ordered, for all places."""

    orders: tuple[OrderedCount, ...] = ()


@dataclass(slots=True)
class _Kept:
    """What the service holds of orders, at a revision."""

    by_service: dict[str, EngineCounts]
    revision: int


@dataclass(slots=True)
class _Watched:
    """What this daemon has seen of a service's engines since it holds the role.

    Attributes
    ----------
    listed_since_seconds : float
        When the first of them was listed (monotonic).
    most_present : EngineCounts
        The most that were there at a time, by place: what stood before anything was ordered.
        An order that names fewer would take engines away.
    """

    planner: CapacityPlanner
    listed_since_seconds: float
    most_present: EngineCounts = field(default_factory=Counter)

    def saw(self, present: EngineCounts) -> None:
        """Take in which engines are there now."""
        self.most_present |= present


class ScaleKeeper:
    """Decides on engines and orders them while this daemon holds the role.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    turns : TurnKeeper
        This daemon's turns in the role.
    client : DutyClient
        Makes the calls.
    known : KnownJobs
        All jobs of the fleet, by which the need is worked out.
    wall_clock : callable
        Returns the time of day.
    """

    __slots__ = (
        "_client",
        "_context",
        "_kept",
        "_known",
        "_turns",
        "_wall_clock",
        "_watched",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnKeeper,
        client: DutyClient,
        known: KnownJobs,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._context = context
        self._turns = turns
        self._client = client
        self._known = known
        self._wall_clock = wall_clock
        self._watched: dict[str, _Watched] = {}
        self._kept: _Kept | None = None

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self._tend()

    async def _tend(self) -> None:
        rows = [row for row in self._context.daemon.view.rows(ServiceRow) if row.scaling]
        if not rows or not await self._turns.is_open(
            DUTIES_TURN, lambda entry: note_record(self._turns, entry)
        ):
            self._kept = None
            self._watched.clear()
            return
        kept = self._kept or await self._read_kept()
        if kept is None or not self._knows_engines():
            return
        for row in rows:
            await self._tend_service(row, kept)

    async def _tend_service(self, row: ServiceRow, kept: _Kept) -> None:
        capacity = _capacity(row)
        now_seconds = self._context.now_seconds()
        present = self._present(row.name, now_seconds)
        wanted = self._wanted(row, capacity)
        if not present:
            return
        watched = self._watched.get(row.name)
        if watched is None:
            planner = CapacityPlanner(KIND_POLICIES.get(self._context.policy.engine_kinds))
            watched = self._watched[row.name] = _Watched(planner, now_seconds)
        watched.saw(present)
        if wanted is None or now_seconds < watched.listed_since_seconds + LIST_SETTLES_SECONDS:
            return
        ordered = watched.most_present | kept.by_service.setdefault(row.name, Counter())
        state = ServiceState(present, ordered)
        orders = watched.planner.orders(state, capacity, wanted, now_seconds)
        if orders:
            await self._enter_and_order(row.name, capacity, state, wanted, orders)

    def _knows_engines(self) -> bool:
        """Return whether engines that are not listed are gone, and did not lapse with the list."""
        contact = self._context.contact
        settled_seconds = contact.back_seconds + LIST_SETTLES_SECONDS
        return not contact.is_away and self._context.now_seconds() >= settled_seconds

    def _present(self, service: str, now_seconds: float) -> EngineCounts:
        counts: EngineCounts = Counter()
        for target in self._context.directory.usable(service, now_seconds):
            kind = EngineKind.RECLAIMABLE if target.reclaimable else EngineKind.KEPT
            counts[Place(target.zone, kind)] += 1
        return counts

    def _wanted(self, row: ServiceRow, capacity: Capacity) -> int | None:
        """Return how many engines a service should have, or None to leave them as they are."""
        jobs = self._recent_jobs(row)
        slots = wanted_slots(jobs, self._due_seconds(row.name))
        busy = sum(job.work_seconds for job in jobs if job.is_open) / self._due_seconds(row.name)
        policy = CAPACITY_POLICIES.get(self._context.policy.engines_wanted)
        return policy(slots, busy, capacity.slots)

    def _recent_jobs(self, row: ServiceRow) -> list[JobLoad]:
        oldest_unix_seconds = self._wall_clock() - RECENT_SECONDS
        markers = [known.marker for known in self._known.jobs.values()]
        return [
            JobLoad(
                marker.model,
                marker.work_seconds,
                marker.submitted_at_unix_seconds,
                is_open=not marker.ended,
            )
            for marker in markers
            if marker.model in row.models
            and marker.submitted_at_unix_seconds >= oldest_unix_seconds
        ]

    def _due_seconds(self, service: str) -> float:
        dues = [
            route.due_seconds
            for route in self._context.daemon.view.rows(RouteRow)
            if route.handling is Handling.BATCH
            and any(choice.serves == service for choice in route.choices)
        ]
        return min(dues, default=USUAL_DUE_SECONDS)

    async def _read_kept(self) -> _Kept | None:
        read = await self._context.kv.read(ORDERED_KEY)
        if isinstance(read, KvUnavailable):
            self._context.contact.failed(self._context.now_seconds(), read.detail)
            return None
        kept = _Kept({}, 0)
        for entry in read.entries:
            kept.revision = entry.mod_revision
            for order in msgspec.json.decode(entry.value, type=OrderedCounts).orders:
                place = Place(order.zone, EngineKind(order.kind))
                kept.by_service.setdefault(order.service, Counter())[place] = order.count
        self._kept = kept
        return kept

    async def _enter_and_order(
        self,
        service: str,
        capacity: Capacity,
        state: ServiceState,
        wanted: int,
        orders: list[EngineOrder],
    ) -> None:
        """Write what is ordered, and order it.

        What is written first may not be ordered any more. Then the next holder finds fewer engines
        than were ordered, and orders more than that; so nothing is ordered twice by itself.
        """
        kept = self._kept
        if kept is None:
            return
        for order in orders:
            kept.by_service[service][order.place] = order.count
        record = msgspec.json.encode(DutyRecord(self._context.daemon_name))
        content = msgspec.json.encode(_ordered_counts(kept))
        entry = await self._turns.enter(
            DUTIES_TURN,
            record,
            (Operation(ORDERED_KEY, content),),
            (Compare(ORDERED_KEY, "mod", kept.revision),),
        )
        if entry is None:
            self._kept = None
            return
        kept.revision = entry.revision
        for order in orders:
            added = order.count - state.ordered[order.place]
            await self._order(service, capacity, state, wanted, order, added, entry.began_seconds)

    async def _order(
        self,
        service: str,
        capacity: Capacity,
        state: ServiceState,
        wanted: int,
        order: EngineOrder,
        added: int,
        entered_at_seconds: float,
    ) -> None:
        fencing = self._turns.fencing_to_send(DUTIES_TURN, entered_at_seconds)
        if fencing is None:
            return
        answer = await self._client.order_engines(
            Holder(self._context.daemon_name, fencing),
            service,
            order.place.zone,
            order.count,
            order.place.kind is EngineKind.RECLAIMABLE,
        )
        planner = self._watched[service].planner
        now_seconds = self._context.now_seconds()
        if answer.outcome in (DutyOutcome.TAKEN, DutyOutcome.UNKNOWN):
            planner.taken(added, capacity, now_seconds)
        else:
            planner.refused(order.place, now_seconds)
            if self._kept is not None:
                self._kept.by_service[service][order.place] = order.count - added
        if added < 0:
            # What was given back is no engine that is lost.
            self._watched[service].most_present[order.place] = order.count
        self._context.log.write(
            EnginesOrdered(
                service=service,
                zone=order.place.zone,
                engine_kind=order.place.kind.value,
                count=order.count,
                added=added,
                wanted=wanted,
                present=sum(state.present.values()),
                fencing=fencing,
                outcome=f"{answer.outcome.value}: {answer.detail}",
            )
        )


def _capacity(row: ServiceRow) -> Capacity:
    """Return the terms of a service that has some."""
    terms = row.scaling
    assert terms is not None
    return Capacity(
        terms.least,
        terms.most,
        terms.boot_seconds,
        max(1, row.slots),
        terms.zone_prices,
        terms.reclaimable_price,
    )


def _ordered_counts(kept: _Kept) -> OrderedCounts:
    return OrderedCounts(
        tuple(
            OrderedCount(service, place.zone, place.kind.value, count)
            for service, counts in kept.by_service.items()
            for place, count in counts.items()
        )
    )
