"""Ranks of the jobs owned here, and the order and urgency of their items."""

from collections.abc import Iterable
from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.jobs import (
    MIDDLE_URGENCY,
    EngineCapacity,
    ItemProgress,
    Job,
    JobLedger,
    LengthForecast,
    SlackOrder,
    available_paces,
    urgency_levels,
    urgency_of,
)
from rackswitch.table import Handling, RouteRow

__all__ = ["StepRanks"]

SURPLUS_LIFE_SECONDS = 0.25
"""How long the surplus groups found for a job are used: finding them goes through all its items,
and its texts grow by only a few pieces meanwhile."""


@dataclass(frozen=True, slots=True)
class _ServiceRanks:
    """Ranks of the routes that a service's engines serve, 0 first.

    Attributes
    ----------
    items, calls : frozenset of int
        Those of routes of batch jobs, and those of all other routes.
    """

    items: frozenset[int]
    calls: frozenset[int]


class StepRanks:
    """Ranks jobs by the table in force.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = (
        "_by_service",
        "_context",
        "_surplus",
        "_surplus_until_seconds",
        "_table_revision",
    )

    def __init__(self, context: GatewayContext):
        self._context = context
        self._table_revision = -1
        self._by_service: dict[str, _ServiceRanks] = {}
        self._surplus: dict[str, set[str]] = {}
        self._surplus_until_seconds = 0.0

    def order(
        self,
        owned_jobs: dict[str, OwnedJob],
        services: dict[str, str],
        rooms: Iterable[EngineCapacity],
        forecast: LengthForecast,
    ) -> SlackOrder:
        """Return the present order of all items."""
        due_seconds = {job_id: owned.due_seconds for job_id, owned in owned_jobs.items()}
        class_of = {
            job_id: self._class_of(owned.ledger.job) for job_id, owned in owned_jobs.items()
        }
        now_seconds = self._context.now_seconds()
        if now_seconds >= self._surplus_until_seconds:
            self._surplus = {}
            self._surplus_until_seconds = now_seconds + SURPLUS_LIFE_SECONDS
        paces_seconds = available_paces(rooms)
        return SlackOrder(services, due_seconds, class_of, paces_seconds, forecast, self._surplus)

    def urgency(self, order: SlackOrder, ledger: JobLedger, progress: ItemProgress) -> int:
        """Return how urgent an engine is told that an item's run is."""
        if not self._context.policy.urgency_told:
            return MIDDLE_URGENCY
        job_id = ledger.job.job_id
        rank = order.class_of[job_id]
        ranks = self._ranks(order.service_of.get(job_id, ""))
        slack_seconds = order.start_by_seconds(ledger, progress) - self._context.now_seconds()
        return urgency_of(
            slack_seconds,
            order.is_surplus(ledger, progress),
            is_first_rank=all(rank <= other for other in ranks.items),
            levels=urgency_levels(rank, ranks.calls),
        )

    def _class_of(self, job: Job) -> int:
        route = self._context.routes.find(job.host, job.path)
        if route is None:
            return RouteRow(name="", choices=()).caller_class
        return self._context.tenants.of_tenant(job.tenant).rank(route.caller_class)

    def _ranks(self, service: str) -> _ServiceRanks:
        if self._table_revision != self._context.table_revision:
            self._table_revision = self._context.table_revision
            self._by_service.clear()
        ranks = self._by_service.get(service)
        if ranks is None:
            ranks = self._by_service[service] = self._read_ranks(service)
        return ranks

    def _read_ranks(self, service: str) -> _ServiceRanks:
        items: set[int] = set()
        calls: set[int] = set()
        for routes in self._context.routes.by_host.values():
            for route in routes:
                if any(choice.serves == service for choice in route.choices):
                    ranks = items if route.handling is Handling.BATCH else calls
                    ranks.add(route.caller_class)
        return _ServiceRanks(frozenset(items), frozenset(calls))
