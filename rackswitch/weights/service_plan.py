"""Plans which engines of a service load which model's newest version, over all models at once.

Trainers name versions of their own models, but the models share the service's engines and its
limit of concurrent loads. If each model were planned separately, the last one would starve.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from rackswitch.weights.rollout import ORDER_TIMEOUT_SECONDS, LoadOrder, RolloutState

__all__ = [
    "EngineVersions",
    "ModelNeed",
    "ServiceLoad",
    "engines_per_version",
    "max_concurrent_loads",
    "plan_service_loads",
]

MAX_LOADING_SHARE = 0.4
"""Maximum share of a service's engines that load at once; more loads slow each other down."""

MIN_CONCURRENT_LOADS = 2
"""Number of loads allowed at once even in a small service."""

MAX_SHARE_PER_VERSION = 0.5
"""Maximum share of the engines that load one version. Jobs may also use the version before the
newest, so the other engines go on serving."""


FAULTY_SLOWDOWN = 1.7
"""Slowdown, relative to the fastest engine, above which an engine counts as faulty and loads last.
Engines of one service differ by up to 1.3, and a faulty one is three times slower."""

MAX_FAST_SLOWDOWN = 1.15
"""Slowdown, relative to the fastest engine, up to which an engine counts as fast."""


MAX_LOADS_PER_PLAN = 32
"""Maximum number of loads in one plan. It bounds the time that a plan takes from the event loop:
for 600 engines and 8 models 25 ms with the limit and 8.6 s without
(`benchmarks/bench_service_plan.py`)."""


def max_concurrent_loads(engines: int) -> int:
    """Return how many of a service's engines may load at once."""
    return max(MIN_CONCURRENT_LOADS, int(engines * MAX_LOADING_SHARE))


