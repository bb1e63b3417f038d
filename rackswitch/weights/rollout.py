"""Which engines to order to load which version now.

The decision starts each time from what the engines themselves report, so it
converges whatever became of earlier orders: lost, late, from an old holder, or
failed halfway. Engines are split into partitions by name, each with its own
lease and its own part of the allowance, so nothing per engine passes through
one process.
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
RETRY_AFTER_FAILURE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class EngineView:
    """An engine's own word about its weights; version None if it cannot tell."""

    name: str
    version: int | None
    loading: bool
    queued_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to one engine, good until a deadline."""

    engine: str
    version: int
    deadline_seconds: float


@dataclass(slots=True)
class RolloutState:
    """Orders under way in one partition, by engine."""

    orders: dict[str, LoadOrder] = field(default_factory=dict)
    next_try_seconds: dict[str, float] = field(default_factory=dict)

    def ordered(self, order: LoadOrder) -> None:
        """Note that an order is being sent."""
        self.orders[order.engine] = order

    def ended(self, engine: str, loaded: bool, now_seconds: float) -> None:
        """Note an order's end; a failure waits a little before the next try."""
        self.orders.pop(engine, None)
        if not loaded:
            self.next_try_seconds[engine] = now_seconds + RETRY_AFTER_FAILURE_SECONDS


def partition_of(engine: str, partitions: int) -> int:
    """Return the partition that an engine belongs to."""
    digest = hashlib.blake2b(engine.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % partitions


def desired_version(model: ModelRow, latest_published: int) -> int:
    """Return the version engines should have: the pinned one, else the newest."""
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
    """Decide which engines of a partition to order now.

    Parameters
    ----------
    desired : int
        The version wanted on every engine.
    unavailable_share : float
        Most of the engines, as a share, that may be loading at once.
    engines : iterable of EngineView
        The partition's engines as they describe themselves.
    choices : iterable of RouteChoice
        Route choices on this model; each must keep an engine of an allowed version.
    state : RolloutState
        Orders under way.
    now_seconds : float
        Monotonic clock.
    max_loading : int, optional
        Most engines that may be loading at once, in place of the share.

    Returns
    -------
    list of LoadOrder
        Orders to send; engines that serve nothing come first, then the least loaded.
    """
    fleet = list(engines)
    busy = {
        engine.name
        for engine in fleet
        if engine.loading or _under_way(state, engine.name, now_seconds)
    }
    allowance = max_loading or max(1, int(len(fleet) * unavailable_share))
    room = allowance - len(busy)
    waiting = [
        engine
        for engine in fleet
        if engine.version != desired
        and engine.name not in busy
        and now_seconds >= state.next_try_seconds.get(engine.name, 0.0)
    ]
    waiting.sort(key=lambda engine: (engine.version is not None, engine.queued_tokens))
    rules = list(choices)
    serving = {engine.name: engine.version for engine in fleet if engine.name not in busy}
    orders: list[LoadOrder] = []
    for engine in waiting:
        if len(orders) >= room:
            break
        if not _may_take_out(engine, serving, rules, desired):
            continue
        serving.pop(engine.name, None)
        deadline_seconds = now_seconds + ORDER_TIMEOUT_SECONDS
        orders.append(LoadOrder(engine.name, desired, deadline_seconds))
    return orders


def _under_way(state: RolloutState, engine: str, now_seconds: float) -> bool:
    order = state.orders.get(engine)
    return order is not None and now_seconds < order.deadline_seconds


def _may_take_out(
    engine: EngineView,
    serving: dict[str, int | None],
    rules: list[RouteChoice],
    desired: int,
) -> bool:
    """Return whether every route choice that this engine serves keeps another engine.

    A fleet of one engine, or one where only this engine is allowed, still moves when
    the desired version is allowed too: a short pause is better than never moving.
    """
    for rule in rules:
        if not _allows(rule, engine.version):
            continue
        others = any(
            _allows(rule, version) for name, version in serving.items() if name != engine.name
        )
        if not others and (len(serving) > 1 or not _allows(rule, desired)):
            return False
    return True


def _allows(rule: RouteChoice, version: int | None) -> bool:
    if version is None or version < rule.oldest_version:
        return False
    return rule.newest_version is None or version <= rule.newest_version
