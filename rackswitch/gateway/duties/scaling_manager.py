"""Orders engines from the platform while this daemon holds the duties role."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Container, Iterable
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
from rackswitch.routing import ListedTarget
from rackswitch.table import Handling, RouteRow, ScalingTerms, ServiceRow
from rackswitch.telemetry.events import EnginesOrdered
from rackswitch.warmup import Warmth

__all__ = ["ScalingManager"]

ORDERED_KEY = "capacity/ordered"
"""Key of the last orders, for the next holder: the platform does not report them."""

TICK_SECONDS = 0.5

ORDER_CALLS_SHARE = 0.5
"""Share of the operators' API rate limit for orders; the rest is left for usage reports. Further
orders follow in the next tick."""

RECENT_JOB_SECONDS = 30.0
"""Jobs submitted within this time, some seven steps, count as load, also once they have ended:
their trainer is likely to submit a similar one."""

LIST_SETTLE_SECONDS = 3.0
"""No orders are sent for this long after an outage of the key-value service and after the first
engine is listed: a live engine is listed again within some 2 s. Orders based on an incomplete list
removed two of six engines that they were meant to add to."""

DEFAULT_DUE_SECONDS = 7.5
"""For a service without a route for batch jobs."""


@dataclass(slots=True)
class _ObservedEngines:
    """A service's engines, as observed since this daemon holds the role.

    Attributes
    ----------
    listed_since_seconds : float
        When the first of them was listed (monotonic).
    max_present : EngineCounts
        Maximum number present at a time, by location. An order with a lower count would remove
        engines.
    """

    planner: CapacityPlanner
    listed_since_seconds: float
    max_present: EngineCounts = field(default_factory=Counter)

    def record_present(self, present: EngineCounts) -> None:
        """Record which engines are present now."""
        self.max_present |= present


@dataclass(frozen=True, slots=True)
class _Decision:
    """Inputs of a scaling decision for a service."""

    service: str
    capacity: Capacity
    state: ServiceState
    wanted: int


class ScalingManager:
    """Scales services by ordering engines while this daemon holds the role.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    turns : TurnManager
        Checks that this daemon may act as the holder.
    client : DutyClient
        Client of the operators' API.
    known_jobs : KnownJobs
        All jobs of the fleet, from which the demand is computed.
    calls_per_second : float
        Rate limit of the operators' API for all daemons together.
    wall_clock : callable
        Returns the Unix time in seconds.
    """

    __slots__ = (
        "_client",
        "_context",
        "_record",
        "_known_jobs",
        "_max_orders",
        "_turns",
        "_wall_clock",
        "_observed",
    )

    def __init__(
        self,
        context: GatewayContext,
        turns: TurnManager,
        client: DutyClient,
        known_jobs: KnownJobs,
        calls_per_second: float,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._max_orders = max(1, int(calls_per_second * TICK_SECONDS * ORDER_CALLS_SHARE))
        self._context = context
        self._turns = turns
        self._client = client
        self._known_jobs = known_jobs
        self._wall_clock = wall_clock
        self._observed: dict[str, _ObservedEngines] = {}
        self._record = FencedRecord(context, turns, ORDERED_KEY, OrderedCounts())

    async def run(self) -> None:
        """Scale services until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            await self._scale_services()

    async def _scale_services(self) -> None:
        rows = [row for row in self._context.daemon.view.rows(ServiceRow) if row.scaling]
        if not rows:
            return
        ordered = await self._record.current_value()
        if ordered is None:
            self._observed.clear()
            return
        if not self._is_list_settled():
            return
        for row in rows:
            if row.scaling is not None:
                await self._scale_service(row, row.scaling, ordered)

    async def _scale_service(
        self, row: ServiceRow, terms: ScalingTerms, ordered: OrderedCounts
    ) -> None:
        evacuated_zones = self._context.directory.eligibility.evacuations.keys()
        capacity = _capacity(row, terms, evacuated_zones)
        now_seconds = self._context.now_seconds()
        engines = self._context.directory.usable(row.name, now_seconds)
        present = _count_by_location(engines)
        if not present:
            return
        observed = self._observed.get(row.name)
        if observed is None:
            planner = CapacityPlanner(KIND_POLICIES.get(self._context.policy.engine_kinds))
            observed = self._observed[row.name] = _ObservedEngines(planner, now_seconds)
        observed.record_present(present)
        if now_seconds < observed.listed_since_seconds + LIST_SETTLE_SECONDS:
            return
        wanted = self._wanted_engines(row, capacity)
        if wanted is None:
            return
        cold_sends = self._context.cold_sends
        cold = _count_by_location(
            engine for engine in engines if cold_sends.warmth(engine, now_seconds) is Warmth.COLD
        )
        state = ServiceState(present, observed.max_present | ordered.for_service(row.name), cold)
        orders = observed.planner.orders(state, capacity, wanted, now_seconds)
        if orders:
            decision = _Decision(row.name, capacity, state, wanted)
            await self._write_and_order(decision, ordered, orders)

    def _is_list_settled(self) -> bool:
        """Return whether an engine missing from the list is gone.

        Around an outage of the key-value service live engines may be missing too.
        """
        contact = self._context.store_reachability
        settled_seconds = contact.recovered_at_seconds + LIST_SETTLE_SECONDS
        return not contact.is_unreachable and self._context.now_seconds() >= settled_seconds

    def _wanted_engines(self, row: ServiceRow, capacity: Capacity) -> int | None:
        """Return how many engines a service should have; None to leave them unchanged."""
        jobs = self._recent_jobs(row)
        due_seconds = self._due_seconds(row.name)
        slots = wanted_slots(jobs, due_seconds)
        busy = sum(job.work_seconds for job in jobs if job.is_open) / due_seconds
        policy = CAPACITY_POLICIES.get(self._context.policy.engines_wanted)
        return policy(slots, busy, capacity.slots)

    def _recent_jobs(self, row: ServiceRow) -> list[JobLoad]:
        oldest_unix_seconds = self._wall_clock() - RECENT_JOB_SECONDS
        markers = [known.marker for known in self._known_jobs.jobs.values()]
        return [
            JobLoad(marker.model, marker.work_seconds, is_open=not marker.ended)
            for marker in markers
            if marker.model in row.models
            and marker.submitted_at_unix_seconds >= oldest_unix_seconds
        ]

    def _due_seconds(self, service: str) -> float:
        due_times_seconds = [
            route.due_seconds
            for route in self._context.daemon.view.rows(RouteRow)
            if route.handling is Handling.BATCH
            and any(choice.serves == service for choice in route.choices)
        ]
        return min(due_times_seconds, default=DEFAULT_DUE_SECONDS)

    async def _write_and_order(
        self, decision: _Decision, ordered: OrderedCounts, orders: list[EngineOrder]
    ) -> None:
        """Store the ordered counts, then send the orders.

        If this daemon fails in between, the next holder finds fewer engines than the stored counts
        and orders again; no order is sent twice otherwise.
        """
        sent_orders = orders[: self._max_orders]
        entry = await self._record.write_with_entry(
            ordered.with_orders(decision.service, sent_orders)
        )
        if entry is None:
            return
        for order in sent_orders:
            await self._order(decision, order, entry.began_seconds)

    async def _order(
        self, decision: _Decision, order: EngineOrder, entered_at_seconds: float
    ) -> None:
        fencing = self._turns.fencing_to_send(DUTIES_TURN, entered_at_seconds)
        if fencing is None:
            return
        location = order.location
        answer = await self._client.order_engines(
            Holder(self._context.daemon_name, fencing),
            decision.service,
            location.zone,
            order.count,
            location.kind is EngineKind.RECLAIMABLE,
        )
        added = order.count - decision.state.ordered[location]
        self._record_answer(decision, order, added, answer.outcome)
        self._context.log.write(
            EnginesOrdered(
                service=decision.service,
                zone=location.zone,
                engine_kind=location.kind.value,
                count=order.count,
                added=added,
                wanted=decision.wanted,
                present=sum(decision.state.present.values()),
                fencing=fencing,
                outcome=f"{answer.outcome.value}: {answer.detail}",
            )
        )

    def _record_answer(
        self, decision: _Decision, order: EngineOrder, added: int, outcome: DutyOutcome
    ) -> None:
        """Update the state of the service by the answer to an order."""
        observed = self._observed[decision.service]
        now_seconds = self._context.now_seconds()
        if outcome in (DutyOutcome.ACCEPTED, DutyOutcome.UNKNOWN):
            observed.planner.record_accepted_order(added, decision.capacity, now_seconds)
        else:
            observed.planner.record_refusal(order.location, now_seconds)
            previous_order = EngineOrder(order.location, order.count - added)
            if self._record.value is not None:
                self._record.value = self._record.value.with_orders(
                    decision.service, [previous_order]
                )
        if added < 0:
            # These engines were removed on purpose, so they must not be ordered again.
            observed.max_present[order.location] = order.count


def _count_by_location(engines: Iterable[ListedTarget]) -> EngineCounts:
    counts: EngineCounts = Counter()
    for engine in engines:
        kind = EngineKind.RECLAIMABLE if engine.reclaimable else EngineKind.KEPT
        counts[EngineLocation(engine.zone, kind)] += 1
    return counts


def _capacity(row: ServiceRow, terms: ScalingTerms, evacuated_zones: Container[str]) -> Capacity:
    """Return the scaling terms of a service; nothing is ordered or released in evacuated zones."""
    zone_prices = {
        zone: price for zone, price in terms.zone_prices.items() if zone not in evacuated_zones
    }
    return Capacity(
        terms.least,
        terms.most,
        terms.boot_seconds,
        max(1, row.slots),
        zone_prices,
        terms.reclaimable_price,
    )