def engines_per_version(engines: int, models: int) -> int:
    """Return how many engines should have each version of each model.

    The models share the engines evenly: with three models on six engines two engines load
    each version. More loads would take longer than the time until the next version.
    """
    max_per_version = -int(-engines * MAX_SHARE_PER_VERSION // 1)
    even_share = -(-engines // max(1, models))
    return max(1, min(max_per_version, even_share))


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """The versions that a model needs.

    Attributes
    ----------
    newest : int
        The latest named version.
    named_at_seconds : float
        When it was named (monotonic).
    oldest_usable_version : int
        The oldest version that all open jobs may use.
    """

    model: str
    newest: int
    named_at_seconds: float
    oldest_usable_version: int


@dataclass(frozen=True, slots=True)
class EngineVersions:
    """An engine and the versions it has, by model.

    Attributes
    ----------
    seconds_per_piece : float
        Generation time per piece, in any unit that all engines share.
    """

    name: str
    versions: dict[str, int]
    seconds_per_piece: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """An order to one engine to load a model's version."""

    model: str
    order: LoadOrder


@dataclass(slots=True)
class _Fleet:
    """The engines with the versions that they have after their loads have ended."""

    engines: list[EngineVersions]
    versions: dict[str, dict[str, int]]
    busy: set[str]
    slowdown: dict[str, float]
    """Time per piece of each engine, as a multiple of the fastest engine's."""

    newest_count: dict[str, int]
    """Number of models whose newest version each engine has or will have."""

    def has_fast(self, model: str, version: int) -> bool:
        """Return whether a fast engine has or will have a version."""
        return any(
            self.slowdown[name] <= MAX_FAST_SLOWDOWN for name in self.engines_with(model, version)
        )

    def engines_with(self, model: str, version: int) -> list[str]:
        """Return the engines that have or will have a version, or a newer one."""
        return [
            name
            for name, model_versions in self.versions.items()
            if model_versions.get(model, 0) >= version
        ]

    def add_load(self, load: ServiceLoad) -> None:
        """Add a load that is being ordered."""
        engine = load.order.engine
        self.busy.add(engine)
        self.versions[engine][load.model] = load.order.version
        self.newest_count[engine] += 1


def plan_service_loads(
    needs: Iterable[ModelNeed],
    engines: Iterable[EngineVersions],
    state: RolloutState,
    loading: dict[str, tuple[str, int]],
    now_seconds: float,
) -> list[ServiceLoad]:
    """Return the load orders to send to a service's engines now.

    The model whose version the fewest engines have goes first; ties go to a model that open
    jobs wait for, then to the version that was named first. So each new version gets its first
    engine before any version gets its second, and none starves.

    Parameters
    ----------
    needs : iterable of ModelNeed
        The models with a named version.
    engines : iterable of EngineVersions
        The service's engines that accept work.
    state : RolloutState
        Retry times of engines whose order failed.
    loading : dict of str to (str, int)
        The model and version that each busy engine loads.
    now_seconds : float
        Monotonic clock.

    Returns
    -------
    list of ServiceLoad
        At most one order per engine, up to the limit of concurrent loads.
    """
    need_list = list(needs)
    fleet = _build_fleet(engines, loading, need_list)
    needed_engines = engines_per_version(len(fleet.engines), len(need_list))
    shortages = {need.model: _find_shortage(need, fleet, needed_engines) for need in need_list}
    loads: list[ServiceLoad] = []
    free_slots = max_concurrent_loads(len(fleet.engines)) - len(fleet.busy)
    for _ in range(min(free_slots, MAX_LOADS_PER_PLAN)):
        load = _next_load(need_list, shortages, fleet, state, now_seconds)
        if load is None:
            break
        fleet.add_load(load)
        # A load changes the shortage of its own model only.
        need = next(need for need in need_list if need.model == load.model)
        shortages[need.model] = _find_shortage(need, fleet, needed_engines)
        loads.append(load)
    return loads


def _build_fleet(
    engines: Iterable[EngineVersions],
    loading: dict[str, tuple[str, int]],
    needs: list[ModelNeed],
) -> _Fleet:
    engine_list = list(engines)
    versions = {engine.name: dict(engine.versions) for engine in engine_list}
    for name, (model, version) in loading.items():
        if name in versions:
            versions[name][model] = version
    fastest_seconds = min((engine.seconds_per_piece for engine in engine_list), default=1.0)
    slowdown = {engine.name: engine.seconds_per_piece / fastest_seconds for engine in engine_list}
    newest_count = {
        name: sum(model_versions.get(need.model, 0) >= need.newest for need in needs)
        for name, model_versions in versions.items()
    }
    return _Fleet(engine_list, versions, set(loading), slowdown, newest_count)


def _next_load(
    needs: list[ModelNeed],
    shortages: dict[str, "tuple[int, _Shortage] | None"],
    fleet: _Fleet,
    state: RolloutState,
    now_seconds: float,
) -> ServiceLoad | None:
    """Return the most urgent load for which an engine is free."""
    short_models = [
        (shortage, need) for need in needs if (shortage := shortages[need.model]) is not None
    ]
    short_models.sort(key=lambda entry: (entry[0], entry[1].named_at_seconds))
    for _, need in short_models:
        engine = _choose_engine(need, fleet, state, now_seconds)
        if engine is not None:
            deadline_seconds = now_seconds + ORDER_TIMEOUT_SECONDS
            return ServiceLoad(need.model, LoadOrder(engine, need.newest, deadline_seconds))
    return None


class _Shortage(IntEnum):
    """Kind of a model's shortage of engines; the lower value is more urgent."""

    OPEN_JOBS = 0
    """Too few engines have a version that open jobs can use."""

    NEXT_JOB = 1
    """Too few engines have the newest version, which later jobs need."""

    SPARE = 2
    """Further engines could serve the open jobs too."""


def _find_shortage(
    need: ModelNeed, fleet: _Fleet, needed_engines: int
) -> tuple[int, _Shortage] | None:
    """Return a model's most urgent shortage and how many engines have the needed version."""
    usable_count = len(fleet.engines_with(need.model, need.oldest_usable_version))
    if usable_count < needed_engines:
        return usable_count, _Shortage.OPEN_JOBS
    newest_count = len(fleet.engines_with(need.model, need.newest))
    if newest_count < needed_engines:
        return newest_count, _Shortage.NEXT_JOB
    if usable_count < min(2 * needed_engines, len(fleet.engines)):
        return usable_count, _Shortage.SPARE
    return None


def _choose_engine(
    need: ModelNeed,
    fleet: _Fleet,
    state: RolloutState,
    now_seconds: float,
) -> str | None:
    """Return the engine that should load a model's newest version, or None.

    Engines that cannot run the model's open jobs go first, as a loading engine refuses new
    runs; the last one that can run them is not chosen. The first engine of a version should be
    fast, as a step is complete only with its longest text.
    """
    usable = set(fleet.engines_with(need.model, need.oldest_usable_version)) - fleet.busy
    needs_fast = not fleet.has_fast(need.model, need.newest)
    best: tuple[tuple[bool, bool, bool, int, int, str], str] | None = None
    for engine in fleet.engines:
        name = engine.name
        loaded_version = fleet.versions[name].get(need.model, 0)
        if name in fleet.busy or loaded_version >= need.newest:
            continue
        if now_seconds < state.next_try_seconds.get(name, 0.0):
            continue
        is_usable = name in usable
        if is_usable and len(usable) == 1 and len(fleet.engines) > 1:
            continue
        slowdown = fleet.slowdown[name]
        too_slow = needs_fast and slowdown > MAX_FAST_SLOWDOWN
        sort_key = (
            is_usable,
            slowdown > FAULTY_SLOWDOWN,
            too_slow,
            fleet.newest_count[name],
            loaded_version,
            name,
        )
        if best is None or sort_key < best[0]:
            best = (sort_key, name)
    return best[1] if best is not None else None
