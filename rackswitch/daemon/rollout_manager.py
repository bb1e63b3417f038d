"""Carry out roll-outs in the partitions that this daemon holds."""

import asyncio
from dataclasses import dataclass, field

from rackswitch.clients.engine import EngineInfo, OrderTaken
from rackswitch.clients.weight_store import PublishedVersions, WeightStoreClient
from rackswitch.daemon.context import DaemonContext
from rackswitch.daemon.roles import RoleManager
from rackswitch.daemon.target_manager import TargetManager
from rackswitch.table import ModelRow, RouteChoice, RouteRow, TargetRow
from rackswitch.telemetry.events import LoadOrdered
from rackswitch.weights import (
    EngineView,
    LoadOrder,
    RolloutState,
    desired_version,
    partition_of,
    plan_load_orders,
)

__all__ = ["RolloutManager", "rollout_role"]

TICK_SECONDS = 0.25
STORE_POLL_INTERVAL_SECONDS = 0.5
CONVERGED_CHECK_INTERVAL_SECONDS = 5.0
"""Between checks of a partition whose engines all have the desired version."""


def rollout_role(model: str, partition: int) -> str:
    """Return the role whose holder sends load orders to one partition of a model's engines."""
    return f"rollout/{model}/{partition}"


@dataclass(slots=True)
class _Partition:
    """A held partition; it is checked less often once it has converged."""

    state: RolloutState = field(default_factory=RolloutState)
    desired: int = 0
    next_check_seconds: float = 0.0

    def is_due(self, desired: int, now_seconds: float) -> bool:
        return desired != self.desired or now_seconds >= self.next_check_seconds


class RolloutManager:
    """Compares the engines' versions with the desired one, and sends load orders.

    Parameters
    ----------
    context : DaemonContext
        State shared by the daemon's components.
    roles : RoleManager
        Leases on roles.
    targets : TargetManager
        Engine clients.
    store : WeightStoreClient
        Lists the published versions.
    """

    __slots__ = (
        "_context",
        "_latest_versions",
        "_next_store_poll_seconds",
        "_partitions",
        "_roles",
        "_store",
        "_targets",
    )

    def __init__(
        self,
        context: DaemonContext,
        roles: RoleManager,
        targets: TargetManager,
        store: WeightStoreClient,
    ):
        self._context = context
        self._roles = roles
        self._targets = targets
        self._store = store
        self._latest_versions: dict[str, int] = {}
        self._next_store_poll_seconds: dict[str, float] = {}
        self._partitions: dict[str, _Partition] = {}

    async def run(self) -> None:
        """Update the held partitions periodically."""
        while True:
            await asyncio.sleep(TICK_SECONDS * (0.9 + 0.2 * self._context.rng.random()))
            await asyncio.gather(
                *(self._update_model(model) for model in self._context.view.rows(ModelRow))
            )

    async def _update_model(self, model: ModelRow) -> None:
        count = self._context.settings.rollout_partitions
        held_partitions = [
            number
            for number in range(count)
            if self._roles.may_act(rollout_role(model.name, number))
        ]
        if not held_partitions:
            return
        await self._read_published_versions(model.name)
        desired = desired_version(model, self._latest_versions.get(model.name, 0))
        if desired == 0:
            return
        for number in held_partitions:
            await self._update_partition(model, number, desired)

    async def _read_published_versions(self, model: str) -> None:
        now_seconds = self._context.now_seconds()
        if now_seconds < self._next_store_poll_seconds.get(model, 0.0):
            return
        self._next_store_poll_seconds[model] = now_seconds + STORE_POLL_INTERVAL_SECONDS
        published = await self._store.published(model)
        if isinstance(published, PublishedVersions):
            self._latest_versions[model] = max(
                self._latest_versions.get(model, 0), published.latest
            )

    async def _update_partition(self, model: ModelRow, number: int, desired: int) -> None:
        role = rollout_role(model.name, number)
        partition = self._partitions.setdefault(role, _Partition())
        if not partition.is_due(desired, self._context.now_seconds()):
            return
        partition.desired = desired
        rows = self._rows(model.name, number)
        views = await asyncio.gather(*(self._read_engine(row) for row in rows))
        engines = [view for view in views if view is not None]
        now_seconds = self._context.now_seconds()
        converged = all(view is not None and view.version == desired for view in views)
        partition.next_check_seconds = now_seconds + (
            CONVERGED_CHECK_INTERVAL_SECONDS if converged else 0.0
        )
        orders = plan_load_orders(
            desired,
            model.unavailable_share,
            engines,
            self._choices(model.name),
            partition.state,
            now_seconds,
        )
        rows_by_name = {row.name: row for row in rows}
        for order in orders:
            partition.state.record_order(order)
            row = rows_by_name[order.engine]
            self._context.spawn(self._send_order(role, partition.state, model.name, row, order))

    def _rows(self, model: str, number: int) -> list[TargetRow]:
        count = self._context.settings.rollout_partitions
        return [
            row
            for row in self._context.view.rows(TargetRow)
            if row.serves == model and partition_of(row.name, count) == number
        ]

    def _choices(self, model: str) -> list[RouteChoice]:
        return [
            choice
            for route in self._context.view.rows(RouteRow)
            for choice in route.choices
            if choice.serves == model
        ]

    async def _read_engine(self, row: TargetRow) -> EngineView | None:
        """Read an engine's state; None if it does not answer, so that it gets no order."""
        info = await self._targets.client(row.protocol).info(row.url)
        if not isinstance(info, EngineInfo):
            return None
        return EngineView(row.name, info.version, info.loading, info.queued_tokens)

    async def _send_order(
        self, role: str, state: RolloutState, model: str, row: TargetRow, order: LoadOrder
    ) -> None:
        # Check the lease immediately before the order. Engines may ignore the fencing number;
        # later checks correct a wrong version.
        if not self._roles.may_act(role):
            state.record_end(row.name, False, self._context.now_seconds())
            return
        fencing = self._roles.fencing(role)
        result = await self._targets.client(row.protocol).load_version(
            row.url, model, order.version, fencing
        )
        loaded = isinstance(result, OrderTaken)
        state.record_end(row.name, loaded, self._context.now_seconds())
        self._context.log.write(
            LoadOrdered(
                target=row.name,
                model=model,
                version=order.version,
                version_listed=None,
                fencing=fencing,
                orders_taken=None,
                outcome="loaded" if isinstance(result, OrderTaken) else result.detail,
            )
        )
