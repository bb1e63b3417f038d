from dataclasses import dataclass, field

import hypothesis.strategies as st
import pytest
from hypothesis import given

from rackswitch.weights import (
    EngineVersions,
    LoadOrder,
    ModelNeed,
    RolloutState,
    ServiceLoad,
    engines_per_version,
    max_concurrent_loads,
    plan_service_loads,
)


def engines(**versions: list[int]) -> list[EngineVersions]:
    """Return engines with the given versions; each model lists one version per engine."""
    count = len(next(iter(versions.values())))
    return [
        EngineVersions(f"e{n}", {model: numbers[n] for model, numbers in versions.items()})
        for n in range(count)
    ]


def need(
    model: str, newest: int, oldest_usable_version: int, named_at_seconds: float = 0.0
) -> ModelNeed:
    return ModelNeed(model, newest, named_at_seconds, oldest_usable_version)


def plan(needs, engine_views, loading=None, state=None) -> list[tuple[str, str, int]]:
    loads = plan_service_loads(needs, engine_views, state or RolloutState(), loading or {}, 10.0)
    return [(load.model, load.order.engine, load.order.version) for load in loads]


def test_half_of_the_engines_load_each_version_of_a_single_model():
    assert plan([need("m", 2, 1)], engines(m=[1, 1, 1, 1])) == [("m", "e0", 2), ("m", "e1", 2)]
    assert plan([need("m", 3, 2)], engines(m=[2, 2, 1, 1])) == [("m", "e2", 3), ("m", "e3", 3)]
    assert plan([need("m", 3, 2)], engines(m=[2, 2, 3, 3])) == []


def test_an_engine_that_no_job_can_use_loads_before_a_usable_one():
    assert plan([need("m", 5, 4)], engines(m=[4, 4, 3, 5])) == [("m", "e2", 5)]


def test_a_job_that_needs_the_newest_version_makes_all_load():
    assert plan([need("m", 5, 5)], engines(m=[5, 5, 4, 4])) == [("m", "e2", 5), ("m", "e3", 5)]


def test_a_model_loads_only_on_its_share_of_the_engines():
    engine_views = engines(m=[5, 5, 5, 5, 3, 3], n=[1] * 6, o=[1] * 6)
    assert plan([need("m", 5, 4), need("n", 1, 1), need("o", 1, 1)], engine_views) == []


def test_a_single_engine_loads_every_version():
    assert plan([need("m", 2, 1)], engines(m=[1])) == [("m", "e0", 2)]


def test_the_last_usable_engine_does_not_load():
    assert plan([need("m", 3, 2)], engines(m=[2, 1]), {"e1": ("n", 7)}) == []


def test_every_model_gets_its_first_engine_before_any_gets_its_second():
    engine_views = engines(m=[1] * 6, n=[1] * 6, o=[1] * 6)
    needs = [need("m", 2, 1, 3.0), need("n", 2, 1, 2.0), need("o", 2, 1, 1.0)]
    first = plan(needs, engine_views)
    assert [model for model, _, _ in first] == ["o", "n"]
    loading = {first[1][1]: ("n", 2)}
    engine_views[int(first[0][1][1:])].versions["o"] = 2
    assert [model for model, _, _ in plan(needs, engine_views, loading)] == ["m"]


def test_a_model_that_open_jobs_wait_for_goes_first():
    engine_views = engines(m=[1, 1, 1, 1], n=[2, 2, 1, 1])
    needs = [need("n", 3, 2, 1.0), need("m", 3, 2, 2.0)]
    assert plan(needs, engine_views)[0][0] == "m"


def test_models_load_on_different_engines():
    engine_views = engines(m=[1] * 6, n=[1] * 6, o=[1] * 6)
    needs = [need(model, 2, 1) for model in "mno"]
    ordered_engines: list[str] = []
    while loads := plan(needs, engine_views):
        for model, engine, version in loads:
            engine_views[int(engine[1:])].versions[model] = version
            ordered_engines.append(engine)
    assert sorted(ordered_engines) == [f"e{n}" for n in range(6)]


def engines_with_speeds(**seconds_per_piece: float) -> list[EngineVersions]:
    return [
        EngineVersions(name, {"m": 1, "n": 1}, seconds)
        for name, seconds in seconds_per_piece.items()
    ]


def test_a_faulty_engine_loads_last():
    engine_views = engines_with_speeds(e0=0.12, e1=0.04, e2=0.04, e3=0.04)
    assert plan([need("m", 2, 1)], engine_views) == [("m", "e1", 2), ("m", "e2", 2)]


def test_only_the_first_engine_of_a_version_has_to_be_fast():
    engine_views = engines_with_speeds(e0=0.05, e1=0.05, e2=0.04, e3=0.04)
    needs = [need("m", 2, 1, 1.0), need("n", 2, 1, 2.0)]
    assert plan(needs, engine_views) == [("m", "e2", 2), ("n", "e3", 2)]
    engine_views[2].versions["m"] = engine_views[3].versions["n"] = 2
    assert plan(needs, engine_views) == [("m", "e0", 2), ("n", "e1", 2)]


def test_equally_fast_engines_are_chosen_by_name():
    assert plan([need("m", 2, 1)], engines_with_speeds(e0=0.05, e1=0.05)) == [("m", "e0", 2)]


def test_an_engine_whose_order_failed_gets_none_until_its_retry_time():
    state = RolloutState()
    state.record_end("e0", False, 9.9)
    assert plan([need("m", 2, 1)], engines(m=[1, 1]), state=state) == [("m", "e1", 2)]


