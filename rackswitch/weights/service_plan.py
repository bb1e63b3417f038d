"""Which engines of a service load which model's newest version now, over all models at once.

Trainers name versions of their own models, but the models share the service's engines and its
allowance of loads. Planned one model after the other, the last one starves: on a day of three
models on six engines, 2 of 22 named versions were never ordered and a step waited 6.4 s for one.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from rackswitch.weights.rollout import ORDER_TIMEOUT_SECONDS, LoadOrder, RolloutState

__all__ = [
    "CarrierView",
    "ModelNeed",
    "ServiceLoad",
    "carriers_wanted",
    "loads_at_once",
    "plan_service_loads",
]

LOADING_SHARE = 0.4
"""Share of a service's engines that load at once. The platform's sheets name the number from
which loads slow each other down: two of five or six engines, nine of twenty-two."""

MIN_LOADING = 2
"""Loads at once however few the engines are."""

NEWEST_SHARE = 0.5
"""Most of the engines that load one version, as a share. Jobs may use the version before the
newest too, so with half each engine loads every second version, and at each new version the
others serve on."""


FAULTY_FACTOR = 1.7
"""How many times slower than the fastest an engine is that has a fault: it loads last. Engines
of one service differ by up to 1.3 on a calm day, and a faulty one is three times slower."""

SLOWER_FACTOR = 1.15
"""From how many times slower on an engine is not one of the fast ones: half of what engines of
one service differ by."""


MAX_LOADS_A_PLAN = 32
"""Loads that one plan orders; the next follows a tenth of a second later. So a plan for 600
engines and 8 models takes 25 ms of the loop that serves callers; with no bound and the fastest
engine looked up for each it took 8.6 s (`benchmarks/bench_service_plan.py`)."""


def loads_at_once(engines: int) -> int:
    """Return how many of a service's engines may load at the same time."""
    return max(MIN_LOADING, int(engines * LOADING_SHARE))


