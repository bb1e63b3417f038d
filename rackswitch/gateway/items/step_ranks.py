"""Ranks of the jobs owned by this daemon, and the order and urgency of their items."""

from collections.abc import Iterable
from dataclasses import dataclass

from rackswitch.gateway.context import GatewayContext
from rackswitch.gateway.jobs.owned_job import OwnedJob
from rackswitch.jobs import (
    DEFAULT_URGENCY,
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

SURPLUS_LIFETIME_SECONDS = 0.25
"""How long a job's surplus groups are cached: finding them visits all its items."""


@dataclass(frozen=True, slots=True)
class _ServiceRanks:
    """Ranks of the routes that a service's engines serve; 0 is the most important.

    Attributes
    ----------
    batch_ranks, call_ranks : frozenset of int
        Ranks of the routes of batch jobs, and of all other routes.
    """

    batch_ranks: frozenset[int]
    call_ranks: frozenset[int]


class StepRanks:
    """Ranks jobs by the current table.

    Parameters
    ----------
    context : GatewayContext
        The daemon.
    """

    __slots__ = (
        "_by_service",
        "_context",
        "_surplus_groups",
        "_surplus_groups_until_seconds",
        "_table_revision",
    )

    def __init__(self, context: GatewayContext):
        self._context = context
        self._table_revision = -1
        self._by_service: dict[str, _ServiceRanks] = {}
        self._surplus_groups: dict[str, set[str]] = {}
        self._surplus_groups_until_seconds = 0.0

    def order(
        self,
        owned_jobs: dict[str, OwnedJob],
        services: dict[str, str],
        engines: Iterable[EngineCapacity],
        forecast: LengthForecast,
    ) -> SlackOrder:
        """Return the current order of all items."""
        due_seconds = {job_id: owned.due_seconds for job_id, owned in owned_jobs.items()}
        class_of = {
            job_id: self._class_of(owned.ledger.job) for job_id, owned in owned_jobs.items()
        }
        now_seconds = self._context.now_seconds()
        if now_seconds >= self._surplus_groups_until_seconds:
            self._surplus_groups = {}
            self._surplus_groups_until_seconds = now_seconds + SURPLUS_LIFETIME_SECONDS
        paces_seconds = available_paces(engines)
        return SlackOrder(
            services, due_seconds, class_of, paces_seconds, forecast, self._surplus_groups
        )

    def urgency(self, order: SlackOrder, ledger: JobLedger, progress: ItemProgress) -> int:
        """Return the urgency that is sent to the engine with an item's run."""
        if not self._context.policy.urgency_told:
            return DEFAULT_URGENCY
        job_id = ledger.job.job_id
        rank = order.rank_of[job_id]
        ranks = self._ranks(order.service_of.get(job_id, ""))
        slack_seconds = order.start_by_seconds(ledger, progress) - self._context.now_seconds()
        return urgency_of(
            slack_seconds,
            order.is_surplus(ledger, progress),
            is_first_rank=all(rank <= other for other in ranks.batch_ranks),
            levels=urgency_levels(rank, ranks.call_ranks),
        )

    def _class_of(self, job: Job) -> int:
        route = self._context.routes.find(job.host, job.path)
        if route is None:
            return RouteRow(name="", choices=()).caller_class
        return self._context.tenants.caller_of_tenant(job.tenant).rank(route.caller_class)

    def _ranks(self, service: str) -> _ServiceRanks:
        if self._table_revision != self._context.table_revision:
            self._table_revision = self._context.table_revision
            self._by_service.clear()
        ranks = self._by_service.get(service)
        if ranks is None:
            ranks = self._by_service[service] = self._ranks_from_routes(service)
        return ranks

    def _ranks_from_routes(self, service: str) -> _ServiceRanks:
        batch_ranks: set[int] = set()
        call_ranks: set[int] = set()
        for routes in self._context.routes.by_host.values():
            for route in routes:
                if any(choice.serves == service for choice in route.choices):
                    ranks = batch_ranks if route.handling is Handling.BATCH else call_ranks
                    ranks.add(route.caller_class)
        return _ServiceRanks(frozenset(batch_ranks), frozenset(call_ranks))
