"""Orders engines, as the single holder that may."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from rackswitch.capacity import (
    CAPACITY_POLICIES,
    KIND_POLICIES,
    Capacity,
    CapacityPlanner,
    EngineCounts,
    EngineKind,
    EngineLocation,
    EngineOrder,
    JobLoad,
    ServiceState,
    wanted_slots,
)
from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.duties.duty_turn import DUTIES_TURN
from rackswitch.gateway.duties.fenced_record import FencedRecord
from rackswitch.gateway.duties.ordered_counts import OrderedCounts
from rackswitch.gateway.jobs.known_jobs import KnownJobs
from rackswitch.gateway.turns import TurnManager
from rackswitch.platform.duty_calls import DutyClient, DutyOutcome, Holder
from rackswitch.table import Handling, RouteRow, ScalingTerms, ServiceRow
from rackswitch.telemetry.events import EnginesOrdered

__all__ = ["ScalingManager"]

ORDERED_KEY = "capacity/ordered"
"""What was last ordered, for a successor: the platform does not tell."""

TICK_SECONDS = 0.5

CALLS_SHARE = 0.5
"""Part of the calls that the operators' API takes which orders may use; what is over follows half
a second later, and reports of usage are never in their way."""

RECENT_SECONDS = 30.0
"""How long a job that has ended still tells what its trainer asks next: some seven steps."""

LIST_SETTLES_SECONDS = 3.0
"""How long after an outage of the service, and after the first engine is seen, the list of engines
is not gone by: a live engine lists itself again within some 2 s, and a fleet that starts knows its
holder before its engines. Ordered by the engines seen at that moment, none, two of six were given
back by orders that meant to add some."""

USUAL_DUE_SECONDS = 7.5
"""For a service without a route of batch jobs; as on the users' sheets."""


@dataclass(slots=True)
class _Watched:
    """What this daemon has seen of a service's engines since it holds the role.

    Attributes
    ----------
    listed_since_seconds : float
        When the first of them was listed (monotonic).
    max_present : EngineCounts
        The most that were there at a time, by place: what stood before anything was ordered.
        An order that names fewer would take engines away.
    """

    planner: CapacityPlanner
    listed_since_seconds: float
    max_present: EngineCounts = field(default_factory=Counter)

    def saw(self, present: EngineCounts) -> None:
        """Take in which engines are there now."""
        self.max_present |= present


@dataclass(frozen=True, slots=True)
class _Decision:
    """What orders for a service follow from."""

    service: str
    capacity: Capacity
    state: ServiceState
    wanted: int


