"""Plans the orders that make a partition's engines load a version.

Each plan starts from the versions that the engines report, so it converges even
if earlier orders were lost, late, sent by a former holder, or failed halfway.
Engines are split into partitions by name, each with its own lease and its own
part of the allowance, so no single process handles all engines.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from rackswitch.table import ModelRow, RouteChoice

__all__ = [
    "EngineView",
    "LoadOrder",
    "RolloutState",
    "desired_version",
    "partition_of",
    "plan_load_orders",
]

ORDER_TIMEOUT_SECONDS = 15.0
FAILED_ORDER_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine's reported weights; the version is None if the engine reports none."""

    name: str
    version: int | None
    loading: bool
    queued_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to one engine, valid until a deadline."""

    engine: str
    version: int
    deadline_seconds: float


@dataclass(slots=True)
class RolloutState:
    """Pending orders of one partition, by engine."""

    orders: dict[str, LoadOrder] = field(default_factory=dict)
    next_try_seconds: dict[str, float] = field(default_factory=dict)

    def record_order(self, order: LoadOrder) -> None:
        """Record that an order is being sent."""
        self.orders[order.engine] = order

    def record_end(self, engine: str, loaded: bool, now_seconds: float) -> None:
        """Record the end of an order; a failed one delays the retry."""
        self.orders.pop(engine, None)
        if not loaded:
            self.next_try_seconds[engine] = now_seconds + FAILED_ORDER_RETRY_SECONDS


def partition_of(engine: str, partitions: int) -> int:
    """Return the partition that an engine belongs to."""
    digest = hashlib.blake2b(engine.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


def desired_version(model: ModelRow, latest_published: int) -> int:
    """Return the version that engines should have: the pinned one, else the latest."""
    if model.pinned_version is not None:
        return model.pinned_version
    return latest_published


def plan_load_orders(
    desired: int,
    unavailable_share: float,
    engines: Iterable[EngineView],
    choices: Iterable[RouteChoice],
    state: RolloutState,
    now_seconds: float,
    max_loading: int | None = None,
) -> list[LoadOrder]:
    """Return the orders to send to engines of a partition now.

    Parameters
    ----------
    desired : int
        The version that every engine should have.
    unavailable_share : float
        Maximum share of the engines that may be loading at once.
    engines : iterable of EngineView
        The partition's engines, as they report themselves.
    choices : iterable of RouteChoice
        Route choices on this model; each has to keep an engine of an allowed version.
    state : RolloutState
        Pending orders.
    now_seconds : float
        Monotonic clock.
    max_loading : int, optional
        Maximum number of engines that may be loading at once; replaces the share.

    Returns
    -------
    list of LoadOrder
        Engines without a version come first, then those with the fewest queued tokens.
    """
    engine_views = list(engines)
    busy = {
        engine.name
        for engine in engine_views
        if engine.loading or _is_order_pending(state, engine.name, now_seconds)
    }
    allowance = max_loading or max(1, int(len(engine_views) * unavailable_share))
    free_slots = allowance - len(busy)
    outdated = [
        engine
        for engine in engine_views
        if engine.version != desired
        and engine.name not in busy
        and now_seconds >= state.next_try_seconds.get(engine.name, 0.0)
    ]
    outdated.sort(key=lambda engine: (engine.version is not None, engine.queued_tokens))
    rules = list(choices)
    serving_versions = {
        engine.name: engine.version for engine in engine_views if engine.name not in busy
    }
    orders: list[LoadOrder] = []
    for engine in outdated:
        if len(orders) >= free_slots:
            break
        if not _may_start_load(engine, serving_versions, rules, desired):
            continue
        serving_versions.pop(engine.name, None)
        deadline_seconds = now_seconds + ORDER_TIMEOUT_SECONDS
        orders.append(LoadOrder(engine.name, desired, deadline_seconds))
    return orders


def _is_order_pending(state: RolloutState, engine: str, now_seconds: float) -> bool:
    order = state.orders.get(engine)
    return order is not None and now_seconds < order.deadline_seconds


def _may_start_load(
    engine: EngineView,
    serving_versions: dict[str, int | None],
    rules: list[RouteChoice],
    desired: int,
) -> bool:
    """Return whether each route choice that this engine serves keeps another engine.

    A single engine may load the desired version too, if that is allowed: a short interruption
    is better than an engine that never changes its version.
    """
    for rule in rules:
        if not _allows(rule, engine.version):
            continue
        has_other = any(
            _allows(rule, version)
            for name, version in serving_versions.items()
            if name != engine.name
        )
        if not has_other and (len(serving_versions) > 1 or not _allows(rule, desired)):
            return False
    return True


def _allows(rule: RouteChoice, version: int | None) -> bool:
    if version is None or version < rule.oldest_version:
        return False
    return rule.newest_version is None or version <= rule.newest_version