def test_a_load_of_an_older_version_does_not_delay_the_newest():
    engine_views = engines(m=[1, 1, 1, 1, 1, 1])
    loading = {"e0": ("m", 2)}
    assert plan([need("m", 3, 1)], engine_views, loading) == [("m", "e1", 3)]


@pytest.mark.parametrize(("count", "loads"), [(1, 2), (5, 2), (6, 2), (8, 3), (22, 8), (600, 240)])
def test_loads_at_once_grow_with_the_engines(count, loads):
    assert max_concurrent_loads(count) == loads


@pytest.mark.parametrize(
    ("count", "models", "expected_engines"),
    [(6, 1, 3), (6, 3, 2), (5, 2, 3), (22, 4, 6), (1, 3, 1)],
)
def test_models_share_the_engines_evenly(count, models, expected_engines):
    assert engines_per_version(count, models) == expected_engines


LOAD_SECONDS = 1.0


def plan_models_separately(needs, engine_views, state, loading, now_seconds):
    """Plan the models in a fixed order, each as if it were the only one."""
    busy = set(loading)
    loads = []
    for model_need in needs:
        outdated = [
            e
            for e in engine_views
            if e.name not in busy and e.versions[model_need.model] < model_need.newest
        ]
        free_slots = max_concurrent_loads(len(engine_views)) - len(busy)
        missing = len(engine_views) // 2 - sum(
            e.versions[model_need.model] >= model_need.newest for e in engine_views
        )
        for engine in outdated[: max(0, min(free_slots, missing))]:
            busy.add(engine.name)
            order = LoadOrder(engine.name, model_need.newest, now_seconds + 15.0)
            loads.append(ServiceLoad(model_need.model, order))
    return loads


@dataclass
class Simulation:
    """Engines that execute load orders, each in `LOAD_SECONDS`."""

    count: int
    models: str
    plan_separately: bool = False
    now_seconds: float = 0.0
    loading: dict[str, tuple[str, int, float]] = field(default_factory=dict)
    named_versions: dict[str, tuple[int, float]] = field(default_factory=dict)
    skipped_versions: list[tuple[str, int]] = field(default_factory=list)

    def __post_init__(self):
        self.engine_views = engines(**{model: [1] * self.count for model in self.models})
        self.named_versions = dict.fromkeys(self.models, (1, 0.0))

    def name_version(self, model: str) -> None:
        """Name the next version; record the previous one if no engine loaded it."""
        newest = self.named_versions[model][0]
        if all(engine.versions[model] < newest for engine in self.engine_views):
            self.skipped_versions.append((model, newest))
        self.named_versions[model] = (newest + 1, self.now_seconds)

    def advance(self, seconds: float) -> None:
        """Advance the time in steps of 0.1 s, with one plan each."""
        make_plan = plan_models_separately if self.plan_separately else plan_service_loads
        end_seconds = self.now_seconds + seconds
        while self.now_seconds < end_seconds - 1e-9:
            self.now_seconds += 0.1
            self._finish_loads()
            needs = [need(m, v, max(1, v - 1), at) for m, (v, at) in self.named_versions.items()]
            loading = {name: (m, v) for name, (m, v, _) in self.loading.items()}
            for load in make_plan(
                needs, self.engine_views, RolloutState(), loading, self.now_seconds
            ):
                self._start_load(load)

    def _start_load(self, load: ServiceLoad) -> None:
        assert load.order.engine not in self.loading
        done_at_seconds = self.now_seconds + LOAD_SECONDS
        self.loading[load.order.engine] = (load.model, load.order.version, done_at_seconds)
        assert len(self.loading) <= max_concurrent_loads(self.count)

    def _finish_loads(self) -> None:
        for name, (model, version, done_at_seconds) in list(self.loading.items()):
            if self.now_seconds >= done_at_seconds:
                del self.loading[name]
                self.engine_views[int(name[1:])].versions[model] = version


def simulate(simulation: Simulation, intervals_seconds: list[float]) -> Simulation:
    for seconds in intervals_seconds:
        for model in simulation.models:
            simulation.name_version(model)
            simulation.advance(seconds / len(simulation.models))
    return simulation


def test_no_version_of_three_models_on_six_engines_is_skipped():
    assert simulate(Simulation(6, "mno"), [4.0] * 10).skipped_versions == []


def test_separate_plans_skip_versions():
    assert simulate(Simulation(6, "mno", plan_separately=True), [3.2] * 10).skipped_versions


def test_frequent_versions_each_reach_an_engine():
    assert simulate(Simulation(6, "mno"), [3.2] * 10).skipped_versions == []


@given(
    st.integers(1, 9),
    st.integers(1, 4),
    st.lists(st.tuples(st.integers(0, 3), st.floats(0.0, 3.0)), max_size=25),
)
def test_every_model_gets_its_engines_after_the_last_version(count, models, name_events):
    simulation = Simulation(count, "mnop"[:models])
    for number, seconds in name_events:
        simulation.name_version("mnop"[number % models])
        simulation.advance(seconds)
    simulation.advance(LOAD_SECONDS * 1.2 * count * models + 1.0)
    expected_engines = engines_per_version(count, models)
    for model, (newest, _) in simulation.named_versions.items():
        assert sum(e.versions[model] >= newest for e in simulation.engine_views) >= expected_engines