class ScalingManager:
    """Decides on engines and orders them while this daemon holds the role.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    turns : TurnManager
        This daemon's turns in the role.
    client : DutyClient
        Makes the calls.
    known : KnownJobs
        All jobs of the fleet, by which the need is worked out.
    calls_per_second : float
        What the operators' API takes from all daemons together.
    wall_clock : callable
        Returns the time of day.
    """

    __slots__ = (
        "_client",
        "_context",
        "_kept",
        "_known",
        "_max_orders",
        "_turns",
        "_wall_clock",
        "_watched",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnManager,
        client: DutyClient,
        known: KnownJobs,
        calls_per_second: float,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._max_orders = max(1, int(calls_per_second * TICK_SECONDS * CALLS_SHARE))
        self._context = context
        self._turns = turns
        self._client = client
        self._known = known
        self._wall_clock = wall_clock
        self._watched: dict[str, _Watched] = {}
        self._kept = FencedRecord(context, turns, ORDERED_KEY, OrderedCounts())

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self._tend()

    async def _tend(self) -> None:
        rows = [row for row in self._context.daemon.view.rows(ServiceRow) if row.scaling]
        if not rows:
            return
        ordered = await self._kept.present()
        if ordered is None:
            self._watched.clear()
            return
        if not self._knows_engines():
            return
        for row in rows:
            if row.scaling is not None:
                await self._tend_service(row, row.scaling, ordered)

    async def _tend_service(
        self, row: ServiceRow, terms: ScalingTerms, ordered: OrderedCounts
    ) -> None:
        capacity = _capacity(row, terms)
        now_seconds = self._context.now_seconds()
        present = self._present(row.name, now_seconds)
        if not present:
            return
        watched = self._watched.get(row.name)
        if watched is None:
            planner = CapacityPlanner(KIND_POLICIES.get(self._context.policy.engine_kinds))
            watched = self._watched[row.name] = _Watched(planner, now_seconds)
        watched.saw(present)
        if now_seconds < watched.listed_since_seconds + LIST_SETTLES_SECONDS:
            return
        wanted = self._wanted(row, capacity)
        if wanted is None:
            return
        state = ServiceState(present, watched.max_present | ordered.of(row.name))
        orders = watched.planner.orders(state, capacity, wanted, now_seconds)
        if orders:
            decision = _Decision(row.name, capacity, state, wanted)
            await self._enter_and_order(decision, ordered, orders)

    def _knows_engines(self) -> bool:
        """Return whether engines that are not listed are gone, and did not lapse with the list."""
        contact = self._context.contact
        settled_seconds = contact.back_seconds + LIST_SETTLES_SECONDS
        return not contact.is_away and self._context.now_seconds() >= settled_seconds

    def _present(self, service: str, now_seconds: float) -> EngineCounts:
        counts: EngineCounts = Counter()
        for target in self._context.directory.usable(service, now_seconds):
            kind = EngineKind.RECLAIMABLE if target.reclaimable else EngineKind.KEPT
            counts[EngineLocation(target.zone, kind)] += 1
        return counts

    def _wanted(self, row: ServiceRow, capacity: Capacity) -> int | None:
        """Return how many engines a service should have, or None to leave them as they are."""
        jobs = self._recent_jobs(row)
        due_seconds = self._due_seconds(row.name)
        slots = wanted_slots(jobs, due_seconds)
        busy = sum(job.work_seconds for job in jobs if job.is_open) / due_seconds
        policy = CAPACITY_POLICIES.get(self._context.policy.engines_wanted)
        return policy(slots, busy, capacity.slots)

    def _recent_jobs(self, row: ServiceRow) -> list[JobLoad]:
        oldest_unix_seconds = self._wall_clock() - RECENT_SECONDS
        markers = [known.marker for known in self._known.jobs.values()]
        return [
            JobLoad(marker.model, marker.work_seconds, is_open=not marker.ended)
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

    async def _enter_and_order(
        self, decision: _Decision, ordered: OrderedCounts, orders: list[EngineOrder]
    ) -> None:
        """Write what is ordered, and order it.

        What is written first may not be ordered any more. Then the next holder finds fewer engines
        than were ordered, and orders more than that; so nothing is ordered twice by itself.
        """
        now = orders[: self._max_orders]
        entry = await self._kept.enter_with(ordered.with_orders(decision.service, now))
        if entry is None:
            return
        for order in now:
            await self._order(decision, order, entry.began_seconds)

    async def _order(
        self, decision: _Decision, order: EngineOrder, entered_at_seconds: float
    ) -> None:
        fencing = self._turns.fencing_to_send(DUTIES_TURN, entered_at_seconds)
        if fencing is None:
            return
        place = order.place
        answer = await self._client.order_engines(
            Holder(self._context.daemon_name, fencing),
            decision.service,
            place.zone,
            order.count,
            place.kind is EngineKind.RECLAIMABLE,
        )
        added = order.count - decision.state.ordered[place]
        self._note_answer(decision, order, added, answer.outcome)
        self._context.log.write(
            EnginesOrdered(
                service=decision.service,
                zone=place.zone,
                engine_kind=place.kind.value,
                count=order.count,
                added=added,
                wanted=decision.wanted,
                present=sum(decision.state.present.values()),
                fencing=fencing,
                outcome=f"{answer.outcome.value}: {answer.detail}",
            )
        )

    def _note_answer(
        self, decision: _Decision, order: EngineOrder, added: int, outcome: DutyOutcome
    ) -> None:
        """Learn from the answer to an order that adds so many engines."""
        watched = self._watched[decision.service]
        now_seconds = self._context.now_seconds()
        if outcome in (DutyOutcome.TAKEN, DutyOutcome.UNKNOWN):
            watched.planner.taken(added, decision.capacity, now_seconds)
        else:
            watched.planner.refused(order.place, now_seconds)
            before = EngineOrder(order.place, order.count - added)
            if self._kept.value is not None:
                self._kept.value = self._kept.value.with_orders(decision.service, [before])
        if added < 0:
            # What was given back is no engine that is lost.
            watched.max_present[order.place] = order.count


def _capacity(row: ServiceRow, terms: ScalingTerms) -> Capacity:
    """Return the terms on which a service's engines are had."""
    return Capacity(
        terms.least,
        terms.most,
        terms.boot_seconds,
        max(1, row.slots),
        terms.zone_prices,
        terms.reclaimable_price,
    )