def carriers_wanted(engines: int, models: int) -> int:
    """Return how many engines should have each version of each model.

    The models share the engines evenly: with three models on six engines two engines load
    each version. With half of them for each model the loads alone take all the time there
    is (nine loads of 0.9 s, two at a time, for versions that come every 4 s).
    """
    half = -int(-engines * NEWEST_SHARE // 1)
    fair = -(-engines // max(1, models))
    return max(1, min(half, fair))


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """What is known of a model's versions.

    Attributes
    ----------
    newest : int
        The version named last.
    named_at_seconds : float
        When it was named (monotonic).
    usable_from : int
        The oldest version that all open jobs may use.
    """

    model: str
    newest: int
    named_at_seconds: float
    usable_from: int


@dataclass(frozen=True, slots=True)
class CarrierView:
    """An engine and the versions it has, by model.

    Attributes
    ----------
    seconds_per_piece : float
        How fast it makes texts, in any unit that all engines share.
    """

    name: str
    versions: dict[str, int]
    seconds_per_piece: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """One engine's order to load a model's version."""

    model: str
    order: LoadOrder


@dataclass(slots=True)
class _Fleet:
    """The engines with the versions that they will have once their loads have ended."""

    engines: list[CarrierView]
    versions: dict[str, dict[str, int]]
    busy: set[str]
    slower: dict[str, float]
    """How many times slower than the fastest each engine is."""

    current: dict[str, int]
    """How many models' newest versions each engine has or will have."""

    def has_fast(self, model: str, version: int) -> bool:
        """Return whether a fast engine has or will have a version."""
        return any(self.slower[name] <= SLOWER_FACTOR for name in self.having(model, version))

    def having(self, model: str, version: int) -> list[str]:
        """Return the engines that have or will have a version, or a newer one."""
        return [name for name, has in self.versions.items() if has.get(model, 0) >= version]

    def begin(self, load: ServiceLoad) -> None:
        """Count a load as under way."""
        engine = load.order.engine
        self.busy.add(engine)
        self.versions[engine][load.model] = load.order.version
        self.current[engine] += 1


def plan_service_loads(
    needs: Iterable[ModelNeed],
    engines: Iterable[CarrierView],
    state: RolloutState,
    loading: dict[str, tuple[str, int]],
    now_seconds: float,
) -> list[ServiceLoad]:
    """Decide which engines of a service to order to load what, now.

    The model whose version the fewest engines have goes first; among equals, one that open
    jobs wait for, then the one whose version was named first. So each new version gets its
    first engine before any gets its second, and none starves.

    Parameters
    ----------
    needs : iterable of ModelNeed
        The models with a named version.
    engines : iterable of CarrierView
        The service's engines that get work.
    state : RolloutState
        When engines whose order failed may be tried again.
    loading : dict of str to (str, int)
        The model and version that each busy engine loads.
    now_seconds : float
        Monotonic clock.

    Returns
    -------
    list of ServiceLoad
        Orders to send, at most one an engine and as many as may load at once.
    """
    wanted = list(needs)
    fleet = _fleet(engines, loading, wanted)
    carriers = carriers_wanted(len(fleet.engines), len(wanted))
    lacks = {need.model: _lack(need, fleet, carriers) for need in wanted}
    loads: list[ServiceLoad] = []
    room = loads_at_once(len(fleet.engines)) - len(fleet.busy)
    for _ in range(min(room, MAX_LOADS_A_PLAN)):
        load = _next_load(wanted, lacks, fleet, state, now_seconds)
        if load is None:
            break
        fleet.begin(load)
        # A load changes what its own model lacks, and nothing of the others.
        need = next(need for need in wanted if need.model == load.model)
        lacks[need.model] = _lack(need, fleet, carriers)
        loads.append(load)
    return loads


def _fleet(
    engines: Iterable[CarrierView],
    loading: dict[str, tuple[str, int]],
    needs: list[ModelNeed],
) -> _Fleet:
    listed = list(engines)
    versions = {engine.name: dict(engine.versions) for engine in listed}
    for name, (model, version) in loading.items():
        if name in versions:
            versions[name][model] = version
    fastest_seconds = min((engine.seconds_per_piece for engine in listed), default=1.0)
    slower = {engine.name: engine.seconds_per_piece / fastest_seconds for engine in listed}
    current = {
        name: sum(has.get(need.model, 0) >= need.newest for need in needs)
        for name, has in versions.items()
    }
    return _Fleet(listed, versions, set(loading), slower, current)


def _next_load(
    needs: list[ModelNeed],
    lacks: dict[str, "tuple[int, _Lack] | None"],
    fleet: _Fleet,
    state: RolloutState,
    now_seconds: float,
) -> ServiceLoad | None:
    """Return the most urgent load that an engine is free for."""
    lacking = [(lack, need) for need in needs if (lack := lacks[need.model]) is not None]
    lacking.sort(key=lambda entry: (entry[0], entry[1].named_at_seconds))
    for _, need in lacking:
        engine = _engine_for(need, fleet, state, now_seconds)
        if engine is not None:
            deadline_seconds = now_seconds + ORDER_TIMEOUT_SECONDS
            return ServiceLoad(need.model, LoadOrder(engine, need.newest, deadline_seconds))
    return None


class _Lack(IntEnum):
    """What a model lacks, the more urgent first among models that equally many engines have."""

    OPEN_JOBS = 0
    """Too few engines can run the jobs that are open."""

    NEXT_JOB = 1
    """Too few have the newest version, which the next job but one is going to need."""

    SPARE = 2
    """Engines that could serve its jobs as well stand idle for it."""


def _lack(need: ModelNeed, fleet: _Fleet, carriers: int) -> tuple[int, _Lack] | None:
    """Return how many engines have what a model lacks most, and what that is."""
    usable = len(fleet.having(need.model, need.usable_from))
    if usable < carriers:
        return usable, _Lack.OPEN_JOBS
    newest = len(fleet.having(need.model, need.newest))
    if newest < carriers:
        return newest, _Lack.NEXT_JOB
    if usable < min(2 * carriers, len(fleet.engines)):
        return usable, _Lack.SPARE
    return None


def _engine_for(
    need: ModelNeed,
    fleet: _Fleet,
    state: RolloutState,
    now_seconds: float,
) -> str | None:
    """Return the engine that should load a model's newest version, or None.

    One that cannot run the model's open jobs goes before one that can, as an engine that
    loads refuses new runs; of those that can, one must stay. The first one of a version is a
    fast one, as a step is whole with its longest text: with engines that differ by 1.3 the last
    text of every fourth step ran at a slow one and took 0.4 s a step longer on average.
    """
    usable = set(fleet.having(need.model, need.usable_from)) - fleet.busy
    wants_fast = not fleet.has_fast(need.model, need.newest)
    best: tuple[tuple[bool, bool, bool, int, int, str], str] | None = None
    for engine in fleet.engines:
        name = engine.name
        has = fleet.versions[name].get(need.model, 0)
        if name in fleet.busy or has >= need.newest:
            continue
        if now_seconds < state.next_try_seconds.get(name, 0.0):
            continue
        serves = name in usable
        if serves and len(usable) == 1 and len(fleet.engines) > 1:
            continue
        slower = fleet.slower[name]
        passed_over = wants_fast and slower > SLOWER_FACTOR
        place = (serves, slower > FAULTY_FACTOR, passed_over, fleet.current[name], has, name)
        if best is None or place < best[0]:
            best = (place, name)
    return best[1] if best is not None else None
